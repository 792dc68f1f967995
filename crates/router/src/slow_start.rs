//! Slow start: how many requests may be sent to a server that has recently started (rule 4 in
//! [`eligibility`](crate::eligibility)). A server after slow start is called warm.
//!
//! A server fails if it is sent more than `overload_multiple` times its current capacity for
//! `overload_window`. Its capacity rises from `slow_start_min_share` to 1 within `slow_start_window`. The
//! warm servers of its role show what a capacity of 1 is.

use crate::averaging::RATE_TIME_CONSTANT_US;
use crate::interface::{Micros, Role};
use crate::routing_state::RoutingState;
use crate::slow_start_budget::SlowStartBudget;

/// Share of the permitted rate that is used. The rest is a margin for random variation and for crowded peers
/// (warm servers of the role, whose rate is the measure of capacity).
const BUDGET_MARGIN: f64 = 0.75;
/// Rate of a warm server, as a share of an even part of all requests, while no server of the role is warm.
const SHARE_WITHOUT_WARM_PEERS: f64 = 0.5;
/// Growth of the capacity over slow start that can be relied on, as a multiple of the capacity at the start.
const CAPACITY_GAIN: f64 = 1.5;

/// Whether a server's slow start budget has room for one more request. A warm server has no limit.
pub(crate) fn allows(
    state: &RoutingState,
    role: Role,
    started: Option<Micros>,
    budget: &SlowStartBudget,
) -> bool {
    let window_us = state.settings.overload_window;
    let permitted = requests_per_window(state, role, started);
    permitted.is_none_or(|per_window| budget.allows(state.now, per_window, window_us))
}

/// Requests that this dispatcher may send to a server in slow start within one window: its part of the
/// capacity that the server has by now at least, measured by what a warm server of the role serves for this
/// dispatcher. `None` for a warm server.
pub(crate) fn requests_per_window(state: &RoutingState, role: Role, started: Option<Micros>) -> Option<f64> {
    let (started, settings) = (started?, &state.settings);
    let age = state.now.saturating_sub(started) as f64 / settings.slow_start_window.max(1) as f64;
    let capacity = settings.slow_start_min_share * (1.0 + CAPACITY_GAIN * age);
    let warm = state.fleet.served_by_warm(role);
    let warm_rate = if warm.servers > 0 {
        warm.served_per_second / warm.servers as f64
    } else {
        let requests = state.request_rate.age_corrected_at(state.now, RATE_TIME_CONSTANT_US);
        SHARE_WITHOUT_WARM_PEERS * (requests / state.fleet.known_count(role))
    };
    let per_second = state.limit_share * BUDGET_MARGIN * settings.overload_multiple * capacity * warm_rate;
    let per_window = per_second * settings.overload_window as f64 / 1e6;
    let is_in_slow_start = state.now < started.saturating_add(settings.slow_start_window);
    is_in_slow_start.then_some(per_window)
}
