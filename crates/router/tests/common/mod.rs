//! A front's surroundings, as far as tests need them, and a checker of the five rules that shares nothing
//! with the decision module. It is no simulator: servers do what the test says.
#![allow(dead_code)]

pub mod decision_hash;

use std::collections::{BTreeMap, BTreeSet};

use dewladder_router::interface::*;
use dewladder_router::Router;

pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect, group: DedupGroup) -> Class {
    Class {
        name: format!("{effect:?}-{group:?}"),
        give_up: 5 * SECOND,
        max_attempts: 5,
        retired: false,
        aim: SECOND,
        aim_per_1000_tokens: 40_000,
        token_aim: 60_000,
        effect,
        group,
        dedup_window: 2 * SECOND,
        worth: 1.0,
    }
}

pub fn settings() -> Settings {
    Settings {
        balancers: 2,
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
        must_ask_in: 10 * SECOND,
        may_cancel: true,
        peers: false,
        peer_price: 0.0,
        writers_read: true,
        max_retry_after: SECOND,
        release_within: 300_000,
        resolution: 4_000,
        cold_from: 0.3,
        cold_for: 12 * SECOND,
        memory_field: Some(0),
        fall_multiple: 2.5,
        fall_window: 1_500_000,
    }
}

pub fn entry(engine: u32, kind: u32) -> Entry {
    Entry {
        engine: EngineId(engine),
        zone: ZoneId(engine % 2),
        cell: CellId(engine % 2),
        weight: 1.0,
        started: None,
        health: Health::Ready,
        kind,
    }
}

/// Readers 0 to 3, writers 10 to 13, and with `mixed` also servers 20 and 21.
pub fn fleet(mixed: bool) -> Vec<Entry> {
    let mut list: Vec<Entry> = (0..4).map(|id| entry(id, 0)).chain((10..14).map(|id| entry(id, 1))).collect();
    if mixed {
        list.extend([entry(20, 2), entry(21, 2)]);
    }
    list
}

pub fn call(id: u64, now: Micros) -> Call {
    Call {
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
    pub engine: EngineId,
    pub at: Micros,
    pub until: Micros,
    pub begun: bool,
    pub reads: bool,
}

#[derive(Clone, Debug)]
pub struct Known {
    pub call: Call,
    pub attempts: u32,
    pub out: Option<Sent>,
    pub ended: bool,
    pub ran: Option<(EngineId, Micros)>,
    /// Reader that holds its state, and since when nothing was out.
    pub held: Option<(EngineId, Micros)>,
}

/// A router with its surroundings; every action is held against the rules as it comes.
pub struct World {
    pub settings: Settings,
    pub router: Router,
    pub now: Micros,
    pub list: BTreeMap<EngineId, Entry>,
    pub known: BTreeMap<RequestId, Known>,
    pub timers: BTreeSet<(Micros, u64)>,
    pub log: Vec<Action>,
    pub sends: Vec<(Micros, EngineId, bool)>,
    pub subscribes: Vec<Micros>,
}

impl World {
    pub fn new(settings: Settings, list: Vec<Entry>) -> Self {
        Self::with_seed(settings, list, 7)
    }

    pub fn with_seed(settings: Settings, list: Vec<Entry>, seed: u64) -> Self {
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
        world.roster(ListKind::StaleCopy, list);
        world
    }

    pub fn roster(&mut self, how: ListKind, entries: Vec<Entry>) {
        if how != ListKind::Broken {
            if how != ListKind::Patch {
                self.list.clear();
            }
            for entry in &entries {
                self.list.insert(entry.engine, entry.clone());
            }
        }
        self.tell(Event::Roster { how, entries });
    }

    /// Changes one entry of the list and tells the router.
    pub fn change(&mut self, engine: u32, change: impl FnOnce(&mut Entry)) {
        let mut entry = self.list[&EngineId(engine)].clone();
        change(&mut entry);
        self.roster(ListKind::Patch, vec![entry]);
    }

    /// The front is killed and comes back with its last list; its requests are its clients' to repeat.
    pub fn restart(&mut self, seed: u64) {
        self.router = Router::new(self.settings.clone(), seed, self.now);
        self.known.clear();
        self.timers.clear();
        let list = self.list.values().cloned().collect();
        self.roster(ListKind::StaleCopy, list);
    }

    pub fn ask(&mut self, call: Call) {
        let id = call.id;
        let known = Known { call: call.clone(), attempts: 0, out: None, ended: false, ran: None, held: None };
        self.known.insert(id, known);
        self.tell(Event::Call(call));
    }

    pub fn simple(&mut self, id: u64) -> RequestId {
        let call = call(id, self.now);
        self.ask(call);
        RequestId(id)
    }

    pub fn out(&self, id: RequestId) -> Option<Sent> {
        self.known.get(&id).and_then(|known| known.out.clone())
    }

    pub fn is_reader(&self, engine: EngineId) -> bool {
        self.list
            .get(&engine)
            .is_some_and(|entry| self.settings.kinds[entry.kind as usize].role == Role::Reader)
    }

    pub fn begin(&mut self, id: RequestId) {
        let Some(known) = self.known.get_mut(&id) else { return };
        let Some(out) = known.out.as_mut() else { return };
        out.begun = true;
        known.held = None;
        let event = Event::Begun { id, attempt: out.number, taken: self.now - out.at };
        self.tell(event);
    }

    /// Ends the attempt that is out.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) {
        self.end_with(id, outcome, 0);
    }

    pub fn end_with(&mut self, id: RequestId, outcome: Outcome, kept_tokens: u64) {
        let Some(known) = self.known.get_mut(&id) else { return };
        let Some(out) = known.out.take() else { return };
        let last = known.ended || outcome == Outcome::Served || out.begun;
        match outcome {
            Outcome::Read => known.held = Some((out.engine, self.now)),
            // A reader that is cut off from the writer still holds the state.
            _ => known.held = known.held.map(|(engine, _)| (engine, self.now)),
        }
        let proven = matches!(
            outcome,
            Outcome::Full | Outcome::NoState | Outcome::ConnectFailed | Outcome::Moot | Outcome::Read
        );
        if !proven && !out.reads && known.ran.is_none() {
            known.ran = Some((out.engine, out.at));
        }
        known.ended = last;
        let event = Event::Ended(Ended {
            id,
            attempt: out.number,
            engine: out.engine,
            taken: self.now - out.at,
            outcome,
            kept_tokens,
            last,
            report: None,
        });
        self.tell(event);
    }

    pub fn hangup(&mut self, id: RequestId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.ended = true;
        }
        self.tell(Event::Hangup(id));
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
                self.tell(Event::Due(TimerToken(token)));
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
                known.ended || begun || self.now <= known.call.not_after + slack,
                "rule 1: {id:?} not answered"
            );
            if let (None, Some((_, since))) = (&known.out, known.held) {
                assert!(self.now <= since + self.settings.release_within, "rule 5: {id:?} left pinned");
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
            Action::Assign { id, engine, patience } => self.take_send(*id, *engine, *patience),
            Action::Refuse { id, .. } => {
                let known = self.known.get_mut(id).expect("a known request");
                assert!(!known.ended, "rule 1: {id:?} answered twice");
                assert!(known.out.is_none(), "refused while an attempt is out");
                let class = &self.settings.classes[&known.call.class];
                let harmless = known.ran.is_none()
                    || class.effect == Effect::Idempotent
                    || (class.effect == Effect::Deduplicated && class.group == DedupGroup::All);
                assert!(harmless, "rule 2: {id:?} refused though it may have run");
                known.ended = true;
            }
            Action::GiveUp(id) => {
                let known = self.known.get_mut(id).expect("a known request");
                assert!(!known.ended, "rule 1: {id:?} answered twice");
                known.ended = true;
            }
            Action::LetGo(id) => {
                if let Some(known) = self.known.get_mut(id) {
                    known.held = None;
                }
            }
            Action::Revoke { id, attempt } => {
                let known = self.known.get(id).expect("a known request");
                assert!(*attempt < known.attempts, "an attempt that was made");
            }
            Action::Defer { delay, token } => {
                self.timers.insert((self.now + delay, token.0));
            }
            Action::Subscribe => self.subscribes.push(self.now),
            Action::Tell(_) => {}
        }
        self.log.push(action);
    }

    fn take_send(&mut self, id: RequestId, engine: EngineId, patience: Micros) {
        let entry = self.list.get(&engine).expect("a server of the list").clone();
        let reads = self.is_reader(engine);
        let known = self.known.get_mut(&id).expect("a known request");
        assert!(!known.ended && self.now <= known.call.not_after, "rule 1: {id:?} sent after its end");
        assert!(known.out.is_none(), "rule 2: {id:?} has two attempts out");
        assert_eq!(entry.health, Health::Ready, "rule 3: {id:?} sent to a server that drains or is gone");
        if let Some((first, sent)) = known.ran {
            let class = &self.settings.classes[&known.call.class];
            assert_ne!(class.effect, Effect::AtMostOnce, "rule 2: {id:?} sent again");
            if class.effect == Effect::Deduplicated {
                assert!(self.now <= sent + class.dedup_window, "rule 2: {id:?} sent after the window");
                let cell = self.list.get(&first).map(|entry| entry.cell);
                assert!(
                    class.group == DedupGroup::All || cell == Some(entry.cell),
                    "rule 2: outside its group"
                );
            }
        }
        let until = (self.now + patience.max(1)).min(known.call.not_after);
        let number = known.attempts;
        known.out = Some(Sent { number, engine, at: self.now, until, begun: false, reads });
        known.attempts += 1;
        assert!(
            known.attempts <= self.settings.classes[&known.call.class].max_attempts,
            "{id:?} sent too often"
        );
        let cold = entry.started.is_some_and(|at| self.now < at + self.settings.cold_for);
        self.sends.push((self.now, engine, cold));
        if cold {
            self.check_cold(engine);
        }
    }

    /// Rule 4, loosely and from outside: since its last start, within a window, no more than one send for the start, one for chance,
    /// and the cold share of the most that any one server was sent in a window of that length.
    fn check_cold(&self, engine: EngineId) {
        let window = self.settings.fall_window;
        let sent_in = |to: EngineId, end: Micros| {
            self.sends.iter().filter(|&&(at, id, _)| id == to && at + window > end && at <= end).count()
        };
        let warm = self.sends.iter().filter(|&&(_, _, cold)| !cold);
        let most = warm.map(|&(at, id, _)| sent_in(id, at)).max().unwrap_or(0);
        let share = self.settings.fall_multiple * self.settings.cold_from;
        let started = self.list[&engine].started.unwrap_or(0);
        let since_start = |at: Micros| at >= started && at + window > self.now;
        let sent = self.sends.iter().filter(|&&(at, id, _)| id == engine && since_start(at)).count() as f64;
        assert!(sent <= 2.0 + share * most as f64, "rule 4: {engine:?} was sent {sent} while cold");
    }

    pub fn count(&self, test: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|action| test(action)).count()
    }
}
