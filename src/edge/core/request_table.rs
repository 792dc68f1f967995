//! The open requests, and the last guard for the rules: one final answer for each request, and nothing sent after its
//! client has left or its stream has begun.
//!
//! The table takes what happens to attempts and clients, and what the router wants done, and writes events and effects
//! into the [`Step`]. It decides nothing: which server, and whether to try again, is the router's.

mod held;

use std::collections::BTreeMap;

use crate::edge::core::endpoints::Endpoints;
use crate::edge::core::held_statistics::HeldStatistics;
use crate::edge::core::history_reports::{HistoryReports, ReportReason};
use crate::edge::core::messages::{AttemptResult, ConnectionKind, Effect};
use crate::edge::core::request::{Client, InFlight, Request};
use crate::edge::core::request_history::Transition;
use crate::edge::core::step::{Step, Timer};
use crate::edge::guard::{Guard, Rule, SendCheck};
use crate::edge::transitions::Transitions;
use crate::interface::{
    AttemptFinished, Class, Effect as ClassEffect, Event, HeldStateAfter, Micros, Outcome, RequestId,
    RequestInfo, ServerId, Settings,
};
use dewladder_router::EndReason;

/// An answer that comes so long after the client's time is lost (the standing test's word; us).
const LATE_ANSWER: Micros = 500_000;
/// What sends are held against besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct SendRules<'a> {
    /// The classes, with those that only open requests still have.
    pub classes: &'a BTreeMap<u32, Class>,
    /// The servers of the list.
    pub endpoints: &'a Endpoints,
}

/// The open requests. See the [module](self).
#[derive(Debug)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// How long servers may hold state for a request while nothing of it is in flight (us).
    max_hold_time: Micros,
    /// Shortest time between two batches of events of a server (us).
    resolution: Micros,
    guard: Guard,
    transitions: Transitions,
    held_statistics: HeldStatistics,
    reports: HistoryReports,
    /// The number of the release that was asked for last.
    last_number: u64,
}

impl RequestTable {
    /// An empty table that goes by these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            requests: BTreeMap::new(),
            max_hold_time: settings.max_hold_time,
            resolution: settings.resolution,
            guard: Guard::default(),
            transitions: Transitions::default(),
            held_statistics: HeldStatistics::default(),
            reports: HistoryReports::default(),
            last_number: 0,
        }
    }

    /// Goes by these settings from now on.
    pub fn reload(&mut self, settings: &Settings) {
        self.max_hold_time = settings.max_hold_time;
        self.resolution = settings.resolution;
    }

    /// How many requests are open: their clients still wait or are being streamed to, or an attempt is in flight.
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

    /// What the guard has refused and found broken.
    #[must_use]
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// What became of attempts and requests, by reason.
    #[must_use]
    pub fn transitions(&self) -> &Transitions {
        &self.transitions
    }

    /// The open requests, by id.
    pub fn open_requests(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// How many histories of requests were left out of the log since this was last asked.
    pub fn take_reports_left_out(&mut self) -> u64 {
        self.reports.take_left_out()
    }

    /// Counts why a request was answered without a stream.
    pub fn record_end_reason(&mut self, id: RequestId, reason: EndReason) {
        self.transitions.answered(id, reason);
    }

    /// Opens a request.
    pub fn open(&mut self, info: RequestInfo, step: &mut Step) {
        self.requests.insert(info.id, Request::new(&info, step.now));
        step.events.push_back(Event::RequestArrived(info));
    }

    /// Has all requests that wait answered by a time (us), whatever their clients would wait.
    pub fn cap_deadlines(&mut self, at: Micros, step: &mut Step) {
        for (&id, request) in &mut self.requests {
            if request.client != Client::Waiting {
                continue;
            }
            request.not_after = request.not_after.min(at);
            for (&number, attempt) in &mut request.in_flight {
                if attempt.until > at {
                    step.timers.stop(attempt.until, Timer::Attempt(id, number));
                    step.timers.start(at, Timer::Attempt(id, number));
                    attempt.until = at;
                }
            }
        }
    }

    /// Cancels the sends to servers that take no new work any more, as far as nothing of them has been written: a drain
    /// that comes between the choice of a server and the first byte stops that send.
    pub fn cancel_unwritten_to_unready(&self, endpoints: &Endpoints, step: &mut Step) {
        for (&id, request) in &self.requests {
            for (&attempt, in_flight) in &request.in_flight {
                if !endpoints.is_ready(in_flight.server) {
                    step.effects.push(Effect::CancelUnwritten { id, attempt });
                }
            }
        }
    }

    /// The first event of an attempt's stream is here: it is passed on, unless the client does not wait any more.
    pub fn stream_started(
        &mut self,
        id: RequestId,
        number: u32,
        classes: &BTreeMap<u32, Class>,
        step: &mut Step,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.in_flight.get(&number).filter(|attempt| attempt.cancelled_as.is_none());
        let Some(attempt) = attempt else { return };
        if request.client != Client::Waiting {
            return self.cancel(id, number, Outcome::Cancelled, step);
        }
        let (sent, until, label) = (attempt.sent, attempt.until, attempt.label(id, number));
        let runs_once = |class: &Class| class.effect == ClassEffect::AtMostOnce;
        let executed_before = request.first_execution.is_some_and(|first| first != sent);
        if executed_before && classes.get(&request.class).is_some_and(runs_once) {
            self.guard.finds_broken(Rule::SecondRun, id, &request.history);
        }
        if request.held.is_held() {
            self.held_statistics.taken(request.held.age(step.now));
        }
        if request.held.was_released() {
            self.held_statistics.ended_after(Outcome::Served);
        }
        request.history.add(step.now, Transition::StreamStarted { attempt: number });
        request.client = Client::Streaming(number);
        request.first_execution.get_or_insert(sent);
        request.held.taken();
        request.held.sync_timer(id, &mut step.timers);
        step.timers.stop(until, Timer::Attempt(id, number));
        Transitions::begins(label, step.now - sent);
        step.effects.push(Effect::Relay { id, attempt: number });
        step.events.push_back(Event::FirstToken { id, attempt: number, taken: step.now - sent });
    }

    /// The last byte of an attempt has been handed to the system.
    pub fn attempt_written(&mut self, id: RequestId, number: u32, connection: ConnectionKind, step: &Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.get_mut(&number) else { return };
        attempt.written = true;
        request.history.add(step.now, Transition::Written { attempt: number, connection });
    }

    /// An attempt has ended by itself, or its cancellation has been carried out.
    pub fn attempt_finished(&mut self, id: RequestId, number: u32, result: AttemptResult, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.remove(&number) else { return };
        step.timers.stop(attempt.until, Timer::Attempt(id, number));
        let AttemptResult { outcome, cached_tokens, report } = result;
        let taken = step.now - attempt.sent;
        self.transitions.ended(attempt.label(id, number), outcome, taken);
        request.history.add(step.now, Transition::Finished { attempt: number, outcome });
        let is_unanswered = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Unacknowledged);
        if is_unanswered && attempt.written && request.client != Client::Streaming(number) {
            self.held_statistics.unanswered(attempt.server);
            self.reports.write(step.now, id, request, ReportReason::Unanswered);
        }
        if !attempt.reads && outcome.may_have_run() {
            request.first_execution.get_or_insert(attempt.sent);
        }
        let held_state = self.update_held_state(id, &attempt, outcome, step);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == Client::Streaming(number) {
            request.client = Client::Done;
        }
        step.events.push_back(Event::AttemptFinished(AttemptFinished {
            id,
            attempt: number,
            server: attempt.server,
            taken,
            outcome,
            held_state,
            cached_tokens,
            last: request.client == Client::Done,
            report,
        }));
    }

    /// The cancellation of an attempt has been carried out. One that came before the last byte was written proves that
    /// the attempt was never executed.
    pub fn attempt_stopped(&mut self, id: RequestId, number: u32, written: bool, step: &mut Step) {
        let request = self.requests.get(&id);
        let Some(attempt) = request.and_then(|request| request.in_flight.get(&number)) else { return };
        let outcome = match attempt.cancelled_as {
            Some(outcome) if written => outcome,
            Some(Outcome::Timeout) => Outcome::ConnectFailed,
            _ if !written => Outcome::NotSent,
            _ => return,
        };
        self.attempt_finished(id, number, outcome.into(), step);
    }

    /// The client has disconnected.
    pub fn client_disconnected(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let client = std::mem::replace(&mut request.client, Client::Done);
        if client != Client::Done {
            request.history.add(step.now, Transition::ClientDisconnected);
        }
        match client {
            Client::Done => {}
            Client::Waiting => {
                // Whatever is still on its way to a server must not begin for a client that has gone.
                for &attempt in request.in_flight.keys() {
                    step.effects.push(Effect::CancelUnwritten { id, attempt });
                }
                step.events.push_back(Event::ClientDisconnected(id));
            }
            Client::Streaming(number) => {
                step.events.push_back(Event::ClientDisconnected(id));
                self.attempt_finished(id, number, Outcome::Cancelled.into(), step);
            }
        }
    }

    /// Cancels an attempt; `outcome` is what it comes to once that is done.
    pub fn cancel(&mut self, id: RequestId, number: u32, outcome: Outcome, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == Client::Streaming(number) {
            return; // the attempt belongs to the client
        }
        let Some(attempt) = request.in_flight.get_mut(&number) else { return };
        if attempt.cancelled_as.is_some() {
            return;
        }
        attempt.cancelled_as = Some(outcome);
        Transitions::cancels(attempt.label(id, number), outcome);
        request.history.add(step.now, Transition::CancelRequested { attempt: number, reason: outcome });
        step.effects.push(Effect::CancelAttempt { id, attempt: number });
    }

    /// Gives the final answer that a request is rejected, if it has none yet.
    pub fn reject(&mut self, id: RequestId, retry_in: Micros, step: &mut Step) {
        if self.take_final_answer(id, Transition::Rejected, step.now) {
            step.effects.push(Effect::Reject { id, retry_in });
        }
    }

    /// Gives the final answer that a request has failed, if it has none yet.
    pub fn fail(&mut self, id: RequestId, step: &mut Step) {
        if self.take_final_answer(id, Transition::Failed, step.now) {
            let request = self.requests.get(&id);
            let may_have_run = request.is_some_and(|request| request.first_execution.is_some());
            step.effects.push(Effect::Fail { id, may_have_run });
        }
    }

    /// Whether the request's one final answer is still to be given; from now on it counts as given.
    fn take_final_answer(&mut self, id: RequestId, answer: Transition, now: Micros) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.client != Client::Waiting {
            return false;
        }
        request.history.add(now, answer);
        if now > request.not_after + LATE_ANSWER {
            self.guard.finds_broken(Rule::LateAnswer, id, &request.history);
        }
        request.client = Client::Done;
        true
    }

    /// Sends a request to a server, if the rules allow it; `attempt_timeout` is in us. A send that they don't allow ends
    /// at once as one that was never sent.
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
        let until = request.not_after.min(now + attempt_timeout);
        // What is held waits for writers; before a read it is let go of.
        let taken_by = if reads { None } else { request.held.deadline() };
        let runs_again_by = if reads { None } else { runs_again_by(request, rules, until, self.resolution) };
        let check = SendCheck {
            now,
            waits: request.client == Client::Waiting,
            takes_work: !rules.endpoints.is_draining(server),
            until,
            taken_by,
            runs_again_by,
        };
        if let Err(rule) = self.guard.check_send(id, &check) {
            return self.refuse_send(id, attempt, server, rule, step);
        }
        if reads {
            self.free_before_read(id, step);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_flight = InFlight { server, reads, sent: now, until, written: false, cancelled_as: None };
        Transitions::sends(in_flight.label(id, attempt), reads, until - now);
        request.history.add(now, Transition::Sent { attempt, server, reads, timeout: until - now });
        request.in_flight.insert(attempt, in_flight);
        step.timers.start(until, Timer::Attempt(id, attempt));
        let begin_by = [taken_by, runs_again_by].into_iter().flatten().fold(until, Micros::min);
        let new_connection = taken_by.is_some();
        step.effects.push(Effect::Send { id, attempt, server, reads, until, begin_by, new_connection });
    }

    /// The guard has refused a send: it ends at once as one that was never sent.
    fn refuse_send(&mut self, id: RequestId, attempt: u32, server: ServerId, rule: Rule, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.history.add(step.now, Transition::SendRefused { server, rule });
        self.reports.write(step.now, id, request, ReportReason::SendRefused(rule));
        let last = request.client != Client::Waiting;
        step.events.push_back(Event::AttemptFinished(never_sent(id, attempt, server, last)));
    }
}

/// The end of an attempt that the guard has refused.
fn never_sent(id: RequestId, attempt: u32, server: ServerId, last: bool) -> AttemptFinished {
    let (outcome, cached_tokens, report) = (Outcome::NotSent, 0, None);
    let held_state = HeldStateAfter::TimeGoesOn;
    AttemptFinished { id, attempt, server, taken: 0, outcome, held_state, cached_tokens, last, report }
}

/// Until when a request may be executed once more (us); `None` where it surely has not been executed.
fn runs_again_by(request: &Request, rules: SendRules, until: Micros, resolution: Micros) -> Option<Micros> {
    let first = request.first_execution?;
    let class = rules.classes.get(&request.class)?;
    Some(match class.effect {
        ClassEffect::Idempotent => until,
        ClassEffect::Deduplicated => (first + class.dedup_window).saturating_sub(resolution),
        ClassEffect::AtMostOnce => 0,
    })
}
