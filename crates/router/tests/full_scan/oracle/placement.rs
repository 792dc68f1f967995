//! Selection of the server that reads a prompt.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use rand_core::RngCore;

use super::constants::{
    AVERAGE_HALF_LIFE_US, CAPACITY_SHARE_OF_OBJECTIVE, HOMES_PER_SHARE, INITIAL_TOKENS_PER_OBJECTIVE,
    PRIOR_POPULARITY_REQUESTS, RATE_TIME_CONSTANT_US, READERS_PER_HOME, READER_WEIGHTS, WINDOW_LIMITS_US,
    WINDOW_REQUESTS, ZONE_SHARE,
};
use super::Router;
use crate::interface::{Health, Key, RequestId, RequestInfo, Role, ServerId, ZoneId};
use crate::records::{Server, Stage};
use crate::statistics::{mix, unit_interval};

impl Router {
    /// Selects a server of a role by the longest prefix that it is believed to cache, then by the fewest attempts of
    /// this dispatcher, then the home, then at random. If no server is believed to cache a prefix, the rendezvous
    /// ranking decides, which starts at the home. Servers at capacity are skipped; if all of them are, the result is
    /// `None` with `requires_capacity`, else the server with the fewest attempts.
    pub(super) fn select_server(
        &mut self,
        id: RequestId,
        role: Role,
        requires_capacity: bool,
    ) -> Option<ServerId> {
        let tie_break_seed = self.rng.next_u64();
        let request = self.requests.get(&id)?;
        let pool = self.candidate_pool(role, request);
        let info = &request.info;
        let class = info.class;
        let mut ranking: Vec<_> = Vec::with_capacity(pool.len());
        for (position, id) in
            self.rank_by_rendezvous(role, info).into_iter().enumerate().filter(|(_, id)| pool.contains(id))
        {
            let server = &self.servers[&id];
            let cached = server.prefixes.longest_match(info, self.now).map_or(0, |prefix| prefix.tokens);
            let cached = if position == 0 { cached.max(info.shared_tokens) } else { cached };
            let in_flight = server.unanswered.len();
            let (first, then) =
                if cached > 0 { (in_flight, usize::from(position > 0)) } else { (0, position) };
            ranking.push((
                Reverse(cached),
                first,
                then,
                in_flight,
                mix(tie_break_seed ^ mix(u64::from(id.0))),
                id,
            ));
        }
        ranking.sort_unstable();
        let mean_memory_tokens = self.mean_memory_tokens(role);
        let stage = if role == Role::Reader { Stage::Read } else { Stage::ReadAndWrite };
        let pace = self.stages[stage as usize].unloaded_us_per_token;
        for &(Reverse(cached), .., id) in &ranking {
            let draw = unit_interval(self.rng.next_u64());
            let server = &self.servers[&id];
            let reread_us = pace * cached as f64; // the wait that a cached prefix is worth
            let queued_us =
                server.statistics.queueing_us[stage as usize].value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
            let queued_us = queued_us.max(self.gossip.estimated_queueing_us(id, self.now));
            let has_capacity = !self.is_at_capacity(server, stage, reread_us)
                && queued_us
                    <= reread_us + CAPACITY_SHARE_OF_OBJECTIVE * self.settings.shortest_latency_objective()
                && !self.lacks_local_writers(server, class)
                && draw < self.share_for_pace(server, stage);
            if has_capacity && (role == Role::Reader || self.has_memory_left(server, mean_memory_tokens)) {
                return Some(id);
            }
        }
        // Of the servers with the fewest attempts, the one that would finish first: in a pool that is at capacity,
        // reading cached text again elsewhere adds to the overload.
        let finish_us =
            |cached: u64, id| self.gossip.estimated_queueing_us(id, self.now) - pace * cached as f64;
        let fewest = ranking.iter().min_by(|a, b| {
            a.3.cmp(&b.3).then(finish_us(a.0 .0, a.5).total_cmp(&finish_us(b.0 .0, b.5))).then(a.4.cmp(&b.4))
        });
        fewest.map(|rank| rank.5).filter(|_| !requires_capacity)
    }

    /// Ranks the servers of a role by rendezvous hash, starting at the home of the request's prefix.
    ///
    /// All dispatchers of a zone agree on the home and on the servers that stand in for it, and a change of the list
    /// moves only the keys of the servers that changed. Servers of the dispatcher's own zone come first for as many
    /// keys as they can take. If a shared prefix has several homes, the session selects one of them, and that one
    /// counts as caching the prefix. Later turns of the session must find the same home, so nothing here may depend on
    /// how long the prompt has grown.
    pub(super) fn rank_by_rendezvous(&self, role: Role, info: &RequestInfo) -> Vec<ServerId> {
        let key = info.shared.or(info.session).unwrap_or(Key(0));
        let weighs_cells = role == Role::Reader && info.shared.is_some();
        let score = |s: &Server| {
            let draw = unit_interval(mix(key.0 ^ mix(u64::from(s.entry.server.0))));
            // A cached shared prefix is cheap to read, but the whole state has to be transferred to a writer. Its
            // homes therefore belong in cells that have enough writers.
            let cell = self.cells.get(&s.entry.cell).filter(|_| weighs_cells);
            let weight = cell
                .map_or(1.0, |cell| cell.writer_surplus.sqrt().clamp(READER_WEIGHTS[0], READER_WEIGHTS[1]));
            libm::log(draw) / weight
        };
        let ready = self.servers.values().filter(|s| s.role == role && s.entry.health == Health::Ready);
        let zones: BTreeSet<ZoneId> = ready.clone().map(|s| s.entry.zone).collect();
        let is_own_zone = |s: &Server| s.entry.zone == self.settings.zone;
        let mut ranks: Vec<_> = ready.map(|s| (is_own_zone(s), score(s), s.entry.server)).collect();
        let own_share = ranks.iter().filter(|rank| rank.0).count() as f64 / ranks.len().max(1) as f64;
        let is_local = unit_interval(mix(!key.0)) < ZONE_SHARE * own_share * zones.len() as f64;
        ranks.sort_unstable_by(|a, b| (a.0 != is_local).cmp(&(b.0 != is_local)).then(b.1.total_cmp(&a.1)));
        let window_us = self.popularity_window_us();
        let prefix_requests =
            self.shared_prefixes.peek(&key).map_or(0.0, |rate| rate.count_at(self.now, window_us));
        let all_requests = self.recent_request_rate.count_at(self.now, window_us);
        // A single occurrence is no evidence of popularity.
        let share = (prefix_requests - 1.0).max(0.0) / (all_requests + PRIOR_POPULARITY_REQUESTS);
        let parallel_reads = INITIAL_TOKENS_PER_OBJECTIVE / info.shared_tokens.max(1) as f64;
        let min_homes = parallel_reads.ceil().min(ranks.len().div_ceil(READERS_PER_HOME) as f64);
        let home_count = (HOMES_PER_SHARE * share * ranks.len() as f64).ceil().max(min_homes) as usize;
        let home_count = home_count.min(ranks.len());
        let session = info.session.unwrap_or(key).0;
        ranks[..home_count].sort_by_key(|rank| Reverse(mix(session ^ mix(u64::from(rank.2 .0) + 1))));
        ranks.into_iter().map(|rank| rank.2).collect()
    }

    /// The time window over which the popularity of shared prefixes is averaged (us).
    pub(super) fn popularity_window_us(&self) -> f64 {
        let all_requests = self.request_rate.age_corrected_at(self.now, RATE_TIME_CONSTANT_US);
        (WINDOW_REQUESTS * 1e6 / all_requests).clamp(WINDOW_LIMITS_US[0], WINDOW_LIMITS_US[1])
    }

    /// Whether a request falls into the mixed servers' share of sessions: their part of all healthy servers. The draw
    /// is a hash of the session, so that all requests of a session get the same answer.
    pub(super) fn is_in_mixed_share(&mut self, class: u32, session: Option<Key>) -> bool {
        let is_healthy = |s: &&Server, role| s.role == role && self.is_healthy(s, class);
        let count = |role| self.servers.values().filter(|s| is_healthy(s, role)).count() as f64;
        let mixed = count(Role::Mixed);
        let share = mixed / (mixed + count(Role::Reader) + count(Role::Writer)).max(1.0);
        let draw = session.map_or_else(|| self.rng.next_u64(), |Key(key)| mix(key));
        unit_interval(draw) < share
    }
}
