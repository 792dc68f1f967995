//! Placement: which server reads a prompt. First the one that is believed to keep the longest prefix of it,
//! then the prefix's home by rendezvous hashing.

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

/// Part of its readers' even share that a zone's own requests take: sends to other zones cost, a full zone
/// more.
const ZONE_SHARE: f64 = 0.8;

/// What becomes of a request that finds all candidates at capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WhenFull {
    /// It gets no server.
    GiveUp,
    /// It queues at the one with the fewest attempts.
    Queue,
}

/// One choice of a server: what all its steps need.
struct Choice<'a> {
    state: &'a RoutingState,
    request: &'a RequestState,
    pool: CandidatePool<'a>,
    /// The stage that the chosen server is to do.
    stage: Stage,
    /// The first server of the ranking.
    home: ServerId,
    /// Random; parts servers that are equal otherwise.
    salt: u64,
    mean_memory_tokens: f64,
}

/// The server of a role with the longest believed prefix, then the fewest own attempts, then the home, then
/// by draw. Where no prefix is believed anywhere, the ranking starts at the home. Servers at capacity are
/// passed over; where all are, `when_full` decides.
pub(crate) fn select_server(
    state: &RoutingState,
    request: &RequestState,
    role: Role,
    when_full: WhenFull,
    rng: &mut impl RngCore,
) -> Option<ServerId> {
    let salt = rng.next_u64();
    let pool = CandidatePool::of(state, role, request)?;
    let mut ranking = rank_by_rendezvous(state, role, &request.info);
    let home = ranking.get(0)?;
    let stage = if role == Role::Reader { Stage::Read } else { Stage::ReadAndWrite };
    let mean_memory_tokens = load::mean_memory_tokens(state, role);
    let choice = Choice { state, request, pool, stage, home, salt, mean_memory_tokens };
    let free = choice.first_free(&mut ranking, rng);
    match (free, when_full) {
        (Some(server), _) => Some(server),
        (None, WhenFull::GiveUp) => None,
        (None, WhenFull::Queue) => choice.least_loaded(),
    }
}

impl Choice<'_> {
    /// Tokens of the prompt that a server is believed to keep. A home counts as keeping the shared prefix.
    fn cached_tokens(&self, server: &Server) -> u64 {
        let info = &self.request.info;
        let believed = server.prefixes.longest_match(info, self.state.now).map_or(0, |prefix| prefix.tokens);
        let at_home = if server.entry.server == self.home { info.shared_tokens } else { 0 };
        believed.max(at_home)
    }

    fn draw_for(&self, server: ServerId) -> u64 {
        mix(self.salt ^ mix(u64::from(server.0)))
    }

    /// Servers that are believed to keep a prefix, the best first.
    fn matches(&self) -> Vec<ServerId> {
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

    /// The first server with capacity, first of those with a prefix, then by the ranking. Slow ones are
    /// passed over by chance, in proportion to their pace.
    fn first_free(&self, ranking: &mut Ranking, rng: &mut impl RngCore) -> Option<ServerId> {
        for id in self.matches() {
            let server = &self.state.fleet[id];
            if self.is_free(server, self.cached_tokens(server), unit_interval(rng.next_u64())) {
                return Some(id);
            }
        }
        for position in 0..ranking.len() {
            let id = ranking.get(position)?;
            let server = &self.state.fleet[id];
            // Those with a prefix were asked above.
            if self.cached_tokens(server) > 0 || !self.pool.contains(server) {
                continue;
            }
            if self.is_free(server, 0, unit_interval(rng.next_u64())) {
                return Some(id);
            }
        }
        None
    }

    /// Whether a server has capacity for the request, and memory left where it is to stream the answer. A
    /// slow one has capacity for a part of the draws, which are in (0, 1].
    fn is_free(&self, server: &Server, cached_tokens: u64, draw: f64) -> bool {
        let streams = self.pool.role != Role::Reader;
        self.has_short_queue(server, cached_tokens)
            && draw < load::share_for_pace(self.state, server, self.stage)
            && (!streams || load::has_memory_left(self.state, server, self.mean_memory_tokens))
    }

    /// Whether a server is neither at capacity nor queueing for longer than rereading elsewhere what it keeps
    /// of the prompt would take: a prefix is worth that wait.
    fn has_short_queue(&self, server: &Server, cached_tokens: u64) -> bool {
        let state = self.state;
        let reread_us = state.stage(self.stage).unloaded_us_per_token * cached_tokens as f64;
        let seen = &server.statistics.queueing_us[self.stage as usize];
        let seen_us = seen.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
        let queueing_us = seen_us.max(state.gossip.believed_us(server.entry.server, state.now));
        !load::is_at_capacity(state, server, self.stage, reread_us)
            && queueing_us <= reread_us + CAPACITY_SHARE_OF_OBJECTIVE * state.shortest_objective_us
            && !remote_fetch::is_stranded(state, server, self.request.info.class)
    }

    /// Of the servers with the fewest own attempts, the one that is done first: text read anew by a full pool
    /// fills it the more.
    fn least_loaded(&self) -> Option<ServerId> {
        let state = self.state;
        let candidates = || state.fleet.ready(self.pool.role).filter(|server| self.pool.contains(server));
        let fewest = candidates().map(|server| server.unanswered.len()).min()?;
        let unloaded_us_per_token = state.stage(self.stage).unloaded_us_per_token;
        let done_in_us = |server: &Server| {
            let queue_us = state.gossip.believed_us(server.entry.server, state.now);
            queue_us - unloaded_us_per_token * self.cached_tokens(server) as f64
        };
        let least = candidates().filter(|server| server.unanswered.len() == fewest);
        let ranked = least.map(|server| {
            let id = server.entry.server;
            (done_in_us(server), self.draw_for(id), id)
        });
        let first = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, id)| id)
    }
}

/// Servers from the home on, by rendezvous hash: all dispatchers of a zone agree on the home and on who
/// stands in for it, and a change of the list moves only what lay there. A zone's own servers come first, for
/// as many keys as they can take. Of several homes of a shared prefix the session picks one, and it counts as
/// kept there: turns must find it, so nothing here may depend on how long the prompt has grown.
fn rank_by_rendezvous(state: &RoutingState, role: Role, info: &RequestInfo) -> Ranking {
    let key = info.shared.or(info.session).unwrap_or(Key(0));
    let ready = state.fleet.ready_count(role);
    let own_zone_first = prefers_own_zone(state, role, key);
    // What is kept costs little to read, but all of it has to move: it belongs beside writers.
    let weighs_cells = role == Role::Reader && info.shared.is_some();
    let mut ranks = Vec::with_capacity(ready);
    for (cell, members) in state.fleet.ready_by_cell(role) {
        let weight = state.cells.get(&cell).filter(|_| weighs_cells).map(|cell| cell.reader_weight);
        ranks.extend(members.iter().map(|member| {
            let draw = mix(key.0 ^ member.hash);
            // The lowest key is the largest of ln(draw) / weight.
            let rank_key = weight.map_or(!draw, |weight| (0.0 - unit_interval(draw).ln() / weight).to_bits());
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

/// Whether a key belongs to the dispatcher's own zone: so many keys do as the zone's servers can take.
fn prefers_own_zone(state: &RoutingState, role: Role, key: Key) -> bool {
    let zones = state.fleet.ready_count_by_zone(role);
    let own = zones.get(&state.settings.zone).copied().unwrap_or(0);
    let own_share = own as f64 / state.fleet.ready_count(role).max(1) as f64;
    unit_interval(mix(!key.0)) < ZONE_SHARE * own_share * zones.len() as f64
}
