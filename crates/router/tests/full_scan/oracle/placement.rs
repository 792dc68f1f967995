//! Which server reads a prompt.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use rand_core::RngCore;

use super::constants::{
    AVERAGE_HALF_LIFE_US, CAPACITY_SHARE_OF_OBJECTIVE, FIRST_GUESS_TOKENS, HOMES_PER_SHARE,
    PRIOR_POPULARITY_REQUESTS, RATE_TIME_CONSTANT_US, READERS_PER_HOME, READER_WEIGHTS, WINDOWS_US,
    WINDOW_REQUESTS, ZONE_SHARE,
};
use super::Router;
use crate::interface::{Health, Key, RequestId, RequestInfo, Role, ServerId, ZoneId};
use crate::records::{Server, Stage};
use crate::statistics::{mix, unit_interval};

impl Router {
    /// The server of a role with the longest match, then fewest own in flight, then the home, then by draw;
    /// with no match anywhere the ranking starts at the home. Servers at capacity are passed over; where
    /// all are: none where `only_free`, else fewest in flight.
    pub(super) fn select_server(&mut self, id: RequestId, role: Role, only_free: bool) -> Option<ServerId> {
        let salt = self.rng.next_u64();
        let request = self.requests.get(&id)?;
        let pool = self.candidate_pool(role, request);
        let info = &request.info;
        let class = info.class;
        let mut ranking: Vec<_> = Vec::with_capacity(pool.len());
        for (at, id) in
            self.rank_by_rendezvous(role, info).into_iter().enumerate().filter(|(_, id)| pool.contains(id))
        {
            let server = &self.servers[&id];
            let held = server.prefixes.longest_match(info, self.now).map_or(0, |prefix| prefix.tokens);
            let held = if at == 0 { held.max(info.shared_tokens) } else { held };
            let in_flight = server.unanswered.len();
            let (first, then) = if held > 0 { (in_flight, usize::from(at > 0)) } else { (0, at) };
            ranking.push((Reverse(held), first, then, in_flight, mix(salt ^ mix(u64::from(id.0))), id));
        }
        ranking.sort_unstable();
        let mean_memory_tokens = self.mean_memory_tokens(role);
        let stage = if role == Role::Reader { Stage::Read } else { Stage::ReadAndWrite };
        let best = self.stages[stage as usize].unloaded_us_per_token;
        for &(Reverse(held), .., id) in &ranking {
            let draw = unit_interval(self.rng.next_u64());
            let server = &self.servers[&id];
            let rereading = best * held as f64; // a match is worth that wait
            let queued =
                server.statistics.queueing_us[stage as usize].value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
            let queued = queued.max(self.gossip.believed_us(id, self.now));
            let free = !self.is_at_capacity(server, stage, rereading)
                && queued
                    <= rereading + CAPACITY_SHARE_OF_OBJECTIVE * self.settings.shortest_latency_objective()
                && !self.is_stranded(server, class)
                && draw < self.share_for_pace(server, stage);
            if free && (role == Role::Reader || self.has_memory_left(server, mean_memory_tokens)) {
                return Some(id);
            }
        }
        // Of those with the fewest, the one done first: text read anew by a full pool fills it the more.
        let done = |held: u64, id| self.gossip.believed_us(id, self.now) - best * held as f64;
        let fewest = ranking.iter().min_by(|a, b| {
            a.3.cmp(&b.3).then(done(a.0 .0, a.5).total_cmp(&done(b.0 .0, b.5))).then(a.4.cmp(&b.4))
        });
        fewest.map(|rank| rank.5).filter(|_| !only_free)
    }

    /// Servers from the home on, by rendezvous hash: all dispatchers of a zone agree on the home and
    /// stand-ins, and a change of the list moves only what lay there. A zone's own servers come first, for as
    /// many keys as they can take. Of several homes of a shared prefix the session picks one, and it counts
    /// as kept there: turns must find it, so nothing here may depend on how long the prompt has grown.
    pub(super) fn rank_by_rendezvous(&self, role: Role, info: &RequestInfo) -> Vec<ServerId> {
        let key = info.shared.or(info.session).unwrap_or(Key(0));
        let moves = role == Role::Reader && info.shared.is_some();
        let score = |e: &Server| {
            let draw = unit_interval(mix(key.0 ^ mix(u64::from(e.entry.server.0))));
            // What is kept costs little to read, but all of it has to move: it belongs beside writers.
            let cell = self.cells.get(&e.entry.cell).filter(|_| moves);
            let pull = cell
                .map_or(1.0, |cell| cell.writer_surplus.sqrt().clamp(READER_WEIGHTS[0], READER_WEIGHTS[1]));
            draw.ln() / pull
        };
        let listed = self.servers.values().filter(|e| e.role == role && e.entry.health == Health::Ready);
        let zones: BTreeSet<ZoneId> = listed.clone().map(|e| e.entry.zone).collect();
        let own = |e: &Server| e.entry.zone == self.settings.zone;
        let mut order: Vec<_> = listed.map(|e| (own(e), score(e), e.entry.server)).collect();
        let own_share = order.iter().filter(|rank| rank.0).count() as f64 / order.len().max(1) as f64;
        let stays = unit_interval(mix(!key.0)) < ZONE_SHARE * own_share * zones.len() as f64;
        order.sort_unstable_by(|a, b| (a.0 != stays).cmp(&(b.0 != stays)).then(b.1.total_cmp(&a.1)));
        let time = self.popularity_window_us();
        let seen = self.shared_prefixes.peek(&key).map_or(0.0, |rate| rate.count_at(self.now, time));
        let calls = self.recent_request_rate.count_at(self.now, time);
        let share = (seen - 1.0).max(0.0) / (calls + PRIOR_POPULARITY_REQUESTS); // one sighting proves nothing
        let reads = FIRST_GUESS_TOKENS / info.shared_tokens.max(1) as f64;
        let least = reads.ceil().min(order.len().div_ceil(READERS_PER_HOME) as f64);
        let home_count = (HOMES_PER_SHARE * share * order.len() as f64).ceil().max(least) as usize;
        let home_count = home_count.min(order.len());
        let session = info.session.unwrap_or(key).0;
        order[..home_count].sort_by_key(|rank| Reverse(mix(session ^ mix(u64::from(rank.2 .0) + 1))));
        order.into_iter().map(|rank| rank.2).collect()
    }

    pub(super) fn popularity_window_us(&self) -> f64 {
        let calls = self.request_rate.age_corrected_at(self.now, RATE_TIME_CONSTANT_US);
        (WINDOW_REQUESTS * 1e6 / calls).clamp(WINDOWS_US[0], WINDOWS_US[1])
    }

    /// Mixed servers take their share of sessions: by count of machines, each session always alike.
    pub(super) fn takes_mixed_share(&mut self, class: u32, session: Option<Key>) -> bool {
        let is_healthy = |e: &&Server, role| e.role == role && self.is_healthy(e, class);
        let count = |role| self.servers.values().filter(|e| is_healthy(e, role)).count() as f64;
        let mixed = count(Role::Mixed);
        let share = mixed / (mixed + count(Role::Reader) + count(Role::Writer)).max(1.0);
        let draw = session.map_or_else(|| self.rng.next_u64(), |Key(key)| mix(key));
        unit_interval(draw) < share
    }
}
