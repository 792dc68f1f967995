//! What is learnt from attempts that are answered or end.

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
    /// An attempt has ended: gives its memory back and judges the server, unless its first token has done that.
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
            self.record_success(&attempt, finished.taken);
        } else {
            self.record_failure(&attempt, finished.outcome);
        }
    }

    pub(super) fn record_answered(&mut self, id: RequestId, attempt: &Attempt) {
        let at = attempt.stage as usize;
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        if server.unanswered.remove(&(attempt.sent_at, id)) {
            server.unanswered_tokens[at] = (server.unanswered_tokens[at] - attempt.work_tokens).max(0.0);
            let taken = (self.now - attempt.sent_at) as f64 / 1e6;
            let stage = &mut self.stages[at];
            stage.tokens_in_flight.add(attempt.work_tokens * taken, self.now, RATE_TIME_CONSTANT_US);
            stage.tokens_per_attempt += SAMPLE_WEIGHT * (attempt.work_tokens - stage.tokens_per_attempt);
        }
    }

    pub(super) fn record_success(&mut self, attempt: &Attempt, taken: Micros) {
        let at = attempt.stage as usize;
        let pace = taken as f64 / attempt.work_tokens;
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        server.statistics.outlier_states.remove(&attempt.class);
        server.statistics.served_per_second.add(1.0, self.now, RATE_TIME_CONSTANT_US);
        let usual = self.stages[at].median_us_per_token;
        if attempt.crosses_cells {
            return self.remote_fetch_us_per_token.add(
                pace,
                self.now,
                usual,
                AVERAGE_HALF_LIFE_US,
                SAMPLE_WEIGHT,
            );
        }
        let best = &mut self.stages[at].unloaded_us_per_token;
        *best += (pace - *best) * if pace < *best { UNLOADED_FALL_WEIGHT } else { UNLOADED_RISE_WEIGHT };
        let queued = (taken as f64 - *best * attempt.work_tokens).max(0.0);
        server.statistics.us_per_token[at].add(pace, self.now, usual, AVERAGE_HALF_LIFE_US, SAMPLE_WEIGHT);
        server.statistics.queueing_us[at].add_weighted_by_age(
            queued,
            self.now,
            AVERAGE_HALF_LIFE_US,
            SAMPLE_WEIGHT,
        );
        if attempt.stage != Stage::Write {
            self.gossip.record_queueing(attempt.server, queued, attempt.expected_queueing_us);
        }
        self.record_cell_queueing(attempt, queued, false);
        self.record_stage_queueing(
            at,
            queued.min(MAX_QUEUEING_OBJECTIVES * self.settings.shortest_latency_objective()),
        );
        self.record_recent(at, queued);
    }

    /// What attempts of a stage queued that came back, over the last second or the last few samples,
    /// whichever is longer.
    pub(super) fn record_stage_queueing(&mut self, at: usize, queued: f64) {
        let stage_queueing_us = &mut self.stages[at].queueing_us;
        let weight =
            (1.0 - (-stage_queueing_us.age_us(self.now) / STAGE_QUEUEING_TIME_US).exp()).min(SAMPLE_WEIGHT);
        let falls = queued < stage_queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
        let weight = weight * if falls { STAGE_QUEUEING_FALL } else { 1.0 };
        stage_queueing_us.add(queued, self.now, 0.0, AVERAGE_HALF_LIFE_US, weight);
    }

    pub(super) fn record_recent(&mut self, at: usize, queued: f64) {
        self.stages[at].record_recent(self.now, queued, MAX_RECENT_SAMPLES);
    }

    /// What a state queued at a writer of its reader's cell, recorded for the cell. One that was lost there
    /// counts as twice what came back at most: where others are prompt, its writer is unresponsive, not
    /// crowded.
    pub(super) fn record_cell_queueing(&mut self, attempt: &Attempt, queued: f64, lost: bool) {
        let near = attempt.stage == Stage::Write && !attempt.crosses_cells;
        let writer = self.servers.get(&attempt.server).filter(|_| near);
        let Some(cell) = writer.and_then(|writer| self.cells.get_mut(&writer.entry.cell)) else { return };
        let max_us = if lost {
            SLOW_MULTIPLE * cell.queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US)
        } else {
            queued
        };
        cell.queueing_us.add_weighted_by_age(
            queued.min(max_us),
            self.now,
            AVERAGE_HALF_LIFE_US,
            SAMPLE_WEIGHT,
        );
    }

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
        // This dispatcher comes to each server of the pool about once in that time: a shorter ejection would
        // be none.
        let turn =
            self.count(role) * 1e6 / self.request_rate.value_at(self.now, RATE_TIME_CONSTANT_US).max(1e-3);
        let draw = self.rng.next_u64();
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            let standing = server.statistics.outlier_states.entry(attempt.class).or_default();
            standing.record_failure(self.now, BASE_EJECTION_US.max(turn as Micros), draw);
        }
    }
}
