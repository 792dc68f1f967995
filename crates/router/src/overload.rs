//! Overload control: rejects new work early, so that the requests that are admitted are served in time.

use crate::averaging::{AVERAGE_HALF_LIFE_US, RATE_TIME_CONSTANT_US};
use crate::health;
use crate::interface::Health;
use crate::load::{self, PRIOR_REQUESTS};
use crate::records::stage::STAGES;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;
use crate::statistics::{median_exceeds, quantile, shrunk_ratio};

/// Share of the latency objective that a request may wait at a stage, by [`Stage`]. The permitted wait scales
/// with the objective, and the work that fits into it with the pace.
pub(crate) const WAIT_SHARE_OF_OBJECTIVE: [f64; STAGES] = [0.4, 0.3, 0.5];
/// Queueing that counts as overload, as a share of the permitted wait.
pub(crate) const QUEUEING_SHARE: f64 = 1.0;
/// Unanswered work of this dispatcher (at the unloaded pace, times the number of dispatchers) that counts as
/// overload, as a share of the permitted wait, if the median server shows queueing.
const WORK_SHARE_WITH_QUEUEING: f64 = 0.3;
/// The same limit if the median server shows no queueing.
const WORK_SHARE_WITHOUT_QUEUEING: f64 = 1.2;
/// Share of recent attempts that unresponsive servers may lose without the stage counting as overloaded. It
/// scales with how fast an overload builds up.
const MAX_LOST_SHARE: f64 = 0.6;

/// Whether requests wait too long at a stage, as a share of their latency objective, and the queue is still
/// there. New work is rejected then, whatever made the pool too small: a burst of requests, servers that are
/// lost, slow or starting, or evicted prefixes.
///
/// The evidence is this dispatcher's work at the median server, if there are many own samples, else the
/// queueing of the whole stage. In the second case the share of rejected requests grows with the queueing;
/// `draw` is a random number in (0, 1]. Single unresponsive servers do not count. Known drawback: a
/// dispatcher whose requests reached only overloaded servers rejects too much.
pub(crate) fn is_overloaded(state: &RoutingState, class: u32, stage: Stage, draw: f64) -> bool {
    let limit_us = WAIT_SHARE_OF_OBJECTIVE[stage as usize] * objective_by_priority_us(state, class);
    let pool = StagePool::of(state, class, stage);
    if pool.median_work_exceeds(limit_us) {
        return true;
    }
    let queueing_us = pool.remaining_queue_share() * stage_queueing_us(state, stage);
    draw > (QUEUEING_SHARE * limit_us / queueing_us).powi(2)
}

/// The latency objective by which a class is judged (us). All classes share the queues, so a class with a
/// long objective may let them grow beyond the shortest objective only in proportion to its priority weight
/// over the lowest one. Otherwise it would crowd out the classes with short objectives.
fn objective_by_priority_us(state: &RoutingState, class: u32) -> f64 {
    let Some(class) = state.class(class) else { return state.shortest_objective_us };
    let lowest =
        state.settings.current().map(|class| class.priority_weight).fold(class.priority_weight, f64::min);
    (class.latency_objective as f64)
        .min(state.shortest_objective_us * class.priority_weight / lowest.max(f64::MIN_POSITIVE))
}

/// The servers by which a stage is judged: those that serve it and answer in time, or all that serve it if
/// too few answer in time.
struct StagePool<'a> {
    state: &'a RoutingState,
    class: u32,
    stage: Stage,
    includes_all: bool,
    size: usize,
}

impl<'a> StagePool<'a> {
    fn of(state: &'a RoutingState, class: u32, stage: Stage) -> Self {
        let serving = state.fleet.serving(stage as usize);
        let all = Self { state, class, stage, includes_all: true, size: serving.all };
        // Only a busy or suspect server can be unresponsive or ejected.
        let excluded = state.fleet.busy_or_suspect().filter(|server| {
            let serves = server.serves(stage as usize);
            serves && server.entry.health == Health::Ready && !all.answers_in_time(server)
        });
        let in_time = serving.ready - excluded.count();
        if health::is_below_panic_threshold(in_time, serving.all) {
            return all;
        }
        Self { includes_all: false, size: in_time, ..all }
    }

    fn answers_in_time(&self, server: &Server) -> bool {
        health::is_healthy(server, self.class, self.state.now)
            && !load::is_unresponsive(self.state, server, self.stage)
    }

    fn contains(&self, server: &Server) -> bool {
        server.serves(self.stage as usize) && (self.includes_all || self.answers_in_time(server))
    }

    fn busy(&self) -> impl Iterator<Item = &'a Server> + '_ {
        self.state.fleet.busy().filter(|server| self.contains(server))
    }

    /// Whether the median server has too much waiting work. The limit depends on whether it also shows
    /// queueing.
    fn median_work_exceeds(&self, limit_us: f64) -> bool {
        // If no queueing is seen, only the work behind another attempt counts: a single long read is not a
        // queue.
        let (work_share, attempts_ahead) = if median_exceeds(self.queueing_count(limit_us), self.size) {
            (WORK_SHARE_WITH_QUEUEING, 0.0)
        } else {
            (WORK_SHARE_WITHOUT_QUEUEING, 1.0)
        };
        let unloaded_us_per_token = self.state.stage(self.stage).unloaded_us_per_token;
        let dispatchers = f64::from(self.state.settings.dispatcher_count);
        let work_us = |server: &Server| {
            let behind_share = 1.0 - attempts_ahead / server.unanswered.len().max(1) as f64;
            let behind_tokens = server.unanswered_tokens[self.stage as usize] * behind_share;
            behind_tokens * unloaded_us_per_token * dispatchers
        };
        let loaded = self.busy().filter(|server| work_us(server) > work_share * limit_us).count();
        median_exceeds(loaded, self.size)
    }

    /// Number of servers of the pool that queue for longer than the limit.
    fn queueing_count(&self, limit_us: f64) -> usize {
        let max_us = QUEUEING_SHARE * limit_us;
        let by_queueing = self.state.fleet.by_queueing(self.stage as usize);
        let queued_lately = by_queueing.take_while(|server| self.recent_queueing_us(server) > max_us);
        // A busy server may queue more now than its recent average shows, so every busy server is checked.
        let idle = queued_lately.filter(|server| !server.is_busy() && self.contains(server));
        self.busy().chain(idle).filter(|server| self.queueing_us(server) > max_us).count()
    }

    /// How much of the observed queue is still there: unanswered work of this dispatcher over its average, at
    /// most 1.
    fn remaining_queue_share(&self) -> f64 {
        let tokens: f64 = self.busy().map(|server| server.unanswered_tokens[self.stage as usize]).sum();
        let stage_statistics = self.state.stage(self.stage);
        let mean_tokens = stage_statistics.tokens_in_flight.value_at(self.state.now, RATE_TIME_CONSTANT_US);
        shrunk_ratio(tokens, mean_tokens, PRIOR_REQUESTS * stage_statistics.tokens_per_attempt).min(1.0)
    }

    /// Recent average queueing of attempts at a server (us).
    fn recent_queueing_us(&self, server: &Server) -> f64 {
        let average = &server.statistics.queueing_us[self.stage as usize];
        average.value_at(self.state.now, 0.0, AVERAGE_HALF_LIFE_US)
    }

    /// Recent average queueing of attempts at a server, or what its oldest unanswered attempt has queued so
    /// far if that is more (us).
    fn queueing_us(&self, server: &Server) -> f64 {
        let unloaded_us_per_token = self.state.stage(self.stage).unloaded_us_per_token;
        let overdue_us = server.overdue_us(self.state.now, self.stage as usize, unloaded_us_per_token);
        self.recent_queueing_us(server).max(overdue_us)
    }
}

/// Queueing of a stage (us): the average over finished attempts or, if that is more, a low quantile of recent
/// ends, which include timeouts.
///
/// The quantile shows an overload even if few attempts still come back, and is not moved by a few
/// unresponsive servers. One extra sample without queueing is added, since few samples prove nothing. A pool
/// that is unresponsive as a whole is detected as well. Known drawback: if a share above [`MAX_LOST_SHARE`]
/// reaches unresponsive servers, requests are rejected that the other servers could take.
fn stage_queueing_us(state: &RoutingState, stage: Stage) -> f64 {
    let stage_statistics = state.stage(stage);
    let mut samples = Vec::with_capacity(stage_statistics.recent_queueing.len() + 1);
    for sample in &stage_statistics.recent_queueing {
        if ((state.now - sample.ended_at) as f64) < AVERAGE_HALF_LIFE_US {
            samples.push(sample.queueing_us);
        }
    }
    samples.push(0.0);
    let low_quantile_us = quantile(samples, 1.0 - MAX_LOST_SHARE).unwrap_or(0.0);
    low_quantile_us.max(stage_statistics.queueing_us.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US))
}
