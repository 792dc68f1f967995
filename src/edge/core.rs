//! The reducer: it owns the [`Router`] and the open requests, and [`Core::step`] is the one function that changes them.
//!
//! Inputs come from, and effects go to, `driver.rs`; nothing here knows of a wire, a clock or a socket. A step tells the
//! router what has happened, applies the actions that it returns to the open requests ([`request_table`], the last guard
//! for the rules), and fires the timers that are due.

pub mod endpoints;
pub mod held_state;
pub mod held_statistics;
pub mod history_reports;
pub mod messages;
pub mod request;
pub mod request_history;
pub mod request_table;
pub mod step;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::edge::core::endpoints::Endpoints;
pub use crate::edge::core::held_state::CLOSE_SEEN;
pub use crate::edge::core::messages::{AttemptResult, ConnectionKind, Effect, Input};
use crate::edge::core::request_table::{RequestTable, SendRules};
use crate::edge::core::step::{Step, Timer};
use crate::edge::guard::Guard;
use crate::edge::shutdown_times::ShutdownTimes;
use crate::edge::transitions::Transitions;
use crate::interface::{
    Action, AttemptFinished, Class, Event, ListUpdateKind, Micros, Outcome, RequestId, RequestInfo,
    ServerEntry, Settings,
};
use crate::Router;
use dewladder_router::{Classes, EndReason, GossipCounts, Handover, StartTimes};

/// The reducer. See the [module](self).
#[derive(Debug)]
pub struct Core {
    router: Router,
    classes: Classes,
    endpoints: Endpoints,
    start_times: StartTimes,
    requests: RequestTable,
    max_open_requests: usize,
    /// Once the process was told to end.
    shutdown: Option<ShutdownTimes>,
    /// What a client is told that is rejected for want of room (us).
    retry_in: Micros,
    step: Step,
}

impl Core {
    /// One that has just started; it holds `max_open_requests` requests at most.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros, max_open_requests: usize) -> Self {
        Self {
            classes: Classes::new(settings.classes.clone()),
            endpoints: Endpoints::new(&settings),
            start_times: StartTimes::default(),
            requests: RequestTable::new(&settings),
            max_open_requests,
            shutdown: None,
            retry_in: settings.max_retry_after,
            step: Step { now, ..Step::default() },
            router: Router::new(settings, seed, now),
        }
    }

    /// Takes what has happened and returns what is to be done, in order.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        // The router subtracts times from one another: its clock must never go back.
        self.step.now = self.step.now.max(now);
        self.apply_input(input);
        self.consult_router();
        while let Some(timer) = self.step.timers.take_due(self.step.now) {
            match timer {
                Timer::Attempt(id, attempt) => {
                    self.requests.cancel(id, attempt, Outcome::Timeout, &mut self.step);
                }
                Timer::HeldState(id) => self.requests.hold_deadline_reached(id, &mut self.step),
                Timer::Router(token) => self.step.events.push_back(Event::TimerFired(token)),
            }
            self.consult_router();
        }
        std::mem::take(&mut self.step.effects)
    }

    /// When the next step is due although nothing happens (us).
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.step.timers.next_due()
    }

    /// Requests whose clients still wait or are being streamed to, or of which an attempt is in flight.
    #[must_use]
    pub fn open(&self) -> usize {
        self.requests.count()
    }

    /// Whether the list has servers that together can serve a request.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.endpoints.can_serve()
    }

    /// How many servers of the list are remembered.
    #[must_use]
    pub fn known_servers(&self) -> usize {
        self.endpoints.count()
    }

    /// What became of messages between dispatchers.
    #[must_use]
    pub fn gossip(&self) -> GossipCounts {
        self.router.gossip_counts()
    }

    /// What the guard has refused and found broken.
    #[must_use]
    pub fn guard(&self) -> &Guard {
        self.requests.guard()
    }

    /// What became of attempts and requests, by reason.
    #[must_use]
    pub fn transitions(&self) -> &Transitions {
        self.requests.transitions()
    }

    /// What became of held state since the start, with what is held now, in lines.
    #[must_use]
    pub fn held_figures(&self, now: Micros) -> String {
        self.requests.held_figures(now)
    }

    /// The histories of open requests, the oldest first: so many at most, a line each.
    #[must_use]
    pub fn histories(&self, now: Micros, count: usize) -> String {
        let mut open: Vec<_> = self.requests.open_requests().collect();
        open.sort_by_key(|(_, request)| request.history.arrived_at());
        let mut text = String::new();
        for (id, request) in open.into_iter().take(count) {
            let (class, held_us) = (request.class, request.held.age(now));
            let _ = writeln!(text, "request_id={id} class={class} held_us={held_us} {}", request.history);
        }
        text
    }

    /// How many histories of requests were left out of the log since this was last asked.
    pub fn take_reports_left_out(&mut self) -> u64 {
        self.requests.take_reports_left_out()
    }

    /// Servers of the list that are avoided now.
    #[must_use]
    pub fn avoided(&self) -> usize {
        self.router.avoided_servers()
    }

    /// What has been learned by now, for another process to go on from.
    #[must_use]
    pub fn export_state(&self) -> Handover {
        self.router.export_state()
    }

    /// The classes, with those that only open requests still have.
    #[must_use]
    pub fn classes(&self) -> &BTreeMap<u32, Class> {
        self.classes.known()
    }

    fn apply_input(&mut self, input: Input) {
        let step = &mut self.step;
        match input {
            Input::EndpointsUpdated { how, entries } => self.update_endpoints(how, entries),
            Input::RequestArrived(info) => self.admit(info),
            Input::StreamStarted { id, attempt } => {
                self.requests.stream_started(id, attempt, self.classes.known(), step);
            }
            Input::AttemptWritten { id, attempt, connection } => {
                self.requests.attempt_written(id, attempt, connection, step);
            }
            Input::AttemptFinished { id, attempt, result } => {
                self.requests.attempt_finished(id, attempt, result, step);
            }
            Input::AttemptStopped { id, attempt, written } => {
                self.requests.attempt_stopped(id, attempt, written, step);
            }
            Input::ReleaseFinished { id, number, answered } => {
                self.requests.finish_releasing(id, number, answered, step);
            }
            Input::ClientDisconnected(id) => self.requests.client_disconnected(id, step),
            Input::SettingsReloaded(settings) => self.reload_settings(*settings),
            Input::StateImported(learned) => step.events.push_back(Event::StateImported(learned)),
            Input::LimitShareChanged { part, max_open_requests } => {
                self.max_open_requests = max_open_requests;
                step.events.push_back(Event::LimitShareChanged(part));
            }
            Input::GossipReceived(bytes) => step.events.push_back(Event::GossipReceived(bytes)),
            Input::Leaving(times) => self.leave(times),
            Input::Tick => {}
        }
    }

    fn update_endpoints(&mut self, how: ListUpdateKind, mut entries: Vec<ServerEntry>) {
        self.start_times.localize(self.step.now, how, &mut entries);
        self.endpoints.apply(how, &entries);
        self.requests.cancel_unwritten_to_unready(&self.endpoints, &mut self.step);
        self.step.events.push_back(Event::EndpointsUpdated { how, entries });
    }

    fn reload_settings(&mut self, mut settings: Settings) {
        let requests = &self.requests;
        let new_classes = std::mem::take(&mut settings.classes).into_values();
        let class_renumbering = self.classes.update(new_classes, |class| requests.uses_class(class));
        settings.classes = self.classes.known().clone();
        self.retry_in = settings.max_retry_after;
        self.requests.reload(&settings);
        self.endpoints.reload(&settings);
        let settings = Box::new(settings);
        self.step.events.push_back(Event::SettingsReloaded { settings, class_renumbering });
    }

    /// The process will be killed: what is open is answered before that.
    fn leave(&mut self, times: ShutdownTimes) {
        self.shutdown = Some(times);
        self.requests.cap_deadlines(times.answer_by, &mut self.step);
        self.step.events.push_back(Event::DeadlinesCapped(times.answer_by));
    }

    fn admit(&mut self, mut info: RequestInfo) {
        let id = info.id;
        if self.requests.contains(id) {
            return;
        }
        if self.requests.count() >= self.max_open_requests {
            return self.reject_at_once(id, EndReason::TooManyOpen);
        }
        // A class that went while the request was on its way here: nothing was done, and trying again is harmless.
        if !self.classes.contains(info.class) {
            return self.reject_at_once(id, EndReason::ClassGone);
        }
        if let Some(times) = self.shutdown {
            if self.step.now >= times.refuse_from {
                return self.reject_at_once(id, EndReason::Leaving);
            }
            info.not_after = info.not_after.min(times.answer_by);
        }
        self.requests.open(info, &mut self.step);
    }

    fn reject_at_once(&mut self, id: RequestId, reason: EndReason) {
        self.requests.record_end_reason(id, reason);
        self.step.effects.push(Effect::Reject { id, retry_in: self.retry_in });
        self.step.effects.push(Effect::Evict { id, may_have_run: false });
    }

    /// Tells the router what it has to know, carries out what it wants, and evicts what is completed by that.
    fn consult_router(&mut self) {
        let mut actions = Vec::new();
        let mut touched = Vec::new();
        while let Some(event) = self.step.events.pop_front() {
            if let Event::AttemptFinished(AttemptFinished { id, .. }) | Event::ClientDisconnected(id) = event
            {
                touched.push(id);
            }
            self.router.handle(self.step.now, event, &mut actions);
            for &(id, reason) in self.router.end_reasons() {
                self.requests.record_end_reason(id, reason);
            }
            for action in actions.drain(..) {
                if let Action::Reject { id, .. } | Action::Fail(id) = action {
                    touched.push(id);
                }
                self.apply_action(action);
            }
        }
        for id in touched {
            self.requests.evict_if_completed(id, &mut self.step);
        }
    }

    fn apply_action(&mut self, action: Action) {
        let step = &mut self.step;
        match action {
            Action::Assign { id, server, attempt_timeout } => {
                let rules = SendRules { classes: self.classes.known(), endpoints: &self.endpoints };
                self.requests.assign(id, server, attempt_timeout, rules, step);
            }
            Action::Reject { id, retry_in } => self.requests.reject(id, retry_in, step),
            Action::Fail(id) => self.requests.fail(id, step),
            Action::CancelAttempt { id, attempt } => {
                self.requests.cancel(id, attempt, Outcome::Cancelled, step);
            }
            Action::ReleaseHeldState(id) => self.requests.release_held_state(id, step),
            Action::StartTimer { delay, token } => {
                let at = step.now + delay.max(1);
                step.timers.start(at, Timer::Router(token));
            }
            // The list is watched all the time: there is nothing to ask for.
            Action::Subscribe => {}
            Action::PublishGossip(bytes) => step.effects.push(Effect::PublishGossip(bytes)),
        }
    }
}
