//! Load of one server: whether it is at capacity, has memory left, or has become unresponsive, and its share
//! of work by its pace.

use crate::averaging::{AVERAGE_HALF_LIFE_US, RATE_TIME_CONSTANT_US};
use crate::interface::{Micros, Role};
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;
use crate::statistics::{lower_bound_share, shrunk_ratio};
use crate::timeouts::attempt_timeout_us;

/// A reader is at capacity when the reads that all dispatchers may have sent it ([`across_dispatchers`]), or
/// what its answers queued, take this share of the shortest latency objective, and as long as rereading
/// elsewhere what it holds. Scales by itself with objective and pace.
pub(crate) const CAPACITY_SHARE_OF_OBJECTIVE: f64 = 0.25;
/// Own requests that a server must hold to be judged by them as much as by the mean of its pool.
pub(crate) const PRIOR_REQUESTS: f64 = 1.0;
/// Times the median of its peers that a slow server takes.
pub(crate) const SLOW_MULTIPLE: f64 = 2.0;
/// A server has memory left while tokens of all dispatchers are under this share of it.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// And while its report shows less than this share held.
const MAX_REPORTED_MEMORY_SHARE: f64 = 0.93;
/// Older reports say nothing (us).
const REPORT_LIFETIME_US: Micros = 1_500_000;

/// Whether a server has all the work of a stage that it should get, or has just turned some away. Measured in
/// time and not in count, so that one giant weighs as much as many short prompts, and by the unloaded pace:
/// the median has queueing in it already, and would send on what a busy pool keeps. `reread_us` is how long
/// rereading elsewhere what the server holds of the request would take.
pub(crate) fn is_at_capacity(state: &RoutingState, server: &Server, stage: Stage, reread_us: f64) -> bool {
    let is_full = server.statistics.full_until > state.now;
    if is_full || server.unanswered.is_empty() {
        return is_full;
    }
    let of_stage = state.stage(stage);
    let in_flight = of_stage.tokens_in_flight.value_at(state.now, RATE_TIME_CONSTANT_US);
    let mean_tokens = in_flight / state.fleet.known_count(server.role);
    let own_tokens = server.unanswered_tokens[stage as usize];
    let tokens = across_dispatchers(state, own_tokens, mean_tokens, of_stage.tokens_per_attempt);
    let limit_us = CAPACITY_SHARE_OF_OBJECTIVE * state.shortest_objective_us + reread_us;
    is_unresponsive(state, server, stage) || tokens * of_stage.unloaded_us_per_token > limit_us
}

/// What all dispatchers together are likely to have at a server: own work, and for each other dispatcher the
/// mean of the pool, as far above or below it as own work shows. With many own samples this comes near own
/// work times dispatchers; with few it stays near the mean: one own request does not look like a full server.
fn across_dispatchers(state: &RoutingState, own: f64, mean: f64, typical: f64) -> f64 {
    let others = f64::from(state.settings.dispatcher_count - 1) * mean;
    own + others * shrunk_ratio(own, mean, PRIOR_REQUESTS * typical)
}

/// Whether the oldest attempt there has been without an answer for too long, before any time-out says so.
pub(crate) fn is_unresponsive(state: &RoutingState, server: &Server, stage: Stage) -> bool {
    server.oldest_wait_us(state.now) > attempt_timeout_us(state, server, stage, 0.0, 0, 0.0) / 2
}

/// Memory that own attempts take at a server of a role on average, in tokens, as far as it is no chance: few
/// requests say little of what other dispatchers hold.
pub(crate) fn mean_memory_tokens(state: &RoutingState, role: Role) -> f64 {
    let tokens = state.fleet.memory_tokens_in_flight(role) as f64;
    let requests = tokens / state.stage(Stage::Write).tokens_per_attempt;
    lower_bound_share(requests) * tokens / state.fleet.known_count(role)
}

/// Whether a server has memory for an answer: tokens of all dispatchers within its memory (`mean_tokens` is
/// its role's own average), no request lately turned away, and a report, if there is a recent one, that shows
/// memory left.
pub(crate) fn has_memory_left(state: &RoutingState, server: &Server, mean_tokens: f64) -> bool {
    let typical = state.stage(Stage::Write).tokens_per_attempt;
    let tokens = across_dispatchers(state, server.memory_tokens_in_flight as f64, mean_tokens, typical);
    let fits = server.memory_tokens == 0 || tokens < MAX_MEMORY_SHARE * server.memory_tokens as f64;
    fits && server.statistics.full_until <= state.now
        && reported_memory_share(state, server) < MAX_REPORTED_MEMORY_SHARE
}

/// The share of its memory that a server has lately reported as held; 0 without a report.
fn reported_memory_share(state: &RoutingState, server: &Server) -> f64 {
    let recent = server.statistics.report.filter(|&(_, at)| at + REPORT_LIFETIME_US > state.now);
    let (Some((report, _)), Some(field)) = (recent, state.settings.memory_field) else { return 0.0 };
    report.values[field].unwrap_or(0.0)
}

/// The share of new work that a server's pace earns: all of it up to [`SLOW_MULTIPLE`] times the median, then
/// less.
pub(crate) fn share_for_pace(state: &RoutingState, server: &Server, stage: Stage) -> f64 {
    let median = state.stage(stage).median_us_per_token;
    let average = &server.statistics.us_per_token[stage as usize];
    let us_per_token = average.value_at(state.now, median, AVERAGE_HALF_LIFE_US);
    (SLOW_MULTIPLE * median / us_per_token).min(1.0)
}
