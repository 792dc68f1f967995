//! The index over the servers: counts by role and health, sums of rates and memory, sets of busy, suspect and
//! gone servers, the members of each cell, and servers ordered by queueing delay. It stores data and makes no
//! decisions. An [`IndexedServer`] contains all indexed properties of a server; [`Fleet`](super::Fleet)
//! replaces it whenever the server changes.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use ordered_float::OrderedFloat;

use crate::interface::{CellId, Health, Micros, Role, ServerId, ZoneId};
use crate::rate_sum::RateSum;
use crate::records::stage::STAGES;
use crate::records::Server;
use crate::statistics::{mix, DecayingAverage, DecayingRate, SortedValues};

/// Number of roles: arrays by role have this length.
pub(super) const ROLES: usize = 3;

/// Time parameters of the index (us).
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetTimes {
    /// How long a server is in slow start after its start.
    pub(crate) slow_start_window_us: Micros,
    /// Half-life of a server's average queueing delay.
    pub(crate) queueing_half_life_us: f64,
    /// Time constant of the rate of requests that a server serves.
    pub(crate) rate_time_constant_us: f64,
}

/// The properties of one server that the index depends on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct IndexedServer {
    role: Role,
    zone: ZoneId,
    cell: CellId,
    is_ready: bool,
    is_gone: bool,
    kind: u32,
    size: f64,
    /// When its slow start ends; `None` for a server that is not in slow start (a warm one).
    pub(super) slow_start_until: Option<Micros>,
    /// It has unanswered attempts of this dispatcher.
    is_busy: bool,
    /// It has a failure, in some class, since it last served a request of that class.
    is_suspect: bool,
    memory_tokens_in_flight: u64,
    serves: [bool; STAGES],
    us_per_token: [Option<f64>; STAGES],
    queueing: [Option<OrderedFloat<f64>>; STAGES],
    served_per_second: DecayingRate,
}

impl IndexedServer {
    /// The indexed properties of a server at `now`. Decaying queueing delays are projected to `epoch`.
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
            kind: server.entry.kind,
            size: server.size,
            slow_start_until: slow_start_until.filter(|until| now < *until),
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

    /// The same server after the end of its slow start.
    pub(super) fn as_warm(&self) -> Self {
        Self { slow_start_until: None, ..self.clone() }
    }
}

/// The binary logarithm of a queueing delay, projected to `epoch`; `None` for a server without one. All
/// delays decay at the same rate, so that the order of the projected values never changes with time.
fn queueing_as_of(epoch: Micros, queueing: &DecayingAverage, half_life_us: f64) -> Option<OrderedFloat<f64>> {
    let (queueing_us, at) = queueing.last.filter(|(queueing_us, _)| *queueing_us > 0.0)?;
    let elapsed = (at as f64 - epoch as f64) / half_life_us;
    Some(OrderedFloat(libm::log2(queueing_us) + elapsed))
}

/// A ready server, as listed in its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyServer {
    pub(crate) id: ServerId,
    pub(crate) zone: ZoneId,
    /// A hash of its id that never changes.
    pub(crate) hash: u64,
}

/// A sum of the sizes of servers, in whole millionths: so that it is exact, whatever is added and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TotalSize(u64);

impl TotalSize {
    /// The sum over no servers.
    pub(crate) const NONE: Self = Self(0);

    /// The sum as a number.
    pub(crate) fn value(self) -> f64 {
        self.0 as f64 / 1e6
    }

    fn count(&mut self, size: f64, operation: Operation) {
        let millionths = (size * 1e6) as u64;
        match operation {
            Operation::Add => self.0 += millionths,
            Operation::Remove => self.0 -= millionths,
        }
    }
}

/// Whether a server is added to the index or removed from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    Add,
    Remove,
}

impl Operation {
    /// Increments or decrements a count of servers.
    fn count(self, number: &mut usize) {
        *number = match self {
            Self::Add => *number + 1,
            Self::Remove => *number - 1,
        };
    }
}

/// Inserts a value into a set or removes it, depending on `is_member`.
fn set_member<T: Ord>(set: &mut BTreeSet<T>, value: T, is_member: bool) {
    if is_member {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}

/// Aggregates over the servers of one role.
#[derive(Debug, Default, PartialEq)]
pub(super) struct RoleIndex {
    /// Number of servers, whatever their health.
    pub(super) known: usize,
    /// Number of ready servers.
    pub(super) ready: usize,
    /// Memory taken by this dispatcher's attempts in flight, in tokens.
    pub(super) memory_tokens_in_flight: u64,
    /// Number of ready servers in each zone that has any.
    pub(super) zones: BTreeMap<ZoneId, usize>,
    /// Sizes of all servers, whatever their health.
    pub(super) known_size: TotalSize,
    /// Ready servers in slow start.
    pub(super) slow_starting: BTreeSet<ServerId>,
}

/// Aggregates over the ready servers of one kind that are not in slow start.
#[derive(Debug)]
pub(super) struct WarmIndex {
    /// Sum of the rates at which they serve.
    pub(super) rates: RateSum,
    /// The value of `rates` for each unit of `size`, and the time it was computed for; `None` after a change.
    pub(super) rate_cache: Cell<Option<(Micros, f64)>>,
    pub(super) size: TotalSize,
}

impl WarmIndex {
    fn new(times: FleetTimes, epoch: Micros) -> Self {
        let rates = RateSum::new(times.rate_time_constant_us, epoch);
        Self { rates, rate_cache: Cell::new(None), size: TotalSize::NONE }
    }

    /// Adds a server or removes it.
    fn count(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
        self.rate_cache.set(None);
        self.size.count(server.size, operation);
        match operation {
            Operation::Add => self.rates.set(id, &server.served_per_second),
            Operation::Remove => self.rates.remove(id),
        }
    }
}

/// Aggregates over the servers that have served a stage or have unanswered work of it.
#[derive(Debug, Default, PartialEq)]
pub(super) struct StageIndex {
    /// Number of those servers, whatever their health.
    pub(super) serving: usize,
    /// Number of those servers that are ready.
    pub(super) serving_ready: usize,
    /// Average time per token of work at each server that has served the stage (us).
    pub(super) us_per_token: SortedValues,
    /// Servers ordered by the value of [`queueing_as_of`] for the fleet's epoch.
    pub(super) by_queueing: BTreeSet<(OrderedFloat<f64>, ServerId)>,
}

/// The ready servers of a cell, by role, ordered by id.
#[derive(Debug, Default, PartialEq)]
pub(super) struct CellIndex([Vec<ReadyServer>; ROLES]);

impl CellIndex {
    /// The ready servers of one role, ordered by id.
    pub(super) fn of(&self, role: Role) -> &[ReadyServer] {
        &self.0[role as usize]
    }

    /// The ready server with the highest id; `None` if there is none.
    pub(super) fn last(&self) -> Option<&ReadyServer> {
        self.0.iter().filter_map(|of_role| of_role.last()).max()
    }

    /// Adds a server or removes it.
    fn set(&mut self, role: Role, server: ReadyServer, operation: Operation) {
        let members = &mut self.0[role as usize];
        match (members.binary_search(&server), operation) {
            (Err(position), Operation::Add) => members.insert(position, server),
            (Ok(position), Operation::Remove) => drop(members.remove(position)),
            _ => {}
        }
    }

    /// Whether the cell has no ready server.
    fn is_empty(&self) -> bool {
        self.0.iter().all(Vec::is_empty)
    }
}

/// The index over all servers of a fleet. See the [module](self).
#[derive(Debug)]
pub(super) struct FleetIndex {
    pub(super) roles: [RoleIndex; ROLES],
    /// Warm servers by the number of their kind.
    pub(super) warm_kinds: BTreeMap<u32, WarmIndex>,
    times: FleetTimes,
    /// Sums of decaying rates that are added start from this time.
    epoch: Micros,
    pub(super) stages: [StageIndex; STAGES],
    pub(super) cells: BTreeMap<CellId, CellIndex>,
    /// Servers with unanswered attempts of this dispatcher.
    pub(super) busy: BTreeSet<ServerId>,
    /// Servers with a failure, in some class, since they last served a request of that class.
    pub(super) suspects: BTreeSet<ServerId>,
    /// Servers that are gone from the list but still stored.
    pub(super) gone: BTreeSet<ServerId>,
    /// Servers in slow start, ordered by when it ends.
    pub(super) warming: BTreeSet<(Micros, ServerId)>,
}

impl FleetIndex {
    /// An empty index. Sums of decaying rates start from `epoch`.
    pub(super) fn new(times: FleetTimes, epoch: Micros) -> Self {
        Self {
            roles: std::array::from_fn(|_| RoleIndex::default()),
            warm_kinds: BTreeMap::new(),
            times,
            epoch,
            stages: std::array::from_fn(|_| StageIndex::default()),
            cells: BTreeMap::new(),
            busy: BTreeSet::new(),
            suspects: BTreeSet::new(),
            gone: BTreeSet::new(),
            warming: BTreeSet::new(),
        }
    }

    /// Adds a server that is not in the index yet.
    pub(super) fn add(&mut self, id: ServerId, server: &IndexedServer) {
        self.count(id, server, Operation::Add);
        self.update_orders(id, server, Operation::Add);
    }

    /// Removes a server; `server` must equal the value that it was last added or replaced with.
    pub(super) fn remove(&mut self, id: ServerId, server: &IndexedServer) {
        self.count(id, server, Operation::Remove);
        self.update_orders(id, server, Operation::Remove);
    }

    /// Replaces the indexed properties of a server, updating only what differs. `before` must equal the value
    /// that it was last added or replaced with.
    pub(super) fn replace(&mut self, id: ServerId, before: &IndexedServer, after: &IndexedServer) {
        if before.us_per_token != after.us_per_token || before.queueing != after.queueing {
            self.update_orders(id, before, Operation::Remove);
            self.update_orders(id, after, Operation::Add);
        }
        if differs_only_in_load(before, after) {
            self.replace_load(id, before, after);
        } else {
            self.count(id, before, Operation::Remove);
            self.count(id, after, Operation::Add);
        }
    }

    /// Updates the properties that attempts change, for a server whose other properties are the same as
    /// before. This is the common case and avoids removing and adding the server.
    fn replace_load(&mut self, id: ServerId, before: &IndexedServer, after: &IndexedServer) {
        let role = &mut self.roles[after.role as usize];
        role.memory_tokens_in_flight =
            role.memory_tokens_in_flight - before.memory_tokens_in_flight + after.memory_tokens_in_flight;
        let is_warm = after.slow_start_until.is_none();
        if before.served_per_second != after.served_per_second && after.is_ready && is_warm {
            if let Some(kind) = self.warm_kinds.get_mut(&after.kind) {
                kind.rates.set(id, &after.served_per_second);
                kind.rate_cache.set(None);
            }
        }
        if before.is_busy != after.is_busy {
            set_member(&mut self.busy, id, after.is_busy);
        }
    }

    /// Adds a server to all counts, sums and sets, or removes it. Does not include the ordered values, see
    /// [`Self::update_orders`].
    fn count(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
        let role = &mut self.roles[server.role as usize];
        operation.count(&mut role.known);
        role.known_size.count(server.size, operation);
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

    /// Adds a ready server to the aggregates over ready servers, or removes it.
    fn count_ready(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
        let role = &mut self.roles[server.role as usize];
        operation.count(&mut role.ready);
        let in_zone = role.zones.entry(server.zone).or_default();
        operation.count(in_zone);
        if *in_zone == 0 {
            role.zones.remove(&server.zone);
        }
        if server.slow_start_until.is_some() {
            set_member(&mut role.slow_starting, id, operation == Operation::Add);
        } else {
            let (times, epoch) = (self.times, self.epoch);
            let of_kind = self.warm_kinds.entry(server.kind).or_insert_with(|| WarmIndex::new(times, epoch));
            of_kind.count(id, server, operation);
        }
        let members = self.cells.entry(server.cell).or_default();
        let ready = ReadyServer { id, zone: server.zone, hash: mix(u64::from(id.0)) };
        members.set(server.role, ready, operation);
        if members.is_empty() {
            self.cells.remove(&server.cell);
        }
    }

    /// Adds a server's time per token and queueing delay to the values ordered by stage, or removes them.
    fn update_orders(&mut self, id: ServerId, server: &IndexedServer, operation: Operation) {
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

/// Whether two versions of a server differ in nothing but load: properties that attempts change, and those
/// handled by [`FleetIndex::update_orders`].
fn differs_only_in_load(before: &IndexedServer, after: &IndexedServer) -> bool {
    let after_with_load_before = IndexedServer {
        memory_tokens_in_flight: before.memory_tokens_in_flight,
        is_busy: before.is_busy,
        served_per_second: before.served_per_second.clone(),
        us_per_token: before.us_per_token,
        queueing: before.queueing,
        ..after.clone()
    };
    after_with_load_before == *before
}
