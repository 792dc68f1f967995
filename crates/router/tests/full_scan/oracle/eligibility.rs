//! To which servers a request may be sent, and which of them look able to serve it.

use super::constants::{
    BUDGET_MARGIN, CAPACITY_GAIN, MIN_HEALTHY_SHARE, RATE_TIME_CONSTANT_US, SHARE_WITHOUT_WARM_PEERS,
};
use super::Router;
use crate::interface::{DedupGroup, Effect, Health, Role, ServerId};
use crate::records::{PossibleRun, RequestState, Server};

impl Router {
    /// Whether the rules allow this send now: (1) the request is open; (2) nothing else is in flight and no
    /// effect can happen twice; (3) the list has the server as ready; (4) slow start has room for it.
    pub(super) fn is_permitted(&self, request: &RequestState, server: &Server) -> bool {
        let window = self.settings.overload_window;
        let open = !request.is_completed && request.in_flight.is_none() && request.info.not_after > self.now;
        open && server.entry.health == Health::Ready
            && self.may_execute_at(request, server)
            && self
                .requests_per_window(server)
                .is_none_or(|per_window| server.slow_start_budget.allows(self.now, per_window, window))
    }

    pub(super) fn attempts_exhausted(&self, request: &RequestState) -> bool {
        let class = self.settings.classes.get(&request.info.class);
        class.is_some_and(|class| request.attempts >= class.max_attempts)
    }

    pub(super) fn may_execute_at(&self, request: &RequestState, server: &Server) -> bool {
        let Some(PossibleRun { server: first, sent_at: sent }) = request.may_have_run else { return true };
        let Some(class) = self.settings.classes.get(&request.info.class) else { return false };
        let same_group = || {
            let first = self.servers.get(&first).map(|first| &first.entry);
            first.is_some_and(|first| match class.dedup_group {
                DedupGroup::All => true,
                DedupGroup::Zone => first.zone == server.entry.zone,
                DedupGroup::Cell => first.cell == server.entry.cell,
            })
        };
        match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::Deduplicated => {
                self.now + 2 * self.settings.resolution < sent + class.dedup_window && same_group()
            }
        }
    }

    /// Servers of a role that the rules allow and that look healthy; where too few do, all that are allowed.
    pub(super) fn candidate_pool(&self, role: Role, request: &RequestState) -> Vec<ServerId> {
        let class = request.info.class;
        let is_permitted = |e: &&Server| e.role == role && self.is_permitted(request, e);
        let pool =
            keep_enough(self.servers.values().filter(is_permitted).collect(), |e| self.is_healthy(e, class));
        let untried = |e: &&Server| !request.failed_at.contains(&e.entry.server);
        let any_untried = pool.iter().any(untried);
        pool.into_iter().filter(|e| !any_untried || untried(e)).map(|e| e.entry.server).collect()
    }

    pub(super) fn is_healthy(&self, server: &Server, class: u32) -> bool {
        let idle = server.unanswered.is_empty();
        let standing = server.statistics.outlier_states.get(&class);
        server.entry.health == Health::Ready
            && standing.is_none_or(|standing| standing.accepts_work(self.now, idle))
    }

    pub(super) fn count(&self, role: Role) -> f64 {
        self.servers.values().filter(|e| e.role == role).count() as f64
    }

    /// The part of its capacity that a server in slow start surely has by now; `None` if it is warm.
    pub(super) fn slow_start_share(&self, server: &Server) -> Option<f64> {
        let (from, set) = (server.entry.started?, &self.settings);
        let age = self.now.saturating_sub(from) as f64 / set.slow_start_window.max(1) as f64;
        (self.now < from.saturating_add(set.slow_start_window))
            .then_some(set.slow_start_min_share * (1.0 + CAPACITY_GAIN * age))
    }

    /// Sends that a window permits to a server in slow start: the part of its capacity that it surely has, by
    /// what a warm server of its role serves for this dispatcher; `None` if it is warm.
    pub(super) fn requests_per_window(&self, server: &Server) -> Option<f64> {
        let set = &self.settings;
        let share = self.slow_start_share(server)?;
        let peers =
            self.servers.values().filter(|e| e.role == server.role && self.slow_start_share(e).is_none());
        let ready = peers.filter(|e| e.entry.health == Health::Ready);
        let carried =
            ready.map(|e| e.statistics.served_per_second.age_corrected_at(self.now, RATE_TIME_CONSTANT_US));
        let (sum, warm) = carried.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        let even = self.request_rate.age_corrected_at(self.now, RATE_TIME_CONSTANT_US)
            / self.count(server.role).max(1.0);
        let rate = if warm > 0.0 { sum / warm } else { SHARE_WITHOUT_WARM_PEERS * even };
        Some(
            self.limit_share
                * BUDGET_MARGIN
                * set.overload_multiple
                * share
                * rate
                * set.overload_window as f64
                / 1e6,
        )
    }
}

/// Those of a pool that pass a test; where too few do, all of it: then the yardstick is wrong.
pub(super) fn keep_enough(pool: Vec<&Server>, test: impl Fn(&Server) -> bool) -> Vec<&Server> {
    let passing: Vec<&Server> = pool.iter().copied().filter(|e| test(e)).collect();
    if passing.len() as f64 >= MIN_HEALTHY_SHARE * pool.len() as f64 {
        passing
    } else {
        pool
    }
}
