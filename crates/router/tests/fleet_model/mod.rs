//! Many dispatchers before one fleet of servers, in virtual time: each server works its queue off in turn, a read takes
//! as long as its prompt wants, and nothing here looks into the decisions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use dewladder_router::interface::*;
use dewladder_router::Router;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::common::decision_hash::DecisionHash;

pub const SECOND: Micros = 1_000_000;

/// A server as it truly is.
#[derive(Clone, Debug)]
pub struct Server {
    pub entry: ServerEntry,
    pub role: Role,
    /// Time for a token of a prompt, when warm and alone.
    pub token_takes: f64,
    /// Time for an attempt, whatever its length.
    pub attempt_takes: f64,
    /// How long an answer streams after its first token.
    pub streams_for: Micros,
    /// What it does with attempts besides working them off.
    pub behavior: Behavior,
    free_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Work,
    Hang,
    Refuse,
}

/// A send, as a server sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Micros,
    pub dispatcher: usize,
    pub server: ServerId,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Record {
    pub info: RequestInfo,
    pub dispatcher: usize,
    pub at: Micros,
    pub attempts: u32,
    /// When its first token came.
    pub answered: Option<Micros>,
    pub refused: bool,
    pub failed: bool,
}

struct Dispatcher {
    router: Router,
    life: u32,
    /// For each attempt that is out: its request's number of the attempt, server, when sent.
    out: BTreeMap<RequestId, (u32, ServerId, Micros)>,
}

#[derive(Debug)]
enum Step {
    Due(TimerToken),
    Ends(RequestId, u32, Outcome),
    Begins(RequestId, u32),
    Leaves(RequestId),
}

/// See the [module](self).
pub struct Model {
    pub now: Micros,
    pub settings: Settings,
    pub servers: BTreeMap<ServerId, Server>,
    pub sends: Vec<Sent>,
    pub records: BTreeMap<RequestId, Record>,
    /// Timers come due at the next multiple of this: many dispatchers need not be swept as often as few.
    pub sweep: Micros,
    pub lots: Pcg64Mcg,
    /// The servers that are sent something first turn out to do this from then on, up to a third of each role.
    pub first_ones: Option<Behavior>,
    /// All that the dispatchers have decided.
    pub decisions: DecisionHash,
    dispatchers: Vec<Dispatcher>,
    steps: BTreeMap<(Micros, u64), (usize, u32, Step)>,
    number: u64,
    zones: Vec<ZoneId>,
}

impl Model {
    pub fn new(settings: Settings, zones: Vec<ZoneId>, seed: u64) -> Self {
        let mut model = Self {
            now: 1_000 * SECOND,
            settings,
            servers: BTreeMap::new(),
            sends: Vec::new(),
            records: BTreeMap::new(),
            sweep: 40_000,
            lots: Pcg64Mcg::seed_from_u64(seed),
            first_ones: None,
            decisions: DecisionHash::default(),
            dispatchers: Vec::new(),
            steps: BTreeMap::new(),
            number: 0,
            zones,
        };
        for dispatcher in 0..model.zones.len() {
            let router = model.router(dispatcher);
            model.dispatchers.push(Dispatcher { router, life: 0, out: BTreeMap::new() });
        }
        model
    }

    fn router(&mut self, dispatcher: usize) -> Router {
        let settings = Settings { zone: self.zones[dispatcher], ..self.settings.clone() };
        Router::new(settings, self.lots.next_u64(), self.now)
    }

    pub fn dispatchers(&self) -> usize {
        self.dispatchers.len()
    }

    /// What a dispatcher has learnt, as it would hand it over.
    pub fn learnt(&self, dispatcher: usize) -> String {
        serde_json::to_string(&self.dispatchers[dispatcher].router.export_state()).expect("it can be written")
    }

    /// A share of 1.
    pub fn unit_draw(&mut self) -> f64 {
        self.lots.next_u32() as f64 / (f64::from(u32::MAX) + 1.0)
    }

    /// A number from these, the last one not included.
    pub fn draw(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit_draw()
    }

    /// Sets a server up; the dispatchers hear of it with the next list.
    pub fn add_server(
        &mut self,
        entry: ServerEntry,
        token_takes: f64,
        attempt_takes: f64,
        streams_for: Micros,
    ) {
        let role = self.settings.kinds[entry.kind as usize].role;
        let (behavior, free_at) = (Behavior::Work, 0);
        let id = entry.server;
        self.servers
            .insert(id, Server { entry, role, token_takes, attempt_takes, streams_for, behavior, free_at });
    }

    /// Tells all dispatchers the whole list.
    pub fn list(&mut self) {
        for dispatcher in 0..self.dispatchers.len() {
            self.list_to(dispatcher);
        }
    }

    fn list_to(&mut self, dispatcher: usize) {
        let entries = self.servers.values().map(|server| server.entry.clone()).collect();
        self.tell(dispatcher, Event::EndpointsUpdated { how: ListUpdateKind::Full, entries });
    }

    /// A server comes back cold; all dispatchers are told at once.
    pub fn restart_server(&mut self, server: ServerId) {
        let now = self.now;
        let server = self.servers.get_mut(&server).expect("a server");
        (server.entry.started, server.free_at) = (Some(now), now);
        let entries = vec![server.entry.clone()];
        for dispatcher in 0..self.dispatchers.len() {
            self.tell(
                dispatcher,
                Event::EndpointsUpdated { how: ListUpdateKind::Patch, entries: entries.clone() },
            );
        }
    }

    /// A dispatcher is killed and comes back without memory; what it had out is nobody's any more.
    pub fn restart_dispatcher(&mut self, dispatcher: usize) {
        let router = self.router(dispatcher);
        let life = self.dispatchers[dispatcher].life + 1;
        self.dispatchers[dispatcher] = Dispatcher { router, life, out: BTreeMap::new() };
        self.list_to(dispatcher);
    }

    /// The part of its capacity that a server has now, rising evenly while it is cold.
    pub fn share(&self, server: &Server, now: Micros) -> f64 {
        let Some(from) = server.entry.started else { return 1.0 };
        let age = now.saturating_sub(from) as f64 / self.settings.slow_start_window as f64;
        (self.settings.slow_start_min_share + (1.0 - self.settings.slow_start_min_share) * age).min(1.0)
    }

    pub fn ask(&mut self, dispatcher: usize, info: RequestInfo) {
        let (id, at, not_after) = (info.id, self.now, info.not_after);
        let record = Record {
            info: info.clone(),
            dispatcher,
            at,
            attempts: 0,
            answered: None,
            refused: false,
            failed: false,
        };
        self.records.insert(id, record);
        self.plan(not_after, dispatcher, Step::Leaves(id));
        self.tell(dispatcher, Event::RequestArrived(info));
    }

    fn plan(&mut self, at: Micros, dispatcher: usize, step: Step) {
        self.number += 1;
        self.steps.insert((at, self.number), (dispatcher, self.dispatchers[dispatcher].life, step));
    }

    /// Lets time pass up to this moment.
    pub fn run_until(&mut self, end: Micros) {
        while let Some((&(at, number), _)) = self.steps.first_key_value().filter(|(key, _)| key.0 <= end) {
            let (dispatcher, life, step) = self.steps.remove(&(at, number)).expect("there");
            self.now = at;
            if life == self.dispatchers[dispatcher].life {
                self.step(dispatcher, step);
            }
        }
        self.now = end;
    }

    fn step(&mut self, dispatcher: usize, step: Step) {
        match step {
            Step::Due(token) => self.tell(dispatcher, Event::TimerFired(token)),
            Step::Leaves(id) => {
                let record = &self.records[&id];
                if record.answered.is_none() && !record.refused && !record.failed {
                    self.tell(dispatcher, Event::ClientDisconnected(id));
                }
            }
            Step::Begins(id, attempt) => {
                let Some(&(_, _, sent)) =
                    self.dispatchers[dispatcher].out.get(&id).filter(|out| out.0 == attempt)
                else {
                    return;
                };
                self.records.get_mut(&id).expect("known").answered = Some(self.now);
                let taken = self.now - sent;
                self.tell(dispatcher, Event::FirstToken { id, attempt, taken });
            }
            Step::Ends(id, attempt, outcome) => {
                let out = self.dispatchers[dispatcher].out.get(&id).filter(|out| out.0 == attempt);
                let Some(&(_, server, sent)) = out else { return };
                if outcome == Outcome::Timeout && self.records[&id].answered.is_some() {
                    return; // it belongs to the client
                }
                self.dispatchers[dispatcher].out.remove(&id);
                let record = &self.records[&id];
                let last = outcome == Outcome::Served || record.refused || record.failed;
                let taken = self.now - sent;
                let ended = AttemptFinished {
                    id,
                    attempt,
                    server,
                    taken,
                    outcome,
                    held_state: HeldStateAfter::of_arrived(outcome),
                    cached_tokens: 0,
                    last,
                    report: None,
                };
                self.tell(dispatcher, Event::AttemptFinished(ended));
            }
        }
    }

    fn tell(&mut self, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        let router = &mut self.dispatchers[dispatcher].router;
        router.handle(self.now, event, &mut actions);
        self.decisions.decided(dispatcher, self.now, &actions, router.end_reasons());
        for action in actions {
            match action {
                Action::Assign { id, server, attempt_timeout } => {
                    self.send(dispatcher, id, server, attempt_timeout);
                }
                Action::Reject { id, .. } => self.records.get_mut(&id).expect("known").refused = true,
                Action::Fail(id) => self.records.get_mut(&id).expect("known").failed = true,
                Action::CancelAttempt { id, attempt } => {
                    self.plan(self.now, dispatcher, Step::Ends(id, attempt, Outcome::Cancelled));
                }
                Action::StartTimer { delay, token } => {
                    let due = (self.now + delay).next_multiple_of(self.sweep);
                    self.plan(due, dispatcher, Step::Due(token));
                }
                Action::PublishGossip(bytes) => {
                    for other in (0..self.dispatchers.len()).filter(|&other| other != dispatcher) {
                        // Heard without an answer: what a dispatcher does next, it does at its next event.
                        let heard = Event::GossipReceived(bytes.clone());
                        self.dispatchers[other].router.handle(self.now, heard, &mut Vec::new());
                    }
                }
                Action::ReleaseHeldState(_) | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, dispatcher: usize, id: RequestId, server: ServerId, attempt_timeout: Micros) {
        let now = self.now;
        self.sends.push(Sent { at: now, dispatcher, server });
        let record = self.records.get_mut(&id).expect("known");
        let attempt = record.attempts;
        record.attempts += 1;
        let until = (now + attempt_timeout.max(1)).min(record.info.not_after);
        let tokens = record.info.prompt_tokens as f64;
        self.dispatchers[dispatcher].out.insert(id, (attempt, server, now));
        let mut model = self.servers.remove(&server).expect("a server");
        let of_role = || self.servers.values().filter(|other| other.role == model.role);
        let bad = of_role().filter(|other| other.behavior != Behavior::Work).count();
        if let Some(behavior) = self.first_ones.filter(|_| 3 * (bad + 1) <= of_role().count() + 1) {
            model.behavior = behavior;
        }
        let takes = (tokens * model.token_takes + model.attempt_takes) / self.share(&model, now);
        let (role, streams_for) = (model.role, model.streams_for);
        let done = match model.behavior {
            Behavior::Hang => Micros::MAX,
            Behavior::Refuse => {
                self.plan(now + 500, dispatcher, Step::Ends(id, attempt, Outcome::ConnectFailed));
                self.servers.insert(server, model);
                return;
            }
            Behavior::Work => {
                let begins = model.free_at.max(now);
                let done = begins + takes as Micros;
                // What is given up before its turn is never begun.
                if begins < until {
                    model.free_at = done.min(until);
                }
                done
            }
        };
        self.servers.insert(server, model);
        if done > until {
            self.plan(until, dispatcher, Step::Ends(id, attempt, Outcome::Timeout));
        } else if role == Role::Reader {
            self.plan(done, dispatcher, Step::Ends(id, attempt, Outcome::Read));
        } else {
            self.plan(done, dispatcher, Step::Begins(id, attempt));
            self.plan(done + streams_for, dispatcher, Step::Ends(id, attempt, Outcome::Served));
        }
    }
}
