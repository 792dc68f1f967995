//! A dispatcher's surroundings, as far as tests need them, and a checker of the five rules that shares nothing
//! with the decision module. It is no simulator: servers do what the test says.
#![allow(dead_code)]

pub mod decision_hash;
pub mod serving;

use std::collections::{BTreeMap, BTreeSet};

use dewladder_router::interface::*;
use dewladder_router::Router;

pub const SECOND: Micros = 1_000_000;

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
        peers: false,
        gossip_price: 0.0,
        writers_can_read: true,
        max_retry_after: SECOND,
        max_hold_time: 300_000,
        resolution: 4_000,
        slow_start_min_share: 0.3,
        slow_start_window: 12 * SECOND,
        memory_field: Some(0),
        overload_multiple: 2.5,
        overload_window: 1_500_000,
    }
}

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

/// Readers 0 to 3, writers 10 to 13, and with `mixed` also servers 20 and 21.
pub fn fleet(mixed: bool) -> Vec<ServerEntry> {
    let mut list: Vec<ServerEntry> =
        (0..4).map(|id| entry(id, 0)).chain((10..14).map(|id| entry(id, 1))).collect();
    if mixed {
        list.extend([entry(20, 2), entry(21, 2)]);
    }
    list
}

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

#[derive(Clone, Debug)]
pub struct Sent {
    pub number: u32,
    pub server: ServerId,
    pub at: Micros,
    pub until: Micros,
    pub begun: bool,
    pub reads: bool,
}

#[derive(Clone, Debug)]
pub struct Known {
    pub info: RequestInfo,
    pub attempts: u32,
    pub out: Option<Sent>,
    pub ended: bool,
    pub ran: Option<(ServerId, Micros)>,
    /// Reader that holds its state, and since when nothing was out.
    pub held: Option<(ServerId, Micros)>,
}

/// A router with its surroundings; every action is held against the rules as it comes.
pub struct World {
    pub settings: Settings,
    pub router: Router,
    pub now: Micros,
    pub list: BTreeMap<ServerId, ServerEntry>,
    pub known: BTreeMap<RequestId, Known>,
    pub timers: BTreeSet<(Micros, u64)>,
    pub log: Vec<Action>,
    pub sends: Vec<(Micros, ServerId, bool)>,
    pub subscribes: Vec<Micros>,
}

impl World {
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
            known: BTreeMap::new(),
            timers: BTreeSet::new(),
            log: Vec::new(),
            sends: Vec::new(),
            subscribes: Vec::new(),
        };
        world.roster(ListUpdateKind::StaleCopy, list);
        world
    }

    pub fn roster(&mut self, how: ListUpdateKind, entries: Vec<ServerEntry>) {
        if how != ListUpdateKind::Failed {
            if how != ListUpdateKind::Patch {
                self.list.clear();
            }
            for entry in &entries {
                self.list.insert(entry.server, entry.clone());
            }
        }
        self.tell(Event::EndpointsUpdated { how, entries });
    }

    /// Changes one entry of the list and tells the router.
    pub fn change(&mut self, server: u32, change: impl FnOnce(&mut ServerEntry)) {
        let mut entry = self.list[&ServerId(server)].clone();
        change(&mut entry);
        self.roster(ListUpdateKind::Patch, vec![entry]);
    }

    /// The dispatcher is killed and comes back with its last list; its requests are its clients' to repeat.
    pub fn restart(&mut self, seed: u64) {
        self.router = Router::new(self.settings.clone(), seed, self.now);
        self.known.clear();
        self.timers.clear();
        let list = self.list.values().cloned().collect();
        self.roster(ListUpdateKind::StaleCopy, list);
    }

    pub fn ask(&mut self, info: RequestInfo) {
        let id = info.id;
        let known = Known { info: info.clone(), attempts: 0, out: None, ended: false, ran: None, held: None };
        self.known.insert(id, known);
        self.tell(Event::RequestArrived(info));
    }

    pub fn simple(&mut self, id: u64) -> RequestId {
        let info = request_info(id, self.now);
        self.ask(info);
        RequestId(id)
    }

    pub fn out(&self, id: RequestId) -> Option<Sent> {
        self.known.get(&id).and_then(|known| known.out.clone())
    }

    pub fn is_reader(&self, server: ServerId) -> bool {
        self.list
            .get(&server)
            .is_some_and(|entry| self.settings.kinds[entry.kind as usize].role == Role::Reader)
    }

    pub fn begin(&mut self, id: RequestId) {
        let Some(known) = self.known.get_mut(&id) else { return };
        let Some(out) = known.out.as_mut() else { return };
        out.begun = true;
        known.held = None;
        let event = Event::FirstToken { id, attempt: out.number, taken: self.now - out.at };
        self.tell(event);
    }

    /// Ends the attempt that is out.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) {
        self.end_with(id, outcome, 0);
    }

    pub fn end_with(&mut self, id: RequestId, outcome: Outcome, cached_tokens: u64) {
        self.end_as(id, outcome, HeldStateAfter::of_arrived(outcome), cached_tokens);
    }

    /// The same, with what it means for the state that is held.
    pub fn end_as(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        held_state: HeldStateAfter,
        cached_tokens: u64,
    ) {
        let Some(known) = self.known.get_mut(&id) else { return };
        let Some(out) = known.out.take() else { return };
        let last = known.ended || outcome == Outcome::Served || out.begun;
        match outcome {
            Outcome::Read => known.held = Some((out.server, self.now)),
            // A reader that is cut off from the writer still holds the state.
            _ if held_state == HeldStateAfter::Released => known.held = None,
            _ => known.held = known.held.map(|(server, _)| (server, self.now)),
        }
        let proven = matches!(
            outcome,
            Outcome::Full | Outcome::NoState | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Read
        );
        if !proven && !out.reads && known.ran.is_none() {
            known.ran = Some((out.server, out.at));
        }
        known.ended = last;
        let event = Event::AttemptFinished(AttemptFinished {
            id,
            attempt: out.number,
            server: out.server,
            taken: self.now - out.at,
            outcome,
            held_state,
            cached_tokens,
            last,
            report: None,
        });
        self.tell(event);
    }

    pub fn hangup(&mut self, id: RequestId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.ended = true;
        }
        self.tell(Event::ClientDisconnected(id));
    }

    /// Lets time pass in small steps; timers and time-outs come due, the clock rules are checked.
    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.resolution).min(end);
            while let Some(&(at, token)) = self.timers.first() {
                if at > self.now {
                    break;
                }
                self.timers.pop_first();
                self.tell(Event::TimerFired(TimerToken(token)));
            }
            let late: Vec<RequestId> = self
                .known
                .iter()
                .filter(|(_, known)| {
                    known.out.as_ref().is_some_and(|out| !out.begun && out.until <= self.now)
                })
                .map(|(&id, _)| id)
                .collect();
            for id in late {
                self.end(id, Outcome::Timeout);
            }
            self.check_clock();
        }
    }

    fn check_clock(&self) {
        for (id, known) in &self.known {
            let begun = known.out.as_ref().is_some_and(|out| out.begun);
            let slack = 4 * self.settings.resolution;
            assert!(
                known.ended || begun || self.now <= known.info.not_after + slack,
                "rule 1: {id:?} not answered"
            );
            if let (None, Some((_, since))) = (&known.out, known.held) {
                assert!(self.now <= since + self.settings.max_hold_time, "rule 5: {id:?} left pinned");
            }
        }
    }

    pub fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.take(action);
        }
    }

    fn take(&mut self, action: Action) {
        match &action {
            Action::Assign { id, server, attempt_timeout } => self.take_send(*id, *server, *attempt_timeout),
            Action::Reject { id, .. } => {
                let known = self.known.get_mut(id).expect("a known request");
                assert!(!known.ended, "rule 1: {id:?} answered twice");
                assert!(known.out.is_none(), "refused while an attempt is out");
                let class = &self.settings.classes[&known.info.class];
                let harmless = known.ran.is_none()
                    || class.effect == Effect::Idempotent
                    || (class.effect == Effect::Deduplicated && class.dedup_group == DedupGroup::All);
                assert!(harmless, "rule 2: {id:?} refused though it may have run");
                known.ended = true;
            }
            Action::Fail(id) => {
                let known = self.known.get_mut(id).expect("a known request");
                assert!(!known.ended, "rule 1: {id:?} answered twice");
                known.ended = true;
            }
            Action::ReleaseHeldState(id) => {
                if let Some(known) = self.known.get_mut(id) {
                    known.held = None;
                }
            }
            Action::CancelAttempt { id, attempt } => {
                let known = self.known.get(id).expect("a known request");
                assert!(*attempt < known.attempts, "an attempt that was made");
            }
            Action::StartTimer { delay, token } => {
                self.timers.insert((self.now + delay, token.0));
            }
            Action::Subscribe => self.subscribes.push(self.now),
            Action::PublishGossip(_) => {}
        }
        self.log.push(action);
    }

    fn take_send(&mut self, id: RequestId, server: ServerId, attempt_timeout: Micros) {
        let entry = self.list.get(&server).expect("a server of the list").clone();
        let reads = self.is_reader(server);
        let known = self.known.get_mut(&id).expect("a known request");
        assert!(!known.ended && self.now <= known.info.not_after, "rule 1: {id:?} sent after its end");
        assert!(known.out.is_none(), "rule 2: {id:?} has two attempts out");
        assert_eq!(entry.health, Health::Ready, "rule 3: {id:?} sent to a server that drains or is gone");
        if let Some((first, sent)) = known.ran {
            let class = &self.settings.classes[&known.info.class];
            assert_ne!(class.effect, Effect::AtMostOnce, "rule 2: {id:?} sent again");
            if class.effect == Effect::Deduplicated {
                assert!(self.now <= sent + class.dedup_window, "rule 2: {id:?} sent after the window");
                let cell = self.list.get(&first).map(|entry| entry.cell);
                assert!(
                    class.dedup_group == DedupGroup::All || cell == Some(entry.cell),
                    "rule 2: outside its dedup_group"
                );
            }
        }
        let until = (self.now + attempt_timeout.max(1)).min(known.info.not_after);
        let number = known.attempts;
        known.out = Some(Sent { number, server, at: self.now, until, begun: false, reads });
        known.attempts += 1;
        assert!(
            known.attempts <= self.settings.classes[&known.info.class].max_attempts,
            "{id:?} sent too often"
        );
        let cold = entry.started.is_some_and(|at| self.now < at + self.settings.slow_start_window);
        self.sends.push((self.now, server, cold));
        if cold {
            self.check_cold(server);
        }
    }

    /// Rule 4, loosely and from outside: since its last start, within a window, no more than one send for the start,
    /// one for chance, and the cold share of the most that any one server was sent in a window of that length.
    fn check_cold(&self, server: ServerId) {
        let window = self.settings.overload_window;
        let sent_in = |to: ServerId, end: Micros| {
            self.sends.iter().filter(|&&(at, id, _)| id == to && at + window > end && at <= end).count()
        };
        let warm = self.sends.iter().filter(|&&(_, _, cold)| !cold);
        let most = warm.map(|&(at, id, _)| sent_in(id, at)).max().unwrap_or(0);
        let share = self.settings.overload_multiple * self.settings.slow_start_min_share;
        let started = self.list[&server].started.unwrap_or(0);
        let since_start = |at: Micros| at >= started && at + window > self.now;
        let sent = self.sends.iter().filter(|&&(at, id, _)| id == server && since_start(at)).count() as f64;
        assert!(sent <= 2.0 + share * most as f64, "rule 4: {server:?} was sent {sent} while cold");
    }

    pub fn count(&self, test: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|action| test(action)).count()
    }
}
