//! The list of servers: applies its entries to the fleet.

use rand_core::RngCore;

use crate::cells::balance_cells;
use crate::interface::{Health, ListUpdateKind, Role, ServerEntry, ServerId};
use crate::prefix_table::PrefixTable;
use crate::records::Server;
use crate::routing_state::RoutingState;
use crate::slow_start;
use crate::statistics::unit_interval;

/// Applies a list update: the whole list or, with [`ListUpdateKind::Patch`], the entries that have changed.
/// Servers that are missing from a whole list are gone.
pub(crate) fn apply_list(
    state: &mut RoutingState,
    kind: ListUpdateKind,
    entries: Vec<ServerEntry>,
    rng: &mut impl RngCore,
) {
    if kind != ListUpdateKind::Patch {
        state.fleet.mark_gone_all_but(entries.iter().map(|entry| entry.server).collect());
    }
    for entry in entries {
        apply_entry(state, entry, rng);
    }
    state.fleet.remove_gone();
    if state.fleet.take_membership_change() {
        state.gossip.set_servers(state.fleet.ids());
    }
    state.cells = balance_cells(&state.fleet, std::mem::take(&mut state.cells));
}

/// Smallest size of a server.
const MIN_SIZE: f64 = 1e-3;

/// Applies an entry. A new start time under a known id means that the server has restarted: its cache is
/// empty and it is in slow start.
fn apply_entry(state: &mut RoutingState, entry: ServerEntry, rng: &mut impl RngCore) {
    let kind = state.settings.kinds.get(entry.kind as usize);
    let (role, memory_tokens) = kind.map_or((Role::Mixed, 0), |kind| (kind.role, kind.memory_tokens));
    let budget = slow_start::new_budget(state, entry.started, unit_interval(rng.next_u64()));
    let size = if state.settings.weight_is_size { entry.weight.max(MIN_SIZE) } else { 1.0 };
    let id: ServerId = entry.server;
    let keeps_state =
        |server: &Server| server.entry.started == entry.started || entry.health != Health::Ready;
    if !state.fleet.get(id).is_some_and(keeps_state) {
        state.fleet.start_server(id, Server::new(entry.clone(), PrefixTable::new(), budget, state.now));
    }
    state.fleet.change(id, |server| {
        server.entry = entry;
        server.role = role;
        server.memory_tokens = memory_tokens;
        server.size = size;
    });
}
