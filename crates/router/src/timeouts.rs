//! Attempt timeouts.

use crate::interface::{Class, Micros};
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;

/// Multiple of the expected time that an attempt may take. The shortest latency objective is the lower bound,
/// so that a short pause of a server does not cause retries.
const TIMEOUT_MULTIPLE: f64 = 4.0;
/// Share of the shortest attempt timeout after which an attempt without an answer says something about its
/// server.
const TELLING_SHARE_OF_TIMEOUT: f64 = 0.5;
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

/// The least time (us) without an answer that says something about a server: a share of the shortest
/// timeout of any attempt, or of what clients of the class wait if that is less. An attempt that ends
/// earlier, because its client has no more time left, says nothing: the server may need longer, or drop a
/// request that is as good as over.
pub(crate) fn telling_wait_us(
    class: Option<&Class>,
    objective_us: f64,
    shortest_objective_us: f64,
) -> Micros {
    let min_timeout_us = objective_us.max(shortest_objective_us);
    let client_timeout_us = class.map_or(f64::INFINITY, |class| class.default_timeout as f64);
    (TELLING_SHARE_OF_TIMEOUT * min_timeout_us.min(client_timeout_us)) as Micros
}
