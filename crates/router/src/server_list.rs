//! The list of servers: its entries, what it says of cells, and the sweep that no event brings up.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::figures::unit;
use crate::fleet::CellShare;
use crate::interface::{Action, Entry, Health, ListKind, Micros, Role, TimerToken, ZoneId};
use crate::router::Router;
use crate::state::{Cell, Engine, Stage};
use crate::tables::{ColdBudget, PrefixTable};

/// Even shares that a cell's readers get, to suit its writers.
pub(crate) const READER_PULL: [f64; 2] = [0.2, 1.5];
/// Time between two sweeps (us). Scales with the shortest time in which a held state must be let go.
pub(crate) const SWEEP_EVERY: Micros = 40_000;
pub(crate) const SWEEP: TimerToken = TimerToken(1);

impl Router {
    pub(crate) fn apply_list(&mut self, how: ListKind, entries: Vec<Entry>) {
        if how == ListKind::Broken {
            let lot = self.rng.next_u64();
            let wait = self.list_backoff.failed(self.settings.balancers, self.settings.must_ask_in, lot);
            self.ask_at = self.settings.must_subscribe.then_some(self.now + wait);
            return;
        }
        self.list_backoff.answered();
        if how != ListKind::Patch {
            self.fleet.take_away_all_but(entries.iter().map(|entry| entry.engine).collect());
        }
        entries.into_iter().for_each(|entry| self.apply_entry(entry));
        self.fleet.forget_gone();
        if self.fleet.has_other_servers() {
            self.gossip.list(self.fleet.ids());
        }
        self.weigh_cells();
    }

    /// What the list says of racks, worked out when it changes. A zone takes of the states that leave cells
    /// what its other cells have room for: were it more, its one cell of many writers would be buried.
    pub(crate) fn weigh_cells(&mut self) {
        let shares = self.fleet.cell_shares();
        let mut zones: BTreeMap<ZoneId, [f64; 2]> = BTreeMap::new(); // room to spare, states that leave cells
        let mut cells = BTreeMap::new();
        for (&id, &CellShare { zone, reading, writing }) in &shares {
            let [room, leaving] = zones.entry(zone).or_default();
            *room += (writing - reading).max(0.0);
            *leaving += (reading - writing).max(0.0);
            let queued = self.cells.remove(&id).map(|cell| cell.queued).unwrap_or_default();
            let near = writing / reading.max(f64::MIN_POSITIVE);
            let pull = near.sqrt().clamp(READER_PULL[0], READER_PULL[1]);
            cells.insert(id, Cell { near, pull, queued, ..Cell::default() });
        }
        for (id, cell) in &mut cells {
            let [room, leaving] = zones[&shares[id].zone];
            cell.zone_takes = room / leaving.max(f64::MIN_POSITIVE);
        }
        self.cells = cells;
    }

    /// Takes an entry; a new start time is a new, cold and empty server under an old number.
    pub(crate) fn apply_entry(&mut self, entry: Entry) {
        let kind = self.settings.kinds.get(entry.kind as usize);
        let (role, memory) = kind.map_or((Role::Mixed, 0), |kind| (kind.role, kind.memory_tokens));
        let cold = ColdBudget::owing(unit(self.rng.next_u64()), self.now);
        let id = entry.engine;
        let same = |engine: &Engine| engine.entry.started == entry.started || entry.health != Health::Ready;
        if !self.fleet.get(id).is_some_and(same) {
            self.fleet.starts_anew(id, Engine::new(entry.clone(), PrefixTable::new(), cold));
        }
        self.fleet.change(id, |engine| (engine.entry, engine.role, engine.memory) = (entry, role, memory));
    }

    /// What no event brings up: the list to ask for, the middle of the paces, states that wait for a writer.
    pub(crate) fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Defer { delay: SWEEP_EVERY, token: SWEEP });
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            out.push(Action::Subscribe);
        }
        for (at, stage) in self.stages.iter_mut().enumerate() {
            stage.usual = self.fleet.middle_pace(at).unwrap_or(stage.usual);
        }
        for id in std::mem::take(&mut self.parked) {
            self.route(id, out);
        }
        let at = Stage::Read as usize;
        for engine in self.fleet.busy().filter(|e| e.role == Role::Reader) {
            let oldest = engine.waiting.first().and_then(|(_, id)| self.requests.get(id)?.out.as_ref());
            let silent = engine.silent(self.now, at, self.stages[at].best);
            oldest.iter().for_each(|oldest| self.gossip.saw(oldest.engine, silent, oldest.expected));
        }
    }
}
