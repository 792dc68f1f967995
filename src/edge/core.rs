//! The reducer: all state of requests, attempts and of what is held for them, and the one function that
//! changes it. It owns the [`Router`], turns its actions into effects, and is the last guard for the rules:
//! one final answer for each request, and nothing sent after the client has left or the stream has begun.
//! It knows of no wire; inputs come from, and effects go to, `driver.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::edge::guard::{Guard, Rule, SendCheck};
use crate::edge::transitions::{AttemptLabel, Transitions};
use crate::interface::{
    self as class, Action, Call, Class, Ended, EngineId, Entry, Event, Health, ListKind, Micros, Outcome,
    Report, RequestId, Role, Settings, TimerToken,
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
    Listed {
        /// How to read the entries.
        how: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client asks.
    Arrived(Call),
    /// The first event of an attempt's stream is here; it waits to be passed on.
    Began {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt has ended by itself.
    Finished {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        ending: Ending,
    },
    /// An attempt has been stopped as asked for.
    Stopped {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Whether its last byte may have been written.
        written: bool,
    },
    /// The client has left.
    ClientGone(RequestId),
    /// A message of another dispatcher.
    Heard(Vec<u8>),
    /// Settings that hold from now on; their classes are numbered by place, as they were read.
    Retuned(Box<Settings>),
    /// What the process whose place this one takes has learnt.
    TakenOver(Box<Handover>),
    /// This process is a part of its dispatcher from now on, and holds so many requests at most.
    Part {
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
pub struct Ending {
    /// The outcome.
    pub outcome: Outcome,
    /// Prompt tokens that the server found kept.
    pub kept_tokens: u64,
    /// The load report, if one came along.
    pub report: Option<Report>,
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, kept_tokens: 0, report: None }
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
        engine: EngineId,
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
    Withdraw {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Give an attempt up; `Stopped` is to follow.
    Stop {
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
    Refuse {
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
    Release {
        /// The request.
        id: RequestId,
        /// Servers that hold or may hold something.
        holders: Vec<EngineId>,
        /// Once more after [`CLOSE_SEEN`]: a read that has just been given up may end until its close is seen.
        again: bool,
    },
    /// Send a message to all other dispatchers.
    Tell(Vec<u8>),
    /// The request is over and nothing of it is out: it can be forgotten.
    Forget {
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
struct Out {
    engine: EngineId,
    reads: bool,
    sent: Micros,
    until: Micros,
    /// The outcome to report once the stop that was asked for has been carried out.
    stopping: Option<Outcome>,
}

impl Out {
    fn label(&self, id: RequestId, attempt: u32) -> AttemptLabel {
        AttemptLabel { id, attempt, server: self.engine }
    }
}

#[derive(Debug)]
struct Request {
    class: u32,
    client: Client,
    not_after: Micros,
    attempts: u32,
    out: BTreeMap<u32, Out>,
    held: Vec<EngineId>,
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
    servers: BTreeMap<EngineId, (Role, bool)>,
    start_times: StartTimes,
    guard: Guard,
    transitions: Transitions,
    requests: BTreeMap<RequestId, Request>,
    timers: BTreeSet<(Micros, Timer)>,
    most_open: usize,
    retry_in: Micros,
    release_within: Micros,
    resolution: Micros,
    writers_read: bool,
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
            release_within: settings.release_within,
            resolution: settings.resolution,
            writers_read: settings.writers_read,
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
            Input::Listed { how, entries } => self.listed(how, entries),
            Input::Arrived(call) => self.arrived(call),
            Input::Began { id, attempt } => self.began(id, attempt),
            Input::Finished { id, attempt, ending } => self.finished(id, attempt, ending),
            Input::Stopped { id, attempt, written } => self.stopped(id, attempt, written),
            Input::ClientGone(id) => self.client_gone(id),
            Input::Retuned(settings) => self.retuned(*settings),
            Input::TakenOver(learnt) => self.events.push_back(Event::TakenOver(learnt)),
            Input::Part { part, most_open } => {
                self.most_open = most_open;
                self.events.push_back(Event::Part(part));
            }
            Input::Heard(bytes) => self.events.push_back(Event::Heard(bytes)),
            Input::Tick => {}
        }
        self.consult();
        while let Some(&(at, timer)) = self.timers.first().filter(|&&(at, _)| at <= self.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Attempt(id, attempt) => self.stop(id, attempt, Outcome::Timeout),
                Timer::Router(token) => self.events.push_back(Event::Due(token)),
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
        let reads = takes_work(Role::Reader) || self.writers_read;
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

    fn listed(&mut self, how: ListKind, mut entries: Vec<Entry>) {
        self.start_times.localize(self.now, how, &mut entries);
        // Servers come under new ids all day: those that have gone are forgotten.
        if matches!(how, ListKind::Whole | ListKind::StaleCopy) {
            self.servers.clear();
        }
        for entry in &entries {
            if entry.health == Health::Gone {
                self.servers.remove(&entry.engine);
                continue;
            }
            let role = self.roles.get(entry.kind as usize).copied().unwrap_or(Role::Mixed);
            self.servers.insert(entry.engine, (role, entry.health == Health::Ready));
        }
        // A drain that comes between the choice of a server and the first byte stops that send.
        let servers = &self.servers;
        let takes_work = |out: &Out| servers.get(&out.engine).is_some_and(|(_, ready)| *ready);
        for (&id, request) in &self.requests {
            let to_withdraw = request.out.iter().filter(|(_, out)| !takes_work(out));
            self.effects.extend(to_withdraw.map(|(&attempt, _)| Effect::Withdraw { id, attempt }));
        }
        self.events.push_back(Event::Roster { how, entries });
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
        let heirs = self.classes.retune(std::mem::take(&mut settings.classes).into_values(), in_use);
        settings.classes = self.classes.known().clone();
        self.retry_in = settings.max_retry_after;
        (self.release_within, self.resolution) = (settings.release_within, settings.resolution);
        self.writers_read = settings.writers_read;
        self.roles = settings.kinds.iter().map(|kind| kind.role).collect();
        self.events.push_back(Event::Retuned { settings: Box::new(settings), heirs });
    }

    fn arrived(&mut self, call: Call) {
        let (id, not_after, class) = (call.id, call.not_after, call.class);
        if self.requests.contains_key(&id) {
            return;
        }
        // A class that went while the request was on its way here: nothing was done, and trying again is harmless.
        let too_many = self.requests.len() >= self.most_open;
        if too_many || !self.classes.knows(class) {
            let reason = if too_many { EndReason::TooManyOpen } else { EndReason::ClassGone };
            self.transitions.answered(id, reason);
            self.effects.push(Effect::Refuse { id, retry_in: self.retry_in });
            self.effects.push(Effect::Forget { id, may_have_run: false });
            return;
        }
        let request = Request {
            class,
            client: Client::Waiting,
            not_after,
            attempts: 0,
            out: BTreeMap::new(),
            held: Vec::new(),
            held_since: self.now,
            read_unsure: None,
            ran: None,
        };
        self.requests.insert(id, request);
        self.events.push_back(Event::Call(call));
    }

    fn began(&mut self, id: RequestId, number: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(out) = request.out.get(&number).filter(|out| out.stopping.is_none()) else { return };
        if request.client != Client::Waiting {
            return self.stop(id, number, Outcome::Cancelled);
        }
        let runs_once = |class: &Class| class.effect == class::Effect::AtMostOnce;
        let ran_before = request.ran.is_some_and(|ran| ran != out.sent);
        if ran_before && self.classes.known().get(&request.class).is_some_and(runs_once) {
            self.guard.finds_broken(Rule::SecondRun, id, request);
        }
        request.client = Client::Streaming(number);
        request.ran.get_or_insert(out.sent);
        request.held.clear(); // with the first token all that is held goes by itself
        self.timers.remove(&(out.until, Timer::Attempt(id, number)));
        Transitions::begins(out.label(id, number), self.now - out.sent);
        self.effects.push(Effect::Relay { id, attempt: number });
        self.events.push_back(Event::Begun { id, attempt: number, taken: self.now - out.sent });
    }

    fn finished(&mut self, id: RequestId, number: u32, ending: Ending) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(out) = request.out.remove(&number) else { return };
        self.timers.remove(&(out.until, Timer::Attempt(id, number)));
        let Ending { outcome, kept_tokens, report } = ending;
        self.transitions.ended(out.label(id, number), outcome, self.now - out.sent);
        // A read that was cut short may have ended well all the same: what it left counts as held.
        if out.reads && (outcome == Outcome::Read || outcome.may_have_run()) {
            request.held.push(out.engine);
            request.read_unsure = (outcome != Outcome::Read).then_some(self.now).or(request.read_unsure);
        }
        if !out.reads && outcome.may_have_run() {
            request.ran.get_or_insert(out.sent);
        }
        // While requests don't reach servers, the time that something may be held goes on running.
        let late = self.now >= request.held_since + self.release_within;
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::Moot | Outcome::Unacknowledged) {
            request.held_since = self.now;
        } else if late && request.out.is_empty() {
            self.let_go(id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == Client::Streaming(number) {
            request.client = Client::Done;
        }
        let last = request.client == Client::Done;
        self.events.push_back(Event::Ended(Ended {
            id,
            attempt: number,
            engine: out.engine,
            taken: self.now - out.sent,
            outcome,
            kept_tokens,
            last,
            report,
        }));
    }

    /// A stop that came before the last byte was written proves that the attempt never ran.
    fn stopped(&mut self, id: RequestId, number: u32, written: bool) {
        let Some(out) = self.requests.get(&id).and_then(|request| request.out.get(&number)) else { return };
        let outcome = match out.stopping {
            Some(outcome) if written => outcome,
            Some(Outcome::Timeout) => Outcome::ConnectFailed,
            _ if !written => Outcome::Moot,
            _ => return,
        };
        self.finished(id, number, outcome.into());
    }

    fn client_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // Whatever is still on its way to a server must not begin for a client that has gone.
        if request.client == Client::Waiting {
            let numbers = request.out.keys();
            self.effects.extend(numbers.map(|&attempt| Effect::Withdraw { id, attempt }));
        }
        match std::mem::replace(&mut request.client, Client::Done) {
            Client::Done => {}
            Client::Waiting => self.events.push_back(Event::Hangup(id)),
            Client::Streaming(number) => {
                self.events.push_back(Event::Hangup(id));
                self.finished(id, number, Outcome::Cancelled.into());
            }
        }
    }

    fn stop(&mut self, id: RequestId, number: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.client == Client::Streaming(number) {
            return; // the attempt belongs to the client
        }
        let Some(out) = request.out.get_mut(&number).filter(|out| out.stopping.is_none()) else { return };
        out.stopping = Some(outcome);
        Transitions::stops(out.label(id, number), outcome);
        self.effects.push(Effect::Stop { id, attempt: number });
    }

    /// Tells the router what it has to know, carries out what it wants, and tidies up after it.
    fn consult(&mut self) {
        let mut actions = Vec::new();
        let mut touched = Vec::new();
        while let Some(event) = self.events.pop_front() {
            if let Event::Ended(Ended { id, .. }) | Event::Hangup(id) = event {
                touched.push(id);
            }
            self.router.handle(self.now, event, &mut actions);
            for &(id, reason) in self.router.end_reasons() {
                self.transitions.answered(id, reason);
            }
            for action in actions.drain(..) {
                if let Action::Refuse { id, .. } | Action::GiveUp(id) = action {
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
            Action::Assign { id, engine, patience } => self.assign(id, engine, patience),
            Action::Refuse { id, retry_in } => {
                if self.answered(id) {
                    self.effects.push(Effect::Refuse { id, retry_in });
                }
            }
            Action::GiveUp(id) => {
                if self.answered(id) {
                    let may_have_run = self.requests.get(&id).is_some_and(|request| request.ran.is_some());
                    self.effects.push(Effect::Fail { id, may_have_run });
                }
            }
            Action::Revoke { id, attempt } => self.stop(id, attempt, Outcome::Cancelled),
            Action::LetGo(id) => self.let_go(id),
            Action::Defer { delay, token } => {
                self.timers.insert((self.now + delay.max(1), Timer::Router(token)));
            }
            // The list is watched all the time: there is nothing to ask for.
            Action::Subscribe => {}
            Action::Tell(bytes) => self.effects.push(Effect::Tell(bytes)),
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

    fn assign(&mut self, id: RequestId, engine: EngineId, patience: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        let reads = self.servers.get(&engine).is_some_and(|&(role, _)| role == Role::Reader);
        let (sent, until) = (self.now, request.not_after.min(self.now + patience));
        let taken_by = (!request.held.is_empty()).then_some(request.held_since + self.release_within);
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
            takes_work: self.servers.get(&engine).is_none_or(|&(_, ready)| ready),
            until,
            taken_by,
            runs_again_by,
        };
        let begin_by = [taken_by, runs_again_by].into_iter().flatten().fold(until, Micros::min);
        if !self.guard.lets_send(id, &check) {
            let (outcome, kept_tokens, report) = (Outcome::Moot, 0, None);
            let last = request.client != Client::Waiting;
            let ended = Ended { id, attempt, engine, taken: 0, outcome, kept_tokens, last, report };
            return self.events.push_back(Event::Ended(ended));
        }
        let out = Out { engine, reads, sent, until, stopping: None };
        Transitions::sends(out.label(id, attempt), reads, until - sent);
        request.out.insert(attempt, out);
        self.timers.insert((until, Timer::Attempt(id, attempt)));
        let new_connection = taken_by.is_some();
        self.effects.push(Effect::Send { id, attempt, engine, reads, until, begin_by, new_connection });
    }

    fn let_go(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let held_by = request.held_since + self.release_within + HELD_MORE;
        if !request.held.is_empty() && request.out.is_empty() && self.now > held_by {
            self.guard.finds_broken(Rule::HeldTooLong, id, request);
        }
        let holders = std::mem::take(&mut request.held);
        if !holders.is_empty() {
            Transitions::releases(id, holders.len(), self.now.saturating_sub(request.held_since));
            let again = request.read_unsure.take().is_some_and(|at| self.now < at + CLOSE_SEEN);
            self.effects.push(Effect::Release { id, holders, again });
        }
    }

    /// Forgets a request that is over once nothing of it is out, and lets go of what may still be held.
    fn tidy(&mut self, id: RequestId) {
        let over = |request: &&Request| request.client == Client::Done && request.out.is_empty();
        if self.requests.get(&id).filter(over).is_some() {
            self.let_go(id);
            let may_have_run = self.requests.remove(&id).is_some_and(|request| request.ran.is_some());
            self.effects.push(Effect::Forget { id, may_have_run });
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
            out: BTreeMap::new(),
            held: Vec::new(),
            held_since: 0,
            read_unsure: None,
            ran: None,
        };
        core.requests.insert(id, request);
        core.act(Action::Refuse { id, retry_in: 5 });
        core.act(Action::GiveUp(id));
        core.act(Action::Refuse { id, retry_in: 6 });
        core.act(Action::Assign { id, engine: EngineId(3), patience: 100 });
        assert_eq!(core.effects, [Effect::Refuse { id, retry_in: 5 }]);
        let told = core.events.pop_front();
        assert!(matches!(told, Some(Event::Ended(Ended { outcome: Outcome::Moot, last: true, .. }))));
    }

    /// New servers come under new ids all day.
    #[test]
    fn servers_that_have_gone_are_forgotten() {
        let pairs = [("lanes.count", "1")].into_iter().collect();
        let mut core = Core::new(from_pairs(pairs).expect("settings"), 1, 1_000, 8);
        let entry = |engine, health| Entry {
            engine: EngineId(engine),
            zone: ZoneId(0),
            cell: CellId(0),
            weight: 1.0,
            started: None,
            health,
            kind: 0,
        };
        for day in 0..100 {
            let entries = vec![entry(day + 1, Health::Ready), entry(day, Health::Gone)];
            core.step(2_000, Input::Listed { how: ListKind::Patch, entries });
        }
        assert_eq!(core.servers.len(), 1);
        let entries = vec![entry(7, Health::Ready), entry(8, Health::Terminating)];
        core.step(3_000, Input::Listed { how: ListKind::Whole, entries });
        assert_eq!(core.servers.len(), 2);
    }
}
