//! Popularity of shared prefixes: how many servers should cache one. Those servers are the homes of the
//! prefix.

use crate::averaging::RATE_TIME_CONSTANT_US;
use crate::interface::{Key, RequestInfo};
use crate::routing_state::RoutingState;

/// Homes of a prefix for each even share (one server's part) of all requests that begin with it. A value
/// above 1 keeps a single prefix from filling its servers. The number of homes follows the number of servers
/// and the popularity of the prefix.
const HOMES_PER_SHARE: f64 = 1.4;
/// Limits the minimum number of homes of a prefix to one for this many readers. The minimum does not depend
/// on the observed popularity, so dispatchers that see few requests agree on it: its homes together read
/// about [`INITIAL_TOKENS_PER_OBJECTIVE`] to cache the prefix. A long prefix gets fewer homes because each of
/// them costs reader time and memory.
const READERS_PER_HOME: usize = 8;
/// Prior request count in the estimate of popularity, so that a dispatcher that sees few requests does not
/// take chance for a trend.
const PRIOR_REQUESTS: f64 = 30.0;
/// Assumed number of tokens that a server reads within the shortest latency objective, before any
/// measurement.
pub(crate) const INITIAL_TOKENS_PER_OBJECTIVE: f64 = 8_000.0;
/// Popularity is averaged over about this many requests, within the time limits below. The window is short
/// enough for a prefix that becomes popular to get more homes before it overloads one, and long enough for a
/// dispatcher that sees few requests not to take chance for a trend.
const WINDOW_REQUESTS: f64 = 100.0;
const MIN_WINDOW_US: f64 = 15_000_000.0;
const MAX_WINDOW_US: f64 = 60_000_000.0;

/// The time window over which popularity is averaged (us).
pub(crate) fn window_us(state: &RoutingState) -> f64 {
    let requests_per_second = state.request_rate.age_corrected_at(state.now, RATE_TIME_CONSTANT_US);
    (WINDOW_REQUESTS * 1e6 / requests_per_second).clamp(MIN_WINDOW_US, MAX_WINDOW_US)
}

/// How many of `ready` servers are homes of a request's prefix; `key` is the prefix's key.
pub(crate) fn home_count(state: &RoutingState, info: &RequestInfo, key: Key, ready: usize) -> usize {
    let window_us = window_us(state);
    let prefix_requests =
        state.shared_prefixes.peek(&key).map_or(0.0, |rate| rate.count_at(state.now, window_us));
    let requests = state.recent_request_rate.count_at(state.now, window_us);
    // A single occurrence is no evidence of popularity.
    let share = (prefix_requests - 1.0).max(0.0) / (requests + PRIOR_REQUESTS);
    let parallel_reads = INITIAL_TOKENS_PER_OBJECTIVE / info.shared_tokens.max(1) as f64;
    let min_homes = parallel_reads.ceil().min(ready.div_ceil(READERS_PER_HOME) as f64);
    (HOMES_PER_SHARE * share * ready as f64).ceil().max(min_homes) as usize
}
