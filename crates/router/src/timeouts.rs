//! Attempt timeouts.

use crate::interface::Micros;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;

/// Multiple of the expected time that an attempt may take. The shortest latency objective is the lower bound,
/// so that a short pause of a server does not cause retries.
const TIMEOUT_MULTIPLE: f64 = 4.0;
/// Most doublings of the attempt timeout after failures of the request.
const MAX_DOUBLINGS: usize = 6;

/// The attempt timeout (us): a multiple of the expected time of the attempt, including the work queued ahead
/// of it. It doubles with each failure of the request, so that an overload of the whole pool makes requests
/// wait longer instead of causing ever more retries.
///
/// The larger of `objective_us`, the request's latency objective, and the shortest objective of any class is
/// the lower bound.
pub(crate) fn attempt_timeout_us(
    state: &RoutingState,
    server: &Server,
    stage: Stage,
    work_tokens: f64,
    failures: usize,
    objective_us: f64,
) -> Micros {
    let us_per_token = state.stage(stage).median_us_per_token;
    let reported_us = state.gossip.estimated_queueing_us(server.entry.server, state.now);
    let queued_us = reported_us.max(us_per_token * server.unanswered_tokens[stage as usize]);
    let expected_us = us_per_token * work_tokens + queued_us;
    let timeout_us = (TIMEOUT_MULTIPLE * expected_us).max(objective_us.max(state.shortest_objective_us));
    (timeout_us * f64::from(1u32 << failures.min(MAX_DOUBLINGS))) as Micros
}
