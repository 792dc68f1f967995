//! Drives the router and the oracle side by side with the same events, and simulates the servers, clients and timers
//! that they need.

use std::collections::BTreeMap;

use dewladder_router::interface::*;
use dewladder_router::{Load, LoadUpdate};

use crate::decision_hash::DecisionHash;
use crate::oracle;

pub const SECOND: Micros = 1_000_000;

fn class(at: u32) -> Class {
    let (effect, dedup_group) = [
        (Effect::Idempotent, DedupGroup::All),
        (Effect::AtMostOnce, DedupGroup::All),
        (Effect::Deduplicated, DedupGroup::Zone),
        (Effect::Deduplicated, DedupGroup::Cell),
        (Effect::Deduplicated, DedupGroup::All),
    ][at as usize % 5];
    Class {
        name: format!("class {at}"),
        default_timeout: 5 * SECOND,
        max_attempts: 6,
        retired: false,
        latency_objective: SECOND / 2 + u64::from(at) * 90_000,
        latency_objective_per_1000_tokens: 40_000,
        token_interval_objective: 60_000,
        effect,
        dedup_group,
        dedup_window: 2 * SECOND,
        priority_weight: 1.0 + f64::from(at),
    }
}

pub fn settings(dispatchers: u32) -> Settings {
    let kind = |role, memory_tokens| Kind { role, memory_tokens };
    Settings {
        dispatcher_count: dispatchers,
        zone: ZoneId(1),
        classes: (0..5).map(|at| (at, class(at))).collect(),
        kinds: vec![kind(Role::Reader, 200_000), kind(Role::Writer, 60_000), kind(Role::Mixed, 200_000)],
        must_subscribe: false,
        max_list_age: 10 * SECOND,
        may_cancel: true,
        gossip_allowed: true,
        gossip_price: 0.001,
        writers_can_read: true,
        max_retry_after: SECOND,
        max_hold_time: SECOND / 2,
        min_batch_interval: 4_000,
        weight_is_size: true,
        slow_start_min_share: 0.3,
        slow_start_window: 6 * SECOND,
        memory_field: Some(0),
        overload_multiple: 2.5,
        overload_window: SECOND,
    }
}

pub fn entry(server: u32, mixed: bool) -> ServerEntry {
    let kind = if mixed && server.is_multiple_of(9) { 2 } else { u32::from(server % 20 >= 9) };
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId(server / 8 % 3),
        cell: CellId(server / 8),
        weight: 1.0,
        started: None,
        health: Health::Ready,
        kind,
    }
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
struct InFlight {
    number: u32,
    server: ServerId,
    sent_at: Micros,
    /// When it times out, unless it streams by then.
    until: Micros,
    is_streaming: bool,
}

/// The router and the oracle, which receive the same events.
pub struct Pair {
    router: dewladder_router::Router,
    oracle: oracle::Router,
    settings: Settings,
    now: Micros,
    list: BTreeMap<ServerId, ServerEntry>,
    in_flight: BTreeMap<RequestId, InFlight>,
    /// Number of attempts sent so far, by request.
    attempts: BTreeMap<RequestId, u32>,
    timers: Vec<(Micros, TimerToken)>,
    last_id: u64,
    /// Every message reaches its server. Otherwise the end of any attempt may release the held state, restart its hold
    /// time or let the hold time continue, whatever the outcome.
    pub every_message_arrives: bool,
    /// Hash of all decisions, which are the same for both.
    pub decisions: DecisionHash,
}

impl Pair {
    pub fn new(settings: Settings, entries: Vec<ServerEntry>, seed: u64) -> Self {
        let now = 1_000 * SECOND;
        let mut pair = Self {
            router: dewladder_router::Router::new(settings.clone(), seed, now),
            oracle: oracle::Router::new(settings.clone(), seed, now),
            settings,
            now,
            list: entries.iter().map(|entry| (entry.server, entry.clone())).collect(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: Vec::new(),
            last_id: 0,
            every_message_arrives: true,
            decisions: DecisionHash::default(),
        };
        pair.handle(Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        pair
    }

    /// Passes an event to both, checks that their actions are equal and that the router's index agrees with a recount,
    /// and carries out the actions.
    fn handle(&mut self, event: Event) {
        let (mut actions, mut oracle_actions) = (Vec::new(), Vec::new());
        self.router.handle(self.now, event.clone(), &mut actions);
        self.oracle.handle(self.now, event.clone(), &mut oracle_actions);
        assert_eq!(actions, oracle_actions, "at {} after {event:?}", self.now);
        assert_eq!(self.router.index_disagreement(), None, "at {} after {event:?}", self.now);
        self.decisions.record_decisions(0, self.now, &actions, self.router.end_reasons());
        for action in actions {
            match action {
                Action::Assign { id, server, attempt_timeout } => {
                    let number = self.attempts.entry(id).or_default();
                    let attempt = InFlight {
                        number: *number,
                        server,
                        sent_at: self.now,
                        until: self.now + attempt_timeout,
                        is_streaming: false,
                    };
                    *number += 1;
                    self.in_flight.insert(id, attempt);
                    // The others stay in transit until they stream or end.
                    if !(id.0 + self.now).is_multiple_of(5) {
                        self.handle(Event::AttemptWritten(id));
                    }
                }
                Action::StartTimer { delay, token } => self.timers.push((self.now + delay, token)),
                Action::CancelAttempt { id, .. } => {
                    let attempt = self.in_flight.remove(&id);
                    if let Some(attempt) = attempt {
                        self.end(id, &attempt, Outcome::Cancelled, 0, false);
                    }
                }
                _ => {}
            }
        }
    }

    /// What the end of an attempt means for the state that is held for its request. See
    /// [`every_message_arrives`](Self::every_message_arrives).
    fn held_state_after(&self, id: RequestId, outcome: Outcome) -> HeldStateAfter {
        if self.every_message_arrives {
            return HeldStateAfter::of_arrived(outcome);
        }
        let all =
            [HeldStateAfter::HoldTimeContinues, HeldStateAfter::HoldTimeRestarts, HeldStateAfter::Released];
        all[(id.0 + self.now) as usize % all.len()]
    }

    /// Reports the end of an attempt. With `full`, its server also sends a load report of 97% of its memory held.
    fn end(&mut self, id: RequestId, attempt: &InFlight, outcome: Outcome, cached_tokens: u64, full: bool) {
        let mut report = Report::default();
        report.set("x0", Some(if full { 0.97 } else { 0.4 }));
        self.handle(Event::AttemptFinished(AttemptFinished {
            id,
            attempt: attempt.number,
            server: attempt.server,
            elapsed: self.now - attempt.sent_at,
            outcome,
            held_state: self.held_state_after(id, outcome),
            cached_tokens,
            completes_request: attempt.is_streaming || outcome == Outcome::Served,
            report: full.then_some(report),
        }));
    }

    /// Lets time pass. Timers expire on time; attempts past their timeout end at the next timer.
    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let due = self.timers.iter().map(|&(at, _)| at).min().filter(|&at| at <= end);
            let Some(at) = due else { break };
            self.now = self.now.max(at);
            let index = self.timers.iter().position(|&(due, _)| due == at).expect("a timer is due");
            let (_, token) = self.timers.swap_remove(index);
            self.handle(Event::TimerFired(token));
            let timed_out =
                |(_, attempt): &(&RequestId, &InFlight)| !attempt.is_streaming && attempt.until <= self.now;
            let timed_out: Vec<RequestId> =
                self.in_flight.iter().filter(timed_out).map(|(&id, _)| id).collect();
            for id in timed_out {
                let attempt = self.in_flight.remove(&id).expect("an attempt in flight");
                self.end(id, &attempt, Outcome::Timeout, 0, false);
            }
        }
        self.now = end;
    }

    /// A request arrives. All of its properties follow from `draw`.
    fn request(&mut self, draw: u32) {
        self.last_id += 1;
        let session = u64::from(draw >> 4) % 23;
        let shared = (!draw.is_multiple_of(3)).then(|| Key(500 + session % 5));
        let info = RequestInfo {
            id: RequestId(self.last_id),
            class: draw % 5,
            session: (!draw.is_multiple_of(7)).then_some(Key(session)),
            shared,
            shared_tokens: if shared.is_some() { 700 + u64::from(draw % 2) * 6_000 } else { 0 },
            prompt_tokens: 800 + u64::from(draw >> 8) % 9_000,
            max_tokens: 400,
            hint: None,
            not_after: self.now + SECOND + u64::from(draw >> 12) % (4 * SECOND),
        };
        self.handle(Event::RequestArrived(info));
    }

    /// Changes an entry of the list of servers and reports it as a patch.
    fn change(&mut self, server: ServerId, change: impl FnOnce(&mut ServerEntry, Micros)) {
        let Some(entry) = self.list.get_mut(&server) else { return };
        change(entry, self.now);
        let entries = vec![entry.clone()];
        self.handle(Event::EndpointsUpdated { kind: ListUpdateKind::Patch, entries });
    }

    fn is_reader(&self, server: ServerId) -> bool {
        self.list.get(&server).is_some_and(|entry| entry.kind == 0)
    }

    /// An attempt advances: a read ends, a stream begins, or it ends as served.
    fn answer(&mut self, draw: u32) {
        let candidates: Vec<RequestId> = self.in_flight.keys().copied().collect();
        let Some(&id) = candidates.get(draw as usize % candidates.len().max(1)) else { return };
        let attempt = self.in_flight[&id].clone();
        let is_reader = self.is_reader(attempt.server);
        if !is_reader && !attempt.is_streaming && !draw.is_multiple_of(5) {
            self.in_flight.get_mut(&id).expect("an attempt in flight").is_streaming = true;
            let elapsed = self.now - attempt.sent_at;
            return self.handle(Event::FirstToken { id, attempt: attempt.number, elapsed });
        }
        self.in_flight.remove(&id);
        let outcome = if is_reader { Outcome::Read } else { Outcome::Served };
        self.end(id, &attempt, outcome, u64::from(draw >> 8) % 900, draw.is_multiple_of(11));
    }

    /// An attempt that does not stream yet fails.
    fn fail(&mut self, draw: u32) {
        let candidates: Vec<RequestId> =
            self.in_flight.iter().filter(|(_, attempt)| !attempt.is_streaming).map(|(&id, _)| id).collect();
        let Some(&id) = candidates.get(draw as usize % candidates.len().max(1)) else { return };
        let attempt = self.in_flight.remove(&id).expect("an attempt in flight");
        let outcome = [
            Outcome::Full,
            Outcome::Error,
            Outcome::Reset,
            Outcome::ConnectFailed,
            Outcome::NoState,
            Outcome::Timeout,
            Outcome::Unacknowledged,
            Outcome::NotSent,
        ][(draw >> 8) as usize % 8];
        self.end(id, &attempt, outcome, 0, false);
    }

    /// Performs one step of a random series. `choice` selects what happens, and `draw` its details, such as the server
    /// or the request.
    pub fn step(&mut self, choice: u8, draw: u32) {
        match choice {
            0..=11 => self.request(draw),
            12..=24 => self.answer(draw),
            25..=28 => self.fail(draw),
            29..=35 => self.pass(u64::from(draw % 90) * 1_000),
            36 => self.pass(u64::from(draw % 3_000) * 1_000),
            37 => self.disconnect(draw),
            38 | 39 => self.restart_server(draw),
            40 => self.change_health(draw),
            41 => self.add_server(draw),
            42 => self.remove_servers(draw),
            43 => self.restart_zone(draw),
            44 => self.reload_settings(draw),
            45 => self.handle(Event::LimitShareChanged(f64::from(1 + draw % 4) / 4.0)),
            _ => self.receive_gossip(draw),
        }
    }

    fn any_server(&self, draw: u32) -> Option<ServerId> {
        self.list.keys().copied().nth(draw as usize % self.list.len().max(1))
    }

    fn disconnect(&mut self, draw: u32) {
        if let Some(&id) = self.in_flight.keys().nth(draw as usize % self.in_flight.len().max(1)) {
            self.handle(Event::ClientDisconnected(id));
        }
    }

    fn restart_server(&mut self, draw: u32) {
        let Some(server) = self.any_server(draw) else { return };
        self.change(server, |entry, now| (entry.started, entry.health) = (Some(now), Health::Ready));
    }

    fn change_health(&mut self, draw: u32) {
        let Some(server) = self.any_server(draw) else { return };
        let health = [Health::Terminating, Health::Gone, Health::Ready][(draw >> 8) as usize % 3];
        self.change(server, |entry, _| entry.health = health);
    }

    fn add_server(&mut self, draw: u32) {
        let server = ServerId(1_000 + draw % 40);
        let mut new = entry(server.0, true);
        new.started = draw.is_multiple_of(2).then_some(self.now);
        self.list.insert(server, new);
        self.change(server, |_, _| {});
    }

    fn remove_servers(&mut self, draw: u32) {
        self.list.retain(|id, _| !(id.0 + draw).is_multiple_of(13));
        self.send_full_list();
    }

    fn restart_zone(&mut self, draw: u32) {
        let zone = ZoneId(draw % 3);
        for entry in self.list.values_mut().filter(|entry| entry.zone == zone) {
            (entry.started, entry.health) = (Some(self.now), Health::Ready);
        }
        self.send_full_list();
    }

    fn send_full_list(&mut self) {
        let entries = self.list.values().cloned().collect();
        self.handle(Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    }

    /// Reloads the settings with other objectives, another slow start window and another number of dispatchers, and
    /// renumbers one class.
    fn reload_settings(&mut self, draw: u32) {
        let mut settings = self.settings.clone();
        settings.slow_start_window = SECOND * (1 + u64::from(draw % 9));
        for class in settings.classes.values_mut() {
            class.latency_objective = SECOND / 3 + u64::from(draw % 800_000);
        }
        settings.dispatcher_count = 1 + draw % 40;
        self.settings = settings.clone();
        let class_renumbering = BTreeMap::from([(draw % 5, (draw >> 4) % 5)]);
        self.handle(Event::SettingsReloaded { settings: Box::new(settings), class_renumbering });
    }

    fn receive_gossip(&mut self, draw: u32) {
        let Some(server) = self.any_server(draw) else { return };
        let amount = u64::from(draw % 900_000);
        let load = if draw.is_multiple_of(3) { Load::Sent(amount) } else { Load::Queued(amount) };
        let update = LoadUpdate { server: dewladder_router::tag(server), load, at: self.now };
        self.handle(Event::GossipReceived(update.to_bytes().to_vec()));
    }
}
