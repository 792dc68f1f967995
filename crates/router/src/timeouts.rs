//! Time-outs of attempts.

use crate::interface::Micros;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;

/// An attempt's first time-out: so many times what its like usually takes, and the shortest latency objective
/// at the least, so that a short pause does not set off repeats.
const TIMEOUT_MULTIPLE: f64 = 4.0;
/// Doublings of the time-out by failures of the request, at most.
const MAX_DOUBLINGS: usize = 6;

/// How long an attempt may take (us): a multiple of what its like usually takes behind what waits there,
/// doubled with each failure of its request, so that a jam of the whole pool ends in waiting and not in ever
/// more repeats.
///
/// `objective_us` is the latency objective of the request; the shortest one of any class is the floor.
pub(crate) fn attempt_timeout_us(
    state: &RoutingState,
    server: &Server,
    stage: Stage,
    work_tokens: f64,
    failures: usize,
    objective_us: f64,
) -> Micros {
    let us_per_token = state.stage(stage).median_us_per_token;
    let reported_us = state.gossip.believed_us(server.entry.server, state.now);
    let ahead_us = reported_us.max(us_per_token * server.unanswered_tokens[stage as usize]);
    let expected_us = us_per_token * work_tokens + ahead_us;
    let timeout_us = (TIMEOUT_MULTIPLE * expected_us).max(objective_us.max(state.shortest_objective_us));
    (timeout_us * f64::from(1u32 << failures.min(MAX_DOUBLINGS))) as Micros
}
