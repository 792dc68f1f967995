//! Slow start: how much work may be sent to a server that has recently started (rule 4 in
//! [`eligibility`](crate::eligibility)). A server after slow start is called warm.
//!
//! A server fails if all dispatchers together send it more than `overload_multiple` times its current
//! capacity within any `overload_window`. Its capacity is at least `slow_start_min_share` of the full one
//! until the end of `slow_start_window`; how it grows until then is not known. The warm servers of its kind
//! show what the full capacity is, in proportion to their size.

use crate::averaging::RATE_TIME_CONSTANT_US;
use crate::interface::Micros;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;
use crate::slow_start_budget::{SlowStartBudget, SlowStartLimit};

/// Rate of a warm server, as a share of an even part of all requests, while no server of the kind is warm.
const SHARE_WITHOUT_WARM_PEERS: f64 = 0.5;

/// Whether a server's slow start has room for one more request of a class. A warm server has no limit.
pub(crate) fn allows(state: &RoutingState, server: &Server, class: u32) -> bool {
    let Some(limit) = limit(state, server) else { return true };
    let work = relative_work(state, Stage::of(server.role), class);
    server.slow_start_budget.allows(state.now, work, limit)
}

/// Work of a request of a class at a stage, as a multiple of the mean work of all requests there.
pub(crate) fn relative_work(state: &RoutingState, stage: Stage, class: u32) -> f64 {
    state.stage(stage).class_work.relative(class)
}

/// What may arrive at a server in slow start from this dispatcher: its part of the capacity that the server
/// has at least, measured by what a warm server of the kind serves for this dispatcher. `None` for a warm
/// server.
fn limit(state: &RoutingState, server: &Server) -> Option<SlowStartLimit> {
    let settings = &state.settings;
    let warm_from = server.entry.started?.saturating_add(settings.slow_start_window);
    if state.now >= warm_from {
        return None;
    }
    let share = state.limit_share.at(state.now);
    let capacity = settings.slow_start_min_share * warm_rate(state, server);
    let window_us = settings.overload_window;
    let work = share * settings.overload_multiple * capacity * window_us as f64 / 1e6;
    Some(SlowStartLimit { work, window_us })
}

/// Estimated work per second that this dispatcher has served by a warm server of the same kind and size, in
/// requests of mean work.
fn warm_rate(state: &RoutingState, server: &Server) -> f64 {
    let warm = state.fleet.served_by_warm(server.entry.kind);
    if warm.size > 0.0 {
        return warm.served_per_second * server.size / warm.size;
    }
    let requests = state.request_rate.age_corrected_at(state.now, RATE_TIME_CONSTANT_US);
    SHARE_WITHOUT_WARM_PEERS * requests * server.size / state.fleet.known_size(server.role)
}

/// The budget of a server that is listed under a new start time. `rounding` is a random draw in (0, 1].
pub(crate) fn new_budget(state: &RoutingState, started: Option<Micros>, rounding: f64) -> SlowStartBudget {
    let budget = SlowStartBudget::new(rounding, state.now);
    match started {
        Some(started) if started <= state.created_at => {
            budget.opening_after_window(state.created_at, state.settings.overload_window)
        }
        _ => budget,
    }
}
