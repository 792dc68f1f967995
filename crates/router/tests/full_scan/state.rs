//! What a front remembers: records without any decision. The tables in them are in `tables.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::figures::{Pace, Rate};
use crate::interface::{Call, EngineId, Entry, Micros, Report, RequestId, Role};
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

    /// How long the oldest attempt there has waited.
    pub(crate) fn oldest(&self, now: Micros) -> Micros {
        self.waiting.first().map_or(0, |&(sent, _)| now - sent)
    }
}

/// What the list says of a cell: its writers' part of all writing over its readers' part of all reading (above
/// 1 there is room for others' states), and the part of the states leaving cells of its zone that stays there.
#[derive(Debug)]
pub(crate) struct Cell {
    pub(crate) near: f64,
    pub(crate) zone_takes: f64,
    /// Time that states lately queued at its writers (us).
    pub(crate) queued: Pace,
}

impl Default for Cell {
    fn default() -> Self {
        Self { near: 1.0, zone_takes: 1.0, queued: Pace::default() }
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
}
