//! A test harness for one router: it carries out the router's actions and checks them against the five rules. The
//! checks share no code with the router. The harness does not simulate servers: they do what the test says.
//!
//! The rules: (1) every request is answered once and by its deadline; (2) a request has at most one attempt in
//! flight, and is repeated or rejected only where its class allows that; (3) requests go only to servers that the
//! list shows as ready; (4) a server in slow start gets few requests; (5) no state stays held at a reader for longer
//! than `max_hold_time` without an attempt.
#![allow(dead_code)]

pub mod decision_hash;
pub mod serving;

use std::collections::{BTreeMap, BTreeSet};

use dewladder_router::interface::*;
use dewladder_router::Router;

pub const SECOND: Micros = 1_000_000;

/// A class with a latency objective of 1 s, at most 5 attempts and a deduplication window of 2 s.
pub fn class(effect: Effect, dedup_group: DedupGroup) -> Class {
    Class {
        name: format!("{effect:?}-{dedup_group:?}"),
        default_timeout: 5 * SECOND,
        max_attempts: 5,
        retired: false,
        latency_objective: SECOND,
        latency_objective_per_1000_tokens: 40_000,
        token_interval_objective: 60_000,
        effect,
        dedup_group,
        dedup_window: 2 * SECOND,
        priority_weight: 1.0,
    }
}

/// Settings with four classes that differ in effect and deduplication group, and with one kind of server for each
/// role: 0 reader, 1 writer, 2 mixed.
pub fn settings() -> Settings {
    Settings {
        dispatcher_count: 2,
        zone: ZoneId(0),
        classes: (0..)
            .zip([
                class(Effect::Idempotent, DedupGroup::All),
                class(Effect::AtMostOnce, DedupGroup::All),
                class(Effect::Deduplicated, DedupGroup::Cell),
                class(Effect::Deduplicated, DedupGroup::All),
            ])
            .collect(),
        kinds: vec![
            Kind { role: Role::Reader, memory_tokens: 200_000 },
            Kind { role: Role::Writer, memory_tokens: 150_000 },
            Kind { role: Role::Mixed, memory_tokens: 200_000 },
        ],
        must_subscribe: false,
        max_list_age: 10 * SECOND,
        may_cancel: true,
        gossip_allowed: false,
        gossip_price: 0.0,
        writers_can_read: true,
        max_retry_after: SECOND,
        max_hold_time: 300_000,
        min_batch_interval: 4_000,
        weight_is_size: true,
        slow_start_min_share: 0.3,
        slow_start_window: 12 * SECOND,
        memory_field: Some(0),
        overload_multiple: 2.5,
        overload_window: 1_500_000,
    }
}

/// A ready, warm server. Even and odd ids are in different zones and cells.
pub fn entry(server: u32, kind: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId(server % 2),
        cell: CellId(server % 2),
        weight: 1.0,
        started: None,
        health: Health::Ready,
        kind,
    }
}

/// Readers 0 to 3, writers 10 to 13, and with `mixed` also the mixed servers 20 and 21.
pub fn fleet(mixed: bool) -> Vec<ServerEntry> {
    let mut list: Vec<ServerEntry> =
        (0..4).map(|id| entry(id, 0)).chain((10..14).map(|id| entry(id, 1))).collect();
    if mixed {
        list.extend([entry(20, 2), entry(21, 2)]);
    }
    list
}

/// A request of class 0 with a session of its own and a deadline 5 s after `now`.
pub fn request_info(id: u64, now: Micros) -> RequestInfo {
    RequestInfo {
        id: RequestId(id),
        class: 0,
        session: Some(Key(id)),
        shared: None,
        shared_tokens: 0,
        prompt_tokens: 1_000,
        max_tokens: 400,
        hint: None,
        not_after: now + 5 * SECOND,
    }
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub number: u32,
    pub server: ServerId,
    /// When it was sent.
    pub at: Micros,
    /// When it times out, unless it streams by then.
    pub until: Micros,
    /// The first token has come.
    pub is_streaming: bool,
    /// The server is a reader.
    pub reads: bool,
}

/// What the harness knows of a request, for the checks of the rules.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub info: RequestInfo,
    /// Number of attempts sent.
    pub attempts: u32,
    /// The attempt in flight.
    pub in_flight: Option<SentAttempt>,
    /// The final answer has been given, or the client has disconnected.
    pub ended: bool,
    /// The server and the send time of the first attempt that may have run.
    pub may_have_run: Option<(ServerId, Micros)>,
    /// The reader that holds the request's state, and when the last attempt ended.
    pub held_by: Option<(ServerId, Micros)>,
}

/// A router with its timers, servers and clients. Every action is checked against the rules as it comes.
pub struct World {
    pub settings: Settings,
    pub router: Router,
    pub now: Micros,
    pub list: BTreeMap<ServerId, ServerEntry>,
    /// All requests since the dispatcher's last restart.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Expiry time and token of each timer.
    pub timers: BTreeSet<(Micros, u64)>,
    /// All actions so far.
    pub log: Vec<Action>,
    /// Time and server of each send, and whether the server was in slow start.
    pub sends: Vec<(Micros, ServerId, bool)>,
    /// Times of the calls for the list of servers.
    pub subscribes: Vec<Micros>,
}

impl World {
    /// A router that starts with a stored copy of the list.
    pub fn new(settings: Settings, list: Vec<ServerEntry>) -> Self {
        Self::with_seed(settings, list, 7)
    }

    pub fn with_seed(settings: Settings, list: Vec<ServerEntry>, seed: u64) -> Self {
        let router = Router::new(settings.clone(), seed, 1_000 * SECOND);
        let mut world = Self {
            settings,
            router,
            now: 1_000 * SECOND,
            list: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            log: Vec::new(),
            sends: Vec::new(),
            subscribes: Vec::new(),
        };
        world.update_list(ListUpdateKind::StaleCopy, list);
        world
    }

    /// Updates the list of servers, or reports that a call for it failed.
    pub fn update_list(&mut self, kind: ListUpdateKind, entries: Vec<ServerEntry>) {
        if kind != ListUpdateKind::Failed {
            if kind != ListUpdateKind::Patch {
                self.list.clear();
            }
            for entry in &entries {
                self.list.insert(entry.server, entry.clone());
            }
        }
        self.handle_event(Event::EndpointsUpdated { kind, entries });
    }

    /// Changes one entry of the list and reports the change to the router.
    pub fn change(&mut self, server: u32, change: impl FnOnce(&mut ServerEntry)) {
        let mut entry = self.list[&ServerId(server)].clone();
        change(&mut entry);
        self.update_list(ListUpdateKind::Patch, vec![entry]);
    }

    /// The dispatcher is killed and restarts with its last list. Its open requests are lost.
    pub fn restart(&mut self, seed: u64) {
        self.router = Router::new(self.settings.clone(), seed, self.now);
        self.requests.clear();
        self.timers.clear();
        let list = self.list.values().cloned().collect();
        self.update_list(ListUpdateKind::StaleCopy, list);
    }

    /// A request arrives.
    pub fn send_request(&mut self, info: RequestInfo) {
        let id = info.id;
        let request = RequestRecord {
            info: info.clone(),
            attempts: 0,
            in_flight: None,
            ended: false,
            may_have_run: None,
            held_by: None,
        };
        self.requests.insert(id, request);
        self.handle_event(Event::RequestArrived(info));
    }

    /// A request with the properties of [`request_info`] arrives.
    pub fn send_default_request(&mut self, id: u64) -> RequestId {
        let info = request_info(id, self.now);
        self.send_request(info);
        RequestId(id)
    }

    /// The request's attempt in flight.
    pub fn in_flight(&self, id: RequestId) -> Option<SentAttempt> {
        self.requests.get(&id).and_then(|request| request.in_flight.clone())
    }

    pub fn is_reader(&self, server: ServerId) -> bool {
        self.list
            .get(&server)
            .is_some_and(|entry| self.settings.kinds[entry.kind as usize].role == Role::Reader)
    }

    /// The request's attempt in flight streams its first token.
    pub fn stream_first_token(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.as_mut() else { return };
        in_flight.is_streaming = true;
        request.held_by = None;
        let event = Event::FirstToken { id, attempt: in_flight.number, elapsed: self.now - in_flight.at };
        self.handle_event(event);
    }

    /// Ends the request's attempt in flight.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) {
        self.end_with(id, outcome, 0);
    }

    /// Ends the attempt in flight; its server found `cached_tokens` of the prompt in its cache.
    pub fn end_with(&mut self, id: RequestId, outcome: Outcome, cached_tokens: u64) {
        self.end_as(id, outcome, HeldStateAfter::of_arrived(outcome), cached_tokens);
    }

    /// Ends the attempt in flight, with the given effect on the state that is held for the request.
    pub fn end_as(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        held_state: HeldStateAfter,
        cached_tokens: u64,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.take() else { return };
        let completes_request = request.ended || outcome == Outcome::Served || in_flight.is_streaming;
        match outcome {
            Outcome::Read => request.held_by = Some((in_flight.server, self.now)),
            // A reader that the writer cannot reach still holds the state.
            _ if held_state == HeldStateAfter::Released => request.held_by = None,
            _ => request.held_by = request.held_by.map(|(server, _)| (server, self.now)),
        }
        let never_ran = matches!(
            outcome,
            Outcome::Full | Outcome::NoState | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Read
        );
        if !never_ran && !in_flight.reads && request.may_have_run.is_none() {
            request.may_have_run = Some((in_flight.server, in_flight.at));
        }
        request.ended = completes_request;
        let event = Event::AttemptFinished(AttemptFinished {
            id,
            attempt: in_flight.number,
            server: in_flight.server,
            elapsed: self.now - in_flight.at,
            outcome,
            held_state,
            cached_tokens,
            completes_request,
            report: None,
        });
        self.handle_event(event);
    }

    /// The client of a request disconnects.
    pub fn disconnect(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
        }
        self.handle_event(Event::ClientDisconnected(id));
    }

    /// Lets time pass in small steps. Timers expire, attempts time out, and the rules on time are checked.
    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.min_batch_interval).min(end);
            while let Some(&(at, token)) = self.timers.first() {
                if at > self.now {
                    break;
                }
                self.timers.pop_first();
                self.handle_event(Event::TimerFired(TimerToken(token)));
            }
            let timed_out: Vec<RequestId> = self
                .requests
                .iter()
                .filter(|(_, request)| {
                    request
                        .in_flight
                        .as_ref()
                        .is_some_and(|in_flight| !in_flight.is_streaming && in_flight.until <= self.now)
                })
                .map(|(&id, _)| id)
                .collect();
            for id in timed_out {
                self.end(id, Outcome::Timeout);
            }
            self.check_deadlines();
        }
    }

    /// Rules 1 and 5: no request is open past its deadline, with a tolerance of four times the minimum interval
    /// between batches, and no state is held for too long without an attempt in flight.
    fn check_deadlines(&self) {
        for (id, request) in &self.requests {
            let is_streaming = request.in_flight.as_ref().is_some_and(|in_flight| in_flight.is_streaming);
            let slack = 4 * self.settings.min_batch_interval;
            assert!(
                request.ended || is_streaming || self.now <= request.info.not_after + slack,
                "rule 1: {id:?} was not answered by its deadline"
            );
            if let (None, Some((_, since))) = (&request.in_flight, request.held_by) {
                assert!(
                    self.now <= since + self.settings.max_hold_time,
                    "rule 5: the state of {id:?} was held for too long"
                );
            }
        }
    }

    /// Passes an event to the router, checks its actions and carries them out.
    pub fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            let sent = match &action {
                Action::Assign { id, .. } => Some(*id),
                _ => None,
            };
            self.take(action);
            if let Some(id) = sent {
                self.handle_event(Event::AttemptWritten(id));
            }
        }
    }

    fn take(&mut self, action: Action) {
        match &action {
            Action::Assign { id, server, attempt_timeout } => self.add_send(*id, *server, *attempt_timeout),
            Action::Reject { id, .. } => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(!request.ended, "rule 1: {id:?} answered twice");
                assert!(request.in_flight.is_none(), "rejected while an attempt is in flight");
                let class = &self.settings.classes[&request.info.class];
                let is_retry_safe = request.may_have_run.is_none()
                    || class.effect == Effect::Idempotent
                    || (class.effect == Effect::Deduplicated && class.dedup_group == DedupGroup::All);
                assert!(is_retry_safe, "rule 2: {id:?} was rejected although it may have run");
                request.ended = true;
            }
            Action::Fail(id) => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(!request.ended, "rule 1: {id:?} answered twice");
                request.ended = true;
            }
            Action::ReleaseHeldState(id) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.held_by = None;
                }
            }
            Action::CancelAttempt { id, attempt } => {
                let request = self.requests.get(id).expect("a known request");
                assert!(*attempt < request.attempts, "a cancelled attempt must have been sent");
            }
            Action::StartTimer { delay, token } => {
                self.timers.insert((self.now + delay, token.0));
            }
            Action::Subscribe => self.subscribes.push(self.now),
            Action::PublishGossip(_) => {}
        }
        self.log.push(action);
    }

    /// Checks a send against rules 1 to 4 and records it.
    fn add_send(&mut self, id: RequestId, server: ServerId, attempt_timeout: Micros) {
        let entry = self.list.get(&server).expect("a listed server").clone();
        let reads = self.is_reader(server);
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !request.ended && self.now <= request.info.not_after,
            "rule 1: {id:?} was sent after its end or deadline"
        );
        assert!(request.in_flight.is_none(), "rule 2: {id:?} has two attempts in flight");
        assert_eq!(
            entry.health,
            Health::Ready,
            "rule 3: {id:?} was sent to a server that is draining or gone"
        );
        if let Some((first, sent)) = request.may_have_run {
            let class = &self.settings.classes[&request.info.class];
            assert_ne!(
                class.effect,
                Effect::AtMostOnce,
                "rule 2: {id:?} was sent again although it may have run"
            );
            if class.effect == Effect::Deduplicated {
                assert!(
                    self.now <= sent + class.dedup_window,
                    "rule 2: {id:?} was sent after the deduplication window"
                );
                let cell = self.list.get(&first).map(|entry| entry.cell);
                assert!(
                    class.dedup_group == DedupGroup::All || cell == Some(entry.cell),
                    "rule 2: {id:?} was sent outside its deduplication group"
                );
            }
        }
        let until = (self.now + attempt_timeout.max(1)).min(request.info.not_after);
        let number = request.attempts;
        request.in_flight =
            Some(SentAttempt { number, server, at: self.now, until, is_streaming: false, reads });
        request.attempts += 1;
        assert!(
            request.attempts <= self.settings.classes[&request.info.class].max_attempts,
            "{id:?} was sent more often than its class allows"
        );
        let in_slow_start = entry.started.is_some_and(|at| self.now < at + self.settings.slow_start_window);
        self.sends.push((self.now, server, in_slow_start));
        if in_slow_start {
            self.check_slow_start(server);
        }
    }

    /// Rule 4, as a loose bound that needs no knowledge of the router. Within an overload window since its last start,
    /// a server in slow start gets at most two requests, one for the start and one for chance, plus
    /// `overload_multiple * slow_start_min_share` times the most requests that any warm server got in such a window.
    fn check_slow_start(&self, server: ServerId) {
        let window = self.settings.overload_window;
        let sent_in = |to: ServerId, end: Micros| {
            self.sends.iter().filter(|&&(at, id, _)| id == to && at + window > end && at <= end).count()
        };
        let warm = self.sends.iter().filter(|&&(_, _, in_slow_start)| !in_slow_start);
        let max_sent = warm.map(|&(at, id, _)| sent_in(id, at)).max().unwrap_or(0);
        let share = self.settings.overload_multiple * self.settings.slow_start_min_share;
        let started = self.list[&server].started.unwrap_or(0);
        let since_start = |at: Micros| at >= started && at + window > self.now;
        let sent = self.sends.iter().filter(|&&(at, id, _)| id == server && since_start(at)).count() as f64;
        assert!(
            sent <= 2.0 + share * max_sent as f64,
            "rule 4: {server:?} was sent {sent} requests during slow start"
        );
    }

    /// Number of actions so far for which `predicate` holds.
    pub fn count(&self, predicate: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|action| predicate(action)).count()
    }
}
