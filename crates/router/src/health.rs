//! Health: what is learnt of servers from what comes back, and who is passed for it.

use rand_core::RngCore;

use crate::interface::{Health, Micros, Outcome};
use crate::load::SLUGGISH;
use crate::overload::{ENDS_TAKEN_DOWN, MOST_QUEUED};
use crate::router::Router;
use crate::state::{Attempt, Engine, Stage};

/// Weight of a new sample in a pace. Scales with how many samples make a verdict (about 1 / weight).
pub(crate) const PACE_WEIGHT: f64 = 0.25;
/// How fast the unhindered pace follows better and worse samples: a low quantile, which no jam may raise.
pub(crate) const BEST_FALLS: f64 = 0.5;
pub(crate) const BEST_RISES: f64 = 0.001;
/// A pace without new samples goes half way to the middle of its peers in this time (us).
pub(crate) const PACE_HALF_LIFE: f64 = 4_000_000.0;
/// The first rest (us), doubled with each failed trial. Scales with how long stalls last.
pub(crate) const FIRST_REST: Micros = 400_000;
/// After `Full` (us); scales with the time in which a slot comes free.
pub(crate) const FULL_REST: Micros = 150_000;
/// Of a pool; where fewer look well, the yardstick is wrong: all serve.
pub(crate) const LEAST_WELL_SHARE: f64 = 0.34;
/// Of rates (us): thirty calls of a front that sees one in two seconds.
pub(crate) const RATE_TIME: f64 = 60_000_000.0;

impl Router {
    pub(crate) fn is_healthy(&self, engine: &Engine, class: u32) -> bool {
        let idle = engine.waiting.is_empty();
        let standing = engine.seen.standing.get(&class);
        engine.entry.health == Health::Ready
            && standing.is_none_or(|standing| standing.takes_work(self.now, idle))
    }

    pub(crate) fn record_success(&mut self, attempt: &Attempt, taken: Micros) {
        let at = attempt.stage as usize;
        let pace = taken as f64 / attempt.effort;
        let (now, usual) = (self.now, self.stages[at].usual);
        let served = |engine: &mut Engine| engine.seen.served(attempt.class, now, RATE_TIME);
        let Some(()) = self.fleet.change(attempt.engine, served) else { return };
        if attempt.far {
            return self.far_pace.sample(pace, usual, now, PACE_HALF_LIFE, PACE_WEIGHT);
        }
        let best = &mut self.stages[at].best;
        *best += (pace - *best) * if pace < *best { BEST_FALLS } else { BEST_RISES };
        let queued = (taken as f64 - *best * attempt.effort).max(0.0);
        self.fleet.change(attempt.engine, |engine| {
            engine.seen.pace[at].sample(pace, usual, now, PACE_HALF_LIFE, PACE_WEIGHT);
            engine.seen.queued[at].follow(queued, now, PACE_HALF_LIFE, PACE_WEIGHT);
        });
        if attempt.stage != Stage::Write {
            self.gossip.saw(attempt.engine, queued, attempt.expected);
        }
        self.record_cell_queueing(attempt, queued, false);
        self.record_queueing(at, queued.min(MOST_QUEUED * self.shortest_aim));
        self.stages[at].take_down(now, queued, ENDS_TAKEN_DOWN);
    }

    /// What a state queued at a writer of its reader's cell, taken down for the cell. One that was lost there
    /// counts as twice what came back at most: where others are prompt, its writer is silent, not crowded.
    pub(crate) fn record_cell_queueing(&mut self, attempt: &Attempt, queued: f64, lost: bool) {
        let near = attempt.stage == Stage::Write && !attempt.far;
        let writer = self.fleet.get(attempt.engine).filter(|_| near);
        let Some(cell) = writer.and_then(|writer| self.cells.get_mut(&writer.entry.cell)) else { return };
        let most = if lost { SLUGGISH * cell.queued.now(0.0, self.now, PACE_HALF_LIFE) } else { queued };
        cell.queued.follow(queued.min(most), self.now, PACE_HALF_LIFE, PACE_WEIGHT);
    }

    pub(crate) fn record_failure(&mut self, attempt: &Attempt, outcome: Outcome) {
        let Some(role) = self.fleet.get(attempt.engine).map(|engine| engine.role) else { return };
        let now = self.now;
        match outcome {
            Outcome::Full => {
                self.fleet.change(attempt.engine, |engine| engine.seen.full_until = now + FULL_REST);
                return self.record_queueing(attempt.stage as usize, self.shortest_aim);
            }
            Outcome::NoState | Outcome::Cancelled | Outcome::Moot => return,
            _ => {}
        }
        if outcome == Outcome::Timeout {
            self.record_cell_queueing(attempt, (now - attempt.sent) as f64, true);
            let most = MOST_QUEUED * self.shortest_aim;
            self.stages[attempt.stage as usize].take_down(now, most, ENDS_TAKEN_DOWN);
        }
        // This front comes to each server of the pool about once in that time: a shorter rest would be none.
        let turn = self.fleet.known(role) * 1e6 / self.call_rate.now(now, RATE_TIME).max(1e-3);
        let lot = self.rng.next_u64();
        self.fleet.change(attempt.engine, |engine| {
            let standing = engine.seen.standing.entry(attempt.class).or_default();
            standing.strike(now, FIRST_REST.max(turn as Micros), lot);
        });
    }
}

/// Whether so few of a pool pass a test that the yardstick is wrong: then all of it serves.
pub(crate) fn too_few(passing: usize, of: usize) -> bool {
    (passing as f64) < LEAST_WELL_SHARE * of as f64
}
