//! Load of one server: its cap, its room, and its share of work by its pace.

use crate::figures::{against_mean, surely};
use crate::health::{PACE_HALF_LIFE, RATE_TIME};
use crate::interface::{Micros, Role};
use crate::router::Router;
use crate::state::{Engine, Stage};

/// The valve: a reader is at its cap when the reads that all fronts may have sent it (`of_all_fronts`), or
/// what its comebacks queued, take this share of the shortest aim, and as long as rereading elsewhere what it
/// holds. Scales by itself with aim and pace.
pub(crate) const CAP_SHARE_OF_AIM: f64 = 0.25;
/// Own requests that a server must hold to be judged by them as much as by the mean of its pool.
pub(crate) const PRIOR_REQUESTS: f64 = 1.0;
pub(crate) const SLUGGISH: f64 = 2.0; // times the middle of its peers that a sluggish server takes
/// A writer is ready while tokens of all fronts, and what its report shows, are under these shares of memory.
pub(crate) const MEMORY_SHARE: f64 = 0.9;
pub(crate) const REPORTED_MEMORY_SHARE: f64 = 0.93;
pub(crate) const REPORT_LIFE: Micros = 1_500_000; // older reports say nothing (us)

impl Router {
    /// The valve, in time and not in count, so that one giant weighs as much as many short prompts. By the
    /// unhindered pace: the usual one has queueing in it already, and would send on what a busy pool keeps.
    pub(crate) fn capped(&self, engine: &Engine, stage: Stage, rereading: f64) -> bool {
        let full = engine.seen.full_until > self.now;
        if full || engine.waiting.is_empty() {
            return full;
        }
        let figures = &self.stages[stage as usize];
        let mean = figures.under_way.now(self.now, RATE_TIME) / self.fleet.known(engine.role);
        let load = self.of_all_fronts(engine.waiting_effort[stage as usize], mean, figures.typical);
        let cap = CAP_SHARE_OF_AIM * self.shortest_aim + rereading;
        self.is_late(engine, stage) || load * figures.best > cap
    }

    /// What all fronts together are likely to have at a server: own work, and for each other front the mean
    /// of the pool, as far above or below it as own work shows. With many own samples this comes near own
    /// work times fronts; with few it stays near the mean: one own request does not look like a full server.
    pub(crate) fn of_all_fronts(&self, own: f64, mean: f64, typical: f64) -> f64 {
        let others = f64::from(self.settings.balancers - 1) * mean;
        own + others * against_mean(own, mean, PRIOR_REQUESTS * typical)
    }

    /// Whether the oldest attempt there has been silent for too long, before any time-out says so.
    pub(crate) fn is_late(&self, engine: &Engine, stage: Stage) -> bool {
        engine.oldest(self.now) > self.patience(engine, stage, 0.0, 0, 0.0) / 2
    }

    /// Own tokens a server, as far as they are no chance: few requests say little of what other fronts hold.
    pub(crate) fn mean_tokens(&self, role: Role) -> f64 {
        let tokens = self.fleet.tokens(role);
        let requests = tokens as f64 / self.stages[Stage::Write as usize].typical;
        surely(requests) * tokens as f64 / self.fleet.known(role)
    }

    /// Room for an answer: tokens of all fronts within the memory (`mean` is its role's own tokens a server),
    /// no recent `Full`, and a report, if there is a recent one, that shows memory left.
    pub(crate) fn has_room(&self, engine: &Engine, mean: f64) -> bool {
        let typical = self.stages[Stage::Write as usize].typical;
        let load = self.of_all_fronts(engine.tokens as f64, mean, typical);
        let memory = engine.memory == 0 || load < MEMORY_SHARE * engine.memory as f64;
        let report = engine.seen.report.filter(|&(_, at)| at + REPORT_LIFE > self.now);
        let field = self.settings.memory_field;
        let held = report.and_then(|(report, _)| report.values[field?]).unwrap_or(0.0);
        memory && engine.seen.full_until <= self.now && held < REPORTED_MEMORY_SHARE
    }

    /// Share of new work that a server's pace earns: all of it up to `SLUGGISH` times the usual, then less.
    pub(crate) fn share_for_pace(&self, engine: &Engine, stage: Stage) -> f64 {
        let usual = self.stages[stage as usize].usual;
        (SLUGGISH * usual / engine.seen.pace[stage as usize].now(usual, self.now, PACE_HALF_LIFE)).min(1.0)
    }
}
