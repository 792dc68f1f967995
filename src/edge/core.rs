//! The reducer: all state of requests, attempts and of what is held for them, and the one function that
//! changes it. It owns the [`Router`], turns its actions into effects, and is the last guard for the rules:
//! one final answer for each request, and nothing sent after the client has left or the stream has begun.
//! It knows of no wire; inputs come from, and effects go to, `driver.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::edge::guard::{Guard, Rule, SendCheck};
use crate::edge::transitions::{AttemptLabel, Transitions};
use crate::interface::{
    self as class, Action, AttemptFinished, Class, Event, Health, ListUpdateKind, Micros, Outcome, Report,
    RequestId, RequestInfo, Role, ServerEntry, ServerId, Settings, TimerToken,
};
use crate::Router;
use dewladder_router::{Classes, EndReason, GossipCounts, Handover, StartTimes};

/// An answer that comes so long after the client's time is lost (the standing test's word; us).
const LATE_ANSWER: Micros = 500_000;
/// What is held has so much more than the settings say on sockets (the protocol page; us).
const HELD_MORE: Micros = 300_000;

/// A server has seen the close of a connection by then (us). A release goes over another one and may overtake it.
pub const CLOSE_SEEN: Micros = 100_000;

/// What has happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// News of the list of servers.
    EndpointsUpdated {
        /// How to read the entries.
        how: ListUpdateKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client asks.
    RequestArrived(RequestInfo),
    /// The first event of an attempt's stream is here; it waits to be passed on.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt has ended by itself.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        ending: AttemptResult,
    },
    /// An attempt has been stopped as asked for.
    AttemptStopped {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Whether its last byte may have been written.
        written: bool,
    },
    /// The client has left.
    ClientDisconnected(RequestId),
    /// A message of another dispatcher.
    GossipReceived(Vec<u8>),
    /// Settings that hold from now on; their classes are numbered by place, as they were read.
    SettingsReloaded(Box<Settings>),
    /// What the process whose place this one takes has learnt.
    StateImported(Box<Handover>),
    /// This process is a part of its dispatcher from now on, and holds so many requests at most.
    LimitShareChanged {
        /// Which part, of 1.
        part: f64,
        /// Requests that are open at once.
        most_open: usize,
    },
    /// Time has passed: what is due is dealt with.
    Tick,
}

/// How an attempt ended by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Prompt tokens that the server found kept.
    pub cached_tokens: u64,
    /// The load report, if one came along.
    pub report: Option<Report>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, cached_tokens: 0, report: None }
    }
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server; a stop comes at `until` at the latest.
    Send {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Whether it is to read only.
        reads: bool,
        /// When the attempt is given up.
        until: Micros,
        /// Nothing of it may be written from then on.
        begin_by: Micros,
        /// It may go over a new connection only: something is held, whose time runs until this arrives, and a connection
        /// that was open before may have fallen silent.
        new_connection: bool,
    },
    /// Call an attempt off if nothing of it has been written yet; only then `Stopped` is to follow.
    CancelUnwritten {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Give an attempt up; `Stopped` is to follow.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Pass an attempt's stream on to the client.
    Relay {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: refused.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may come again.
        retry_in: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        id: RequestId,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
    /// Let go of all that is held for the request.
    ReleaseHeldState {
        /// The request.
        id: RequestId,
        /// Servers that hold or may hold something.
        holders: Vec<ServerId>,
        /// Once more after [`CLOSE_SEEN`]: a read that has just been given up may end until its close is seen.
        again: bool,
    },
    /// Send a message to all other dispatchers.
    PublishGossip(Vec<u8>),
    /// The request is over and nothing of it is out: it can be forgotten.
    Evict {
        /// The request.
        id: RequestId,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
}

/// Where the client of a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    /// It waits for its answer.
    Waiting,
    /// It is given the stream of this attempt.
    Streaming(u32),
    /// It has its final answer or has left.
    Done,
}

#[derive(Debug)]
struct InFlight {
    server: ServerId,
    reads: bool,
    sent: Micros,
    until: Micros,
    /// The outcome to report once the stop that was asked for has been carried out.
    stopping: Option<Outcome>,
}

impl InFlight {
    fn label(&self, id: RequestId, attempt: u32) -> AttemptLabel {
        AttemptLabel { id, attempt, server: self.server }
    }
}

#[derive(Debug)]
struct Request {
    class: u32,
    client: Client,
    not_after: Micros,
    attempts: u32,
    in_flight: BTreeMap<u32, InFlight>,
    held: Vec<ServerId>,
    /// Since when nothing that was written is out.
    held_since: Micros,
    /// When a read was last given up or broke off, which may have ended all the same.
    read_unsure: Option<Micros>,
    /// When the first attempt was sent that may have run.
    ran: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Attempt(RequestId, u32),
    Router(TimerToken),
}

/// The reducer. See the [module](self).
#[derive(Debug)]
pub struct Core {
    router: Router,
    classes: Classes,
    roles: Vec<Role>,
    /// Servers by the list: role, and whether it takes work.
    servers: BTreeMap<ServerId, (Role, bool)>,
    start_times: StartTimes,
    guard: Guard,
    transitions: Transitions,
    requests: BTreeMap<RequestId, Request>,
    timers: BTreeSet<(Micros, Timer)>,
    most_open: usize,
    retry_in: Micros,
    max_hold_time: Micros,
    resolution: Micros,
    writers_can_read: bool,
    /// What the router is still to be told in this step.
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    now: Micros,
}

impl Core {
    /// One that has just started; it holds `most_open` requests at most.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros, most_open: usize) -> Self {
        Self {
            roles: settings.kinds.iter().map(|kind| kind.role).collect(),
            retry_in: settings.max_retry_after,
            max_hold_time: settings.max_hold_time,
            resolution: settings.resolution,
            writers_can_read: settings.writers_can_read,
            classes: Classes::new(settings.classes.clone()),
            router: Router::new(settings, seed, now),
            servers: BTreeMap::new(),
            start_times: StartTimes::default(),
            guard: Guard::default(),
            transitions: Transitions::default(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            most_open,
            events: VecDeque::new(),
            effects: Vec::new(),
            now,
        }
    }

    /// Takes what has happened and returns what is to be done, in order.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        // The router subtracts times from one another: its clock must never go back.
        self.now = self.now.max(now);
        match input {
            Input::EndpointsUpdated { how, entries } => self.listed(how, entries),
            Input::RequestArrived(call) => self.arrived(call),
            Input::StreamStarted { id, attempt } => self.began(id, attempt),
            Input::AttemptFinished { id, attempt, ending } => self.finished(id, attempt, ending),
            Input::AttemptStopped { id, attempt, written } => self.stopped(id, attempt, written),
            Input::ClientDisconnected(id) => self.client_gone(id),
            Input::SettingsReloaded(settings) => self.retuned(*settings),
            Input::StateImported(learnt) => self.events.push_back(Event::StateImported(learnt)),
            Input::LimitShareChanged { part, most_open } => {
                self.most_open = most_open;
                self.events.push_back(Event::LimitShareChanged(part));
            }
            Input::GossipReceived(bytes) => self.events.push_back(Event::GossipReceived(bytes)),
            Input::Tick => {}
        }
        self.consult();
        while let Some(&(at, timer)) = self.timers.first().filter(|&&(at, _)| at <= self.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Attempt(id, attempt) => self.stop(id, attempt, Outcome::Timeout),
                Timer::Router(token) => self.events.push_back(Event::TimerFired(token)),
            }
            self.consult();
        }
        std::mem::take(&mut self.effects)
    }

    /// When the next step is due although nothing happens.
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|&(at, _)| at)
    }

    /// Requests whose clients still wait or are being streamed to, or of which an attempt is out.
    #[must_use]
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Whether the list has servers that together can serve a request.
    #[must_use]
    pub fn serves(&self) -> bool {
        let takes_work = |wanted| self.servers.values().any(|&(role, ready)| ready && role == wanted);
        let reads = takes_work(Role::Reader) || self.writers_can_read;
        takes_work(Role::Mixed) || (reads && takes_work(Role::Writer))
    }

    /// What became of messages between dispatchers.
    #[must_use]
    pub fn gossip(&self) -> GossipCounts {
        self.router.gossip()
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

    /// Servers of the list that are avoided now.
    #[must_use]
    pub fn avoided(&self) -> usize {
        self.router.avoided()
    }

    fn listed(&mut self, how: ListUpdateKind, mut entries: Vec<ServerEntry>) {
        self.start_times.localize(self.now, how, &mut entries);
        // Servers come under new ids all day: those that have gone are forgotten.
        if matches!(how, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            self.servers.clear();
        }
        for entry in &entries {
            if entry.health == Health::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let role = self.roles.get(entry.kind as usize).copied().unwrap_or(Role::Mixed);
            self.servers.insert(entry.server, (role, entry.health == Health::Ready));
        }
        // A drain that comes between the choice of a server and the first byte stops that send.
        let servers = &self.servers;
        let takes_work =
            |in_flight: &InFlight| servers.get(&in_flight.server).is_some_and(|(_, ready)| *ready);
        for (&id, request) in &self.requests {
            let to_withdraw = request.in_flight.iter().filter(|(_, in_flight)| !takes_work(in_flight));
            self.effects.extend(to_withdraw.map(|(&attempt, _)| Effect::CancelUnwritten { id, attempt }));
        }
        self.events.push_back(Event::EndpointsUpdated { how, entries });
    }

    /// What is learnt by now, for another process to go on from.
    #[must_use]
    pub fn learnt(&self) -> Handover {
        self.router.hands_over()
    }

    /// The classes, with those that only open requests still have.
    #[must_use]
    pub fn classes(&self) -> &BTreeMap<u32, Class> {
        self.classes.known()
    }

    fn retuned(&mut self, mut settings: Settings) {
        let requests = &self.requests;
        let in_use = |number| requests.values().any(|request| request.class == number);
        let class_renumbering =
            self.classes.retune(std::mem::take(&mut settings.classes).into_values(), in_use);
        settings.classes = self.classes.known().clone();
        self.retry_in = settings.max_retry_after;
        (self.max_hold_time, self.resolution) = (settings.max_hold_time, settings.resolution);
        self.writers_can_read = settings.writers_can_read;
        self.roles = settings.kinds.iter().map(|kind| kind.role).collect();
        self.events.push_back(Event::SettingsReloaded { settings: Box::new(settings), class_renumbering });
    }

    fn arrived(&mut self, call: RequestInfo) {
        let (id, not_after, class) = (call.id, call.not_after, call.class);
        if self.requests.contains_key(&id) {
            return;
        }
        // A class that went while the request was on its way here: nothing was done, and trying again is harmless.
        let too_many = self.requests.len() >= self.most_open;
        if too_many || !self.classes.knows(class) {
            let reason = if too_many { EndReason::TooManyOpen } else { EndReason::ClassGone };
            self.transitions.answered(id, reason);
            self.effects.push(Effect::Reject { id, retry_in: self.retry_in });
            self.effects.push(Effect::Evict { id, may_have_run: false });
            return;
        }
        let request = Request {
            class,
            client: Client::Waiting,
            not_after,
            attempts: 0,
            in_flight: BTreeMap::new(),
            held: Vec::new(),
            held_since: self.now,
            read_unsure: None,
            ran: None,
        };
        self.requests.insert(id, request);
        self.events.push_back(Event::RequestArrived(call));
    }

    fn began(&mut self, id: RequestId, number: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.get(&number).filter(|in_flight| in_flight.stopping.is_none())
        else {
            return;
        };
        if request.client != Client::Waiting {
            return self.stop(id, number, Outcome::Cancelled);
        }
        let runs_once = |class: &Class| class.effect == class::Effect::AtMostOnce;
        let ran_before = request.ran.is_some_and(|ran| ran != in_flight.sent);
        if ran_before && self.classes.known().get(&request.class).is_some_and(runs_once) {
            self.guard.finds_broken(Rule::SecondRun, id, request);
        }
        request.client = Client::Streaming(number);
        request.ran.get_or_insert(in_flight.sent);
        request.held.clear(); // with the first token all that is held goes by itself
        self.timers.remove(&(in_flight.until, Timer::Attempt(id, number)));
        Transitions::begins(in_flight.label(id, number), self.now - in_flight.sent);
        self.effects.push(Effect::Relay { id, attempt: number });
        self.events.push_back(Event::FirstToken { id, attempt: number, taken: self.now - in_flight.sent });
    }

    fn finished(&mut self, id: RequestId, number: u32, ending: AttemptResult) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.remove(&number) else { return };
        self.timers.remove(&(in_flight.until, Timer::Attempt(id, number)));
        let AttemptResult { outcome, cached_tokens, report } = ending;
        self.transitions.ended(in_flight.label(id, number), outcome, self.now - in_flight.sent);
        // A read that was cut short may have ended well all the same: what it left counts as held.
        if in_flight.reads && (outcome == Outcome::Read || outcome.may_have_run()) {
            request.held.push(in_flight.server);
            request.read_unsure = (outcome != Outcome::Read).then_some(self.now).or(request.read_unsure);
        }
        if !in_flight.reads && outcome.may_have_run() {
            request.ran.get_or_insert(in_flight.sent);
        }
        // While requests don't reach servers, the time that something may be held goes on running.
        let late = self.now >= request.held_since + self.max_hold_time;
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unacknowledged) {
            request.held_since = self.now;
        } else if late && request.in_flight.is_empty() {
            self.let_go(id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == Client::Streaming(number) {
            request.client = Client::Done;
        }
        let last = request.client == Client::Done;
        self.events.push_back(Event::AttemptFinished(AttemptFinished {
            id,
            attempt: number,
            server: in_flight.server,
            taken: self.now - in_flight.sent,
            outcome,
            cached_tokens,
            last,
            report,
        }));
    }

    /// A stop that came before the last byte was written proves that the attempt never ran.
    fn stopped(&mut self, id: RequestId, number: u32, written: bool) {
        let Some(in_flight) = self.requests.get(&id).and_then(|request| request.in_flight.get(&number))
        else {
            return;
        };
        let outcome = match in_flight.stopping {
            Some(outcome) if written => outcome,
            Some(Outcome::Timeout) => Outcome::ConnectFailed,
            _ if !written => Outcome::NotSent,
            _ => return,
        };
        self.finished(id, number, outcome.into());
    }

    fn client_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // Whatever is still on its way to a server must not begin for a client that has gone.
        if request.client == Client::Waiting {
            let numbers = request.in_flight.keys();
            self.effects.extend(numbers.map(|&attempt| Effect::CancelUnwritten { id, attempt }));
        }
        match std::mem::replace(&mut request.client, Client::Done) {
            Client::Done => {}
            Client::Waiting => self.events.push_back(Event::ClientDisconnected(id)),
            Client::Streaming(number) => {
                self.events.push_back(Event::ClientDisconnected(id));
                self.finished(id, number, Outcome::Cancelled.into());
            }
        }
    }

    fn stop(&mut self, id: RequestId, number: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == Client::Streaming(number) {
            return; // the attempt belongs to the client
        }
        let Some(in_flight) =
            request.in_flight.get_mut(&number).filter(|in_flight| in_flight.stopping.is_none())
        else {
            return;
        };
        in_flight.stopping = Some(outcome);
        Transitions::stops(in_flight.label(id, number), outcome);
        self.effects.push(Effect::CancelAttempt { id, attempt: number });
    }

    /// Tells the router what it has to know, carries out what it wants, and tidies up after it.
    fn consult(&mut self) {
        let mut actions = Vec::new();
        let mut touched = Vec::new();
        while let Some(event) = self.events.pop_front() {
            if let Event::AttemptFinished(AttemptFinished { id, .. }) | Event::ClientDisconnected(id) = event
            {
                touched.push(id);
            }
            self.router.handle(self.now, event, &mut actions);
            for &(id, reason) in self.router.end_reasons() {
                self.transitions.answered(id, reason);
            }
            for action in actions.drain(..) {
                if let Action::Reject { id, .. } | Action::Fail(id) = action {
                    touched.push(id);
                }
                self.act(action);
            }
        }
        for id in touched {
            self.tidy(id);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Assign { id, server, attempt_timeout } => self.assign(id, server, attempt_timeout),
            Action::Reject { id, retry_in } => {
                if self.answered(id) {
                    self.effects.push(Effect::Reject { id, retry_in });
                }
            }
            Action::Fail(id) => {
                if self.answered(id) {
                    let may_have_run = self.requests.get(&id).is_some_and(|request| request.ran.is_some());
                    self.effects.push(Effect::Fail { id, may_have_run });
                }
            }
            Action::CancelAttempt { id, attempt } => self.stop(id, attempt, Outcome::Cancelled),
            Action::ReleaseHeldState(id) => self.let_go(id),
            Action::StartTimer { delay, token } => {
                self.timers.insert((self.now + delay.max(1), Timer::Router(token)));
            }
            // The list is watched all the time: there is nothing to ask for.
            Action::Subscribe => {}
            Action::PublishGossip(bytes) => self.effects.push(Effect::PublishGossip(bytes)),
        }
    }

    /// Whether the request's one final answer is still to be given; it is taken to be given now.
    fn answered(&mut self, id: RequestId) -> bool {
        let waiting = self.requests.get_mut(&id).filter(|request| request.client == Client::Waiting);
        let Some(request) = waiting else { return false };
        if self.now > request.not_after + LATE_ANSWER {
            self.guard.finds_broken(Rule::LateAnswer, id, request);
        }
        request.client = Client::Done;
        true
    }

    fn assign(&mut self, id: RequestId, server: ServerId, attempt_timeout: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        let reads = self.servers.get(&server).is_some_and(|&(role, _)| role == Role::Reader);
        let (sent, until) = (self.now, request.not_after.min(self.now + attempt_timeout));
        let taken_by = (!request.held.is_empty()).then_some(request.held_since + self.max_hold_time);
        let class = self.classes.known().get(&request.class);
        let first = request.ran.filter(|_| !reads);
        let runs_again_by = first.zip(class).map(|(first, class)| match class.effect {
            class::Effect::Idempotent => until,
            class::Effect::Deduplicated => (first + class.dedup_window).saturating_sub(self.resolution),
            class::Effect::AtMostOnce => 0,
        });
        let check = SendCheck {
            now: self.now,
            waits: request.client == Client::Waiting,
            takes_work: self.servers.get(&server).is_none_or(|&(_, ready)| ready),
            until,
            taken_by,
            runs_again_by,
        };
        let begin_by = [taken_by, runs_again_by].into_iter().flatten().fold(until, Micros::min);
        if !self.guard.lets_send(id, &check) {
            let (outcome, cached_tokens, report) = (Outcome::NotSent, 0, None);
            let last = request.client != Client::Waiting;
            let ended =
                AttemptFinished { id, attempt, server, taken: 0, outcome, cached_tokens, last, report };
            return self.events.push_back(Event::AttemptFinished(ended));
        }
        let in_flight = InFlight { server, reads, sent, until, stopping: None };
        Transitions::sends(in_flight.label(id, attempt), reads, until - sent);
        request.in_flight.insert(attempt, in_flight);
        self.timers.insert((until, Timer::Attempt(id, attempt)));
        let new_connection = taken_by.is_some();
        self.effects.push(Effect::Send { id, attempt, server, reads, until, begin_by, new_connection });
    }

    fn let_go(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let held_by = request.held_since + self.max_hold_time + HELD_MORE;
        if !request.held.is_empty() && request.in_flight.is_empty() && self.now > held_by {
            self.guard.finds_broken(Rule::HeldTooLong, id, request);
        }
        let holders = std::mem::take(&mut request.held);
        if !holders.is_empty() {
            Transitions::releases(id, holders.len(), self.now.saturating_sub(request.held_since));
            let again = request.read_unsure.take().is_some_and(|at| self.now < at + CLOSE_SEEN);
            self.effects.push(Effect::ReleaseHeldState { id, holders, again });
        }
    }

    /// Forgets a request that is over once nothing of it is out, and lets go of what may still be held.
    fn tidy(&mut self, id: RequestId) {
        let over = |request: &&Request| request.client == Client::Done && request.in_flight.is_empty();
        if self.requests.get(&id).filter(over).is_some() {
            self.let_go(id);
            let may_have_run = self.requests.remove(&id).is_some_and(|request| request.ran.is_some());
            self.effects.push(Effect::Evict { id, may_have_run });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{CellId, ZoneId};
    use dewladder_router::pairs::from_pairs;

    /// The last guard, against a module that would break the rules: the module itself never does this.
    #[test]
    fn after_the_final_answer_there_is_no_other_and_nothing_is_sent() {
        let pairs = [("lanes.count", "1"), ("limits.max_retry_after_s", "1")].into_iter().collect();
        let mut core = Core::new(from_pairs(pairs).expect("settings"), 1, 1_000, 8);
        let id = RequestId(1);
        let request = Request {
            class: 0,
            client: Client::Waiting,
            not_after: 9_000,
            attempts: 0,
            in_flight: BTreeMap::new(),
            held: Vec::new(),
            held_since: 0,
            read_unsure: None,
            ran: None,
        };
        core.requests.insert(id, request);
        core.act(Action::Reject { id, retry_in: 5 });
        core.act(Action::Fail(id));
        core.act(Action::Reject { id, retry_in: 6 });
        core.act(Action::Assign { id, server: ServerId(3), attempt_timeout: 100 });
        assert_eq!(core.effects, [Effect::Reject { id, retry_in: 5 }]);
        let told = core.events.pop_front();
        assert!(matches!(
            told,
            Some(Event::AttemptFinished(AttemptFinished { outcome: Outcome::NotSent, last: true, .. }))
        ));
    }

    /// New servers come under new ids all day.
    #[test]
    fn servers_that_have_gone_are_forgotten() {
        let pairs = [("lanes.count", "1")].into_iter().collect();
        let mut core = Core::new(from_pairs(pairs).expect("settings"), 1, 1_000, 8);
        let entry = |server, health| ServerEntry {
            server: ServerId(server),
            zone: ZoneId(0),
            cell: CellId(0),
            weight: 1.0,
            started: None,
            health,
            kind: 0,
        };
        for day in 0..100 {
            let entries = vec![entry(day + 1, Health::Ready), entry(day, Health::Gone)];
            core.step(2_000, Input::EndpointsUpdated { how: ListUpdateKind::Patch, entries });
        }
        assert_eq!(core.servers.len(), 1);
        let entries = vec![entry(7, Health::Ready), entry(8, Health::Terminating)];
        core.step(3_000, Input::EndpointsUpdated { how: ListUpdateKind::Full, entries });
        assert_eq!(core.servers.len(), 2);
    }
}
