//! Figures for operators. Nothing here decides anything.

use crate::interface::Health;
use crate::records::Server;
use crate::routing_state::RoutingState;

/// Number of listed servers that get no new work now: they drain, or are ejected for some class.
pub(crate) fn avoided_servers(state: &RoutingState) -> usize {
    let is_ejected = |server: &Server| {
        let mut outlier_states = server.statistics.outlier_states.values();
        outlier_states.any(|of_class| !of_class.accepts_work(state.now, true))
    };
    let listed = state.fleet.iter().filter(|server| server.entry.health != Health::Gone);
    listed.filter(|server| server.entry.health != Health::Ready || is_ejected(server)).count()
}
