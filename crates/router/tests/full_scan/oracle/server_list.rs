//! What the list of servers changes.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::RngCore;

use super::Router;
use crate::interface::{CellId, Health, ListUpdateKind, Role, ServerEntry, ServerId, ZoneId};
use crate::prefix_table::PrefixTable;
use crate::records::{CellBalance, Server, ServerStatistics};
use crate::slow_start_budget::SlowStartBudget;
use crate::statistics::unit_interval;

impl Router {
    pub(super) fn apply_list(&mut self, how: ListUpdateKind, entries: Vec<ServerEntry>) {
        if how == ListUpdateKind::Failed {
            let draw = self.rng.next_u64();
            let wait =
                self.list_backoff.failed(self.settings.dispatcher_count, self.settings.max_list_age, draw);
            self.subscribe_at = self.settings.must_subscribe.then_some(self.now + wait);
            return;
        }
        self.list_backoff.answered();
        if how != ListUpdateKind::Patch {
            let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (id, server) in &mut self.servers {
                if !named.contains(id) {
                    server.entry.health = Health::Gone;
                }
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.servers.retain(|_, e| {
            e.entry.health != Health::Gone || e.memory_tokens_in_flight > 0 || !e.unanswered.is_empty()
        });
        self.gossip.set_servers(self.servers.keys().copied());
        self.balance_cells();
    }

    /// What the list says of racks, worked out when it changes. A zone takes of the states that leave cells
    /// what its other cells have room for: were it more, its one cell of many writers would be buried.
    pub(super) fn balance_cells(&mut self) {
        let ready: Vec<&Server> = self.servers.values().filter(|e| e.entry.health == Health::Ready).collect();
        let count = |role: Role, test: &dyn Fn(&ServerEntry) -> bool| {
            ready.iter().filter(|e| e.role == role && test(&e.entry)).count() as f64
        };
        let [readers, writers] = [Role::Reader, Role::Writer].map(|role| count(role, &|_| true).max(1.0));
        let places: BTreeMap<CellId, ZoneId> = ready.iter().map(|e| (e.entry.cell, e.entry.zone)).collect();
        let mut zones: BTreeMap<ZoneId, [f64; 2]> = BTreeMap::new(); // room to spare, states that leave cells
        let mut cells = BTreeMap::new();
        for (&id, &zone) in &places {
            let reading = count(Role::Reader, &|e| e.cell == id) / readers;
            let writing = count(Role::Writer, &|e| e.cell == id) / writers;
            let [room, leaving] = zones.entry(zone).or_default();
            *room += (writing - reading).max(0.0);
            *leaving += (reading - writing).max(0.0);
            let queued = self.cells.remove(&id).map(|cell| cell.queueing_us).unwrap_or_default();
            let near = writing / reading.max(f64::MIN_POSITIVE);
            cells.insert(
                id,
                CellBalance { writer_surplus: near, queueing_us: queued, ..CellBalance::default() },
            );
        }
        for (id, cell) in &mut cells {
            let [room, leaving] = zones[&places[id]];
            cell.zone_retention = room / leaving.max(f64::MIN_POSITIVE);
        }
        self.cells = cells;
    }

    /// Takes an entry; a new start time is a new, cold and empty server under an old number.
    pub(super) fn apply_entry(&mut self, entry: ServerEntry) {
        let kind = self.settings.kinds.get(entry.kind as usize);
        let (role, memory) = kind.map_or((Role::Mixed, 0), |kind| (kind.role, kind.memory_tokens));
        let level = unit_interval(self.rng.next_u64());
        let now = self.now;
        let cold = || SlowStartBudget::with_level(level, now);
        let fresh = || Server::new(entry.clone(), PrefixTable::new(), cold());
        let server = self.servers.entry(entry.server).or_insert_with(fresh);
        if server.entry.started != entry.started && entry.health == Health::Ready {
            server.prefixes = PrefixTable::new();
            server.statistics = ServerStatistics::default();
            server.slow_start_budget = cold();
        }
        server.entry = entry;
        (server.role, server.memory_tokens) = (role, memory);
    }
}
