//! Slow start: how much work may be sent to a server that has recently started (rule 4 in
//! [`eligibility`](crate::eligibility)). A server after slow start is called warm.
//!
//! A server fails if all dispatchers together send it more than `overload_multiple` times its current
//! capacity within any `overload_window`. Its capacity is at least `slow_start_min_share` of the full one
//! until the end of `slow_start_window`; how it grows until then is not known. The warm servers of its kind
//! show what the full capacity is, in proportion to their size.

use crate::averaging::RATE_TIME_CONSTANT_US;
use crate::interface::Micros;
use crate::records::stage::STAGES;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;
use crate::slow_start_budget::{SlowStartBudget, SlowStartLimit};

/// Rate of a warm server, as a share of an even part of all requests, while no server of the kind is warm.
const SHARE_WITHOUT_WARM_PEERS: f64 = 0.5;

/// Checks for one class of requests whether the slow start of servers has room for one more.
///
/// The parts that do not depend on the server are computed once, as many servers are checked for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartCheck<'a> {
    state: &'a RoutingState,
    /// Work of a request of the class, in requests of mean work, by stage.
    work: [f64; STAGES],
    /// What this process may send to a server within a window, as a multiple of the full capacity per second.
    limit_per_capacity: f64,
}

impl<'a> SlowStartCheck<'a> {
    /// The check for requests of a class, at the present time.
    pub(crate) fn of(state: &'a RoutingState, class: u32) -> Self {
        let work = Stage::ALL.map(|stage| relative_work(state, stage, class));
        let settings = &state.settings;
        let window_s = settings.overload_window as f64 / 1e6;
        let share = state.limit_share.at(state.now);
        let multiple = settings.overload_multiple * settings.slow_start_min_share;
        Self { state, work, limit_per_capacity: share * multiple * window_s }
    }

    /// Whether a server's slow start has room for one more request of the class. A warm server has no limit.
    pub(crate) fn allows(&self, server: &Server) -> bool {
        let Some(limit) = self.limit(server) else { return true };
        let work = self.work[Stage::of(server.role) as usize];
        server.slow_start_budget.allows(self.state.now, work, limit)
    }

    /// What may arrive at a server in slow start from this dispatcher: its part of the capacity that the
    /// server has at least, measured by what a warm server of the kind serves for this dispatcher. `None` for
    /// a warm server.
    fn limit(&self, server: &Server) -> Option<SlowStartLimit> {
        let settings = &self.state.settings;
        let warm_from = server.entry.started?.saturating_add(settings.slow_start_window);
        if self.state.now >= warm_from {
            return None;
        }
        let work = self.limit_per_capacity * warm_rate(self.state, server);
        Some(SlowStartLimit { work, window_us: settings.overload_window })
    }
}

/// Work of a request of a class at a stage, as a multiple of the mean work of all requests there.
pub(crate) fn relative_work(state: &RoutingState, stage: Stage, class: u32) -> f64 {
    state.stage(stage).class_work.relative(class)
}

/// Estimated work per second that this dispatcher has served by a warm server of the same kind and size, in
/// requests of mean work.
fn warm_rate(state: &RoutingState, server: &Server) -> f64 {
    if let Some(rate_per_size) = state.fleet.warm_rate_per_size(server.entry.kind) {
        return rate_per_size * server.size;
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
