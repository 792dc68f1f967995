//! The steps of a request, from its arrival to the answer that ends it.

use rand_core::RngCore;

use super::constants::{
    RATE_TIME_CONSTANT_US, READ_OVERHEAD_TOKENS, REMOTE_TIMEOUT_MULTIPLE, SWEEP_INTERVAL_US,
    TIMEOUT_MULTIPLE, TIMEOUT_SHARE_OF_OBJECTIVE, WRITE_OVERHEAD_TOKENS,
};
use super::Router;
use crate::interface::{
    Action, AttemptFinished, DedupGroup, Effect, HeldStateAfter, Micros, Outcome, RequestId, RequestInfo,
    Role, ServerId,
};
use crate::prefix_table::PREFIX_KEYS;
use crate::records::{Attempt, HeldState, PossibleRun, RequestState, Server, Stage};
use crate::statistics::{unit_interval, DecayingRate};

impl Router {
    /// A request has arrived. One with the id of an open request is ignored.
    pub(super) fn on_request(&mut self, info: RequestInfo, out: &mut Vec<Action>) {
        let id = info.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.request_rate.add(1.0, self.now, RATE_TIME_CONSTANT_US);
        let window_us = self.popularity_window_us();
        self.recent_request_rate.add(1.0, self.now, window_us);
        self.gossip.add_credit();
        if let Some(key) = info.shared {
            self.shared_prefixes.get_or_insert_mut(key, DecayingRate::default).add(1.0, self.now, window_us);
            if self.shared_prefixes.len() > PREFIX_KEYS {
                self.shared_prefixes.pop_lru();
            }
        }
        self.requests.insert(id, RequestState::new(info));
        self.advance(id, out);
    }

    /// Takes the next step of a request that has no attempt in flight: sends a held state on to a writer, else the
    /// request to a mixed server that does both stages, else to a reader, else to any server that can do both stages;
    /// if there is none, the request ends.
    pub(super) fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.info.not_after <= self.now
            || self.attempts_exhausted(request)
            || !self.servers.values().any(|server| self.may_execute_at(request, server))
        {
            return self.answer(id, out);
        }
        let &RequestInfo { not_after, class, session, .. } = &request.info;
        if let Some(HeldState { reader, since }) = request.held_state {
            match self.select_writer(id, reader) {
                Some(writer) if self.now < since + self.settings.max_hold_time => {
                    return self.send(id, writer, Stage::Write, out);
                }
                None if self.can_wait_for_sweep(since, not_after) => {
                    self.awaiting_writer.insert(id);
                    return;
                }
                _ => return self.answer(id, out),
            }
        }
        let draw = unit_interval(self.rng.next_u64());
        let is_overloaded =
            self.is_overloaded(class, Stage::Read, draw) || self.is_overloaded(class, Stage::Write, draw);
        if (is_overloaded || self.is_in_mixed_share(class, session))
            && !self.is_overloaded(class, Stage::ReadAndWrite, draw)
        {
            if let Some(mixed) = self.select_server(id, Role::Mixed, true) {
                return self.send(id, mixed, Stage::ReadAndWrite, out);
            }
        }
        if is_overloaded {
            return self.answer(id, out);
        }
        if let Some(reader) = self.select_server(id, Role::Reader, false) {
            return self.send(id, reader, Stage::Read, out);
        }
        let fallback_roles =
            [Role::Mixed, Role::Writer].into_iter().take(1 + usize::from(self.settings.writers_can_read));
        for role in fallback_roles {
            if let Some(server) = self.select_server(id, role, false) {
                return self.send(id, server, Stage::ReadAndWrite, out);
            }
        }
        self.answer(id, out);
    }

    /// Ends a request without a stream: it is rejected if a retry by the client is harmless and its deadline has not
    /// passed, else failed. A state that is held for it is released.
    pub(super) fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = self.settings.classes.get(&request.info.class);
        let is_retry_safe = request.may_have_run.is_none()
            || class.is_none_or(|class| match class.effect {
                Effect::Idempotent => true,
                Effect::Deduplicated => class.dedup_group == DedupGroup::All,
                Effect::AtMostOnce => false,
            });
        if is_retry_safe && request.info.not_after > self.now {
            let spread = self.rng.next_u64() % (self.settings.max_retry_after / 2).max(1);
            out.push(Action::Reject { id, retry_in: self.settings.max_retry_after / 2 + spread });
        } else {
            out.push(Action::Fail(id));
        }
        request.is_completed = true;
        self.close(id, out);
    }

    /// Removes a request that is completed and has no attempt in flight; a state that is held for it is released.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.awaiting_writer.remove(&id);
        if self.requests.get(&id).is_some_and(|request| request.is_completed && request.in_flight.is_none()) {
            let request = self.requests.remove(&id);
            if request.is_some_and(|request| request.held_state.is_some()) {
                out.push(Action::ReleaseHeldState(id));
            }
        }
    }

    /// The first token of an answer has come, `elapsed` us after the attempt was sent. From then on the answer
    /// streams and the reader no longer holds the state.
    pub(super) fn on_first_token(&mut self, id: RequestId, number: u32, elapsed: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) =
            request.in_flight.as_mut().filter(|out| out.number == number && !out.is_streaming)
        else {
            return;
        };
        attempt.is_streaming = true;
        request.held_state = None;
        let attempt = attempt.clone();
        self.record_arrived(id, &attempt);
        self.record_answered(id, &attempt);
        self.record_success(&attempt, elapsed);
    }

    /// The last byte of an attempt has been written.
    pub(super) fn on_attempt_written(&mut self, id: RequestId) {
        let attempt = self.requests.get(&id).and_then(|request| request.in_flight.clone());
        if let Some(attempt) = attempt {
            self.record_arrived(id, &attempt);
        }
    }

    /// An attempt has arrived at its server.
    fn record_arrived(&mut self, id: RequestId, attempt: &Attempt) {
        let window = self.settings.overload_window;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.slow_start_budget.record_arrived(id, self.now, window);
        }
    }

    /// An attempt has ended: updates the held state and the statistics, then takes the request's next step or removes
    /// it.
    pub(super) fn on_attempt_finished(&mut self, finished: AttemptFinished, out: &mut Vec<Action>) {
        let AttemptFinished { id, outcome, .. } = finished;
        if let (Some(server), Some(report)) = (self.servers.get_mut(&finished.server), finished.report) {
            server.statistics.report = Some((report, self.now));
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.take_if(|out| out.number == finished.attempt) else { return };
        let prompt_tokens = request.info.prompt_tokens;
        request.is_completed |= finished.completes_request;
        match (outcome, finished.held_state) {
            (Outcome::Read, _) => {
                request.held_state = Some(HeldState { reader: attempt.server, since: self.now });
            }
            // The state may still be held: a writer also reports this if it only cannot reach the reader.
            (Outcome::NoState, _) if request.held_state.take().is_some() => {
                out.push(Action::ReleaseHeldState(id));
            }
            // The hold time continues to run while nothing shows that a server received the attempt.
            (_, HeldStateAfter::HoldTimeContinues) => {}
            (_, HeldStateAfter::Released) => request.held_state = None,
            (_, HeldStateAfter::HoldTimeRestarts) => {
                request.held_state = request.held_state.map(|held| HeldState { since: self.now, ..held });
            }
        }
        if !matches!(outcome, Outcome::Read | Outcome::Served) {
            request.failed_at.push(attempt.server);
        }
        if outcome.may_have_run() && attempt.stage != Stage::Read && request.may_have_run.is_none() {
            request.may_have_run = Some(PossibleRun { server: attempt.server, sent_at: attempt.sent_at });
        }
        if matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            if let Some(server) = self.servers.get_mut(&attempt.server) {
                server.slow_start_budget.record_not_arrived(id);
            }
        } else {
            self.record_arrived(id, &attempt);
        }
        self.record_end(attempt, &finished, prompt_tokens);
        if self.requests.get(&id).is_some_and(|request| request.is_completed) {
            self.close(id, out);
        } else {
            self.advance(id, out);
        }
    }

    /// The client has disconnected: an attempt in flight that does not stream yet is cancelled where the settings
    /// allow it. The request is removed when that attempt ends, and a state that it may have read is released then.
    pub(super) fn on_disconnect(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_completed = true;
        if let Some(attempt) = request.in_flight.as_ref().filter(|out| !out.is_streaming) {
            if self.settings.may_cancel {
                out.push(Action::CancelAttempt { id, attempt: attempt.number });
            }
        }
        self.close(id, out);
    }

    /// Sends a request to a server as a new attempt. If the rules do not permit that, the request ends instead.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, stage: Stage, out: &mut Vec<Action>) {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else { return };
        if !self.is_permitted(request, server) || self.attempts_exhausted(request) {
            return self.answer(id, out);
        }
        let info = &request.info;
        let held = server.prefixes.longest_match(info, self.now);
        let unread_tokens = info.prompt_tokens - held.map_or(0, |prefix| prefix.tokens);
        let answer = self.answer_tokens(info);
        let (tokens, work_tokens, server_tokens) = match stage {
            Stage::Read => (unread_tokens, unread_tokens as f64 + READ_OVERHEAD_TOKENS, info.prompt_tokens),
            Stage::Write => {
                (info.prompt_tokens + answer, info.prompt_tokens as f64 + WRITE_OVERHEAD_TOKENS, answer)
            }
            Stage::ReadAndWrite => (
                info.prompt_tokens + answer,
                unread_tokens as f64 + READ_OVERHEAD_TOKENS,
                info.prompt_tokens + answer,
            ),
        };
        let reader = request.held_state.and_then(|held| self.servers.get(&held.reader));
        let crosses_cells = reader.is_some_and(|reader| reader.entry.cell != server.entry.cell);
        let latency_objective = self
            .settings
            .classes
            .get(&info.class)
            .map_or(0.0, |class| class.latency_objective_for(info.prompt_tokens));
        let attempt_timeout =
            self.attempt_timeout(server, stage, work_tokens, request.failed_at.len(), latency_objective);
        let attempt_timeout = (attempt_timeout * if crosses_cells { REMOTE_TIMEOUT_MULTIPLE } else { 1 })
            .min(info.not_after - self.now)
            .max(1);
        let telling_wait_us = self.telling_wait(info.class, latency_objective);
        let class_work = &mut self.stages[stage as usize].class_work;
        let work = class_work.relative(info.class);
        class_work.record(info.class, server_tokens as f64);
        let expected_queueing = self.gossip.estimated_queueing_us(to, self.now);
        if stage != Stage::Write {
            self.gossip.record_sent(to, work_tokens * self.stages[stage as usize].unloaded_us_per_token);
        }
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        server.slow_start_budget.record_sent(id, work);
        server.unanswered.insert((self.now, id));
        server.unanswered_tokens[stage as usize] += work_tokens;
        server.memory_tokens_in_flight += tokens;
        if stage != Stage::Write {
            let _ = server.prefixes.record(&request.info, self.now);
        }
        let class = request.info.class;
        let attempt = Attempt {
            number: request.attempts,
            server: to,
            stage,
            sent_at: self.now,
            timeout_us: attempt_timeout,
            telling_wait_us,
            memory_tokens: tokens,
            work_tokens,
            expected_queueing_us: expected_queueing,
            class,
            expected_prefix: held.filter(|_| stage != Stage::Write),
            is_streaming: false,
            crosses_cells,
        };
        request.attempts += 1;
        request.in_flight = Some(attempt);
        self.awaiting_writer.remove(&id);
        out.push(Action::Assign { id, server: to, attempt_timeout });
    }

    /// The attempt timeout (us): a multiple of the expected time of the attempt, including the work queued ahead of
    /// it. It doubles with each failure of the request, so that an overload of the whole pool makes requests wait
    /// longer instead of causing ever more retries.
    pub(super) fn attempt_timeout(
        &self,
        server: &Server,
        stage: Stage,
        work_tokens: f64,
        failures: usize,
        latency_objective: f64,
    ) -> Micros {
        let median_pace = self.stages[stage as usize].median_us_per_token;
        let reported_us = self.gossip.estimated_queueing_us(server.entry.server, self.now);
        let queued_us = reported_us.max(median_pace * server.unanswered_tokens[stage as usize]);
        let min_timeout =
            TIMEOUT_SHARE_OF_OBJECTIVE * latency_objective.max(self.settings.shortest_latency_objective());
        let attempt_timeout = (TIMEOUT_MULTIPLE * (median_pace * work_tokens + queued_us)).max(min_timeout);
        (attempt_timeout * f64::from(1u32 << failures.min(6))) as Micros
    }

    /// The least time without an answer that says something about a server (us): half of what the latency objectives allow,
    /// at most half of what clients of the class wait.
    fn telling_wait(&self, class: u32, latency_objective: f64) -> Micros {
        let objective = latency_objective.max(self.settings.shortest_latency_objective());
        let client_timeout =
            self.settings.classes.get(&class).map_or(f64::MAX, |class| class.default_timeout as f64);
        (objective.min(client_timeout) / 2.0) as Micros
    }

    /// Whether a state that has been held since `since` can wait for a writer until the next sweep, with a margin
    /// before its deadline and the end of its hold time.
    pub(super) fn can_wait_for_sweep(&self, since: Micros, not_after: Micros) -> bool {
        let next_sweep = self.now + SWEEP_INTERVAL_US + 4 * self.settings.min_batch_interval + 10_000;
        next_sweep < not_after.min(since + self.settings.max_hold_time)
    }

    /// Expected length of an answer in tokens: by the client's hint, else half of the maximum that it allows.
    pub(super) fn answer_tokens(&self, info: &RequestInfo) -> u64 {
        let token_interval_objective =
            self.settings.classes.get(&info.class).map_or(0, |class| class.token_interval_objective);
        match info.hint {
            Some(hint) if token_interval_objective > 0 => hint / token_interval_objective,
            _ => info.max_tokens / 2,
        }
    }
}
