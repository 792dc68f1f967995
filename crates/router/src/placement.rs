//! Placement: selects the server that reads a prompt. The server believed to cache the longest prefix of the
//! prompt comes first, then the home of the prefix, which is found by rendezvous hashing.

use std::cmp::Reverse;

use rand_core::RngCore;

use crate::averaging::AVERAGE_HALF_LIFE_US;
use crate::eligibility::CandidatePool;
use crate::interface::{Key, RequestInfo, Role, ServerId};
use crate::load::{self, CAPACITY_SHARE_OF_OBJECTIVE};
use crate::popularity;
use crate::ranking::{Rank, Ranking};
use crate::records::{RequestState, Server, Stage};
use crate::remote_fetch;
use crate::routing_state::RoutingState;
use crate::statistics::{mix, unit_interval};

/// The fraction of its servers' even share of the load that a zone fills with its own requests. Sends to
/// other zones have a cost, but an overfull zone costs more.
const ZONE_SHARE: f64 = 0.8;

/// What to do with a request if all candidates are at capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WhenFull {
    /// Select no server.
    GiveUp,
    /// Queue at the candidate with the fewest attempts of this dispatcher.
    Queue,
}

/// The inputs that all steps of one server selection share.
struct Selection<'a> {
    state: &'a RoutingState,
    request: &'a RequestState,
    pool: CandidatePool<'a>,
    /// The stage that the selected server performs.
    stage: Stage,
    /// The home of the prompt's prefix: the first server of the rendezvous ranking.
    home: ServerId,
    /// Random seed of the tie-breaking draws between servers that are otherwise equal.
    tie_break_seed: u64,
    mean_memory_tokens: f64,
}

/// Selects a server of a role by the longest prefix that it is believed to cache, then by the fewest attempts
/// of this dispatcher, then the home, then at random. If no server is believed to cache a prefix, the
/// rendezvous ranking decides, which starts at the home. Servers at capacity are skipped; if all of them are,
/// `when_full` decides.
pub(crate) fn select_server(
    state: &RoutingState,
    request: &RequestState,
    role: Role,
    when_full: WhenFull,
    rng: &mut impl RngCore,
) -> Option<ServerId> {
    let tie_break_seed = rng.next_u64();
    let pool = CandidatePool::of(state, role, request)?;
    let mut ranking = rank_by_rendezvous(state, role, &request.info);
    let home = ranking.get(0)?;
    let stage = if role == Role::Reader { Stage::Read } else { Stage::ReadAndWrite };
    let mean_memory_tokens = load::mean_memory_tokens(state, role);
    let selection = Selection { state, request, pool, stage, home, tie_break_seed, mean_memory_tokens };
    let available = selection.first_with_capacity(&mut ranking, rng);
    match (available, when_full) {
        (Some(server), _) => Some(server),
        (None, WhenFull::GiveUp) => None,
        (None, WhenFull::Queue) => selection.least_loaded(),
    }
}

impl Selection<'_> {
    /// Tokens of the prompt that a server is believed to have in its cache. The home counts as caching the
    /// shared prefix.
    fn cached_tokens(&self, server: &Server) -> u64 {
        let info = &self.request.info;
        let believed = server.prefixes.longest_match(info, self.state.now).map_or(0, |prefix| prefix.tokens);
        let home_tokens = if server.entry.server == self.home { info.shared_tokens } else { 0 };
        believed.max(home_tokens)
    }

    fn draw_for(&self, server: ServerId) -> u64 {
        mix(self.tie_break_seed ^ mix(u64::from(server.0)))
    }

    /// Candidates that are believed to cache a prefix of the prompt, the best one first.
    fn prefix_matches(&self) -> Vec<ServerId> {
        let holders = self.state.fleet.prefix_holders_and(self.home, &self.request.info);
        let mut ranked = Vec::new();
        for server in holders {
            let cached_tokens = self.cached_tokens(server);
            if cached_tokens > 0 && self.pool.contains(server) {
                let id = server.entry.server;
                let rank = (Reverse(cached_tokens), server.unanswered.len(), id != self.home);
                ranked.push((rank, self.draw_for(id), id));
            }
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The first candidate with capacity: those with a cached prefix first, then the others by rendezvous
    /// ranking. A slow server is skipped at random, the more often the slower it is.
    fn first_with_capacity(&self, ranking: &mut Ranking, rng: &mut impl RngCore) -> Option<ServerId> {
        for id in self.prefix_matches() {
            let server = &self.state.fleet[id];
            if self.has_capacity(server, self.cached_tokens(server), unit_interval(rng.next_u64())) {
                return Some(id);
            }
        }
        for position in 0..ranking.len() {
            let id = ranking.get(position)?;
            let server = &self.state.fleet[id];
            // Servers with a cached prefix were tried above.
            if self.cached_tokens(server) > 0 || !self.pool.contains(server) {
                continue;
            }
            if self.has_capacity(server, 0, unit_interval(rng.next_u64())) {
                return Some(id);
            }
        }
        None
    }

    /// Whether a server has capacity for the request and, if it has to stream the answer, memory for it. A
    /// slow server has capacity only for a part of the draws; `draw` is in (0, 1].
    fn has_capacity(&self, server: &Server, cached_tokens: u64, draw: f64) -> bool {
        let streams = self.pool.role != Role::Reader;
        self.has_short_queue(server, cached_tokens)
            && draw < load::share_for_pace(self.state, server, self.stage)
            && (!streams || load::has_memory_left(self.state, server, self.mean_memory_tokens))
    }

    /// Whether a server is not at capacity, and queues for no longer than a share of the shortest latency
    /// objective plus the time to read its cached part of the prompt again at another server: a cached prefix
    /// is worth that wait. A reader that lacks local writers while links are slow counts as one without
    /// capacity.
    fn has_short_queue(&self, server: &Server, cached_tokens: u64) -> bool {
        let state = self.state;
        let reread_us = state.stage(self.stage).unloaded_us_per_token * cached_tokens as f64;
        let observed = &server.statistics.queueing_us[self.stage as usize];
        let observed_us = observed.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
        let queueing_us = observed_us.max(state.gossip.estimated_queueing_us(server.entry.server, state.now));
        !load::is_at_capacity(state, server, self.stage, reread_us)
            && queueing_us <= reread_us + CAPACITY_SHARE_OF_OBJECTIVE * state.shortest_objective_us
            && !remote_fetch::lacks_local_writers(state, server, self.request.info.class)
    }

    /// Among the candidates with the fewest attempts of this dispatcher, the one that would finish first: its
    /// estimated queueing less the time that its cached prefix saves. In a pool that is at capacity, reading
    /// cached text again elsewhere adds to the overload.
    fn least_loaded(&self) -> Option<ServerId> {
        let state = self.state;
        let candidates = || state.fleet.ready(self.pool.role).filter(|server| self.pool.contains(server));
        let fewest = candidates().map(|server| server.unanswered.len()).min()?;
        let unloaded_us_per_token = state.stage(self.stage).unloaded_us_per_token;
        let relative_finish_us = |server: &Server| {
            let queue_us = state.gossip.estimated_queueing_us(server.entry.server, state.now);
            queue_us - unloaded_us_per_token * self.cached_tokens(server) as f64
        };
        let with_fewest = candidates().filter(|server| server.unanswered.len() == fewest);
        let ranked = with_fewest.map(|server| {
            let id = server.entry.server;
            (relative_finish_us(server), self.draw_for(id), id)
        });
        let first = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, id)| id)
    }
}

/// Ranks the servers of a role by rendezvous hash, starting at the home of the request's prefix.
///
/// All dispatchers of a zone agree on the home and on the servers that stand in for it, and a change of the
/// list moves only the keys of the servers that changed. Servers of the dispatcher's own zone come first for
/// as many keys as they can take. If a shared prefix has several homes, the session selects one of them, and
/// that one counts as caching the prefix. Later turns of the session must find the same home, so nothing here
/// may depend on how long the prompt has grown.
fn rank_by_rendezvous(state: &RoutingState, role: Role, info: &RequestInfo) -> Ranking {
    let key = info.shared.or(info.session).unwrap_or(Key(0));
    let ready = state.fleet.ready_count(role);
    let own_zone_first = prefers_own_zone(state, role, key);
    // A cached shared prefix is cheap to read, but the whole state has to be transferred to a writer. Its
    // homes therefore belong in cells that have enough writers.
    let weighs_cells = role == Role::Reader && info.shared.is_some();
    let mut ranks = Vec::with_capacity(ready);
    for (cell, members) in state.fleet.ready_by_cell(role) {
        let weight = state.cells.get(&cell).filter(|_| weighs_cells).map(|cell| cell.reader_weight);
        ranks.extend(members.iter().map(|member| {
            let draw = mix(key.0 ^ member.hash);
            // Weighted rendezvous hashing: the lowest key stands for the largest ln(draw) / weight.
            let rank_key =
                weight.map_or(!draw, |weight| (0.0 - libm::log(unit_interval(draw)) / weight).to_bits());
            let is_own_zone = member.zone == state.settings.zone;
            Rank { tier: 1 + u8::from(is_own_zone != own_zone_first), key: rank_key, server: member.id }
        }));
    }
    let session = info.session.unwrap_or(key).0;
    let mut ranking = Ranking::new(ranks);
    let homes = popularity::home_count(state, info, key, ready);
    ranking.rerank_first(homes, |id| !mix(session ^ mix(u64::from(id.0) + 1)));
    ranking
}

/// Whether a key belongs to the dispatcher's own zone. The number of such keys matches what the servers of
/// the zone can take, see [`ZONE_SHARE`].
fn prefers_own_zone(state: &RoutingState, role: Role, key: Key) -> bool {
    let zones = state.fleet.ready_count_by_zone(role);
    let own = zones.get(&state.settings.zone).copied().unwrap_or(0);
    let own_share = own as f64 / state.fleet.ready_count(role).max(1) as f64;
    unit_interval(mix(!key.0)) < ZONE_SHARE * own_share * zones.len() as f64
}
