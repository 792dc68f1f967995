//! Load of one server: whether it is at capacity, has memory left or has become unresponsive, and which share
//! of new work its pace earns.

use crate::averaging::{AVERAGE_HALF_LIFE_US, RATE_TIME_CONSTANT_US};
use crate::interface::{Micros, Role};
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;
use crate::statistics::{lower_bound_share, shrunk_ratio};
use crate::timeouts::attempt_timeout_us;

/// Share of the shortest latency objective that a server may queue for.
///
/// A server is at capacity once the work that all dispatchers are likely to have there
/// ([`estimate_across_dispatchers`]) takes longer than this plus the time to read its cached part of the
/// prompt again elsewhere. The same limit holds for the queueing that its answers showed. The limit scales
/// with the objective and the pace.
pub(crate) const CAPACITY_SHARE_OF_OBJECTIVE: f64 = 0.25;
/// Weight of the pool mean in the estimate of a server's load, in requests: with this many own requests at
/// the server, they count as much as the mean.
pub(crate) const PRIOR_REQUESTS: f64 = 1.0;
/// A server counts as slow above this multiple of the median time per token.
pub(crate) const SLOW_MULTIPLE: f64 = 2.0;
/// A server has memory left only while the tokens of all dispatchers take less than this share of it.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// A server has memory left only while its load report shows less than this share held.
const MAX_REPORTED_MEMORY_SHARE: f64 = 0.93;
/// Reports older than this are ignored (us).
const REPORT_LIFETIME_US: Micros = 1_500_000;

/// Whether a server has all the work of a stage that it should get, or has just rejected a request.
///
/// The work is measured in time and not in requests, so that one very long prompt counts as much as many
/// short ones. The unloaded pace is used because the median pace already includes queueing: by the median, a
/// busy pool would pass on requests that it should keep. `reread_us` is the time to read the server's cached
/// part of the prompt again elsewhere.
pub(crate) fn is_at_capacity(state: &RoutingState, server: &Server, stage: Stage, reread_us: f64) -> bool {
    let is_full = server.statistics.full_until > state.now;
    if is_full || server.unanswered.is_empty() {
        return is_full;
    }
    let stage_statistics = state.stage(stage);
    let in_flight = stage_statistics.tokens_in_flight.value_at(state.now, RATE_TIME_CONSTANT_US);
    let mean_tokens = in_flight / state.fleet.known_count(server.role);
    let own_tokens = server.unanswered_tokens[stage as usize];
    let tokens =
        estimate_across_dispatchers(state, own_tokens, mean_tokens, stage_statistics.tokens_per_attempt);
    let limit_us = CAPACITY_SHARE_OF_OBJECTIVE * state.shortest_objective_us + reread_us;
    is_unresponsive(state, server, stage) || tokens * stage_statistics.unloaded_us_per_token > limit_us
}

/// Estimates what all dispatchers together have at a server: this dispatcher's own amount, and for each of
/// the others the pool mean, scaled by how far the own amount is above or below it. With many own samples the
/// estimate approaches the own amount times the number of dispatchers; with few it stays near the mean, so
/// that a single own request does not make a server look full. `per_request` is the amount of one request.
fn estimate_across_dispatchers(state: &RoutingState, own: f64, mean: f64, per_request: f64) -> f64 {
    let others_total = f64::from(state.settings.dispatcher_count - 1) * mean;
    own + others_total * shrunk_ratio(own, mean, PRIOR_REQUESTS * per_request)
}

/// Whether the oldest unanswered attempt at a server has waited for half of its attempt timeout: detected
/// before the timeout itself.
pub(crate) fn is_unresponsive(state: &RoutingState, server: &Server, stage: Stage) -> bool {
    server.oldest_wait_us(state.now) > attempt_timeout_us(state, server, stage, 0.0, 0, 0.0) / 2
}

/// Mean memory that attempts of this dispatcher take at a server of a role, in tokens, reduced to a lower
/// bound for chance: few requests say little about what other dispatchers hold.
pub(crate) fn mean_memory_tokens(state: &RoutingState, role: Role) -> f64 {
    let tokens = state.fleet.memory_tokens_in_flight(role) as f64;
    let requests = tokens / state.stage(Stage::Write).tokens_per_attempt;
    lower_bound_share(requests) * tokens / state.fleet.known_count(role)
}

/// Whether a server has memory for an answer: the estimated tokens of all dispatchers fit its memory, it has
/// not recently rejected a request, and its load report, if there is a recent one, shows memory left.
/// `mean_tokens` is this dispatcher's mean for the role.
pub(crate) fn has_memory_left(state: &RoutingState, server: &Server, mean_tokens: f64) -> bool {
    let per_request = state.stage(Stage::Write).tokens_per_attempt;
    let tokens =
        estimate_across_dispatchers(state, server.memory_tokens_in_flight as f64, mean_tokens, per_request);
    let fits = server.memory_tokens == 0 || tokens < MAX_MEMORY_SHARE * server.memory_tokens as f64;
    fits && server.statistics.full_until <= state.now
        && reported_memory_share(state, server) < MAX_REPORTED_MEMORY_SHARE
}

/// The share of its memory that a server recently reported as held; 0 without a recent report.
fn reported_memory_share(state: &RoutingState, server: &Server) -> f64 {
    let recent = server.statistics.report.filter(|&(_, at)| at + REPORT_LIFETIME_US > state.now);
    let (Some((report, _)), Some(field)) = (recent, state.settings.memory_field) else { return 0.0 };
    report.values[field].unwrap_or(0.0)
}

/// The share of new work that a server's pace earns: 1 up to [`SLOW_MULTIPLE`] times the median time per
/// token, then falling in inverse proportion.
pub(crate) fn share_for_pace(state: &RoutingState, server: &Server, stage: Stage) -> f64 {
    let median = state.stage(stage).median_us_per_token;
    let average = &server.statistics.us_per_token[stage as usize];
    let us_per_token = average.value_at(state.now, median, AVERAGE_HALF_LIFE_US);
    (SLOW_MULTIPLE * median / us_per_token).min(1.0)
}
