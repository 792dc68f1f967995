//! The open requests. The table enforces the rules on sends and answers: one final answer per request, and no
//! send after its client has left or its stream has started.
//!
//! The table applies what happens to attempts and clients, and the router's actions, and adds events and
//! effects to the [`Step`]. It makes no routing decisions: the router chooses servers and decides on retries.

mod held;

use std::collections::BTreeMap;

use crate::edge::core::endpoints::Endpoints;
use crate::edge::core::held_statistics::HeldStatistics;
use crate::edge::core::history_reports::{HistoryReports, ReportReason};
use crate::edge::core::messages::{AttemptResult, ConnectionKind, Effect};
use crate::edge::core::request::{ClientState, InFlight, Request};
use crate::edge::core::request_history::Transition;
use crate::edge::core::step::{Step, Timer};
use crate::edge::guard::{Guard, Rule, SendCheck};
use crate::edge::transitions::Transitions;
use crate::interface::{
    AttemptFinished, Class, Effect as ClassEffect, Event, HeldStateAfter, Micros, Outcome, RequestId,
    RequestInfo, ServerId, Settings,
};
use dewladder_router::EndReason;

/// A final answer counts as late when it is given more than this after the client's deadline (us). The
/// platform counts an answer that is more than 500 ms late as lost.
const LATE_ANSWER_TOLERANCE: Micros = 500_000;

/// What the guard checks a send against, apart from the state of the request itself.
#[derive(Clone, Copy, Debug)]
pub struct SendRules<'a> {
    /// The classes by number, including retired ones that open requests still use.
    pub classes: &'a BTreeMap<u32, Class>,
    /// The servers of the list.
    pub endpoints: &'a Endpoints,
}

/// The open requests. See the [module documentation](self).
#[derive(Debug)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// How long servers may hold state for a request before a writer takes it or it is released (us).
    max_hold_time: Micros,
    /// Shortest time between two batches of events at a server (us).
    min_batch_interval: Micros,
    guard: Guard,
    transitions: Transitions,
    held_statistics: HeldStatistics,
    reports: HistoryReports,
    /// Number of the most recently requested release; 0 before the first.
    last_release_number: u64,
}

impl RequestTable {
    /// An empty table with the limits of these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            requests: BTreeMap::new(),
            max_hold_time: settings.max_hold_time,
            min_batch_interval: settings.min_batch_interval,
            guard: Guard::default(),
            transitions: Transitions::default(),
            held_statistics: HeldStatistics::default(),
            reports: HistoryReports::default(),
            last_release_number: 0,
        }
    }

    /// Takes the limits of new settings; deadlines that are already running stay.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.max_hold_time = settings.max_hold_time;
        self.min_batch_interval = settings.min_batch_interval;
    }

    /// Number of open requests: the client is waiting or its stream is being relayed, or an attempt is in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request with this id is open.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Whether an open request is of this class.
    #[must_use]
    pub fn uses_class(&self, class: u32) -> bool {
        self.requests.values().any(|request| request.class == class)
    }

    /// The guard, with its counts of refused sends and rule violations.
    #[must_use]
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Counts of attempts by outcome and of requests answered without a stream, by reason.
    #[must_use]
    pub fn transitions(&self) -> &Transitions {
        &self.transitions
    }

    /// The open requests, ordered by id.
    pub fn open_requests(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// Number of request histories that the rate limit kept out of the log since the last call.
    pub fn take_reports_left_out(&mut self) -> u64 {
        self.reports.take_left_out()
    }

    /// Counts a request that is answered without a stream, by reason.
    pub fn record_end_reason(&mut self, id: RequestId, reason: EndReason) {
        self.transitions.answered(id, reason);
    }

    /// Adds a request that has just arrived, and tells the router.
    pub fn open(&mut self, info: RequestInfo, step: &mut Step) {
        self.requests.insert(info.id, Request::new(&info, step.now));
        step.events.push_back(Event::RequestArrived(info));
    }

    /// Limits the deadlines of waiting requests and of their attempts to this time (us), even if their clients
    /// would wait longer.
    pub fn cap_deadlines(&mut self, deadline_cap: Micros, step: &mut Step) {
        for (&id, request) in &mut self.requests {
            if request.client != ClientState::Waiting {
                continue;
            }
            request.not_after = request.not_after.min(deadline_cap);
            for (&attempt_no, attempt) in &mut request.in_flight {
                if attempt.attempt_deadline > deadline_cap {
                    step.timers.stop(attempt.attempt_deadline, Timer::Attempt(id, attempt_no));
                    step.timers.start(deadline_cap, Timer::Attempt(id, attempt_no));
                    attempt.attempt_deadline = deadline_cap;
                }
            }
        }
    }

    /// Cancels attempts at servers that no longer take new work, unless writing them has begun. This covers a
    /// server that starts draining after it was chosen and before the first byte was written.
    pub fn cancel_unwritten_to_unready(&self, endpoints: &Endpoints, step: &mut Step) {
        for (&id, request) in &self.requests {
            for (&attempt, in_flight) in &request.in_flight {
                if !endpoints.is_ready(in_flight.server) {
                    step.effects.push(Effect::CancelUnwritten { id, attempt });
                }
            }
        }
    }

    /// Handles the first event of an attempt's stream: relays the stream, or cancels the attempt if the client
    /// no longer waits. An attempt that is being cancelled is ignored.
    pub fn stream_started(
        &mut self,
        id: RequestId,
        attempt_no: u32,
        classes: &BTreeMap<u32, Class>,
        step: &mut Step,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.in_flight.get(&attempt_no).filter(|attempt| attempt.cancel_outcome.is_none());
        let Some(attempt) = attempt else { return };
        if request.client != ClientState::Waiting {
            return self.cancel(id, attempt_no, Outcome::Cancelled, step);
        }
        let (sent_at, attempt_deadline, label) =
            (attempt.sent_at, attempt.attempt_deadline, attempt.label(id, attempt_no));
        let is_at_most_once = |class: &Class| class.effect == ClassEffect::AtMostOnce;
        let executed_before = request.first_execution.is_some_and(|first| first != sent_at);
        if executed_before && classes.get(&request.class).is_some_and(is_at_most_once) {
            self.guard.record_violation(Rule::SecondRun, id, &request.history);
        }
        if request.held.is_held() {
            self.held_statistics.taken(request.held.age(step.now));
        }
        if request.held.was_released() {
            self.held_statistics.attempt_ended_after_release(Outcome::Served);
        }
        request.history.add(step.now, Transition::StreamStarted { attempt: attempt_no });
        request.client = ClientState::Streaming(attempt_no);
        request.first_execution.get_or_insert(sent_at);
        request.held.taken();
        request.held.sync_timer(id, &mut step.timers);
        step.timers.stop(attempt_deadline, Timer::Attempt(id, attempt_no));
        Transitions::log_stream_started(label, step.now - sent_at);
        step.effects.push(Effect::Relay { id, attempt: attempt_no });
        step.events.push_back(Event::FirstToken { id, attempt: attempt_no, elapsed: step.now - sent_at });
    }

    /// Records that the last byte of an attempt has been handed to the operating system.
    pub fn attempt_written(
        &mut self,
        id: RequestId,
        attempt_no: u32,
        connection: ConnectionKind,
        step: &mut Step,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.get_mut(&attempt_no) else { return };
        attempt.written = true;
        request.history.add(step.now, Transition::Written { attempt: attempt_no, connection });
        step.events.push_back(Event::AttemptWritten(id));
    }

    /// Ends an attempt that finished by itself or whose cancellation has been carried out.
    pub fn attempt_finished(
        &mut self,
        id: RequestId,
        attempt_no: u32,
        result: AttemptResult,
        step: &mut Step,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.remove(&attempt_no) else { return };
        step.timers.stop(attempt.attempt_deadline, Timer::Attempt(id, attempt_no));
        let AttemptResult { outcome, cached_tokens, report } = result;
        let elapsed = step.now - attempt.sent_at;
        self.transitions.finished(attempt.label(id, attempt_no), outcome, elapsed);
        request.history.add(step.now, Transition::Finished { attempt: attempt_no, outcome });
        let is_unanswered = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Unacknowledged);
        if is_unanswered && attempt.written && request.client != ClientState::Streaming(attempt_no) {
            self.held_statistics.unanswered(attempt.server);
            self.reports.write(step.now, id, request, ReportReason::Unanswered);
        }
        if !attempt.reads && outcome.may_have_run() {
            request.first_execution.get_or_insert(attempt.sent_at);
        }
        let held_state = self.update_held_state(id, &attempt, outcome, step);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == ClientState::Streaming(attempt_no) {
            request.client = ClientState::Done;
        }
        step.events.push_back(Event::AttemptFinished(AttemptFinished {
            id,
            attempt: attempt_no,
            server: attempt.server,
            elapsed,
            outcome,
            held_state,
            cached_tokens,
            completes_request: request.client == ClientState::Done,
            report,
        }));
    }

    /// Ends an attempt whose cancellation has been carried out. If it was stopped before its last byte was
    /// written, it was certainly never executed.
    pub fn attempt_stopped(&mut self, id: RequestId, attempt_no: u32, written: bool, step: &mut Step) {
        let request = self.requests.get(&id);
        let Some(attempt) = request.and_then(|request| request.in_flight.get(&attempt_no)) else { return };
        let outcome = match attempt.cancel_outcome {
            Some(outcome) if written => outcome,
            Some(Outcome::Timeout) => Outcome::ConnectFailed,
            _ if !written => Outcome::NotSent,
            _ => return,
        };
        self.attempt_finished(id, attempt_no, outcome.into(), step);
    }

    /// Handles a client that has disconnected.
    pub fn client_disconnected(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let client = std::mem::replace(&mut request.client, ClientState::Done);
        if client != ClientState::Done {
            request.history.add(step.now, Transition::ClientDisconnected);
        }
        match client {
            ClientState::Done => {}
            ClientState::Waiting => {
                // An attempt that has not reached its server yet must not start for a client that has left.
                for &attempt in request.in_flight.keys() {
                    step.effects.push(Effect::CancelUnwritten { id, attempt });
                }
                step.events.push_back(Event::ClientDisconnected(id));
            }
            ClientState::Streaming(attempt_no) => {
                step.events.push_back(Event::ClientDisconnected(id));
                self.attempt_finished(id, attempt_no, Outcome::Cancelled.into(), step);
            }
        }
    }

    /// Requests the cancellation of an attempt; `outcome` is reported once it has been carried out.
    pub fn cancel(&mut self, id: RequestId, attempt_no: u32, outcome: Outcome, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == ClientState::Streaming(attempt_no) {
            return; // the client now determines when a relayed stream ends
        }
        let Some(attempt) = request.in_flight.get_mut(&attempt_no) else { return };
        if attempt.cancel_outcome.is_some() {
            return;
        }
        attempt.cancel_outcome = Some(outcome);
        Transitions::log_cancelled(attempt.label(id, attempt_no), outcome);
        request.history.add(step.now, Transition::CancelRequested { attempt: attempt_no, reason: outcome });
        step.effects.push(Effect::CancelAttempt { id, attempt: attempt_no });
    }

    /// Gives the final answer that the request is rejected, unless it already has one.
    pub fn reject(&mut self, id: RequestId, retry_in: Micros, step: &mut Step) {
        if self.claim_final_answer(id, Transition::Rejected, step.now) {
            step.effects.push(Effect::Reject { id, retry_in });
        }
    }

    /// Gives the final answer that the request failed, unless it already has one.
    pub fn fail(&mut self, id: RequestId, step: &mut Step) {
        if self.claim_final_answer(id, Transition::Failed, step.now) {
            let request = self.requests.get(&id);
            let may_have_run = request.is_some_and(|request| request.first_execution.is_some());
            step.effects.push(Effect::Fail { id, may_have_run });
        }
    }

    /// Returns whether the final answer has yet to be given, and marks it as given. A request has only one.
    fn claim_final_answer(&mut self, id: RequestId, answer: Transition, now: Micros) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.client != ClientState::Waiting {
            return false;
        }
        request.history.add(now, answer);
        if now > request.not_after + LATE_ANSWER_TOLERANCE {
            self.guard.record_violation(Rule::LateAnswer, id, &request.history);
        }
        request.client = ClientState::Done;
        true
    }

    /// Sends a request to a server if the rules allow it; `attempt_timeout` is in us. A refused send ends at
    /// once with [`Outcome::NotSent`].
    pub fn assign(
        &mut self,
        id: RequestId,
        server: ServerId,
        attempt_timeout: Micros,
        rules: SendRules,
        step: &mut Step,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        let (now, reads) = (step.now, rules.endpoints.is_reader(server));
        let attempt_deadline = request.not_after.min(now + attempt_timeout);
        // Held state is for a writer; a read has no use for it and releases it first.
        let hold_deadline = if reads { None } else { request.held.deadline() };
        let rerun_deadline = if reads {
            None
        } else {
            rerun_deadline(request, rules, attempt_deadline, self.min_batch_interval)
        };
        let check = SendCheck {
            now,
            client_waiting: request.client == ClientState::Waiting,
            server_accepts_work: !rules.endpoints.is_draining(server),
            attempt_deadline,
            hold_deadline,
            rerun_deadline,
        };
        if let Err(rule) = self.guard.check_send(id, &check) {
            return self.refuse_send(id, attempt, server, rule, step);
        }
        if reads {
            self.release_before_read(id, step);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_flight =
            InFlight { server, reads, sent_at: now, attempt_deadline, written: false, cancel_outcome: None };
        Transitions::log_sent(in_flight.label(id, attempt), reads, attempt_deadline - now);
        request
            .history
            .add(now, Transition::Sent { attempt, server, reads, timeout: attempt_deadline - now });
        request.in_flight.insert(attempt, in_flight);
        step.timers.start(attempt_deadline, Timer::Attempt(id, attempt));
        let begin_by =
            [hold_deadline, rerun_deadline].into_iter().flatten().fold(attempt_deadline, Micros::min);
        let new_connection = hold_deadline.is_some();
        step.effects.push(Effect::Send {
            id,
            attempt,
            server,
            reads,
            attempt_deadline,
            begin_by,
            new_connection,
        });
    }

    /// Reports a send that the guard refused as an attempt that ended with [`Outcome::NotSent`].
    fn refuse_send(&mut self, id: RequestId, attempt: u32, server: ServerId, rule: Rule, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.history.add(step.now, Transition::SendRefused { server, rule });
        self.reports.write(step.now, id, request, ReportReason::SendRefused(rule));
        let completes_request = request.client != ClientState::Waiting;
        step.events.push_back(Event::AttemptFinished(refused_attempt(
            id,
            attempt,
            server,
            completes_request,
        )));
    }
}

/// The event for an attempt that the guard refused to send.
fn refused_attempt(
    id: RequestId,
    attempt: u32,
    server: ServerId,
    completes_request: bool,
) -> AttemptFinished {
    let (outcome, cached_tokens, report) = (Outcome::NotSent, 0, None);
    let held_state = HeldStateAfter::HoldTimeContinues;
    AttemptFinished {
        id,
        attempt,
        server,
        elapsed: 0,
        outcome,
        held_state,
        cached_tokens,
        completes_request,
        report,
    }
}

/// Time until which the request may be executed again (us); `None` if it has certainly not been executed yet.
fn rerun_deadline(
    request: &Request,
    rules: SendRules,
    attempt_deadline: Micros,
    min_batch_interval: Micros,
) -> Option<Micros> {
    let first = request.first_execution?;
    let class = rules.classes.get(&request.class)?;
    Some(match class.effect {
        ClassEffect::Idempotent => attempt_deadline,
        ClassEffect::Deduplicated => (first + class.dedup_window).saturating_sub(min_batch_interval),
        ClassEffect::AtMostOnce => 0,
    })
}
