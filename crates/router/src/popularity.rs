//! Popularity of shared prefixes: how many servers should keep one (its homes).

use crate::averaging::RATE_TIME_CONSTANT_US;
use crate::interface::{Key, RequestInfo};
use crate::routing_state::RoutingState;

/// Homes of a prefix for each even share of the requests that begin with it: more than one, so that no server
/// is filled by a single prefix. Scales by itself with servers and popularity.
const HOMES_PER_SHARE: f64 = 1.4;
/// Homes of a prefix at the least, alike at dispatchers that see few requests: as many as read all of it
/// while one reads [`FIRST_GUESS_TOKENS`], at most one for so many readers. A long one costs readers and
/// memory at each.
const READERS_PER_HOME: usize = 8;
/// Requests that popularity is weighed against: with few of its own, a dispatcher takes no chance for a
/// trend.
const PRIOR_REQUESTS: f64 = 30.0;
/// Tokens that are read within the shortest latency objective, before anything is known.
pub(crate) const FIRST_GUESS_TOKENS: f64 = 8_000.0;
/// Popularity is judged over so many requests, within the times below: a text that turns hot gets its homes
/// before it buries one, and a dispatcher that sees few requests takes no chance for a trend.
const WINDOW_REQUESTS: f64 = 100.0;
const MIN_WINDOW_US: f64 = 15_000_000.0;
const MAX_WINDOW_US: f64 = 60_000_000.0;

/// The time over which popularity is judged (us).
pub(crate) fn window_us(state: &RoutingState) -> f64 {
    let requests_per_second = state.request_rate.age_corrected_at(state.now, RATE_TIME_CONSTANT_US);
    (WINDOW_REQUESTS * 1e6 / requests_per_second).clamp(MIN_WINDOW_US, MAX_WINDOW_US)
}

/// How many of `ready` servers are homes of a request's prefix, which has that key.
pub(crate) fn home_count(state: &RoutingState, info: &RequestInfo, key: Key, ready: usize) -> usize {
    let window_us = window_us(state);
    let seen = state.shared_prefixes.peek(&key).map_or(0.0, |rate| rate.count_at(state.now, window_us));
    let requests = state.recent_request_rate.count_at(state.now, window_us);
    // One sighting proves nothing.
    let share = (seen - 1.0).max(0.0) / (requests + PRIOR_REQUESTS);
    let parallel_reads = FIRST_GUESS_TOKENS / info.shared_tokens.max(1) as f64;
    let min_homes = parallel_reads.ceil().min(ready.div_ceil(READERS_PER_HOME) as f64);
    (HOMES_PER_SHARE * share * ready as f64).ceil().max(min_homes) as usize
}
