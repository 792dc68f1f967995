//! Updates of the list of servers.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::RngCore;

use super::constants::MIN_SIZE;
use super::Router;
use crate::interface::{CellId, Health, ListUpdateKind, Role, ServerEntry, ServerId, ZoneId};
use crate::prefix_table::PrefixTable;
use crate::records::{CellBalance, Server, ServerStatistics};
use crate::slow_start_budget::SlowStartBudget;
use crate::statistics::unit_interval;

impl Router {
    /// Applies a list update, or schedules the next call for the list after a failed one. Servers that are missing
    /// from a whole list are gone; they are removed once no attempt is in flight there.
    pub(super) fn apply_list(&mut self, update_kind: ListUpdateKind, entries: Vec<ServerEntry>) {
        if update_kind == ListUpdateKind::Failed {
            let draw = self.rng.next_u64();
            let wait =
                self.list_backoff.failed(self.settings.dispatcher_count, self.settings.max_list_age, draw);
            self.subscribe_at = self.settings.must_subscribe.then_some(self.now + wait);
            return;
        }
        self.list_backoff.answered();
        if update_kind != ListUpdateKind::Patch {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (id, server) in &mut self.servers {
                if !listed.contains(id) {
                    server.entry.health = Health::Gone;
                }
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.servers.retain(|_, s| {
            s.entry.health != Health::Gone || s.memory_tokens_in_flight > 0 || !s.unanswered.is_empty()
        });
        self.gossip.set_servers(self.servers.keys().copied());
        self.balance_cells();
    }

    /// Computes the balance between readers and writers of each cell (rack), whenever the list changes. Of the states
    /// that leave their cells, a zone keeps only as many as its other cells have spare writers for. With more, a
    /// zone's only cell with spare writers would be overloaded.
    pub(super) fn balance_cells(&mut self) {
        let ready: Vec<&Server> = self.servers.values().filter(|s| s.entry.health == Health::Ready).collect();
        let count = |role: Role, predicate: &dyn Fn(&ServerEntry) -> bool| {
            ready.iter().filter(|s| s.role == role && predicate(&s.entry)).count() as f64
        };
        let [readers, writers] = [Role::Reader, Role::Writer].map(|role| count(role, &|_| true).max(1.0));
        let zone_of_cell: BTreeMap<CellId, ZoneId> =
            ready.iter().map(|s| (s.entry.cell, s.entry.zone)).collect();
        // For each zone: spare writer capacity of its cells, and states that leave its cells, as shares of all
        // writers.
        let mut zones: BTreeMap<ZoneId, [f64; 2]> = BTreeMap::new();
        let mut cells = BTreeMap::new();
        for (&id, &zone) in &zone_of_cell {
            let reader_share = count(Role::Reader, &|s| s.cell == id) / readers;
            let writer_share = count(Role::Writer, &|s| s.cell == id) / writers;
            let [spare_writers, leaving_states] = zones.entry(zone).or_default();
            *spare_writers += (writer_share - reader_share).max(0.0);
            *leaving_states += (reader_share - writer_share).max(0.0);
            let queueing = self.cells.remove(&id).map(|cell| cell.queueing_us).unwrap_or_default();
            let surplus = writer_share / reader_share.max(f64::MIN_POSITIVE);
            cells.insert(
                id,
                CellBalance { writer_surplus: surplus, queueing_us: queueing, ..CellBalance::default() },
            );
        }
        for (id, cell) in &mut cells {
            let [spare_writers, leaving_states] = zones[&zone_of_cell[id]];
            cell.zone_retention = spare_writers / leaving_states.max(f64::MIN_POSITIVE);
        }
        self.cells = cells;
    }

    /// Applies an entry. A new start time under a known id means that the server has restarted: its cache is empty and
    /// it is in slow start.
    pub(super) fn apply_entry(&mut self, entry: ServerEntry) {
        let kind = self.settings.kinds.get(entry.kind as usize);
        let (role, memory) = kind.map_or((Role::Mixed, 0), |kind| (kind.role, kind.memory_tokens));
        let rounding = unit_interval(self.rng.next_u64());
        let now = self.now;
        let mut budget = SlowStartBudget::new(rounding, now);
        if entry.started.is_some_and(|started| started <= self.created_at) {
            budget = budget.opening_after_window(self.created_at, self.settings.overload_window);
        }
        let new_server = || Server::new(entry.clone(), PrefixTable::new(), budget.clone(), now);
        let server = self.servers.entry(entry.server).or_insert_with(new_server);
        if server.entry.started != entry.started && entry.health == Health::Ready {
            server.prefixes = PrefixTable::new();
            server.statistics = ServerStatistics::since(now);
            let previous = std::mem::replace(&mut server.slow_start_budget, budget);
            server.slow_start_budget.inherit(previous, entry.started.unwrap_or(now));
        }
        server.size = if self.settings.weight_is_size { entry.weight.max(MIN_SIZE) } else { 1.0 };
        server.entry = entry;
        (server.role, server.memory_tokens) = (role, memory);
    }
}
