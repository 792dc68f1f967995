//! What a front remembers: records without any decision. The tables in them are in `tables.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::figures::{Pace, Rate};
use crate::interface::{Call, CellId, Class, EngineId, Entry, Micros, Report, RequestId, Role, ZoneId};
use crate::tables::{ColdBudget, PrefixTable, Standing};

/// What an attempt is to do: read and keep the state, fetch a state and answer, or read and answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Read = 0,
    Write = 1,
    Whole = 2,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) engine: EngineId,
    pub(crate) stage: Stage,
    pub(crate) sent: Micros,
    pub(crate) tokens: u64,
    pub(crate) effort: f64,   // until its read or first token, in tokens
    pub(crate) expected: f64, // work that was believed to wait there (us)
    pub(crate) class: u32,
    pub(crate) promised: Option<(u64, Micros)>, // tokens that the record promised, when it was made
    pub(crate) begun: bool,
    pub(crate) far: bool, // the state has to leave its cell
}

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) call: Call,
    pub(crate) attempts: u32,
    pub(crate) out: Option<Attempt>,
    pub(crate) over: bool, // final answer given, or the client has left
    pub(crate) state: Option<(EngineId, Micros)>, // reader where its state waits, since when nothing is out
    pub(crate) ran: Option<(EngineId, Micros)>, // earliest attempt that may have run: server, when sent
    pub(crate) failed: Vec<EngineId>,
}

impl Request {
    /// One that has just come in.
    pub(crate) fn new(call: Call) -> Self {
        Self { call, attempts: 0, out: None, over: false, state: None, ran: None, failed: Vec::new() }
    }
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) entry: Entry,
    pub(crate) role: Role,
    pub(crate) memory: u64,
    /// Attempts sent, neither begun nor ended.
    pub(crate) waiting: BTreeSet<(Micros, RequestId)>,
    /// Effort of those attempts, in tokens, for each stage.
    pub(crate) waiting_effort: [f64; 3],
    pub(crate) tokens: u64,
    pub(crate) prefixes: PrefixTable,
    pub(crate) cold: ColdBudget,
    pub(crate) seen: Seen,
}

impl Engine {
    /// One that the list names for the first time.
    pub(crate) fn new(entry: Entry, prefixes: PrefixTable, cold: ColdBudget) -> Self {
        Self {
            entry,
            role: Role::Mixed,
            memory: 0,
            waiting: BTreeSet::new(),
            waiting_effort: [0.0; 3],
            tokens: 0,
            prefixes,
            cold,
            seen: Seen::default(),
        }
    }

    /// How long the oldest attempt out there has waited by now, beyond the work of a stage itself at its best pace.
    pub(crate) fn silent(&self, now: Micros, stage: usize, best: f64) -> f64 {
        self.oldest(now) as f64 - best * self.waiting_effort[stage]
    }

    /// An attempt goes out to it.
    pub(crate) fn takes(&mut self, id: RequestId, attempt: &Attempt) {
        self.waiting.insert((attempt.sent, id));
        self.waiting_effort[attempt.stage as usize] += attempt.effort;
        self.tokens += attempt.tokens;
    }

    /// An attempt waits there no more; whether it did.
    pub(crate) fn stops_waiting(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let waited = self.waiting.remove(&(attempt.sent, id));
        if waited {
            let effort = &mut self.waiting_effort[attempt.stage as usize];
            *effort = (*effort - attempt.effort).max(0.0);
        }
        waited
    }

    /// Whether own attempts wait there.
    pub(crate) fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || self.waiting_effort.iter().any(|effort| *effort > 0.0)
    }

    /// Whether it has served a stage, or has work of it waiting.
    pub(crate) fn serves(&self, stage: usize) -> bool {
        self.seen.pace[stage].known.is_some() || self.waiting_effort[stage] > 0.0
    }

    /// How long the oldest attempt there has waited.
    pub(crate) fn oldest(&self, now: Micros) -> Micros {
        self.waiting.first().map_or(0, |&(sent, _)| now - sent)
    }
}

/// Servers at which no second effect can happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reach {
    Nowhere,
    Zone(ZoneId),
    Cell(CellId),
    Everywhere,
}

impl Reach {
    pub(crate) fn has(self, engine: &Engine) -> bool {
        match self {
            Self::Nowhere => false,
            Self::Zone(zone) => engine.entry.zone == zone,
            Self::Cell(cell) => engine.entry.cell == cell,
            Self::Everywhere => true,
        }
    }
}

/// Servers of a role that the rules allow and that look well; where too few do, all that are allowed (`all`). Those
/// that the request has failed at are left, unless there are no others (`again`).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pool {
    pub(crate) role: Role,
    pub(crate) all: bool,
    pub(crate) again: bool,
}

/// What the list says of a cell: its writers' part of all writing over its readers' part of all reading (above
/// 1 there is room for others' states), and the part of the states leaving cells of its zone that stays there.
#[derive(Debug)]
pub(crate) struct Cell {
    pub(crate) near: f64,
    pub(crate) zone_takes: f64,
    /// Even shares of a beginning's homes that its readers get, to suit its writers.
    pub(crate) pull: f64,
    /// Time that states lately queued at its writers (us).
    pub(crate) queued: Pace,
}

impl Default for Cell {
    fn default() -> Self {
        Self { near: 1.0, zone_takes: 1.0, pull: 1.0, queued: Pace::default() }
    }
}

/// What this front has seen of a server since its start.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Time per token of effort (us), for each stage.
    pub(crate) pace: [Pace; 3],
    /// Time that attempts had waited before work on them began (us), for each stage.
    pub(crate) queued: [Pace; 3],
    pub(crate) standing: BTreeMap<u32, Standing>, // for each class: some servers fail one and serve the others
    pub(crate) carried: Rate,                     // sends a second for this front
    pub(crate) full_until: Micros,
    pub(crate) report: Option<(Report, Micros)>,
}

impl Seen {
    /// It has served a request of a class, or read it.
    pub(crate) fn served(&mut self, class: u32, now: Micros, rate_time: f64) {
        self.standing.remove(&class);
        self.carried.add(1.0, now, rate_time);
    }

    /// Classes have new numbers: what is known goes on under those of their heirs, and the rest is forgotten.
    pub(crate) fn renumber(&mut self, heirs: &BTreeMap<u32, u32>, classes: &BTreeMap<u32, Class>) {
        for (&new, old) in heirs {
            let known = self.standing.get(old).cloned();
            self.standing.extend(known.map(|known| (new, known)));
        }
        self.standing.retain(|class, _| classes.contains_key(class));
    }
}

/// What this front has seen of a stage, whichever server.
#[derive(Debug)]
pub(crate) struct StageFigures {
    /// Middle of the servers' paces (us a token of effort).
    pub(crate) usual: f64,
    /// Pace of a server that nothing hinders (us a token of effort).
    pub(crate) best: f64,
    /// Effort of one attempt (tokens), and mean effort of all that are under way.
    pub(crate) typical: f64,
    pub(crate) under_way: Rate,
    /// Time queued by what lately came back (us).
    pub(crate) pressure: Pace,
    /// What attempts lately queued (us), and when they ended.
    pub(crate) lately: VecDeque<(Micros, f64)>,
}

impl StageFigures {
    pub(crate) fn new(pace: f64, typical: f64) -> Self {
        let (under_way, pressure) = (Rate::default(), Pace::default());
        Self { usual: pace, best: pace, typical, under_way, pressure, lately: VecDeque::new() }
    }

    /// Takes down what an attempt queued that has just ended; so many are kept at most.
    pub(crate) fn take_down(&mut self, now: Micros, queued: f64, most: usize) {
        self.lately.push_front((now, queued));
        self.lately.truncate(most);
    }
}
