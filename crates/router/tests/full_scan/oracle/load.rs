//! Load of a single server, and overload of a stage.

use super::constants::{
    AVERAGE_HALF_LIFE_US, CAPACITY_SHARE_OF_OBJECTIVE, MAX_LOST_SHARE, MAX_MEMORY_SHARE,
    MAX_REPORTED_MEMORY_SHARE, PRIOR_REQUESTS, QUEUEING_SHARE, RATE_TIME_CONSTANT_US, REPORT_LIFETIME_US,
    SLOW_MULTIPLE, WAIT_SHARE_OF_OBJECTIVE, WORK_SHARE_WITHOUT_QUEUEING, WORK_SHARE_WITH_QUEUEING,
};
use super::eligibility::filter_pool;
use super::Router;
use crate::interface::Role;
use crate::records::stage::QueueingSample;
use crate::records::{Server, Stage};
use crate::statistics::{lower_bound_share, lower_median, quantile, shrunk_ratio};

impl Router {
    /// Whether a server has all the work of a stage that it should get, or has just rejected a request as full.
    ///
    /// The work is measured in time and not in requests, so that one very long prompt counts as much as many short
    /// ones. The unloaded pace is used because the median pace already includes queueing: by the median, a busy pool
    /// would pass on requests that it should keep. `reread_us` is the time to read the server's cached part of the
    /// prompt again elsewhere.
    pub(super) fn is_at_capacity(&self, server: &Server, stage: Stage, reread_us: f64) -> bool {
        let is_full = server.statistics.full_until > self.now;
        if is_full || server.unanswered.is_empty() {
            return is_full;
        }
        let stage_statistics = &self.stages[stage as usize];
        let mean = stage_statistics.tokens_in_flight.value_at(self.now, RATE_TIME_CONSTANT_US)
            / self.count(server.role).max(1.0);
        let load = self.estimate_across_dispatchers(
            server.unanswered_tokens[stage as usize],
            mean,
            stage_statistics.tokens_per_attempt,
        );
        let max_us = CAPACITY_SHARE_OF_OBJECTIVE * self.settings.shortest_latency_objective() + reread_us;
        self.is_unresponsive(server, stage) || load * stage_statistics.unloaded_us_per_token > max_us
    }

    /// Estimates the work that all dispatchers together have at a server: this dispatcher's own work, and for each of
    /// the others the pool mean, scaled by how far the own work is above or below it. With many own samples the
    /// estimate approaches the own work times the number of dispatchers; with few it stays near the mean, so that a
    /// single own request does not make a server look full. `per_request` is the work of one request.
    pub(super) fn estimate_across_dispatchers(&self, own: f64, mean: f64, per_request: f64) -> f64 {
        let others = f64::from(self.settings.dispatcher_count - 1) * mean;
        own + others * shrunk_ratio(own, mean, PRIOR_REQUESTS * per_request)
    }

    /// Whether the oldest unanswered attempt at a server has waited for half of its attempt timeout: detected before
    /// the timeout itself.
    pub(super) fn is_unresponsive(&self, server: &Server, stage: Stage) -> bool {
        server.oldest_wait_us(self.now) > self.attempt_timeout(server, stage, 0.0, 0, 0.0) / 2
    }

    /// Mean memory that attempts of this dispatcher take at a server of a role, in tokens, reduced to a lower bound
    /// for chance: few requests say little about what other dispatchers hold.
    pub(super) fn mean_memory_tokens(&self, role: Role) -> f64 {
        let tokens: u64 =
            self.servers.values().filter(|s| s.role == role).map(|s| s.memory_tokens_in_flight).sum();
        let requests = tokens as f64 / self.stages[Stage::Write as usize].tokens_per_attempt;
        lower_bound_share(requests) * tokens as f64 / self.count(role).max(1.0)
    }

    /// Whether a server has memory for an answer: the estimated tokens of all dispatchers fit its memory, it has not
    /// recently rejected an attempt as full, and its load report, if there is a recent one, shows memory left. `mean`
    /// is this dispatcher's mean memory per server of the role, in tokens.
    pub(super) fn has_memory_left(&self, server: &Server, mean: f64) -> bool {
        let per_request = self.stages[Stage::Write as usize].tokens_per_attempt;
        let load = self.estimate_across_dispatchers(server.memory_tokens_in_flight as f64, mean, per_request);
        let fits_memory = server.memory_tokens == 0 || load < MAX_MEMORY_SHARE * server.memory_tokens as f64;
        let report = server.statistics.report.filter(|&(_, at)| at + REPORT_LIFETIME_US > self.now);
        let field = self.settings.memory_field;
        let reported_share = report.and_then(|(report, _)| report.values[field?]).unwrap_or(0.0);
        fits_memory && server.statistics.full_until <= self.now && reported_share < MAX_REPORTED_MEMORY_SHARE
    }

    /// The share of new work that a server's pace earns: 1 up to `SLOW_MULTIPLE` times the median time per token, then
    /// falling in inverse proportion.
    pub(super) fn share_for_pace(&self, server: &Server, stage: Stage) -> f64 {
        let median_pace = self.stages[stage as usize].median_us_per_token;
        (SLOW_MULTIPLE * median_pace
            / server.statistics.us_per_token[stage as usize].value_at(
                self.now,
                median_pace,
                AVERAGE_HALF_LIFE_US,
            ))
        .min(1.0)
    }

    /// Whether requests queue at a stage for too large a share of their latency objective, and the queue is still
    /// there. New work is rejected then, so that admitted requests are served in time, whatever made the pool too
    /// small: a burst of requests, servers that are lost, slow or starting, or evicted prefixes.
    ///
    /// The evidence is this dispatcher's work at the median server, if there are many own samples, else the queueing
    /// of the whole stage (`stage_queueing_us`). In the second case the share of rejected requests grows with the
    /// queueing; `draw` is a random number in (0, 1]. Single unresponsive servers do not count. Known drawback: a
    /// dispatcher whose requests reached only overloaded servers rejects too much.
    pub(super) fn is_overloaded(&self, class: u32, stage: Stage, draw: f64) -> bool {
        let at = stage as usize;
        let limit_us = WAIT_SHARE_OF_OBJECTIVE[at] * self.objective_by_priority_us(class);
        let serves =
            |s: &&Server| s.statistics.us_per_token[at].last.is_some() || s.unanswered_tokens[at] > 0.0;
        let answers_in_time = |s: &Server| self.is_healthy(s, class) && !self.is_unresponsive(s, stage);
        let pool = filter_pool(self.servers.values().filter(serves).collect(), answers_in_time);
        let median = |value: &dyn Fn(&Server) -> f64| {
            lower_median(pool.iter().map(|s| value(s)).collect()).unwrap_or(0.0)
        };
        let queueing = median(&|s| self.server_queueing_us(s, at));
        // If no queueing is seen, only the work behind another attempt counts: a single long read is not a queue.
        let (work_share, attempts_ahead) = if queueing > QUEUEING_SHARE * limit_us {
            (WORK_SHARE_WITH_QUEUEING, 0.0)
        } else {
            (WORK_SHARE_WITHOUT_QUEUEING, 1.0)
        };
        let behind_tokens =
            |s: &Server| s.unanswered_tokens[at] * (1.0 - attempts_ahead / s.unanswered.len().max(1) as f64);
        if median(&behind_tokens)
            * self.stages[at].unloaded_us_per_token
            * f64::from(self.settings.dispatcher_count)
            > work_share * limit_us
        {
            return true;
        }
        let waiting_tokens: f64 = pool.iter().map(|s| s.unanswered_tokens[at]).sum();
        let mean = self.stages[at].tokens_in_flight.value_at(self.now, RATE_TIME_CONSTANT_US);
        let remaining_share =
            shrunk_ratio(waiting_tokens, mean, PRIOR_REQUESTS * self.stages[at].tokens_per_attempt).min(1.0);
        let stage_queueing_us = remaining_share * self.stage_queueing_us(at);
        draw > (QUEUEING_SHARE * limit_us / stage_queueing_us).powi(2)
    }

    /// Recent average queueing of attempts at a server or, if that is more, how long its oldest unanswered attempt is
    /// overdue (us). `at` is the index of the stage.
    pub(super) fn server_queueing_us(&self, server: &Server, at: usize) -> f64 {
        server.statistics.queueing_us[at]
            .value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US)
            .max(self.overdue_us(server, at))
    }

    /// How long the oldest unanswered attempt at a server has waited beyond the time that the unanswered work of the
    /// stage takes at the unloaded pace (us). Negative while that time has not passed.
    pub(super) fn overdue_us(&self, server: &Server, at: usize) -> f64 {
        server.oldest_wait_us(self.now) as f64
            - self.stages[at].unloaded_us_per_token * server.unanswered_tokens[at]
    }

    /// The latency objective by which a class is judged (us). All classes share the queues, so a class with a long
    /// objective may let them grow beyond the shortest objective only in proportion to its priority weight over the
    /// lowest one. Otherwise it would crowd out the classes with short objectives.
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

    /// Queueing of a stage (us): the average over attempts that came back or, if that is more, a low quantile of
    /// recent ends, which include timeouts.
    ///
    /// The quantile shows an overload even if few attempts still come back, and is not moved by a few unresponsive
    /// servers. One extra sample without queueing is added, since few samples prove nothing. A pool that is
    /// unresponsive as a whole is detected as well. Known drawback: if a share above `MAX_LOST_SHARE` reaches
    /// unresponsive servers, requests are rejected that the other servers could take.
    pub(super) fn stage_queueing_us(&self, at: usize) -> f64 {
        let stage = &self.stages[at];
        let is_fresh =
            |sample: &&QueueingSample| ((self.now - sample.ended_at) as f64) < AVERAGE_HALF_LIFE_US;
        let fresh = stage.recent_queueing.iter().filter(is_fresh);
        let queueing = fresh.map(|sample| sample.queueing_us).chain([0.0]).collect();
        let low_quantile_us = quantile(queueing, 1.0 - MAX_LOST_SHARE).unwrap_or(0.0);
        low_quantile_us.max(stage.queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US))
    }
}
