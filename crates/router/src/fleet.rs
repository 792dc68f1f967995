//! The servers known to a dispatcher, with an index of the aggregates that routing a request needs
//! (`docs/design/server-index.md`). It stores data and makes no decisions.
//!
//! Invariant: servers are only changed through [`Fleet::change`] and the other `&mut self` methods here,
//! which keep the index and the prefix holders consistent. [`Fleet::index_disagreement`] checks this against
//! a recount of all servers.

mod consistency;
mod index;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

use crate::interface::{CellId, Class, Health, Key, Micros, Report, RequestInfo, Role, ServerId, ZoneId};
use crate::prefix_holders::PrefixHolders;
use crate::prefix_table::{CachedPrefix, PREFIX_EXPIRY_US};
use crate::records::{Server, ServerStatistics};
use crate::slow_start_budget::SlowStartBudget;

use index::{CellIndex, FleetIndex, IndexedServer, TotalSize};
pub(crate) use index::{FleetTimes, ReadyServer};

/// A cell's shares of all ready servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellShare {
    /// The cell's zone, taken from its ready server with the highest id.
    pub(crate) zone: ZoneId,
    /// Its share of all ready readers, from 0 to 1.
    pub(crate) readers: f64,
    /// Its share of all ready writers, from 0 to 1.
    pub(crate) writers: f64,
}

/// How many servers have served a stage or have unanswered work of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingCounts {
    /// All of them, whatever their health.
    pub(crate) all: usize,
    /// Those that are ready.
    pub(crate) ready: usize,
}

/// The servers known to a dispatcher. See the [module](self).
#[derive(Debug)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    index: FleetIndex,
    holders: PrefixHolders,
    times: FleetTimes,
    /// Servers were added or removed since the last call of [`Fleet::take_membership_change`].
    has_membership_change: bool,
    /// The time to which the index projects decaying values, so that it can order them.
    epoch: Micros,
    now: Micros,
}

impl Fleet {
    /// A fleet without servers.
    pub(crate) fn new(times: FleetTimes, now: Micros) -> Self {
        Self {
            servers: BTreeMap::new(),
            index: FleetIndex::new(times, now),
            holders: PrefixHolders::default(),
            times,
            has_membership_change: false,
            epoch: now,
            now,
        }
    }

    // ---- Changes ----

    /// Advances the clock to `now`, and moves servers whose slow start has ended to the warm ones.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.index.warming.first().filter(|(until, _)| *until <= now) {
            let before = self.indexed(&self.servers[&id]);
            let after = before.as_warm();
            debug_assert_eq!(before.slow_start_until, Some(until));
            self.index.replace(id, &before, &after);
        }
        self.now = now;
        for kind in self.index.warm_kinds.values_mut() {
            kind.rates.advance(now);
        }
    }

    /// Sets how long servers are in slow start after their start. Rebuilds the index if that changes.
    pub(crate) fn set_slow_start_window(&mut self, window_us: Micros) {
        if self.times.slow_start_window_us != window_us {
            self.times.slow_start_window_us = window_us;
            self.index = self.recount();
        }
    }

    /// Applies `change` to a server and updates the index. Returns what `change` returns, or `None` if the
    /// server is not known.
    pub(crate) fn change<T>(&mut self, id: ServerId, change: impl FnOnce(&mut Server) -> T) -> Option<T> {
        let server = self.servers.get_mut(&id)?;
        let before = IndexedServer::of(server, self.times, self.epoch, self.now);
        let changed = change(server);
        let after = IndexedServer::of(server, self.times, self.epoch, self.now);
        if before != after {
            self.index.replace(id, &before, &after);
        }
        Some(changed)
    }

    /// Adds a server that has started under this id. If the id is known already, the server has restarted:
    /// only its attempts in flight are kept, as their memory is still to be subtracted when they end.
    pub(crate) fn start_server(&mut self, id: ServerId, new_server: Server) {
        if !self.servers.contains_key(&id) {
            let indexed = self.indexed(&new_server);
            self.index.add(id, &indexed);
            self.servers.insert(id, new_server);
            self.has_membership_change = true;
            return;
        }
        self.remove_holder(id);
        let now = self.now;
        self.change(id, |server| {
            let started = new_server.entry.started.unwrap_or(now);
            let previous = std::mem::replace(&mut server.slow_start_budget, new_server.slow_start_budget);
            server.slow_start_budget.inherit(previous, started);
            server.prefixes = new_server.prefixes;
            server.statistics = ServerStatistics::since(now);
        });
    }

    /// Marks all servers as gone that are not in `listed`.
    pub(crate) fn mark_gone_all_but(&mut self, listed: BTreeSet<ServerId>) {
        let gone: Vec<ServerId> = self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in gone {
            self.change(id, |server| server.entry.health = Health::Gone);
        }
    }

    /// Removes servers that are gone and have no attempts of this dispatcher in flight.
    pub(crate) fn remove_gone(&mut self) {
        let is_idle = |id: &ServerId| {
            let server = &self.servers[id];
            server.memory_tokens_in_flight == 0 && server.unanswered.is_empty()
        };
        let gone: Vec<ServerId> = self.index.gone.iter().copied().filter(is_idle).collect();
        for id in gone {
            self.remove_holder(id);
            let Some(server) = self.servers.remove(&id) else { continue };
            self.has_membership_change = true;
            let indexed = self.indexed(&server);
            self.index.remove(id, &indexed);
        }
    }

    /// Removes a server from the prefix holders of all its prefixes.
    fn remove_holder(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        for (&key, _) in &server.prefixes.sent {
            self.holders.remove(key, id);
        }
    }

    /// Records that a server is sent the prompt of a request now, and drops expired prefix holders.
    pub(crate) fn record_prefixes(&mut self, id: ServerId, info: &RequestInfo) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let dropped = server.prefixes.record(info, self.now);
        for key in info.session.into_iter().chain(info.shared) {
            self.holders.insert(key, id, self.now);
        }
        for key in dropped {
            self.holders.remove(key, id);
        }
        self.holders.remove_older(self.now.saturating_sub(PREFIX_EXPIRY_US));
    }

    /// Adds prefixes that an earlier process sent to a server. `prefixes` has the oldest first; at most
    /// `max_keys` of the server's prefixes are kept. An entry is skipped if the server has the same key with
    /// a time as late or later, or if its time is in the future.
    pub(crate) fn import_prefixes(
        &mut self,
        id: ServerId,
        prefixes: &[(Key, CachedPrefix)],
        max_keys: usize,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let sent = &mut server.prefixes.sent;
        for &(key, prefix) in prefixes.iter().filter(|(_, prefix)| prefix.sent_at <= self.now) {
            if sent.peek(&key).is_some_and(|own| own.sent_at >= prefix.sent_at) {
                continue;
            }
            sent.put(key, prefix);
            self.holders.insert(key, id, prefix.sent_at);
        }
        while sent.len() > max_keys {
            let Some((key, _)) = sent.pop_lru() else { break };
            self.holders.remove(key, id);
        }
    }

    /// What this dispatcher has sent to a server, to be updated; `None` if the server is not known.
    pub(crate) fn slow_start_budget(&mut self, id: ServerId) -> Option<&mut SlowStartBudget> {
        // The index doesn't contain it.
        self.servers.get_mut(&id).map(|server| &mut server.slow_start_budget)
    }

    /// Stores a server's load report, if there is one, with the time of its arrival.
    pub(crate) fn record_report(&mut self, id: ServerId, report: Option<Report>) {
        let (Some(server), Some(report)) = (self.servers.get_mut(&id), report) else { return };
        server.statistics.report = Some((report, self.now));
    }

    /// Applies a class renumbering to the failure records of servers. `class_renumbering` maps each new
    /// number to the old one; `classes` are the classes from now on.
    pub(crate) fn renumber_classes(
        &mut self,
        class_renumbering: &BTreeMap<u32, u32>,
        classes: &BTreeMap<u32, Class>,
    ) {
        let suspects: Vec<ServerId> = self.index.suspects.iter().copied().collect();
        for id in suspects {
            self.change(id, |server| server.statistics.renumber_classes(class_renumbering, classes));
        }
    }

    /// Whether servers were added or removed since the last call.
    pub(crate) fn take_membership_change(&mut self) -> bool {
        std::mem::take(&mut self.has_membership_change)
    }

    /// The index entry for the current state of a server.
    fn indexed(&self, server: &Server) -> IndexedServer {
        IndexedServer::of(server, self.times, self.epoch, self.now)
    }

    // ---- Queries for single servers ----

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// All servers, ordered by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// The ids of all servers, in ascending order.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.keys().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The known servers among `ids`, without duplicates, ordered by id.
    pub(crate) fn known_of(&self, ids: &[ServerId]) -> impl Iterator<Item = &Server> {
        let ids: BTreeSet<ServerId> = ids.iter().copied().collect();
        ids.into_iter().filter_map(|id| self.get(id))
    }

    /// The servers that may have a prefix of the request in their prefix tables, and `one_more`, ordered by
    /// id.
    pub(crate) fn prefix_holders_and(
        &self,
        one_more: ServerId,
        info: &RequestInfo,
    ) -> impl Iterator<Item = &Server> {
        let keys = info.session.into_iter().chain(info.shared);
        let holders: Vec<ServerId> =
            keys.flat_map(|key| self.holders.servers(key)).chain([one_more]).collect();
        self.known_of(&holders)
    }

    // ---- Queries by role ----

    /// Number of servers of a role, whatever their health; at least 1, so that it can be divided by.
    pub(crate) fn known_count(&self, role: Role) -> f64 {
        self.index.roles[role as usize].known.max(1) as f64
    }

    /// The sum of the sizes of the servers of a role, whatever their health; 1 if there are none, so that it can
    /// be divided by.
    pub(crate) fn known_size(&self, role: Role) -> f64 {
        match self.index.roles[role as usize].known_size {
            TotalSize::NONE => 1.0,
            size => size.value(),
        }
    }

    /// Number of ready servers of a role.
    pub(crate) fn ready_count(&self, role: Role) -> usize {
        self.index.roles[role as usize].ready
    }

    /// Number of ready servers of a role in each zone that has any.
    pub(crate) fn ready_count_by_zone(&self, role: Role) -> &BTreeMap<ZoneId, usize> {
        &self.index.roles[role as usize].zones
    }

    /// Memory taken at servers of a role by this dispatcher's attempts in flight, in tokens.
    pub(crate) fn memory_tokens_in_flight(&self, role: Role) -> u64 {
        self.index.roles[role as usize].memory_tokens_in_flight
    }

    /// Ready servers of a role, grouped by cell.
    pub(crate) fn ready_by_cell(&self, role: Role) -> impl Iterator<Item = (CellId, &[ReadyServer])> {
        self.index.cells.iter().map(move |(&cell, members)| (cell, members.of(role)))
    }

    /// Ready servers of a role, ordered by cell and then by id.
    pub(crate) fn ready(&self, role: Role) -> impl Iterator<Item = &Server> {
        self.ready_by_cell(role).flat_map(|(_, members)| members).map(|ready| &self.servers[&ready.id])
    }

    /// Ids of the ready servers of a role that pass `test`, in ascending order.
    pub(crate) fn ready_passing(&self, role: Role, test: impl Fn(&Server) -> bool) -> Vec<ServerId> {
        let passing = self.ready(role).filter(|server| test(server));
        let mut passing: Vec<ServerId> = passing.map(|server| server.entry.server).collect();
        passing.sort_unstable();
        passing
    }

    /// Ready servers of a role in one cell, ordered by id.
    pub(crate) fn ready_in_cell(&self, cell: CellId, role: Role) -> impl Iterator<Item = &Server> {
        let members = self.index.cells.get(&cell).into_iter().flat_map(move |cell| cell.of(role));
        members.map(|ready| &self.servers[&ready.id])
    }

    /// Ready servers of a role that are in slow start, ordered by id.
    pub(crate) fn slow_starting(&self, role: Role) -> impl Iterator<Item = &Server> {
        self.index.roles[role as usize].slow_starting.iter().map(|id| &self.servers[id])
    }

    /// Rate at which the ready servers of a kind that are not in slow start (warm servers) serve, in requests of
    /// mean work per second, for each unit of their size; `None` if there are none. The rate is cached until
    /// the time or one of their rates changes.
    pub(crate) fn warm_rate_per_size(&self, kind: u32) -> Option<f64> {
        let kind = self.index.warm_kinds.get(&kind).filter(|kind| kind.size != TotalSize::NONE)?;
        let cached = kind.rate_cache.get().filter(|(at, _)| *at == self.now);
        if let Some((_, rate)) = cached {
            return Some(rate);
        }
        let rate = kind.rates.value_at(self.now) / kind.size.value();
        kind.rate_cache.set(Some((self.now, rate)));
        Some(rate)
    }

    /// Ready servers of a role with a failure, in some class, since they last served a request of that class.
    pub(crate) fn ready_suspects(&self, role: Role) -> impl Iterator<Item = &Server> {
        let suspects = self.index.suspects.iter().map(|id| &self.servers[id]);
        suspects.filter(move |server| server.role == role && server.entry.health == Health::Ready)
    }

    // ---- Queries over all servers ----

    /// The shares of all ready servers that each cell has; cells without a ready server are absent.
    pub(crate) fn cell_shares(&self) -> BTreeMap<CellId, CellShare> {
        let share_of = |members: &CellIndex, role: Role| {
            members.of(role).len() as f64 / self.ready_count(role).max(1) as f64
        };
        let mut shares = BTreeMap::new();
        for (&cell, members) in &self.index.cells {
            let Some(last) = members.last() else { continue };
            let (readers, writers) = (share_of(members, Role::Reader), share_of(members, Role::Writer));
            shares.insert(cell, CellShare { zone: last.zone, readers, writers });
        }
        shares
    }

    /// Servers with unanswered attempts of this dispatcher, ordered by id.
    pub(crate) fn busy(&self) -> impl Iterator<Item = &Server> {
        self.index.busy.iter().map(|id| &self.servers[id])
    }

    /// Servers that have unanswered attempts, or a failure since they last served a request of its class,
    /// ordered by id.
    pub(crate) fn busy_or_suspect(&self) -> impl Iterator<Item = &Server> {
        self.index.busy.union(&self.index.suspects).map(|id| &self.servers[id])
    }

    /// Number of servers that have served a stage or have unanswered work of it.
    pub(crate) fn serving(&self, stage: usize) -> ServingCounts {
        let stage = &self.index.stages[stage];
        ServingCounts { all: stage.serving, ready: stage.serving_ready }
    }

    /// Servers with queueing at a stage, ordered by their average queueing delay, the longest first.
    pub(crate) fn by_queueing(&self, stage: usize) -> impl Iterator<Item = &Server> {
        self.index.stages[stage].by_queueing.iter().rev().map(|(_, id)| &self.servers[id])
    }

    /// The lower median over servers of the time per token of work at a stage (us); `None` if no server has
    /// served the stage.
    pub(crate) fn median_us_per_token(&self, stage: usize) -> Option<f64> {
        self.index.stages[stage].us_per_token.lower_median()
    }
}

impl Index<ServerId> for Fleet {
    type Output = Server;

    fn index(&self, id: ServerId) -> &Server {
        &self.servers[&id]
    }
}
