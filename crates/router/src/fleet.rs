//! The servers that a front knows, and an index of what requests ask of all of them: counts by role and health, sums,
//! who is busy, cold or has failed, members of a cell, servers by what they queue. A record without any rule: every
//! change of a server goes through [`Fleet::change`], which takes its part out of the index and puts the new one in.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index as Lookup;

use ordered_float::OrderedFloat;

use crate::figures::{mix, Pace, Rate, SortedValues};
use crate::holders::Holders;
use crate::interface::{Call, CellId, Class, EngineId, Health, Key, Micros, Report, Role, ZoneId};
use crate::rate_sum::RateSum;
use crate::state::{Engine, Seen};
use crate::tables::{ColdBudget, PREFIX_EXPIRY};

const ROLES: usize = 3;
const STAGES: usize = 3;

/// Times (us) that the index needs for what it keeps in order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetTimes {
    /// A server is warm so long after its start.
    pub(crate) cold_for: Micros,
    /// What a server has queued fades to a half in this time.
    pub(crate) queued_half_life: f64,
    /// Time constant of what a server carries.
    pub(crate) rate_time: f64,
}

/// What the index keeps of one server.
#[derive(Clone, Debug, PartialEq)]
struct Facts {
    role: Role,
    zone: ZoneId,
    cell: CellId,
    ready: bool,
    gone: bool,
    started: Option<Micros>,
    /// Until when it is cold; `None` for a warm one.
    cold_until: Option<Micros>,
    cold: ColdBudget,
    /// Own attempts wait there.
    busy: bool,
    /// It has failed requests of some class since it last served one.
    struck: bool,
    tokens: u64,
    serves: [bool; STAGES],
    pace: [Option<f64>; STAGES],
    queued: [Option<OrderedFloat<f64>>; STAGES],
    carried: Rate,
}

/// A server that takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ready {
    pub(crate) engine: EngineId,
    pub(crate) zone: ZoneId,
    /// A fixed hash of its number.
    pub(crate) hash: u64,
}

/// What a cell has of all servers that take work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellShare {
    /// Its zone: that of its server with the highest number.
    pub(crate) zone: ZoneId,
    /// Its part of the readers, and of the writers.
    pub(crate) reading: f64,
    pub(crate) writing: f64,
}

/// A cold server that takes work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Cold {
    engine: EngineId,
    pub(crate) started: Option<Micros>,
    pub(crate) budget: ColdBudget,
}

/// Servers of one role.
#[derive(Debug)]
struct OfRole {
    known: usize,
    ready: usize,
    tokens: u64,
    /// Those that take work, by zone.
    zones: BTreeMap<ZoneId, usize>,
    /// Cold ones that take work, in the order of their numbers.
    cold: Vec<Cold>,
    /// What warm ones that take work carry.
    carried: RateSum,
    /// Its sum, as of a time; empty after a change.
    carried_sum: Cell<Option<(Micros, f64)>>,
}

/// Servers that have served a stage, or have work of it waiting.
#[derive(Debug, Default, PartialEq)]
struct OfStage {
    serving: usize,
    serving_ready: usize,
    paces: SortedValues,
    /// By what they queued, as it would stand at one common time: all of it fades alike.
    queued: BTreeSet<(OrderedFloat<f64>, EngineId)>,
}

/// Servers of a cell that take work, by role, in the order of their numbers.
#[derive(Debug, Default, PartialEq)]
struct OfCell([Vec<Ready>; ROLES]);

#[derive(Debug)]
struct FleetIndex {
    roles: [OfRole; ROLES],
    stages: [OfStage; STAGES],
    cells: BTreeMap<CellId, OfCell>,
    busy: BTreeSet<EngineId>,
    struck: BTreeSet<EngineId>,
    gone: BTreeSet<EngineId>,
    warming: BTreeSet<(Micros, EngineId)>,
}

/// See the [module](self).
#[derive(Debug)]
pub(crate) struct Fleet {
    engines: BTreeMap<EngineId, Engine>,
    index: FleetIndex,
    holders: Holders,
    times: FleetTimes,
    /// Servers have come or gone.
    others: bool,
    /// The common time of what is kept as of one.
    epoch: Micros,
    now: Micros,
}

impl Facts {
    fn of(engine: &Engine, times: FleetTimes, epoch: Micros, now: Micros) -> Self {
        let cold_until = engine.entry.started.map(|from| from.saturating_add(times.cold_for));
        let queued = |pace: &Pace| {
            let (queued, at) = pace.known.filter(|(queued, _)| *queued > 0.0)?;
            let passed = (at as f64 - epoch as f64) / times.queued_half_life;
            Some(OrderedFloat(queued.log2() + passed))
        };
        Self {
            role: engine.role,
            zone: engine.entry.zone,
            cell: engine.entry.cell,
            ready: engine.entry.health == Health::Ready,
            gone: engine.entry.health == Health::Gone,
            started: engine.entry.started,
            cold_until: cold_until.filter(|until| now < *until),
            cold: engine.cold,
            busy: engine.is_busy(),
            struck: !engine.seen.standing.is_empty(),
            tokens: engine.tokens,
            serves: std::array::from_fn(|stage| engine.serves(stage)),
            pace: std::array::from_fn(|stage| engine.seen.pace[stage].known.map(|(pace, _)| pace)),
            queued: std::array::from_fn(|stage| queued(&engine.seen.queued[stage])),
            carried: engine.seen.carried.clone(),
        }
    }
}

/// Puts a number into a set, or takes it out.
fn keep<T: Ord>(set: &mut BTreeSet<T>, value: T, there: bool) {
    if there {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}

fn count(number: &mut usize, there: bool) {
    *number = if there { *number + 1 } else { *number - 1 };
}

impl OfCell {
    fn set(&mut self, role: Role, ready: Ready, there: bool) {
        let members = &mut self.0[role as usize];
        match (members.binary_search(&ready), there) {
            (Err(place), true) => members.insert(place, ready),
            (Ok(place), false) => drop(members.remove(place)),
            _ => {}
        }
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(Vec::is_empty)
    }
}

impl OfRole {
    fn set_cold(&mut self, engine: EngineId, facts: &Facts, there: bool) {
        let cold = Cold { engine, started: facts.started, budget: facts.cold };
        match (self.cold.binary_search_by_key(&engine, |cold| cold.engine), there) {
            (Err(place), true) => self.cold.insert(place, cold),
            (Ok(place), true) => self.cold[place] = cold,
            (Ok(place), false) => drop(self.cold.remove(place)),
            (Err(_), false) => {}
        }
    }
}

impl FleetIndex {
    fn new(times: FleetTimes, epoch: Micros) -> Self {
        let role = || OfRole {
            known: 0,
            ready: 0,
            tokens: 0,
            zones: BTreeMap::new(),
            cold: Vec::new(),
            carried: RateSum::new(times.rate_time, epoch),
            carried_sum: Cell::new(None),
        };
        Self {
            roles: std::array::from_fn(|_| role()),
            stages: std::array::from_fn(|_| OfStage::default()),
            cells: BTreeMap::new(),
            busy: BTreeSet::new(),
            struck: BTreeSet::new(),
            gone: BTreeSet::new(),
            warming: BTreeSet::new(),
        }
    }

    /// Counts a server in, or out.
    fn count(&mut self, id: EngineId, facts: &Facts, there: bool) {
        let role = &mut self.roles[facts.role as usize];
        count(&mut role.known, there);
        role.tokens = if there { role.tokens + facts.tokens } else { role.tokens - facts.tokens };
        if facts.ready {
            self.count_ready(id, facts, there);
        }
        for (stage, of_stage) in self.stages.iter_mut().enumerate() {
            if facts.serves[stage] {
                count(&mut of_stage.serving, there);
            }
            if facts.serves[stage] && facts.ready {
                count(&mut of_stage.serving_ready, there);
            }
        }
        keep(&mut self.busy, id, there && facts.busy);
        keep(&mut self.struck, id, there && facts.struck);
        keep(&mut self.gone, id, there && facts.gone);
        if let Some(until) = facts.cold_until {
            keep(&mut self.warming, (until, id), there);
        }
    }

    fn count_ready(&mut self, id: EngineId, facts: &Facts, there: bool) {
        let role = &mut self.roles[facts.role as usize];
        count(&mut role.ready, there);
        let zone = role.zones.entry(facts.zone).or_default();
        count(zone, there);
        if *zone == 0 {
            role.zones.remove(&facts.zone);
        }
        role.carried_sum.set(None);
        match (facts.cold_until, there) {
            (Some(_), _) => role.set_cold(id, facts, there),
            (None, true) => role.carried.set(id, &facts.carried),
            (None, false) => role.carried.remove(id),
        }
        let members = self.cells.entry(facts.cell).or_default();
        let ready = Ready { engine: id, zone: facts.zone, hash: mix(u64::from(id.0)) };
        members.set(facts.role, ready, there);
        if members.is_empty() {
            self.cells.remove(&facts.cell);
        }
    }

    /// Takes a server's paces in, or out.
    fn measure(&mut self, id: EngineId, facts: &Facts, there: bool) {
        for (stage, of_stage) in self.stages.iter_mut().enumerate() {
            match (facts.pace[stage], there) {
                (Some(pace), true) => of_stage.paces.insert(pace),
                (Some(pace), false) => of_stage.paces.remove(pace),
                (None, _) => {}
            }
            if let Some(queued) = facts.queued[stage] {
                keep(&mut of_stage.queued, (queued, id), there);
            }
        }
    }

    /// Replaces what is kept of a server, as far as it differs.
    fn replace(&mut self, id: EngineId, before: &Facts, after: &Facts) {
        if before.pace != after.pace || before.queued != after.queued {
            self.measure(id, before, false);
            self.measure(id, after, true);
        }
        let role = &mut self.roles[after.role as usize];
        let only_more_work = Facts {
            tokens: before.tokens,
            busy: before.busy,
            cold: before.cold,
            carried: before.carried.clone(),
            pace: before.pace,
            queued: before.queued,
            ..after.clone()
        } == *before;
        if !only_more_work {
            self.count(id, before, false);
            self.count(id, after, true);
            return;
        }
        role.tokens = role.tokens - before.tokens + after.tokens;
        if before.carried != after.carried && after.ready && after.cold_until.is_none() {
            role.carried.set(id, &after.carried);
            role.carried_sum.set(None);
        }
        if before.cold != after.cold && after.ready && after.cold_until.is_some() {
            role.set_cold(id, after, true);
        }
        if before.busy != after.busy {
            keep(&mut self.busy, id, after.busy);
        }
    }
}

impl Fleet {
    pub(crate) fn new(times: FleetTimes, now: Micros) -> Self {
        let (index, holders) = (FleetIndex::new(times, now), Holders::default());
        Self { engines: BTreeMap::new(), index, holders, times, others: false, epoch: now, now }
    }

    // ---- Changes ----

    /// Time goes on: servers become warm.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.index.warming.first().filter(|(until, _)| *until <= now) {
            let engine = &self.engines[&id];
            let before = Facts::of(engine, self.times, self.epoch, self.now);
            let after = Facts { cold_until: None, ..before.clone() };
            debug_assert_eq!(before.cold_until, Some(until));
            self.index.replace(id, &before, &after);
        }
        self.now = now;
        for role in &mut self.index.roles {
            role.carried.advance(now);
        }
    }

    /// Servers are cold for so long from now on.
    pub(crate) fn set_cold_for(&mut self, cold_for: Micros) {
        if self.times.cold_for != cold_for {
            self.times.cold_for = cold_for;
            self.index = self.recount();
        }
    }

    /// Changes a server, if it is known.
    pub(crate) fn change<T>(&mut self, id: EngineId, change: impl FnOnce(&mut Engine) -> T) -> Option<T> {
        let engine = self.engines.get_mut(&id)?;
        let before = Facts::of(engine, self.times, self.epoch, self.now);
        let changed = change(engine);
        let after = Facts::of(engine, self.times, self.epoch, self.now);
        if before != after {
            self.index.replace(id, &before, &after);
        }
        Some(changed)
    }

    /// A server starts under that number: one that is known goes on with its attempts alone, of which the tokens are
    /// still to be taken off.
    pub(crate) fn starts_anew(&mut self, id: EngineId, fresh: Engine) {
        if !self.engines.contains_key(&id) {
            let facts = Facts::of(&fresh, self.times, self.epoch, self.now);
            self.index.count(id, &facts, true);
            self.index.measure(id, &facts, true);
            self.engines.insert(id, fresh);
            self.others = true;
            return;
        }
        self.drop_texts(id);
        self.change(id, |engine| {
            (engine.prefixes, engine.cold, engine.seen) = (fresh.prefixes, fresh.cold, Seen::default());
        });
    }

    /// Servers that the list does not name have gone.
    pub(crate) fn take_away_all_but(&mut self, named: BTreeSet<EngineId>) {
        let gone: Vec<EngineId> = self.engines.keys().filter(|id| !named.contains(id)).copied().collect();
        for id in gone {
            self.change(id, |engine| engine.entry.health = Health::Gone);
        }
    }

    /// Forgets servers that have gone and have none of this front's work.
    pub(crate) fn forget_gone(&mut self) {
        let idle = |id: &EngineId| self.engines[id].tokens == 0 && self.engines[id].waiting.is_empty();
        let gone: Vec<EngineId> = self.index.gone.iter().copied().filter(idle).collect();
        for id in gone {
            self.drop_texts(id);
            let Some(engine) = self.engines.remove(&id) else { continue };
            self.others = true;
            let facts = Facts::of(&engine, self.times, self.epoch, self.now);
            self.index.count(id, &facts, false);
            self.index.measure(id, &facts, false);
        }
    }

    fn drop_texts(&mut self, id: EngineId) {
        let Some(engine) = self.engines.get(&id) else { return };
        engine.prefixes.sent.iter().for_each(|(&key, _)| self.holders.dropped(key, id));
    }

    /// A server is sent the texts of a request.
    pub(crate) fn sent(&mut self, id: EngineId, call: &Call) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let dropped = engine.prefixes.record(call, self.now);
        call.session.into_iter().chain(call.shared).for_each(|key| self.holders.sent(key, id, self.now));
        dropped.into_iter().for_each(|key| self.holders.dropped(key, id));
        self.holders.forget(self.now.saturating_sub(PREFIX_EXPIRY));
    }

    /// A server is believed to keep texts that it was sent before this front knew it: key, tokens, when.
    pub(crate) fn believes(&mut self, id: EngineId, texts: &[(Key, u64, Micros)], most: usize) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        for &(key, tokens, made) in texts.iter().filter(|text| text.2 <= self.now) {
            if engine.prefixes.sent.peek(&key).is_some_and(|own| own.1 >= made) {
                continue;
            }
            engine.prefixes.sent.put(key, (tokens, made));
            self.holders.sent(key, id, made);
        }
        while engine.prefixes.sent.len() > most {
            let dropped = engine.prefixes.sent.pop_lru();
            dropped.into_iter().for_each(|(key, _)| self.holders.dropped(key, id));
        }
    }

    /// A server's load report has come, if there is one.
    pub(crate) fn reported(&mut self, id: EngineId, report: Option<Report>) {
        let (Some(engine), Some(report)) = (self.engines.get_mut(&id), report) else { return };
        engine.seen.report = Some((report, self.now));
    }

    /// Classes have new numbers.
    pub(crate) fn renumber(&mut self, heirs: &BTreeMap<u32, u32>, classes: &BTreeMap<u32, Class>) {
        let struck: Vec<EngineId> = self.index.struck.iter().copied().collect();
        for id in struck {
            self.change(id, |engine| engine.seen.renumber(heirs, classes));
        }
    }

    // ---- Questions about one ----

    pub(crate) fn get(&self, id: EngineId) -> Option<&Engine> {
        self.engines.get(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.engines.keys().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Whether servers have come or gone since this was last asked.
    pub(crate) fn has_other_servers(&mut self) -> bool {
        std::mem::take(&mut self.others)
    }

    /// Those of some servers that are known, each once.
    pub(crate) fn these(&self, ids: &[EngineId]) -> impl Iterator<Item = &Engine> {
        let ids: BTreeSet<EngineId> = ids.iter().copied().collect();
        ids.into_iter().filter_map(|id| self.get(id))
    }

    /// Servers whose tables may hold a text of a request, and one more.
    pub(crate) fn holders(&self, call: &Call, one_more: EngineId) -> impl Iterator<Item = &Engine> {
        let keys = call.session.into_iter().chain(call.shared);
        let holders: Vec<EngineId> = keys.flat_map(|key| self.holders.of(key)).chain([one_more]).collect();
        self.these(&holders)
    }

    // ---- Questions about all ----

    /// How many servers of a role there are, whatever their health, one at the least.
    pub(crate) fn known(&self, role: Role) -> f64 {
        self.index.roles[role as usize].known.max(1) as f64
    }

    /// Servers of a role that take work.
    pub(crate) fn ready_count(&self, role: Role) -> usize {
        self.index.roles[role as usize].ready
    }

    /// Zones with servers of a role that take work, and how many each has.
    pub(crate) fn zones(&self, role: Role) -> &BTreeMap<ZoneId, usize> {
        &self.index.roles[role as usize].zones
    }

    /// Own tokens under way at servers of a role.
    pub(crate) fn tokens(&self, role: Role) -> u64 {
        self.index.roles[role as usize].tokens
    }

    /// Servers of a role that take work, by cell.
    pub(crate) fn ready_by_cell(&self, role: Role) -> impl Iterator<Item = (CellId, &[Ready])> {
        self.index.cells.iter().map(move |(&cell, members)| (cell, members.0[role as usize].as_slice()))
    }

    /// What each cell with servers that take work has of all of them.
    pub(crate) fn cell_shares(&self) -> BTreeMap<CellId, CellShare> {
        let of_all = |members: &OfCell, role: Role| {
            members.0[role as usize].len() as f64 / self.ready_count(role).max(1) as f64
        };
        let share = |members: &OfCell| {
            let last = members.0.iter().filter_map(|of_role| of_role.last()).max()?;
            let (reading, writing) = (of_all(members, Role::Reader), of_all(members, Role::Writer));
            Some(CellShare { zone: last.zone, reading, writing })
        };
        self.index.cells.iter().filter_map(|(&cell, members)| Some((cell, share(members)?))).collect()
    }

    /// Servers of a role that take work and pass a test, in the order of their numbers.
    pub(crate) fn passing(&self, role: Role, test: impl Fn(&Engine) -> bool) -> Vec<EngineId> {
        let passing = self.ready(role).filter(|engine| test(engine));
        let mut passing: Vec<EngineId> = passing.map(|engine| engine.entry.engine).collect();
        passing.sort_unstable();
        passing
    }

    /// Servers of a role that take work, cell by cell.
    pub(crate) fn ready(&self, role: Role) -> impl Iterator<Item = &Engine> {
        self.ready_by_cell(role).flat_map(|(_, members)| members).map(|ready| &self.engines[&ready.engine])
    }

    /// Servers of a cell and a role that take work, in the order of their numbers.
    pub(crate) fn ready_in(&self, cell: CellId, role: Role) -> impl Iterator<Item = &Engine> {
        let members = self.index.cells.get(&cell).into_iter().flat_map(move |cell| &cell.0[role as usize]);
        members.map(|ready| &self.engines[&ready.engine])
    }

    /// Cold servers of a role that take work.
    pub(crate) fn cold(&self, role: Role) -> &[Cold] {
        &self.index.roles[role as usize].cold
    }

    /// What warm servers of a role that take work carry together (a second), and how many they are.
    pub(crate) fn carried_by_warm(&self, role: Role) -> (f64, usize) {
        let role = &self.index.roles[role as usize];
        let known = role.carried_sum.get().filter(|(at, _)| *at == self.now);
        let sum = known.map_or_else(|| role.carried.now(self.now), |(_, sum)| sum);
        role.carried_sum.set(Some((self.now, sum)));
        (sum, role.carried.len())
    }

    /// Servers at which own attempts wait, in the order of their numbers.
    pub(crate) fn busy(&self) -> impl Iterator<Item = &Engine> {
        self.index.busy.iter().map(|id| &self.engines[id])
    }

    /// Servers of a role that take work and have failed requests of some class since they last served one.
    pub(crate) fn struck(&self, role: Role) -> impl Iterator<Item = &Engine> {
        let struck = self.index.struck.iter().map(|id| &self.engines[id]);
        struck.filter(move |engine| engine.role == role && engine.entry.health == Health::Ready)
    }

    /// Those that are busy, or struck, or both.
    pub(crate) fn busy_or_struck(&self) -> impl Iterator<Item = &Engine> {
        self.index.busy.union(&self.index.struck).map(|id| &self.engines[id])
    }

    /// How many have served a stage or have work of it waiting, and how many of them take work.
    pub(crate) fn serving(&self, stage: usize) -> (usize, usize) {
        let stage = &self.index.stages[stage];
        (stage.serving, stage.serving_ready)
    }

    /// Servers by what they queued at a stage, the most first.
    pub(crate) fn by_queued(&self, stage: usize) -> impl Iterator<Item = &Engine> {
        self.index.stages[stage].queued.iter().rev().map(|(_, id)| &self.engines[id])
    }

    /// The middle of the servers' paces at a stage (us a token).
    pub(crate) fn middle_pace(&self, stage: usize) -> Option<f64> {
        self.index.stages[stage].paces.lower_median()
    }

    // ---- The check ----

    /// The index as a count of all servers gives it.
    fn recount(&self) -> FleetIndex {
        let mut index = FleetIndex::new(self.times, self.now);
        for (&id, engine) in &self.engines {
            let facts = Facts::of(engine, self.times, self.epoch, self.now);
            index.count(id, &facts, true);
            index.measure(id, &facts, true);
        }
        index
    }

    /// What the index says otherwise than a recount, if anything.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let recounted = self.recount();
        for (role, (kept, counted)) in self.index.roles.iter().zip(&recounted.roles).enumerate() {
            let numbers = |of: &OfRole| (of.known, of.ready, of.tokens, of.carried.len());
            let same =
                numbers(kept) == numbers(counted) && kept.zones == counted.zones && kept.cold == counted.cold;
            let (sum, again) = (kept.carried.now(self.now), counted.carried.now(self.now));
            if !same || (sum - again).abs() > 1e-9 * again.max(1e-3) {
                return Some(format!("role {role}: {kept:?}, counted {counted:?}"));
            }
        }
        let believed = self.engines.iter().flat_map(|(&id, engine)| {
            let fresh = engine.prefixes.sent.iter().filter(|(_, sent)| sent.1 + PREFIX_EXPIRY > self.now);
            fresh.map(move |(&key, sent)| (key, id, sent.1))
        });
        let unknown = believed.into_iter().find(|&(key, id, at)| !self.holders.knows(key, id, at));
        if let Some(unknown) = unknown {
            return Some(format!("holders do not know {unknown:?}"));
        }
        let kept: usize = self.engines.values().map(|engine| engine.prefixes.sent.len()).sum();
        if self.holders.len() > kept {
            return Some(format!("{} holders of {kept} texts", self.holders.len()));
        }
        let FleetIndex { roles: _, stages, cells, busy, struck, gone, warming } = &self.index;
        let differs = |what: &str, same: bool| (!same).then(|| format!("{what}: {:?}", self.index));
        differs("stages", *stages == recounted.stages)
            .or_else(|| differs("cells", *cells == recounted.cells))
            .or_else(|| differs("busy", *busy == recounted.busy))
            .or_else(|| differs("struck", *struck == recounted.struck))
            .or_else(|| differs("gone", *gone == recounted.gone))
            .or_else(|| differs("warming", *warming == recounted.warming))
    }
}

impl Lookup<EngineId> for Fleet {
    type Output = Engine;

    fn index(&self, id: EngineId) -> &Engine {
        &self.engines[&id]
    }
}
