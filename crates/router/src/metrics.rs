//! Figures reported to operators. They don't affect decisions.

use crate::interface::Health;
use crate::records::Server;
use crate::routing_state::RoutingState;

/// Number of listed servers that currently get no new work, or none of some class: they are draining, or
/// ejected for that class.
pub(crate) fn avoided_servers(state: &RoutingState) -> usize {
    let is_ejected = |server: &Server| {
        let mut outlier_states = server.statistics.outlier_states.values();
        outlier_states.any(|outlier_state| !outlier_state.accepts_work(state.now, true))
    };
    let listed = state.fleet.iter().filter(|server| server.entry.health != Health::Gone);
    listed.filter(|server| server.entry.health != Health::Ready || is_ejected(server)).count()
}
