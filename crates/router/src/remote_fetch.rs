//! Remote fetches, in which a writer fetches a state from a reader in another cell: whether the links between
//! cells are slow, and which readers have to be avoided then.

use crate::averaging::AVERAGE_HALF_LIFE_US;
use crate::health;
use crate::interface::Role;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;

/// Links between cells count as slow once the time per token of remote fetches exceeds this multiple of the
/// median of all writes.
const SLOW_LINK_MULTIPLE: f64 = 3.0;

/// Whether the time per token of remote fetches was recently far above the median of all writes.
pub(crate) fn links_are_slow(state: &RoutingState) -> bool {
    let remote = state.remote_fetch_us_per_token.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
    remote > SLOW_LINK_MULTIPLE * state.stage(Stage::Write).median_us_per_token
}

/// Whether links are slow and a reader's cell has no healthy writer or mixed server to fetch its states. Such
/// a reader is skipped like one at capacity.
pub(crate) fn lacks_local_writers(state: &RoutingState, reader: &Server, class: u32) -> bool {
    let has_local = |role| {
        let mut local = state.fleet.ready_in_cell(reader.entry.cell, role);
        local.any(|server| health::is_healthy(server, class, state.now))
    };
    reader.role == Role::Reader
        && links_are_slow(state)
        && !has_local(Role::Writer)
        && !has_local(Role::Mixed)
}
