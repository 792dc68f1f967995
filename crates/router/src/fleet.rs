//! The servers that a dispatcher knows, with an index of what requests ask of all of them
//! (`docs/design/server-index.md`). A record without any rule.
//!
//! Invariant: every change of a server goes through [`Fleet::change`] or one of the few methods beside it,
//! which keep the index and the prefix holders in step. [`Fleet::index_disagreement`] recounts everything.

mod consistency;
mod index;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

use crate::interface::{CellId, Class, Health, Key, Micros, Report, RequestInfo, Role, ServerId, ZoneId};
use crate::prefix_holders::PrefixHolders;
use crate::prefix_table::{CachedPrefix, PREFIX_EXPIRY_US};
use crate::records::{Server, ServerStatistics};

use index::{CellIndex, FleetIndex, IndexedServer};
pub(crate) use index::{FleetTimes, ReadyServer, SlowStartingServer};

/// What a cell has of all servers that take work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellShare {
    /// Its zone: that of its server with the highest number.
    pub(crate) zone: ZoneId,
    /// Its part of the readers.
    pub(crate) readers: f64,
    /// Its part of the writers.
    pub(crate) writers: f64,
}

/// How many servers there are of a kind that the question names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingCounts {
    pub(crate) all: usize,
    /// Those of them that take work.
    pub(crate) ready: usize,
}

/// What the warm servers of a role serve together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmServing {
    pub(crate) served_per_second: f64,
    pub(crate) servers: usize,
}

/// See the [module](self).
#[derive(Debug)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    index: FleetIndex,
    holders: PrefixHolders,
    times: FleetTimes,
    /// Servers have been added or removed since [`Fleet::take_membership_change`].
    has_membership_change: bool,
    /// The common time of what is kept as of one.
    epoch: Micros,
    now: Micros,
}

impl Fleet {
    /// One without servers.
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

    /// Time goes on: servers leave slow start.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.index.warming.first().filter(|(until, _)| *until <= now) {
            let before = self.indexed(&self.servers[&id]);
            let after = before.as_warm();
            debug_assert_eq!(before.slow_start_until, Some(until));
            self.index.replace(id, &before, &after);
        }
        self.now = now;
        for role in &mut self.index.roles {
            role.served_by_warm.advance(now);
        }
    }

    /// From now on servers are in slow start for so long after their start.
    pub(crate) fn set_slow_start_window(&mut self, window_us: Micros) {
        if self.times.slow_start_window_us != window_us {
            self.times.slow_start_window_us = window_us;
            self.index = self.recount();
        }
    }

    /// Changes a server, if it is known.
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

    /// A server starts under that number. One that is known keeps its attempts alone, of which the memory is
    /// still to be given back.
    pub(crate) fn start_server(&mut self, id: ServerId, fresh: Server) {
        if !self.servers.contains_key(&id) {
            let indexed = self.indexed(&fresh);
            self.index.add(id, &indexed);
            self.servers.insert(id, fresh);
            self.has_membership_change = true;
            return;
        }
        self.remove_holder(id);
        self.change(id, |server| {
            server.prefixes = fresh.prefixes;
            server.slow_start_budget = fresh.slow_start_budget;
            server.statistics = ServerStatistics::default();
        });
    }

    /// Marks all servers as gone that the list does not name.
    pub(crate) fn mark_gone_all_but(&mut self, listed: BTreeSet<ServerId>) {
        let gone: Vec<ServerId> = self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in gone {
            self.change(id, |server| server.entry.health = Health::Gone);
        }
    }

    /// Forgets servers that have gone and have no attempts of this dispatcher.
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

    fn remove_holder(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        for (&key, _) in &server.prefixes.sent {
            self.holders.remove(key, id);
        }
    }

    /// A server is sent the prompt of a request.
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

    /// Takes in prefixes that a server was sent before this dispatcher knew it, the oldest first; at most
    /// `max_keys` are kept. What is known to be newer stays.
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

    /// Keeps a server's load report, if there is one.
    pub(crate) fn record_report(&mut self, id: ServerId, report: Option<Report>) {
        let (Some(server), Some(report)) = (self.servers.get_mut(&id), report) else { return };
        server.statistics.report = Some((report, self.now));
    }

    /// Classes have new numbers: `class_renumbering` has the old number for each new one.
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

    /// Whether servers have been added or removed since this was last asked.
    pub(crate) fn take_membership_change(&mut self) -> bool {
        std::mem::take(&mut self.has_membership_change)
    }

    fn indexed(&self, server: &Server) -> IndexedServer {
        IndexedServer::of(server, self.times, self.epoch, self.now)
    }

    // ---- Questions about one server, or some ----

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// All servers, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// The numbers of all servers, in their order.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.keys().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Those of some servers that are known, each once, in the order of their numbers.
    pub(crate) fn known_of(&self, ids: &[ServerId]) -> impl Iterator<Item = &Server> {
        let ids: BTreeSet<ServerId> = ids.iter().copied().collect();
        ids.into_iter().filter_map(|id| self.get(id))
    }

    /// Servers whose tables may hold a prefix of a request, and one more.
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

    // ---- Questions about all of a role ----

    /// How many servers of a role there are, whatever their health, one at the least.
    pub(crate) fn known_count(&self, role: Role) -> f64 {
        self.index.roles[role as usize].known.max(1) as f64
    }

    /// How many servers of a role take work.
    pub(crate) fn ready_count(&self, role: Role) -> usize {
        self.index.roles[role as usize].ready
    }

    /// How many servers of a role take work, by zone.
    pub(crate) fn ready_count_by_zone(&self, role: Role) -> &BTreeMap<ZoneId, usize> {
        &self.index.roles[role as usize].zones
    }

    /// Memory that attempts of this dispatcher take at servers of a role, in tokens.
    pub(crate) fn memory_tokens_in_flight(&self, role: Role) -> u64 {
        self.index.roles[role as usize].memory_tokens_in_flight
    }

    /// Servers of a role that take work, by cell.
    pub(crate) fn ready_by_cell(&self, role: Role) -> impl Iterator<Item = (CellId, &[ReadyServer])> {
        self.index.cells.iter().map(move |(&cell, members)| (cell, members.of(role)))
    }

    /// Servers of a role that take work, cell by cell.
    pub(crate) fn ready(&self, role: Role) -> impl Iterator<Item = &Server> {
        self.ready_by_cell(role).flat_map(|(_, members)| members).map(|ready| &self.servers[&ready.id])
    }

    /// Servers of a role that take work and pass a test, in the order of their numbers.
    pub(crate) fn ready_passing(&self, role: Role, test: impl Fn(&Server) -> bool) -> Vec<ServerId> {
        let passing = self.ready(role).filter(|server| test(server));
        let mut passing: Vec<ServerId> = passing.map(|server| server.entry.server).collect();
        passing.sort_unstable();
        passing
    }

    /// Servers of a cell and a role that take work, in the order of their numbers.
    pub(crate) fn ready_in_cell(&self, cell: CellId, role: Role) -> impl Iterator<Item = &Server> {
        let members = self.index.cells.get(&cell).into_iter().flat_map(move |cell| cell.of(role));
        members.map(|ready| &self.servers[&ready.id])
    }

    /// Servers of a role in slow start that take work.
    pub(crate) fn slow_starting(&self, role: Role) -> &[SlowStartingServer] {
        &self.index.roles[role as usize].slow_starting
    }

    /// What warm servers of a role that take work serve together.
    pub(crate) fn served_by_warm(&self, role: Role) -> WarmServing {
        let role = &self.index.roles[role as usize];
        let cached = role.served_by_warm_cache.get().filter(|(at, _)| *at == self.now);
        let sum = cached.map_or_else(|| role.served_by_warm.value_at(self.now), |(_, sum)| sum);
        role.served_by_warm_cache.set(Some((self.now, sum)));
        WarmServing { served_per_second: sum, servers: role.served_by_warm.len() }
    }

    /// Servers of a role that take work and have failed requests of some class since they last served one.
    pub(crate) fn ready_suspects(&self, role: Role) -> impl Iterator<Item = &Server> {
        let suspects = self.index.suspects.iter().map(|id| &self.servers[id]);
        suspects.filter(move |server| server.role == role && server.entry.health == Health::Ready)
    }

    // ---- Questions about all ----

    /// What each cell with servers that take work has of all of them.
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

    /// Servers with unanswered attempts of this dispatcher, in the order of their numbers.
    pub(crate) fn busy(&self) -> impl Iterator<Item = &Server> {
        self.index.busy.iter().map(|id| &self.servers[id])
    }

    /// Servers that are busy, or have failed requests since they last served one, or both.
    pub(crate) fn busy_or_suspect(&self) -> impl Iterator<Item = &Server> {
        self.index.busy.union(&self.index.suspects).map(|id| &self.servers[id])
    }

    /// How many servers have served a stage or have unanswered work of it.
    pub(crate) fn serving(&self, stage: usize) -> ServingCounts {
        let stage = &self.index.stages[stage];
        ServingCounts { all: stage.serving, ready: stage.serving_ready }
    }

    /// Servers by what they queued at a stage, the most first.
    pub(crate) fn by_queueing(&self, stage: usize) -> impl Iterator<Item = &Server> {
        self.index.stages[stage].by_queueing.iter().rev().map(|(_, id)| &self.servers[id])
    }

    /// The median over servers of the time per token of work at a stage (us).
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
