//! Updates of the statistics from attempts that are answered or end.

use rand_core::RngCore;

use super::constants::{
    AVERAGE_HALF_LIFE_US, BASE_EJECTION_US, FULL_PAUSE_US, MAX_QUEUEING_OBJECTIVES, MAX_RECENT_SAMPLES,
    MIN_FOUND_SHARE, RATE_TIME_CONSTANT_US, READ_OVERHEAD_TOKENS, SAMPLE_WEIGHT, SLOW_MULTIPLE,
    STAGE_QUEUEING_FALL, STAGE_QUEUEING_TIME_US, UNLOADED_FALL_WEIGHT, UNLOADED_RISE_WEIGHT,
};
use super::Router;
use crate::interface::{AttemptFinished, Micros, Outcome, RequestId};
use crate::records::{Attempt, Stage};

impl Router {
    /// Records the end of an attempt: frees its memory at the server and, unless its first token has done so already,
    /// updates the statistics. `prompt_tokens` is the length of the request's prompt.
    pub(super) fn record_end(
        &mut self,
        mut attempt: Attempt,
        finished: &AttemptFinished,
        prompt_tokens: u64,
    ) {
        let has_served = matches!(finished.outcome, Outcome::Read | Outcome::Served);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.memory_tokens_in_flight =
                server.memory_tokens_in_flight.saturating_sub(attempt.memory_tokens);
            if let Some(expected) = attempt.expected_prefix.filter(|_| has_served) {
                let found = finished.cached_tokens as f64 >= MIN_FOUND_SHARE * expected.tokens as f64;
                server.prefixes.record_lookup(found, expected, attempt.sent_at);
            }
        }
        if attempt.is_streaming {
            return;
        }
        self.record_answered(finished.id, &attempt);
        if finished.outcome == Outcome::Read {
            let unread_tokens = prompt_tokens.saturating_sub(finished.cached_tokens);
            attempt.work_tokens = unread_tokens as f64 + READ_OVERHEAD_TOKENS;
        }
        if has_served {
            self.record_success(&attempt, finished.elapsed);
            return;
        }
        // An attempt for which its client had hardly any time left is no evidence against its server, unless the server
        // failed it before that time was over.
        let ran_out_of_time = match finished.outcome {
            Outcome::Timeout | Outcome::Full => true,
            Outcome::ConnectFailed | Outcome::Unacknowledged => finished.elapsed >= attempt.timeout_us,
            _ => false,
        };
        if !(ran_out_of_time && attempt.timeout_us < attempt.telling_wait_us) {
            self.record_failure(&attempt, finished.outcome);
        }
    }

    /// Removes an attempt from the server's unanswered work, and adds it to the averages of its stage.
    pub(super) fn record_answered(&mut self, id: RequestId, attempt: &Attempt) {
        let stage_index = attempt.stage as usize;
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        if server.unanswered.remove(&(attempt.sent_at, id)) {
            server.unanswered_tokens[stage_index] =
                (server.unanswered_tokens[stage_index] - attempt.work_tokens).max(0.0);
            let taken = (self.now - attempt.sent_at) as f64 / 1e6;
            let stage = &mut self.stages[stage_index];
            stage.tokens_in_flight.add(attempt.work_tokens * taken, self.now, RATE_TIME_CONSTANT_US);
            stage.tokens_per_attempt += SAMPLE_WEIGHT * (attempt.work_tokens - stage.tokens_per_attempt);
        }
    }

    /// Records a finished read or a first token that came `elapsed` us after the attempt was sent: updates the rate,
    /// the pace and the queueing of the server, and the queueing of its cell and its stage. Of a fetch from another
    /// cell, the pace counts for remote fetches instead, and the queueing is not recorded.
    pub(super) fn record_success(&mut self, attempt: &Attempt, elapsed: Micros) {
        let stage_index = attempt.stage as usize;
        let pace = elapsed as f64 / attempt.work_tokens;
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        server.statistics.outlier_states.remove(&attempt.class);
        let work = self.stages[stage_index].class_work.relative(attempt.class);
        server.statistics.served_per_second.add(work, self.now, RATE_TIME_CONSTANT_US);
        let median_pace = self.stages[stage_index].median_us_per_token;
        if attempt.crosses_cells {
            return self.remote_fetch_us_per_token.add(
                pace,
                self.now,
                median_pace,
                AVERAGE_HALF_LIFE_US,
                SAMPLE_WEIGHT,
            );
        }
        let unloaded_pace = &mut self.stages[stage_index].unloaded_us_per_token;
        *unloaded_pace += (pace - *unloaded_pace)
            * if pace < *unloaded_pace { UNLOADED_FALL_WEIGHT } else { UNLOADED_RISE_WEIGHT };
        let queued_us = (elapsed as f64 - *unloaded_pace * attempt.work_tokens).max(0.0);
        server.statistics.us_per_token[stage_index].add(
            pace,
            self.now,
            median_pace,
            AVERAGE_HALF_LIFE_US,
            SAMPLE_WEIGHT,
        );
        server.statistics.queueing_us[stage_index].add_weighted_by_age(
            queued_us,
            self.now,
            AVERAGE_HALF_LIFE_US,
            SAMPLE_WEIGHT,
        );
        if attempt.stage != Stage::Write {
            self.gossip.record_queueing(attempt.server, queued_us, attempt.expected_queueing_us);
        }
        self.record_cell_queueing(attempt, queued_us, false);
        self.record_stage_queueing(
            stage_index,
            queued_us.min(MAX_QUEUEING_OBJECTIVES * self.settings.shortest_latency_objective()),
        );
        self.record_recent(stage_index, queued_us);
    }

    /// Adds the queueing of an attempt that came back (us) to its stage's average, which covers the last second or the
    /// last few samples, whichever is longer.
    pub(super) fn record_stage_queueing(&mut self, stage_index: usize, queued_us: f64) {
        let stage_queueing_us = &mut self.stages[stage_index].queueing_us;
        let weight = (1.0 - libm::exp(-stage_queueing_us.age_us(self.now) / STAGE_QUEUEING_TIME_US))
            .min(SAMPLE_WEIGHT);
        let falls = queued_us < stage_queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
        let weight = weight * if falls { STAGE_QUEUEING_FALL } else { 1.0 };
        stage_queueing_us.add(queued_us, self.now, 0.0, AVERAGE_HALF_LIFE_US, weight);
    }

    /// Adds the queueing of an attempt (us) to the recent samples of its stage.
    pub(super) fn record_recent(&mut self, stage_index: usize, queued_us: f64) {
        self.stages[stage_index].record_recent(self.now, queued_us, MAX_RECENT_SAMPLES);
    }

    /// Adds the queueing of a state (us) at a writer in its reader's cell to the cell's average. An attempt that timed
    /// out counts as at most twice that average: if the other writers of the cell are fast, its writer is unresponsive
    /// and the cell not congested.
    pub(super) fn record_cell_queueing(&mut self, attempt: &Attempt, queued_us: f64, timed_out: bool) {
        let is_local = attempt.stage == Stage::Write && !attempt.crosses_cells;
        let writer = self.servers.get(&attempt.server).filter(|_| is_local);
        let Some(cell) = writer.and_then(|writer| self.cells.get_mut(&writer.entry.cell)) else { return };
        let max_us = if timed_out {
            SLOW_MULTIPLE * cell.queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US)
        } else {
            queued_us
        };
        cell.queueing_us.add_weighted_by_age(
            queued_us.min(max_us),
            self.now,
            AVERAGE_HALF_LIFE_US,
            SAMPLE_WEIGHT,
        );
    }

    /// Records a failed attempt. A server that rejected it as full gets no new work for a while; most other failures
    /// count towards the server's ejection for the request's class.
    pub(super) fn record_failure(&mut self, attempt: &Attempt, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        match outcome {
            Outcome::Full => {
                server.statistics.full_until = self.now + FULL_PAUSE_US;
                return self.record_stage_queueing(
                    attempt.stage as usize,
                    self.settings.shortest_latency_objective(),
                );
            }
            Outcome::NoState | Outcome::Cancelled | Outcome::NotSent => return,
            _ => {}
        }
        let role = server.role;
        if outcome == Outcome::Timeout {
            self.record_cell_queueing(attempt, (self.now - attempt.sent_at) as f64, true);
            self.record_recent(
                attempt.stage as usize,
                MAX_QUEUEING_OBJECTIVES * self.settings.shortest_latency_objective(),
            );
        }
        // About the interval at which this dispatcher sends to each server of the pool. A shorter ejection would end
        // before the server's next turn and have no effect.
        let turn_interval_us =
            self.count(role) * 1e6 / self.request_rate.value_at(self.now, RATE_TIME_CONSTANT_US).max(1e-3);
        let draw = self.rng.next_u64();
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            let outlier_state = server.statistics.outlier_states.entry(attempt.class).or_default();
            outlier_state.record_failure(self.now, BASE_EJECTION_US.max(turn_interval_us as Micros), draw);
        }
    }
}
