//! A simulation of several dispatchers in front of one fleet of servers, in virtual time. Each server processes its
//! queue in order, and an attempt takes a time that grows with the length of the prompt. The simulation shares no code
//! with the routers' rules.
#![allow(dead_code)]

use std::collections::BTreeMap;

use dewladder_router::interface::*;
use dewladder_router::Router;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::common::decision_hash::DecisionHash;

pub const SECOND: Micros = 1_000_000;

/// A simulated server. The dispatchers know only its list entry.
#[derive(Clone, Debug)]
pub struct Server {
    pub entry: ServerEntry,
    pub role: Role,
    /// Time per prompt token (us), for a warm server without queue.
    pub us_per_token: f64,
    /// Additional time for each attempt (us).
    pub us_per_attempt: f64,
    /// How long an answer streams after its first token (us).
    pub streaming_time: Micros,
    pub behavior: Behavior,
    /// When the server has processed its queue.
    free_at: Micros,
}

/// What a server does with attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Processes them.
    Work,
    /// Never answers them.
    Hang,
    /// Refuses the connection.
    Refuse,
}

/// A send of an attempt to a server.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Micros,
    pub dispatcher: usize,
    pub server: ServerId,
    /// The class of the request.
    pub class: u32,
}

/// A request and its result so far.
#[derive(Clone, Debug)]
pub struct Record {
    pub info: RequestInfo,
    pub dispatcher: usize,
    /// When it arrived.
    pub at: Micros,
    /// Number of attempts sent.
    pub attempts: u32,
    /// When its first token came.
    pub answered: Option<Micros>,
    /// The dispatcher rejected it.
    pub rejected: bool,
    pub failed: bool,
}

struct Dispatcher {
    router: Router,
    /// Number of restarts. Steps that were scheduled before the last one are dropped.
    restarts: u32,
    /// Number, server and send time of each attempt in flight.
    in_flight: BTreeMap<RequestId, (u32, ServerId, Micros)>,
}

/// Something that is scheduled to happen at a dispatcher.
#[derive(Debug)]
enum Step {
    /// The last byte of an attempt, given by its request and number, is written.
    AttemptWritten(RequestId, u32),
    /// A timer expires.
    TimerExpires(TimerToken),
    /// An attempt, given by its request and number, ends.
    AttemptEnds(RequestId, u32, Outcome),
    /// An attempt, given by its request and number, streams its first token.
    FirstTokenComes(RequestId, u32),
    /// A client that has no answer by the deadline disconnects.
    ClientLeaves(RequestId),
}

/// The simulated fleet and its dispatchers. See the [module](self).
pub struct Model {
    pub now: Micros,
    pub settings: Settings,
    pub servers: BTreeMap<ServerId, Server>,
    pub sends: Vec<Sent>,
    pub records: BTreeMap<RequestId, Record>,
    /// Timers expire at the next multiple of this (us). A larger value saves time with many dispatchers, which
    /// need not be swept as often as few.
    pub sweep: Micros,
    pub rng: Pcg64Mcg,
    /// The behavior that servers take on with their first attempt, for up to a third of the servers of each role.
    pub first_attempt_behavior: Option<Behavior>,
    /// Whether the capacity of a server rises during slow start. If not, it stays at the minimum until the end.
    pub warms_gradually: bool,
    /// Attempts at servers in slow start arrive only at multiples of this (us), because their connections come up late;
    /// `None` if all attempts arrive at once.
    pub late_connections: Option<Micros>,
    /// Hash of all decisions of the dispatchers.
    pub decisions: DecisionHash,
    dispatchers: Vec<Dispatcher>,
    /// Scheduled steps by time and, for equal times, in the order of scheduling, each with its dispatcher and the
    /// dispatcher's number of restarts.
    schedule: BTreeMap<(Micros, u64), (usize, u32, Step)>,
    /// Number of steps scheduled so far.
    sequence: u64,
    /// The zone of each dispatcher.
    zones: Vec<ZoneId>,
}

impl Model {
    /// A simulation without servers, and with one dispatcher for each of `zones`.
    pub fn new(settings: Settings, zones: Vec<ZoneId>, seed: u64) -> Self {
        let mut model = Self {
            now: 1_000 * SECOND,
            settings,
            servers: BTreeMap::new(),
            sends: Vec::new(),
            records: BTreeMap::new(),
            sweep: 40_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            first_attempt_behavior: None,
            warms_gradually: true,
            late_connections: None,
            decisions: DecisionHash::default(),
            dispatchers: Vec::new(),
            schedule: BTreeMap::new(),
            sequence: 0,
            zones,
        };
        for dispatcher in 0..model.zones.len() {
            let router = model.router(dispatcher);
            model.dispatchers.push(Dispatcher { router, restarts: 0, in_flight: BTreeMap::new() });
        }
        model
    }

    fn router(&mut self, dispatcher: usize) -> Router {
        let settings = Settings { zone: self.zones[dispatcher], ..self.settings.clone() };
        Router::new(settings, self.rng.next_u64(), self.now)
    }

    /// Number of dispatchers.
    pub fn dispatchers(&self) -> usize {
        self.dispatchers.len()
    }

    /// The state that a dispatcher exports in a hot restart, as JSON.
    pub fn exported_state_json(&self, dispatcher: usize) -> String {
        serde_json::to_string(&self.dispatchers[dispatcher].router.export_state())
            .expect("the exported state can be serialized")
    }

    /// A random number in [0, 1).
    pub fn unit_draw(&mut self) -> f64 {
        self.rng.next_u32() as f64 / (f64::from(u32::MAX) + 1.0)
    }

    /// A random number from `from` to `to`, without `to` itself.
    pub fn draw(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit_draw()
    }

    /// Adds a server. The dispatchers learn of it with the next list.
    pub fn add_server(
        &mut self,
        entry: ServerEntry,
        us_per_token: f64,
        us_per_attempt: f64,
        streaming_time: Micros,
    ) {
        let role = self.settings.kinds[entry.kind as usize].role;
        let (behavior, free_at) = (Behavior::Work, 0);
        let id = entry.server;
        self.servers.insert(
            id,
            Server { entry, role, us_per_token, us_per_attempt, streaming_time, behavior, free_at },
        );
    }

    /// Sends the whole list of servers to all dispatchers.
    pub fn send_list(&mut self) {
        for dispatcher in 0..self.dispatchers.len() {
            self.send_list_to(dispatcher);
        }
    }

    fn send_list_to(&mut self, dispatcher: usize) {
        let entries = self.servers.values().map(|server| server.entry.clone()).collect();
        self.handle_event(dispatcher, Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    }

    /// Restarts a server, which begins its slow start. All dispatchers receive the change at once.
    pub fn restart_server(&mut self, server: ServerId) {
        let now = self.now;
        let server = self.servers.get_mut(&server).expect("a simulated server");
        (server.entry.started, server.free_at) = (Some(now), now);
        let entries = vec![server.entry.clone()];
        for dispatcher in 0..self.dispatchers.len() {
            self.handle_event(
                dispatcher,
                Event::EndpointsUpdated { kind: ListUpdateKind::Patch, entries: entries.clone() },
            );
        }
    }

    /// A dispatcher is killed and restarts without any state. Its attempts in flight are lost.
    pub fn restart_dispatcher(&mut self, dispatcher: usize) {
        let router = self.router(dispatcher);
        let restarts = self.dispatchers[dispatcher].restarts + 1;
        self.dispatchers[dispatcher] = Dispatcher { router, restarts, in_flight: BTreeMap::new() };
        self.send_list_to(dispatcher);
    }

    /// The share of its full capacity that a server has now. It rises linearly during slow start, or only at its end.
    pub fn share(&self, server: &Server, now: Micros) -> f64 {
        let Some(from) = server.entry.started else { return 1.0 };
        let age = now.saturating_sub(from) as f64 / self.settings.slow_start_window as f64;
        if !self.warms_gradually {
            return if age < 1.0 { self.settings.slow_start_min_share } else { 1.0 };
        }
        (self.settings.slow_start_min_share + (1.0 - self.settings.slow_start_min_share) * age).min(1.0)
    }

    /// A request arrives at a dispatcher.
    pub fn send_request(&mut self, dispatcher: usize, info: RequestInfo) {
        let (id, at, not_after) = (info.id, self.now, info.not_after);
        let record = Record {
            info: info.clone(),
            dispatcher,
            at,
            attempts: 0,
            answered: None,
            rejected: false,
            failed: false,
        };
        self.records.insert(id, record);
        self.schedule_step(not_after, dispatcher, Step::ClientLeaves(id));
        self.handle_event(dispatcher, Event::RequestArrived(info));
    }

    /// Schedules a step for a dispatcher.
    fn schedule_step(&mut self, at: Micros, dispatcher: usize, step: Step) {
        self.sequence += 1;
        self.schedule.insert((at, self.sequence), (dispatcher, self.dispatchers[dispatcher].restarts, step));
    }

    /// The arrivals of attempts at a server, in order: the time, and the class of the request.
    pub fn arrivals(&self, server: ServerId) -> impl Iterator<Item = (Micros, u32)> + '_ {
        self.sends.iter().filter(move |sent| sent.server == server).map(|sent| (sent.at, sent.class))
    }

    /// Lets time pass until `end`.
    pub fn run_until(&mut self, end: Micros) {
        while let Some((&(at, sequence), _)) = self.schedule.first_key_value().filter(|(key, _)| key.0 <= end)
        {
            let (dispatcher, restarts, step) =
                self.schedule.remove(&(at, sequence)).expect("the key was just found");
            self.now = at;
            if restarts == self.dispatchers[dispatcher].restarts {
                self.step(dispatcher, step);
            }
        }
        self.now = end;
    }

    /// Performs a scheduled step.
    fn step(&mut self, dispatcher: usize, step: Step) {
        match step {
            Step::AttemptWritten(id, attempt) => {
                let in_flight = self.dispatchers[dispatcher].in_flight.get(&id);
                if in_flight.is_some_and(|in_flight| in_flight.0 == attempt) {
                    self.handle_event(dispatcher, Event::AttemptWritten(id));
                }
            }
            Step::TimerExpires(token) => self.handle_event(dispatcher, Event::TimerFired(token)),
            Step::ClientLeaves(id) => {
                let record = &self.records[&id];
                if record.answered.is_none() && !record.rejected && !record.failed {
                    self.handle_event(dispatcher, Event::ClientDisconnected(id));
                }
            }
            Step::FirstTokenComes(id, attempt) => {
                let Some(&(_, _, sent)) = self.dispatchers[dispatcher]
                    .in_flight
                    .get(&id)
                    .filter(|in_flight| in_flight.0 == attempt)
                else {
                    return;
                };
                self.records.get_mut(&id).expect("known").answered = Some(self.now);
                let elapsed = self.now - sent;
                self.handle_event(dispatcher, Event::FirstToken { id, attempt, elapsed });
            }
            Step::AttemptEnds(id, attempt, outcome) => {
                let in_flight = self.dispatchers[dispatcher]
                    .in_flight
                    .get(&id)
                    .filter(|in_flight| in_flight.0 == attempt);
                let Some(&(_, server, sent)) = in_flight else { return };
                if outcome == Outcome::Timeout && self.records[&id].answered.is_some() {
                    return; // the attempt timeout no longer applies
                }
                self.dispatchers[dispatcher].in_flight.remove(&id);
                let record = &self.records[&id];
                let completes_request = outcome == Outcome::Served || record.rejected || record.failed;
                let elapsed = self.now - sent;
                let ended = AttemptFinished {
                    id,
                    attempt,
                    server,
                    elapsed,
                    outcome,
                    held_state: HeldStateAfter::of_arrived(outcome),
                    cached_tokens: 0,
                    completes_request,
                    report: None,
                };
                self.handle_event(dispatcher, Event::AttemptFinished(ended));
            }
        }
    }

    /// Passes an event to a dispatcher and carries out its actions.
    fn handle_event(&mut self, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        let router = &mut self.dispatchers[dispatcher].router;
        router.handle(self.now, event, &mut actions);
        self.decisions.record_decisions(dispatcher, self.now, &actions, router.end_reasons());
        for action in actions {
            match action {
                Action::Assign { id, server, attempt_timeout } => {
                    self.send(dispatcher, id, server, attempt_timeout);
                }
                Action::Reject { id, .. } => self.records.get_mut(&id).expect("known").rejected = true,
                Action::Fail(id) => self.records.get_mut(&id).expect("known").failed = true,
                Action::CancelAttempt { id, attempt } => {
                    self.schedule_step(
                        self.now,
                        dispatcher,
                        Step::AttemptEnds(id, attempt, Outcome::Cancelled),
                    );
                }
                Action::StartTimer { delay, token } => {
                    let due = (self.now + delay).next_multiple_of(self.sweep);
                    self.schedule_step(due, dispatcher, Step::TimerExpires(token));
                }
                Action::PublishGossip(bytes) => {
                    for other in (0..self.dispatchers.len()).filter(|&other| other != dispatcher) {
                        // Gossip leads to no action of its own; the receiver uses it at its next event.
                        let gossip = Event::GossipReceived(bytes.clone());
                        self.dispatchers[other].router.handle(self.now, gossip, &mut Vec::new());
                    }
                }
                Action::ReleaseHeldState(_) | Action::Subscribe => {}
            }
        }
    }

    /// When an attempt that is sent to a server now arrives there.
    fn arrival(&self, server: ServerId) -> Micros {
        let is_cold = self.share(&self.servers[&server], self.now) < 1.0;
        let delay = self.late_connections.filter(|_| is_cold);
        delay.map_or(self.now, |interval| self.now.next_multiple_of(interval))
    }

    /// Sends an attempt to a server and schedules what follows from it.
    fn send(&mut self, dispatcher: usize, id: RequestId, server: ServerId, attempt_timeout: Micros) {
        let now = self.now;
        let class = self.records[&id].info.class;
        let arrived_at = self.arrival(server);
        self.sends.push(Sent { at: arrived_at, dispatcher, server, class });
        let record = self.records.get_mut(&id).expect("known");
        let attempt = record.attempts;
        record.attempts += 1;
        let timeout_at = (now + attempt_timeout.max(1)).min(record.info.not_after);
        let tokens = record.info.prompt_tokens as f64;
        self.schedule_step(arrived_at, dispatcher, Step::AttemptWritten(id, attempt));
        self.dispatchers[dispatcher].in_flight.insert(id, (attempt, server, now));
        let mut model = self.servers.remove(&server).expect("a simulated server");
        let of_role = || self.servers.values().filter(|other| other.role == model.role);
        let misbehaving = of_role().filter(|other| other.behavior != Behavior::Work).count();
        if let Some(behavior) =
            self.first_attempt_behavior.filter(|_| 3 * (misbehaving + 1) <= of_role().count() + 1)
        {
            model.behavior = behavior;
        }
        let processing_time = (tokens * model.us_per_token + model.us_per_attempt) / self.share(&model, now);
        let (role, streaming_time) = (model.role, model.streaming_time);
        let done = match model.behavior {
            Behavior::Hang => Micros::MAX,
            Behavior::Refuse => {
                self.schedule_step(
                    now + 500,
                    dispatcher,
                    Step::AttemptEnds(id, attempt, Outcome::ConnectFailed),
                );
                self.servers.insert(server, model);
                return;
            }
            Behavior::Work => {
                let start = model.free_at.max(arrived_at);
                let done = start + processing_time as Micros;
                // An attempt that times out before its turn takes no time of the server.
                if start < timeout_at {
                    model.free_at = done.min(timeout_at);
                }
                done
            }
        };
        self.servers.insert(server, model);
        if done > timeout_at {
            self.schedule_step(timeout_at, dispatcher, Step::AttemptEnds(id, attempt, Outcome::Timeout));
        } else if role == Role::Reader {
            self.schedule_step(done, dispatcher, Step::AttemptEnds(id, attempt, Outcome::Read));
        } else {
            self.schedule_step(done, dispatcher, Step::FirstTokenComes(id, attempt));
            self.schedule_step(
                done + streaming_time,
                dispatcher,
                Step::AttemptEnds(id, attempt, Outcome::Served),
            );
        }
    }
}
