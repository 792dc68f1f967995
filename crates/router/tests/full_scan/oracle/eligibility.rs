//! Which servers a request may be sent to, and which of them are healthy.

use super::constants::{MIN_HEALTHY_SHARE, RATE_TIME_CONSTANT_US, SHARE_WITHOUT_WARM_PEERS};
use super::Router;
use crate::interface::{DedupGroup, Effect, Health, Role, ServerId};
use crate::records::{PossibleRun, RequestState, Server, Stage};
use crate::slow_start_budget::SlowStartLimit;

impl Router {
    /// Whether the rules permit this send now: (1) the request is open and before its deadline; (2) it has no other
    /// attempt in flight and cannot take effect twice; (3) the list shows the server as ready; (4) the server's slow
    /// start budget has room for the request.
    pub(super) fn is_permitted(&self, request: &RequestState, server: &Server) -> bool {
        let stage = &self.stages[Stage::of(server.role) as usize];
        let work = stage.class_work.relative(request.info.class);
        let is_open =
            !request.is_completed && request.in_flight.is_none() && request.info.not_after > self.now;
        is_open
            && server.entry.health == Health::Ready
            && self.may_execute_at(request, server)
            && self
                .slow_start_limit(server)
                .is_none_or(|limit| server.slow_start_budget.allows(self.now, work, limit))
    }

    pub(super) fn attempts_exhausted(&self, request: &RequestState) -> bool {
        let class = self.settings.classes.get(&request.info.class);
        class.is_some_and(|class| request.attempts >= class.max_attempts)
    }

    /// Whether another attempt at a server cannot take effect twice: always until an attempt may have run, then as the
    /// class's [`Effect`] says.
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
                self.now + 2 * self.settings.min_batch_interval < sent + class.dedup_window && same_group()
            }
        }
    }

    /// Servers of a role that the rules permit and that are healthy; if too few are healthy, all that are permitted.
    /// Servers that have already failed the request are left out unless no others remain.
    pub(super) fn candidate_pool(&self, role: Role, request: &RequestState) -> Vec<ServerId> {
        let class = request.info.class;
        let is_permitted = |s: &&Server| s.role == role && self.is_permitted(request, s);
        let pool =
            filter_pool(self.servers.values().filter(is_permitted).collect(), |s| self.is_healthy(s, class));
        let untried = |s: &&Server| !request.failed_at.contains(&s.entry.server);
        let any_untried = pool.iter().any(untried);
        pool.into_iter().filter(|s| !any_untried || untried(s)).map(|s| s.entry.server).collect()
    }

    /// Whether the list shows a server as ready and it is not ejected for requests of a class.
    pub(super) fn is_healthy(&self, server: &Server, class: u32) -> bool {
        let idle = server.unanswered.is_empty();
        let outlier_state = server.statistics.outlier_states.get(&class);
        server.entry.health == Health::Ready
            && outlier_state.is_none_or(|outlier_state| outlier_state.accepts_work(self.now, idle))
    }

    /// Number of known servers of a role.
    pub(super) fn count(&self, role: Role) -> f64 {
        self.servers.values().filter(|s| s.role == role).count() as f64
    }

    /// Whether a server is in slow start.
    pub(super) fn is_in_slow_start(&self, server: &Server) -> bool {
        let window = self.settings.slow_start_window;
        server.entry.started.is_some_and(|start| self.now < start.saturating_add(window))
    }

    /// What may arrive at a server in slow start from this dispatcher within one overload window: the share of capacity
    /// that the server has at least, times the rate at which a warm server of its kind and size serves this dispatcher.
    /// `None` if the server is warm.
    pub(super) fn slow_start_limit(&self, server: &Server) -> Option<SlowStartLimit> {
        let config = &self.settings;
        if !self.is_in_slow_start(server) {
            return None;
        }
        let is_warm_peer = |other: &&Server| {
            let is_peer = other.entry.kind == server.entry.kind && other.entry.health == Health::Ready;
            is_peer && !self.is_in_slow_start(other)
        };
        let (mut served, mut size) = (0.0, 0.0);
        for peer in self.servers.values().filter(is_warm_peer) {
            served += peer.statistics.served_per_second.age_corrected_at(self.now, RATE_TIME_CONSTANT_US);
            size += peer.size;
        }
        let rate = if size > 0.0 {
            served * server.size / size
        } else {
            let of_role = self.servers.values().filter(|other| other.role == server.role);
            let known_size: f64 = of_role.map(|other| other.size).sum();
            let requests = self.request_rate.age_corrected_at(self.now, RATE_TIME_CONSTANT_US);
            SHARE_WITHOUT_WARM_PEERS * requests * server.size / known_size
        };
        let capacity = config.slow_start_min_share * rate;
        let share = self.current_limit_share();
        let work = share * config.overload_multiple * capacity * config.overload_window as f64 / 1e6;
        Some(SlowStartLimit { work, window_us: config.overload_window })
    }
}

/// The servers of a pool that satisfy a predicate. If too few do, the predicate is assumed to be wrong and the whole
/// pool is returned.
pub(super) fn filter_pool(pool: Vec<&Server>, predicate: impl Fn(&Server) -> bool) -> Vec<&Server> {
    let passing: Vec<&Server> = pool.iter().copied().filter(|s| predicate(s)).collect();
    if passing.len() as f64 >= MIN_HEALTHY_SHARE * pool.len() as f64 {
        passing
    } else {
        pool
    }
}
