//! The reducer of the dispatcher: [`Core`] owns the [`Router`] and all open requests, and only [`Core::step`]
//! changes them.
//!
//! The driver (`driver.rs`) supplies the inputs and the time, and carries out the returned effects. The reducer
//! does no I/O and reads no clock. A step passes the input to the router as events, applies the actions that
//! the router returns to the open requests ([`request_table`], which enforces the rules on sends and final
//! answers), and fires the timers that are due.

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
pub use crate::edge::core::held_state::CLOSE_PROPAGATION_TIME;
pub use crate::edge::core::messages::{AttemptResult, ConnectionKind, Effect, IdClaim, Input};
use crate::edge::core::request_table::{RequestTable, SendRules};
use crate::edge::core::step::{Step, Timer};
use crate::edge::guard::Guard;
use crate::edge::shutdown_times::ShutdownTimes;
use crate::edge::transitions::Transitions;
use crate::interface::{
    Action, AttemptFinished, Class, Effect as ClassEffect, Event, ListUpdateKind, Micros, Outcome, RequestId,
    RequestInfo, ServerEntry, Settings,
};
use crate::Router;
use dewladder_router::{Classes, EndReason, GossipCounts, Handover, StartTimes};

/// The reducer. See the [module documentation](self).
#[derive(Debug)]
pub struct Core {
    router: Router,
    classes: Classes,
    endpoints: Endpoints,
    start_times: StartTimes,
    requests: RequestTable,
    max_open_requests: usize,
    /// Whether there is another process of this dispatcher.
    has_peer: bool,
    /// Set once the process has been told to shut down.
    shutdown: Option<ShutdownTimes>,
    /// Retry delay for clients whose requests are rejected on arrival (us).
    retry_in: Micros,
    step: Step,
}

impl Core {
    /// A reducer without servers or requests, which admits at most `max_open_requests` open requests.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros, max_open_requests: usize) -> Self {
        Self {
            classes: Classes::new(settings.classes.clone()),
            endpoints: Endpoints::new(&settings),
            start_times: StartTimes::default(),
            requests: RequestTable::new(&settings),
            max_open_requests,
            has_peer: false,
            shutdown: None,
            retry_in: settings.max_retry_after,
            step: Step { now, ..Step::default() },
            router: Router::new(settings, seed, now),
        }
    }

    /// Applies an input at time `now` and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        // The router subtracts points in time from each other, so the time that it sees must never decrease.
        self.step.now = self.step.now.max(now);
        self.apply_input(input);
        self.process_router_events();
        while let Some(timer) = self.step.timers.take_due(self.step.now) {
            match timer {
                Timer::Attempt(id, attempt) => {
                    self.requests.cancel(id, attempt, Outcome::Timeout, &mut self.step);
                }
                Timer::HeldState(id) => self.requests.hold_deadline_reached(id, &mut self.step),
                Timer::Router(token) => self.step.events.push_back(Event::TimerFired(token)),
            }
            self.process_router_events();
        }
        std::mem::take(&mut self.step.effects)
    }

    /// The time at which the next timer is due (us): the driver must step the reducer then, even without any input.
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.step.timers.next_due()
    }

    /// Number of open requests: the client is waiting or its stream is being relayed, or an attempt is in flight.
    #[must_use]
    pub fn open(&self) -> usize {
        self.requests.count()
    }

    /// Whether the ready servers of the list can together serve a request.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.endpoints.can_serve()
    }

    /// Number of servers in the list, including those that are draining.
    #[must_use]
    pub fn known_servers(&self) -> usize {
        self.endpoints.count()
    }

    /// Counts of load gossip messages sent to and received from other dispatchers, and dropped.
    #[must_use]
    pub fn gossip(&self) -> GossipCounts {
        self.router.gossip_counts()
    }

    /// The guard, with its counts of refused sends and rule violations.
    #[must_use]
    pub fn guard(&self) -> &Guard {
        self.requests.guard()
    }

    /// Counts of attempts by outcome and of requests answered without a stream, by reason.
    #[must_use]
    pub fn transitions(&self) -> &Transitions {
        self.requests.transitions()
    }

    /// Metrics of held state since the start and of the state held at `now`, one per line.
    #[must_use]
    pub fn held_state_metrics(&self, now: Micros) -> String {
        self.requests.held_state_metrics(now)
    }

    /// Histories of at most `count` open requests, oldest first, one per line.
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

    /// Number of request histories that the rate limit kept out of the log since the last call.
    pub fn take_reports_left_out(&mut self) -> u64 {
        self.requests.take_reports_left_out()
    }

    /// Number of listed servers that the router currently avoids.
    #[must_use]
    pub fn avoided_server_count(&self) -> usize {
        self.router.avoided_servers()
    }

    /// The state that the router has learned, for the process that replaces this one in a hot restart.
    #[must_use]
    pub fn export_state(&self) -> Handover {
        self.router.export_state()
    }

    /// The classes by number, including retired ones that open requests still use.
    #[must_use]
    pub fn classes(&self) -> &BTreeMap<u32, Class> {
        self.classes.known()
    }

    fn apply_input(&mut self, input: Input) {
        let step = &mut self.step;
        match input {
            Input::EndpointsUpdated { kind, entries } => self.update_endpoints(kind, entries),
            Input::RequestArrived { info, received_at, id_claim } => {
                self.admit(info, received_at, id_claim);
            }
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
                self.requests.finish_release(id, number, answered, step);
            }
            Input::ClientDisconnected(id) => self.requests.client_disconnected(id, step),
            Input::SettingsReloaded(settings) => self.reload_settings(*settings),
            Input::StateImported(handover) => step.events.push_back(Event::StateImported(handover)),
            Input::LimitShareChanged { share, max_open_requests, has_peer } => {
                self.max_open_requests = max_open_requests;
                self.has_peer = has_peer;
                step.events.push_back(Event::LimitShareChanged(share));
            }
            Input::GossipReceived(bytes) => step.events.push_back(Event::GossipReceived(bytes)),
            Input::Leaving(times) => self.start_shutdown(times),
            Input::Tick => {}
        }
    }

    fn update_endpoints(&mut self, kind: ListUpdateKind, mut entries: Vec<ServerEntry>) {
        self.start_times.localize(self.step.now, kind, &mut entries);
        self.endpoints.apply(kind, &entries);
        self.requests.cancel_unwritten_to_unready(&self.endpoints, &mut self.step);
        self.step.events.push_back(Event::EndpointsUpdated { kind, entries });
    }

    fn reload_settings(&mut self, mut settings: Settings) {
        let requests = &self.requests;
        let new_classes = std::mem::take(&mut settings.classes).into_values();
        let class_renumbering = self.classes.update(new_classes, |class| requests.uses_class(class));
        settings.classes = self.classes.known().clone();
        self.retry_in = settings.max_retry_after;
        self.requests.apply_settings(&settings);
        self.endpoints.apply_settings(&settings);
        let settings = Box::new(settings);
        self.step.events.push_back(Event::SettingsReloaded { settings, class_renumbering });
    }

    /// Starts the shutdown. The process may be killed afterwards, so every open request must be answered before that.
    fn start_shutdown(&mut self, times: ShutdownTimes) {
        self.shutdown = Some(times);
        self.requests.cap_deadlines(times.answer_by, &mut self.step);
        self.step.events.push_back(Event::DeadlinesCapped(times.answer_by));
    }

    /// Admits a request that was received at `received_at` (us), or refuses it.
    fn admit(&mut self, mut info: RequestInfo, received_at: Micros, id_claim: IdClaim) {
        let id = info.id;
        if self.requests.contains(id) {
            return;
        }
        if self.requests.count() >= self.max_open_requests {
            return self.reject_on_arrival(id, EndReason::TooManyOpen);
        }
        // The class was removed while the request was on its way. Nothing has been sent, so a retry is safe.
        if !self.classes.contains(info.class) {
            return self.reject_on_arrival(id, EndReason::ClassGone);
        }
        if id_claim == IdClaim::NoRoom {
            return self.reject_on_arrival(id, EndReason::NoRoomForId);
        }
        if self.has_peer && id_claim == IdClaim::Unknown && !self.is_repeatable(info.class) {
            return self.reject_on_arrival(id, EndReason::IdNotExclusive);
        }
        if let Some(times) = self.shutdown {
            if times.refuses(received_at) {
                return self.reject_on_arrival(id, EndReason::Leaving);
            }
            info.not_after = info.not_after.min(times.answer_by);
        }
        self.requests.open(info, &mut self.step);
    }

    /// Whether the requests of a class may run any number of times, at any server.
    fn is_repeatable(&self, class: u32) -> bool {
        self.classes.known().get(&class).is_none_or(|class| class.effect == ClassEffect::Idempotent)
    }

    fn reject_on_arrival(&mut self, id: RequestId, reason: EndReason) {
        self.requests.record_end_reason(id, reason);
        self.step.effects.push(Effect::Reject { id, retry_in: self.retry_in });
        self.step.effects.push(Effect::Evict { id, may_have_run: false });
    }

    /// Passes queued events to the router, applies the actions it returns, and evicts the requests completed by that.
    fn process_router_events(&mut self) {
        let mut actions = Vec::new();
        let mut maybe_completed = Vec::new();
        while let Some(event) = self.step.events.pop_front() {
            if let Event::AttemptFinished(AttemptFinished { id, .. }) | Event::ClientDisconnected(id) = event
            {
                maybe_completed.push(id);
            }
            self.router.handle(self.step.now, event, &mut actions);
            for &(id, reason) in self.router.end_reasons() {
                self.requests.record_end_reason(id, reason);
            }
            for action in actions.drain(..) {
                if let Action::Reject { id, .. } | Action::Fail(id) = action {
                    maybe_completed.push(id);
                }
                self.apply_action(action);
            }
        }
        for id in maybe_completed {
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
            // Discovery watches the list all the time, so no subscription is needed.
            Action::Subscribe => {}
            Action::PublishGossip(bytes) => step.effects.push(Effect::PublishGossip(bytes)),
        }
    }
}
