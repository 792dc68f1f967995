//! Slow start: how many requests a server may be sent that has lately started (rule 4).
//!
//! A server falls over when it is sent more than `fall_multiple` times its present capacity for
//! `fall_window`. Its capacity rises from `cold_from` to 1 within `cold_for`; what capacity is, the warm
//! servers of its role show.

use crate::averaging::RATE_TIME_CONSTANT_US;
use crate::interface::{Micros, Role};
use crate::routing_state::RoutingState;
use crate::slow_start_budget::SlowStartBudget;

/// The share of the budget that is used; the rest is for chance and for crowded peers.
const BUDGET_MARGIN: f64 = 0.75;
/// The share of an even part of all requests that counts as a warm server's rate where no peer is warm.
const SHARE_WITHOUT_WARM_PEERS: f64 = 0.5;
/// By the end of slow start, a server can surely do so many times more than at its start, beyond that start.
const CAPACITY_GAIN: f64 = 1.5;

/// Whether the budget of a server has room for one more request; a warm server has no budget to keep.
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

/// Requests that this dispatcher may send to a server in slow start within one window: the part of its
/// capacity that it surely has by now, by what a warm server of its role serves for this dispatcher. `None`
/// for a warm server.
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
