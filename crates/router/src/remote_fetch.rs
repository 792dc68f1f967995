//! Fetches of a state by a writer in another cell than its reader's: whether the links between cells are
//! slow, and what that means for the choice of a reader.

use crate::averaging::AVERAGE_HALF_LIFE_US;
use crate::health;
use crate::interface::Role;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;

/// Times the median that first tokens take after a fetch from another cell, where links are slow.
const SLOW_LINK_MULTIPLE: f64 = 3.0;

/// Whether fetches from other cells lately took far longer than others.
pub(crate) fn links_are_slow(state: &RoutingState) -> bool {
    let remote = state.remote_fetch_us_per_token.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
    remote > SLOW_LINK_MULTIPLE * state.stage(Stage::Write).median_us_per_token
}

/// Whether a reader has nobody in its cell to fetch its states while links are slow: it is then passed over
/// like one at capacity.
pub(crate) fn is_stranded(state: &RoutingState, reader: &Server, class: u32) -> bool {
    let has_local = |role| {
        let mut local = state.fleet.ready_in_cell(reader.entry.cell, role);
        local.any(|server| health::is_healthy(server, class, state.now))
    };
    reader.role == Role::Reader
        && links_are_slow(state)
        && !has_local(Role::Writer)
        && !has_local(Role::Mixed)
}
