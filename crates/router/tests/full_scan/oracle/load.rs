//! Load of one server, and overload of a stage.

use super::constants::{
    AVERAGE_HALF_LIFE_US, CAPACITY_SHARE_OF_OBJECTIVE, MAX_LOST_SHARE, MAX_MEMORY_SHARE,
    MAX_REPORTED_MEMORY_SHARE, PRIOR_REQUESTS, QUEUEING_SHARE, RATE_TIME_CONSTANT_US, REPORT_LIFETIME_US,
    SLOW_MULTIPLE, WAIT_SHARE_OF_OBJECTIVE, WORK_SHARE_WITHOUT_QUEUEING, WORK_SHARE_WITH_QUEUEING,
};
use super::eligibility::keep_enough;
use super::Router;
use crate::interface::Role;
use crate::records::stage::QueueingSample;
use crate::records::{Server, Stage};
use crate::statistics::{lower_bound_share, lower_median, quantile, shrunk_ratio};

impl Router {
    /// Capacity in time and not in count, so that one giant weighs as much as many short prompts. By the
    /// unloaded pace: the median has queueing in it already, and would send on what a busy pool keeps.
    pub(super) fn is_at_capacity(&self, server: &Server, stage: Stage, rereading: f64) -> bool {
        let full = server.statistics.full_until > self.now;
        if full || server.unanswered.is_empty() {
            return full;
        }
        let figures = &self.stages[stage as usize];
        let mean = figures.tokens_in_flight.value_at(self.now, RATE_TIME_CONSTANT_US)
            / self.count(server.role).max(1.0);
        let load = self.across_dispatchers(
            server.unanswered_tokens[stage as usize],
            mean,
            figures.tokens_per_attempt,
        );
        let cap = CAPACITY_SHARE_OF_OBJECTIVE * self.settings.shortest_latency_objective() + rereading;
        self.is_unresponsive(server, stage) || load * figures.unloaded_us_per_token > cap
    }

    /// What all dispatchers together are likely to have at a server: own work, and for each other dispatcher
    /// the mean of the pool, as far above or below it as own work shows. With many own samples this comes
    /// near own work times dispatchers; with few it stays near the mean: one own request does not look like a
    /// full server.
    pub(super) fn across_dispatchers(&self, own: f64, mean: f64, typical: f64) -> f64 {
        let others = f64::from(self.settings.dispatcher_count - 1) * mean;
        own + others * shrunk_ratio(own, mean, PRIOR_REQUESTS * typical)
    }

    /// Whether the oldest attempt there has been without an answer for too long, before any time-out says so.
    pub(super) fn is_unresponsive(&self, server: &Server, stage: Stage) -> bool {
        server.oldest_wait_us(self.now) > self.attempt_timeout(server, stage, 0.0, 0, 0.0) / 2
    }

    /// Own tokens a server, as far as they are no chance: few requests say little of what other dispatchers
    /// hold.
    pub(super) fn mean_memory_tokens(&self, role: Role) -> f64 {
        let tokens: u64 =
            self.servers.values().filter(|e| e.role == role).map(|e| e.memory_tokens_in_flight).sum();
        let requests = tokens as f64 / self.stages[Stage::Write as usize].tokens_per_attempt;
        lower_bound_share(requests) * tokens as f64 / self.count(role).max(1.0)
    }

    /// Room for an answer: tokens of all dispatchers within the memory (`mean` is its role's own tokens a
    /// server), no recent `Full`, and a report, if there is a recent one, that shows memory left.
    pub(super) fn has_memory_left(&self, server: &Server, mean: f64) -> bool {
        let typical = self.stages[Stage::Write as usize].tokens_per_attempt;
        let load = self.across_dispatchers(server.memory_tokens_in_flight as f64, mean, typical);
        let memory = server.memory_tokens == 0 || load < MAX_MEMORY_SHARE * server.memory_tokens as f64;
        let report = server.statistics.report.filter(|&(_, at)| at + REPORT_LIFETIME_US > self.now);
        let field = self.settings.memory_field;
        let held = report.and_then(|(report, _)| report.values[field?]).unwrap_or(0.0);
        memory && server.statistics.full_until <= self.now && held < MAX_REPORTED_MEMORY_SHARE
    }

    /// Share of new work that a server's pace earns: all of it up to `SLOW_MULTIPLE` times the median, then
    /// less.
    pub(super) fn share_for_pace(&self, server: &Server, stage: Stage) -> f64 {
        let usual = self.stages[stage as usize].median_us_per_token;
        (SLOW_MULTIPLE * usual
            / server.statistics.us_per_token[stage as usize].value_at(self.now, usual, AVERAGE_HALF_LIFE_US))
        .min(1.0)
    }

    /// Overload: requests queued at this stage for too much of their latency objective, and the queue still
    /// stands. Then new work is refused early, so that what is served is in time, whatever made the pool too
    /// small: a burst, lost, slow or starting servers, forgotten text. Told by own work at the median server
    /// (many own samples), else by what the whole stage queued (`stage_queueing_us`): then refusals grow with
    /// it. Servers that are unresponsive on their own do not count. Harm: a dispatcher that met only buried
    /// servers refuses too much.
    pub(super) fn is_overloaded(&self, class: u32, stage: Stage, draw: f64) -> bool {
        let at = stage as usize;
        let limit = WAIT_SHARE_OF_OBJECTIVE[at] * self.objective_by_priority_us(class);
        let serves =
            |e: &&Server| e.statistics.us_per_token[at].last.is_some() || e.unanswered_tokens[at] > 0.0;
        let prompt = |e: &Server| self.is_healthy(e, class) && !self.is_unresponsive(e, stage);
        let pool = keep_enough(self.servers.values().filter(serves).collect(), prompt);
        let middle = |figure: &dyn Fn(&Server) -> f64| {
            lower_median(pool.iter().map(|e| figure(e)).collect()).unwrap_or(0.0)
        };
        let queued = middle(&|e| self.server_queueing_us(e, at));
        // Without queueing seen, only what stands behind another attempt counts: one long read is no queue.
        let (limit_share, heads) = if queued > QUEUEING_SHARE * limit {
            (WORK_SHARE_WITH_QUEUEING, 0.0)
        } else {
            (WORK_SHARE_WITHOUT_QUEUEING, 1.0)
        };
        let behind = |e: &Server| e.unanswered_tokens[at] * (1.0 - heads / e.unanswered.len().max(1) as f64);
        if middle(&behind) * self.stages[at].unloaded_us_per_token * f64::from(self.settings.dispatcher_count)
            > limit_share * limit
        {
            return true;
        }
        let waiting: f64 = pool.iter().map(|e| e.unanswered_tokens[at]).sum();
        let mean = self.stages[at].tokens_in_flight.value_at(self.now, RATE_TIME_CONSTANT_US);
        let still = shrunk_ratio(waiting, mean, PRIOR_REQUESTS * self.stages[at].tokens_per_attempt).min(1.0);
        let stage_queueing_us = still * self.stage_queueing_us(at);
        draw > (QUEUEING_SHARE * limit / stage_queueing_us).powi(2)
    }

    /// What attempts lately waited there, or the oldest unanswered one has waited by now, beyond the work
    /// itself.
    pub(super) fn server_queueing_us(&self, server: &Server, at: usize) -> f64 {
        server.statistics.queueing_us[at]
            .value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US)
            .max(self.overdue_us(server, at))
    }

    /// How long the oldest unanswered attempt there has waited by now, beyond the work itself.
    pub(super) fn overdue_us(&self, server: &Server, at: usize) -> f64 {
        server.oldest_wait_us(self.now) as f64
            - self.stages[at].unloaded_us_per_token * server.unanswered_tokens[at]
    }

    /// All classes share the queues: a long objective may make them longer than the shortest one wants only
    /// as far as the class's priority weight is above the lowest, or it would push the others out.
    pub(super) fn objective_by_priority_us(&self, class: u32) -> f64 {
        let Some(class) = self.settings.classes.get(&class) else {
            return self.settings.shortest_latency_objective();
        };
        let lowest =
            self.settings.current().map(|class| class.priority_weight).fold(class.priority_weight, f64::min);
        (class.latency_objective as f64).min(
            self.settings.shortest_latency_objective() * class.priority_weight
                / lowest.max(f64::MIN_POSITIVE),
        )
    }

    /// What a stage queues: the mean of what came back or, where that is more, a low quantile of what lately
    /// ended, time-outs above all: a jam does not hide behind what gets through, nor do some unresponsive
    /// servers look like one. One more counts as prompt: few prove nothing. Also catches a pool wholly
    /// unresponsive. Harm: where more than `MAX_LOST_SHARE` meets unresponsive servers, what others could
    /// serve is refused.
    pub(super) fn stage_queueing_us(&self, at: usize) -> f64 {
        let stage = &self.stages[at];
        let is_fresh =
            |sample: &&QueueingSample| ((self.now - sample.ended_at) as f64) < AVERAGE_HALF_LIFE_US;
        let fresh = stage.recent_queueing.iter().filter(is_fresh);
        let queued = fresh.map(|sample| sample.queueing_us).chain([0.0]).collect();
        let low = quantile(queued, 1.0 - MAX_LOST_SHARE).unwrap_or(0.0);
        low.max(stage.queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US))
    }
}
