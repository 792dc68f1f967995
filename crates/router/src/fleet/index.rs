//! The index over the servers: counts by role and health, sums, who is busy, in slow start or failing,
//! members of each cell, servers by what they queue. A record without any rule. It holds what
//! [`IndexedServer`] says of each server; [`Fleet`](super::Fleet) replaces that whenever a server changes.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use ordered_float::OrderedFloat;

use crate::interface::{CellId, Health, Micros, Role, ServerId, ZoneId};
use crate::rate_sum::RateSum;
use crate::records::stage::STAGES;
use crate::records::Server;
use crate::slow_start_budget::SlowStartBudget;
use crate::statistics::{mix, DecayingAverage, DecayingRate, SortedValues};

pub(super) const ROLES: usize = 3;

/// Times (us) by which the index orders servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetTimes {
    /// A server is in slow start for so long after its start.
    pub(crate) slow_start_window_us: Micros,
    /// What a server has queued decays to a half in this time.
    pub(crate) queueing_half_life_us: f64,
    /// Time constant of the requests that a server serves.
    pub(crate) rate_time_constant_us: f64,
}

/// What the index keeps of one server.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct IndexedServer {
    role: Role,
    zone: ZoneId,
    cell: CellId,
    is_ready: bool,
    is_gone: bool,
    started: Option<Micros>,
    /// Until when it is in slow start; `None` for a warm one.
    pub(super) slow_start_until: Option<Micros>,
    slow_start_budget: SlowStartBudget,
    /// Attempts of this dispatcher are unanswered there.
    is_busy: bool,
    /// It has failed requests of some class since it last served one.
    is_suspect: bool,
    memory_tokens_in_flight: u64,
    serves: [bool; STAGES],
    us_per_token: [Option<f64>; STAGES],
    queueing: [Option<OrderedFloat<f64>>; STAGES],
    served_per_second: DecayingRate,
}

impl IndexedServer {
    pub(super) fn of(server: &Server, times: FleetTimes, epoch: Micros, now: Micros) -> Self {
        let statistics = &server.statistics;
        let slow_start_until =
            server.entry.started.map(|from| from.saturating_add(times.slow_start_window_us));
        Self {
            role: server.role,
            zone: server.entry.zone,
            cell: server.entry.cell,
            is_ready: server.entry.health == Health::Ready,
            is_gone: server.entry.health == Health::Gone,
            started: server.entry.started,
            slow_start_until: slow_start_until.filter(|until| now < *until),
            slow_start_budget: server.slow_start_budget,
            is_busy: server.is_busy(),
            is_suspect: !statistics.outlier_states.is_empty(),
            memory_tokens_in_flight: server.memory_tokens_in_flight,
            serves: std::array::from_fn(|stage| server.serves(stage)),
            us_per_token: std::array::from_fn(|stage| {
                statistics.us_per_token[stage].last.map(|(average, _)| average)
            }),
            queueing: std::array::from_fn(|stage| {
                queueing_as_of(epoch, &statistics.queueing_us[stage], times.queueing_half_life_us)
            }),
            served_per_second: statistics.served_per_second.clone(),
        }
    }

    /// The same after the end of slow start.
    pub(super) fn as_warm(&self) -> Self {
        Self { slow_start_until: None, ..self.clone() }
    }
}

/// The logarithm of a queueing time as it would stand at `epoch`: all of them decay alike, so that their
/// order stays.
fn queueing_as_of(epoch: Micros, queueing: &DecayingAverage, half_life_us: f64) -> Option<OrderedFloat<f64>> {
    let (queueing_us, at) = queueing.last.filter(|(queueing_us, _)| *queueing_us > 0.0)?;
    let passed = (at as f64 - epoch as f64) / half_life_us;
    Some(OrderedFloat(queueing_us.log2() + passed))
}

/// A server that takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyServer {
    pub(crate) id: ServerId,
    pub(crate) zone: ZoneId,
    /// A fixed hash of its number.
    pub(crate) hash: u64,
}

/// A server in slow start that takes work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartingServer {
    id: ServerId,
    pub(crate) started: Option<Micros>,
    pub(crate) budget: SlowStartBudget,
}

/// Whether a server is put into the index or taken out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    Add,
    Remove,
}

impl Operation {
    fn count(self, number: &mut usize) {
        *number = match self {
            Self::Add => *number + 1,
            Self::Remove => *number - 1,
        };
    }
}

/// Makes a set contain a value, or not.
fn set_member<T: Ord>(set: &mut BTreeSet<T>, value: T, is_member: bool) {
    if is_member {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}

/// Servers of one role.
#[derive(Debug)]
pub(super) struct RoleIndex {
    pub(super) known: usize,
    pub(super) ready: usize,
    pub(super) memory_tokens_in_flight: u64,
    /// Number of those that take work, by zone.
    pub(super) zones: BTreeMap<ZoneId, usize>,
    /// Those in slow start that take work, in the order of their numbers.
    pub(super) slow_starting: Vec<SlowStartingServer>,
    /// What warm ones that take work serve.
    pub(super) served_by_warm: RateSum,
    /// That sum as of a time; empty after a change.
    pub(super) served_by_warm_cache: Cell<Option<(Micros, f64)>>,
}

impl RoleIndex {
    fn new(times: FleetTimes, epoch: Micros) -> Self {
        Self {
            known: 0,
            ready: 0,
            memory_tokens_in_flight: 0,
            zones: BTreeMap::new(),
            slow_starting: Vec::new(),
            served_by_warm: RateSum::new(times.rate_time_constant_us, epoch),
            served_by_warm_cache: Cell::new(None),
        }
    }

    fn set_slow_starting(&mut self, id: ServerId, of: &IndexedServer, operation: Operation) {
        let server = SlowStartingServer { id, started: of.started, budget: of.slow_start_budget };
        match (self.slow_starting.binary_search_by_key(&id, |other| other.id), operation) {
            (Err(position), Operation::Add) => self.slow_starting.insert(position, server),
            (Ok(position), Operation::Add) => self.slow_starting[position] = server,
            (Ok(position), Operation::Remove) => drop(self.slow_starting.remove(position)),
            (Err(_), Operation::Remove) => {}
        }
    }
}

/// Servers that have served a stage, or have unanswered work of it.
#[derive(Debug, Default, PartialEq)]
pub(super) struct StageIndex {
    pub(super) serving: usize,
    pub(super) serving_ready: usize,
    pub(super) us_per_token: SortedValues,
    /// By what they queued, as of the common time.
    pub(super) by_queueing: BTreeSet<(OrderedFloat<f64>, ServerId)>,
}

/// Servers of a cell that take work, by role, in the order of their numbers.
#[derive(Debug, Default, PartialEq)]
pub(super) struct CellIndex([Vec<ReadyServer>; ROLES]);

impl CellIndex {
    /// Those of one role.
    pub(super) fn of(&self, role: Role) -> &[ReadyServer] {
        &self.0[role as usize]
    }

    /// The one with the highest number.
    pub(super) fn last(&self) -> Option<&ReadyServer> {
        self.0.iter().filter_map(|of_role| of_role.last()).max()
    }

    fn set(&mut self, role: Role, server: ReadyServer, operation: Operation) {
        let members = &mut self.0[role as usize];
        match (members.binary_search(&server), operation) {
            (Err(position), Operation::Add) => members.insert(position, server),
            (Ok(position), Operation::Remove) => drop(members.remove(position)),
            _ => {}
        }
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(Vec::is_empty)
    }
}

/// See the [module](self).
#[derive(Debug)]
pub(super) struct FleetIndex {
    pub(super) roles: [RoleIndex; ROLES],
    pub(super) stages: [StageIndex; STAGES],
    pub(super) cells: BTreeMap<CellId, CellIndex>,
    pub(super) busy: BTreeSet<ServerId>,
    /// Servers that have failed requests of some class since they last served one.
    pub(super) suspects: BTreeSet<ServerId>,
    pub(super) gone: BTreeSet<ServerId>,
    /// Servers in slow start, by the end of it.
    pub(super) warming: BTreeSet<(Micros, ServerId)>,
}

impl FleetIndex {
    pub(super) fn new(times: FleetTimes, epoch: Micros) -> Self {
        Self {
            roles: std::array::from_fn(|_| RoleIndex::new(times, epoch)),
            stages: std::array::from_fn(|_| StageIndex::default()),
            cells: BTreeMap::new(),
            busy: BTreeSet::new(),
            suspects: BTreeSet::new(),
            gone: BTreeSet::new(),
            warming: BTreeSet::new(),
        }
    }

    /// Adds a server that was not there.
    pub(super) fn add(&mut self, id: ServerId, server: &IndexedServer) {
        self.count(id, server, Operation::Add);
        self.order(id, server, Operation::Add);
    }

    /// Removes a server, as it was added.
    pub(super) fn remove(&mut self, id: ServerId, server: &IndexedServer) {
        self.count(id, server, Operation::Remove);
        self.order(id, server, Operation::Remove);
    }

    /// Replaces what is kept of a server, as far as it differs.
    pub(super) fn replace(&mut self, id: ServerId, before: &IndexedServer, after: &IndexedServer) {
        if before.us_per_token != after.us_per_token || before.queueing != after.queueing {
            self.order(id, before, Operation::Remove);
            self.order(id, after, Operation::Add);
        }
        if differs_in_load_alone(before, after) {
            self.replace_load(id, before, after);
        } else {
            self.count(id, before, Operation::Remove);
            self.count(id, after, Operation::Add);
        }
    }

    /// Replaces what attempts change of a server that is otherwise as it was: the common case, kept cheap.
    fn replace_load(&mut self, id: ServerId, before: &IndexedServer, after: &IndexedServer) {
        let role = &mut self.roles[after.role as usize];
        role.memory_tokens_in_flight =
            role.memory_tokens_in_flight - before.memory_tokens_in_flight + after.memory_tokens_in_flight;
        let is_warm = after.slow_start_until.is_none();
        if before.served_per_second != after.served_per_second && after.is_ready && is_warm {
            role.served_by_warm.set(id, &after.served_per_second);
            role.served_by_warm_cache.set(None);
        }
        if before.slow_start_budget != after.slow_start_budget && after.is_ready && !is_warm {
            role.set_slow_starting(id, after, Operation::Add);
        }
        if before.is_busy != after.is_busy {
            set_member(&mut self.busy, id, after.is_busy);
        }
    }

    fn count(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
        let role = &mut self.roles[server.role as usize];
        operation.count(&mut role.known);
        role.memory_tokens_in_flight = match operation {
            Operation::Add => role.memory_tokens_in_flight + server.memory_tokens_in_flight,
            Operation::Remove => role.memory_tokens_in_flight - server.memory_tokens_in_flight,
        };
        if server.is_ready {
            self.count_ready(id, server, operation);
        }
        for (stage, of_stage) in self.stages.iter_mut().enumerate() {
            if server.serves[stage] {
                operation.count(&mut of_stage.serving);
            }
            if server.serves[stage] && server.is_ready {
                operation.count(&mut of_stage.serving_ready);
            }
        }
        let is_added = operation == Operation::Add;
        set_member(&mut self.busy, id, is_added && server.is_busy);
        set_member(&mut self.suspects, id, is_added && server.is_suspect);
        set_member(&mut self.gone, id, is_added && server.is_gone);
        if let Some(until) = server.slow_start_until {
            set_member(&mut self.warming, (until, id), is_added);
        }
    }

    fn count_ready(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
        let role = &mut self.roles[server.role as usize];
        operation.count(&mut role.ready);
        let in_zone = role.zones.entry(server.zone).or_default();
        operation.count(in_zone);
        if *in_zone == 0 {
            role.zones.remove(&server.zone);
        }
        role.served_by_warm_cache.set(None);
        match (server.slow_start_until, operation) {
            (Some(_), _) => role.set_slow_starting(id, server, operation),
            (None, Operation::Add) => role.served_by_warm.set(id, &server.served_per_second),
            (None, Operation::Remove) => role.served_by_warm.remove(id),
        }
        let members = self.cells.entry(server.cell).or_default();
        let ready = ReadyServer { id, zone: server.zone, hash: mix(u64::from(id.0)) };
        members.set(server.role, ready, operation);
        if members.is_empty() {
            self.cells.remove(&server.cell);
        }
    }

    /// Puts a server's pace and queueing into their orders, or takes them out.
    fn order(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
        for (stage, of_stage) in self.stages.iter_mut().enumerate() {
            match (server.us_per_token[stage], operation) {
                (Some(us_per_token), Operation::Add) => of_stage.us_per_token.insert(us_per_token),
                (Some(us_per_token), Operation::Remove) => of_stage.us_per_token.remove(us_per_token),
                (None, _) => {}
            }
            if let Some(queueing) = server.queueing[stage] {
                set_member(&mut of_stage.by_queueing, (queueing, id), operation == Operation::Add);
            }
        }
    }
}

/// Whether a server has only more or less to do than before.
fn differs_in_load_alone(before: &IndexedServer, after: &IndexedServer) -> bool {
    let with_load_of_before = IndexedServer {
        memory_tokens_in_flight: before.memory_tokens_in_flight,
        is_busy: before.is_busy,
        slow_start_budget: before.slow_start_budget,
        served_per_second: before.served_per_second.clone(),
        us_per_token: before.us_per_token,
        queueing: before.queueing,
        ..after.clone()
    };
    with_load_of_before == *before
}
