//! Placement: which server reads a prompt, by the longest match, then by rendezvous hashing.

use std::cmp::Reverse;

use rand_core::RngCore;

use crate::figures::{mix, unit};
use crate::fleet::Cold;
use crate::health::{too_few, PACE_HALF_LIFE, RATE_TIME};
use crate::interface::{Call, EngineId, Key, RequestId, Role};
use crate::load::CAP_SHARE_OF_AIM;
use crate::ranking::{Rank, Ranking};
use crate::router::Router;
use crate::state::{Engine, Pool, Reach, Request, Stage};

/// Homes of a beginning for each even share of the calls that begin with it: more than one, so that no
/// server is filled by a single beginning. Scales by itself with servers and popularity.
pub(crate) const HOMES_PER_SHARE: f64 = 1.4;
/// Homes of a beginning at the least, alike at fronts that see few calls: as many as read all of it while one
/// reads `FIRST_GUESS_TOKENS`, at most one for so many readers. A long one costs readers and memory at each.
pub(crate) const READERS_PER_HOME: usize = 8;
/// Calls that popularity is weighed against: with few of its own, a front takes no chance for a trend.
pub(crate) const PRIOR_CALLS: f64 = 30.0;
/// Part of its readers' even share that a zone's own calls take: sends to other zones cost, a full zone more.
pub(crate) const ZONE_SHARE: f64 = 0.8;
pub(crate) const FIRST_GUESS_TOKENS: f64 = 8_000.0; // read within the shortest aim, before anything is known
/// How popular a beginning is, is judged over so many calls, within these times (us): a text that turns hot
/// gets its homes before it buries one, and a front that sees few calls takes no chance for a trend.
pub(crate) const SHARE_CALLS: f64 = 100.0;
pub(crate) const SHARE_TIME: [f64; 2] = [15_000_000.0, 60_000_000.0];

impl Router {
    /// The server of a role with the longest match, then fewest own in flight, then the home, then by lot;
    /// with no match anywhere the ranking starts at the home. The valve passes servers at their cap; all
    /// capped: none where `only_free`, else fewest in flight.
    pub(crate) fn pick_by_match(&mut self, id: RequestId, role: Role, only_free: bool) -> Option<EngineId> {
        let salt = self.rng.next_u64();
        let request = self.requests.get(&id)?;
        let pool = self.pool(role, request)?;
        let call = &request.call;
        let mut order = self.rank_by_rendezvous(role, call);
        let home = order.get(0)?;
        let believed = |e: &Engine| e.prefixes.longest(call, self.now).map_or(0, |(tokens, _)| tokens);
        let at_home = |e: &Engine| if e.entry.engine == home { call.shared_tokens } else { 0 };
        let held = |e: &Engine| believed(e).max(at_home(e));
        let lot = |id: EngineId| mix(salt ^ mix(u64::from(id.0)));
        let known = self.fleet.holders(call, home);
        let matches = known.filter(|e| held(e) > 0 && self.in_pool(&pool, request, e));
        let rank = |e: &Engine| (Reverse(held(e)), e.waiting.len(), e.entry.engine != home);
        let mut matches: Vec<_> = matches.map(|e| (rank(e), lot(e.entry.engine), e.entry.engine)).collect();
        matches.sort_unstable();
        let mean_tokens = self.mean_tokens(role);
        let stage = if role == Role::Reader { Stage::Read } else { Stage::Whole };
        for at in 0..matches.len() + order.len() {
            let next = matches.get(at).map_or_else(|| order.get(at - matches.len()), |ranked| Some(ranked.2));
            let engine = &self.fleet[next?];
            let held = held(engine);
            if at >= matches.len() && (held > 0 || !self.in_pool(&pool, request, engine)) {
                continue;
            }
            let chance = unit(self.rng.next_u64());
            let free = self.is_free(engine, stage, held, call.class);
            let free = free && chance < self.share_for_pace(engine, stage);
            if free && (role == Role::Reader || self.has_room(engine, mean_tokens)) {
                return next;
            }
        }
        if only_free {
            return None;
        }
        // Of those with the fewest, the one done first: text read anew by a full pool fills it the more.
        let ready = || self.fleet.ready(role).filter(|e| self.in_pool(&pool, request, e));
        let fewest = ready().map(|e| e.waiting.len()).min()?;
        let best = self.stages[stage as usize].best;
        let done = |e: &Engine| self.gossip.believed(e.entry.engine, self.now) - best * held(e) as f64;
        let ranked = ready().filter(|e| e.waiting.len() == fewest).map(|e| (done(e), lot(e.entry.engine), e));
        let first = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, engine)| engine.entry.engine)
    }

    /// Neither at its cap nor queueing for longer than rereading what it holds elsewhere would take.
    pub(crate) fn is_free(&self, engine: &Engine, stage: Stage, held: u64, class: u32) -> bool {
        let rereading = self.stages[stage as usize].best * held as f64; // a match is worth that wait
        let queued = engine.seen.queued[stage as usize].now(0.0, self.now, PACE_HALF_LIFE);
        let queued = queued.max(self.gossip.believed(engine.entry.engine, self.now));
        !self.capped(engine, stage, rereading)
            && queued <= rereading + CAP_SHARE_OF_AIM * self.shortest_aim
            && !self.stranded(engine, class)
    }

    /// Servers from the home on, by rendezvous hash: all fronts of a zone agree on the home and stand-ins,
    /// and a change of the list moves only what lay there. A zone's own servers come first, for as many
    /// keys as they can take. Of several homes of a beginning the session picks one, and it counts as kept
    /// there: turns must find it, so nothing here may depend on how long the prompt has grown.
    pub(crate) fn rank_by_rendezvous(&self, role: Role, call: &Call) -> Ranking {
        let key = call.shared.or(call.session).unwrap_or(Key(0));
        let moves = role == Role::Reader && call.shared.is_some();
        let (zones, ready) = (self.fleet.zones(role), self.fleet.ready_count(role));
        let own = zones.get(&self.settings.zone).copied().unwrap_or(0);
        let part = own as f64 / ready.max(1) as f64;
        let stays = unit(mix(!key.0)) < ZONE_SHARE * part * zones.len() as f64;
        let mut ranks = Vec::with_capacity(ready);
        for (cell, members) in self.fleet.ready_by_cell(role) {
            // What is kept costs little to read, but all of it has to move: it belongs beside writers.
            let pull = self.cells.get(&cell).filter(|_| moves).map(|cell| cell.pull);
            ranks.extend(members.iter().map(|member| {
                let lot = mix(key.0 ^ member.hash);
                // The lowest key is the largest of ln(lot) / pull.
                let key = pull.map_or(!lot, |pull| (0.0 - unit(lot).ln() / pull).to_bits());
                let tier = 1 + u8::from((member.zone == self.settings.zone) != stays);
                Rank { tier, key, engine: member.engine }
            }));
        }
        let time = self.share_time();
        let seen = self.beginnings.peek(&key).map_or(0.0, |rate| rate.count(self.now, time));
        let calls = self.calls_lately.count(self.now, time);
        let share = (seen - 1.0).max(0.0) / (calls + PRIOR_CALLS); // one sighting proves nothing
        let reads = FIRST_GUESS_TOKENS / call.shared_tokens.max(1) as f64;
        let least = reads.ceil().min(ready.div_ceil(READERS_PER_HOME) as f64);
        let homes = (HOMES_PER_SHARE * share * ready as f64).ceil().max(least) as usize;
        let session = call.session.unwrap_or(key).0;
        let mut ranking = Ranking::new(ranks);
        ranking.rank_first_by(homes, |id| !mix(session ^ mix(u64::from(id.0) + 1)));
        ranking
    }

    pub(crate) fn share_time(&self) -> f64 {
        let calls = self.call_rate.young(self.now, RATE_TIME);
        (SHARE_CALLS * 1e6 / calls).clamp(SHARE_TIME[0], SHARE_TIME[1])
    }

    pub(crate) fn pool(&self, role: Role, request: &Request) -> Option<Pool> {
        let class = request.call.class;
        let allowed = |e: &&Engine| self.allowed(request, e);
        let allowed_count = if self.reach_without_repeat(request) == Reach::Everywhere {
            let allows = |cold: &&Cold| self.cold_allows(role, cold.started, &cold.budget);
            self.fleet.ready_count(role) - self.fleet.cold(role).iter().filter(|cold| !allows(cold)).count()
        } else {
            self.fleet.ready(role).filter(allowed).count()
        };
        let resting = self.fleet.struck(role).filter(allowed).filter(|e| !self.is_healthy(e, class)).count();
        let all = too_few(allowed_count - resting, allowed_count);
        let size = if all { allowed_count } else { allowed_count - resting };
        let pool = Pool { role, all, again: true };
        let failed = self.fleet.these(&request.failed).filter(|e| self.in_pool(&pool, request, e)).count();
        (size > 0).then_some(Pool { again: failed == size, ..pool })
    }

    pub(crate) fn in_pool(&self, pool: &Pool, request: &Request, engine: &Engine) -> bool {
        engine.role == pool.role
            && self.allowed(request, engine)
            && (pool.all || self.is_healthy(engine, request.call.class))
            && (pool.again || !request.failed.contains(&engine.entry.engine))
    }
}
