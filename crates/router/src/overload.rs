//! Overload: when new work is refused early.

use crate::figures::{against_mean, median_is_over, quantile};
use crate::health::{too_few, PACE_HALF_LIFE, PACE_WEIGHT, RATE_TIME};
use crate::interface::Health;
use crate::load::PRIOR_REQUESTS;
use crate::router::Router;
use crate::state::{Engine, Stage};

/// Shortest aims that a comeback counts at most: one that hung says no more.
pub(crate) const MOST_QUEUED: f64 = 3.0;
/// What comebacks queued is averaged over so long at the least (us).
pub(crate) const PRESSURE_TIME: f64 = 1_000_000.0;
/// Times as fast as it rises: a few buried servers are not taken for all.
pub(crate) const PRESSURE_FALLS: f64 = 2.0;
/// Ends of attempts that tell of a jam behind time-outs: the most of them, and the share that silent servers
/// may lose without one. Scales with how fast a jam grows.
pub(crate) const ENDS_TAKEN_DOWN: usize = 32;
pub(crate) const LOST_AT_MOST: f64 = 0.6;
/// Overload: how much of the aim a request may wait at a stage (read, write, whole); then, as shares of that:
/// own waiting work (at the unhindered pace) that is a jam when comebacks show queueing, and when not; and
/// what queueing that is. Scales with the aim and the pace, by itself.
pub(crate) const WAIT_SHARE_OF_AIM: [f64; 3] = [0.4, 0.3, 0.5];
pub(crate) const BURST_PART: f64 = 0.3;
pub(crate) const CERTAIN_PART: f64 = 1.2;
pub(crate) const QUEUED_PART: f64 = 1.0;

impl Router {
    /// Overload: requests queued at this stage for too much of their aim, and the queue still stands. Then
    /// new work is refused early, so that what is served is in time, whatever made the pool too small: a
    /// burst, lost, slow or cold servers, forgotten text. Told by own work at the middle server (many own
    /// samples), else by what the whole stage queued (`pressure`): then refusals grow with it. Servers that
    /// are late on their own do not count. Harm: a front that met only buried servers refuses too much.
    pub(crate) fn is_overloaded(&self, class: u32, stage: Stage, lot: f64) -> bool {
        let at = stage as usize;
        let limit = WAIT_SHARE_OF_AIM[at] * self.aim_by_worth(class);
        let prompt = |e: &Engine| self.is_healthy(e, class) && !self.is_late(e, stage);
        let (serving, ready) = self.fleet.serving(at);
        let ready_but = |e: &&Engine| e.serves(at) && e.entry.health == Health::Ready && !prompt(e);
        let passing = ready - self.fleet.busy_or_struck().filter(ready_but).count();
        let all = too_few(passing, serving);
        let size = if all { serving } else { passing };
        let in_pool = |e: &&Engine| e.serves(at) && (all || prompt(e));
        let queues = |e: &&Engine| self.queue_time(e, at) > QUEUED_PART * limit;
        let lately = |e: &&Engine| e.seen.queued[at].now(0.0, self.now, PACE_HALF_LIFE) > QUEUED_PART * limit;
        let idle = self.fleet.by_queued(at).take_while(lately).filter(|e| !e.is_busy());
        let queueing = self.fleet.busy().chain(idle).filter(in_pool).filter(queues).count();
        // Without queueing seen, only what stands behind another attempt counts: one long read is no queue.
        let (part, heads) =
            if median_is_over(queueing, size) { (BURST_PART, 0.0) } else { (CERTAIN_PART, 1.0) };
        let behind = |e: &Engine| e.waiting_effort[at] * (1.0 - heads / e.waiting.len().max(1) as f64);
        let of_all = |e: &Engine| behind(e) * self.stages[at].best * f64::from(self.settings.balancers);
        let full = self.fleet.busy().filter(in_pool).filter(|e| of_all(e) > part * limit).count();
        if median_is_over(full, size) {
            return true;
        }
        let waiting: f64 = self.fleet.busy().filter(in_pool).map(|e| e.waiting_effort[at]).sum();
        let mean = self.stages[at].under_way.now(self.now, RATE_TIME);
        let still = against_mean(waiting, mean, PRIOR_REQUESTS * self.stages[at].typical).min(1.0);
        let pressure = still * self.pressure(at);
        lot > (QUEUED_PART * limit / pressure).powi(2)
    }

    /// What attempts lately waited there, or the oldest one out has waited by now, beyond the work itself.
    pub(crate) fn queue_time(&self, engine: &Engine, at: usize) -> f64 {
        engine.seen.queued[at].now(0.0, self.now, PACE_HALF_LIFE).max(engine.silent(
            self.now,
            at,
            self.stages[at].best,
        ))
    }

    /// All classes share the queues: a long aim may make them longer than the shortest aim wants only as far
    /// as the class's worth is above the lowest, or it would push the others out.
    pub(crate) fn aim_by_worth(&self, class: u32) -> f64 {
        let Some(class) = self.settings.classes.get(&class) else { return self.shortest_aim };
        let lowest = self.settings.current().map(|class| class.worth).fold(class.worth, f64::min);
        (class.aim as f64).min(self.shortest_aim * class.worth / lowest.max(f64::MIN_POSITIVE))
    }

    /// What comebacks of a stage queued, over the last second or the last few samples, whichever is longer.
    pub(crate) fn record_queueing(&mut self, at: usize, queued: f64) {
        let pressure = &mut self.stages[at].pressure;
        let weight = (1.0 - (-pressure.age(self.now) / PRESSURE_TIME).exp()).min(PACE_WEIGHT);
        let falls = queued < pressure.now(0.0, self.now, PACE_HALF_LIFE);
        let weight = weight * if falls { PRESSURE_FALLS } else { 1.0 };
        pressure.sample(queued, 0.0, self.now, PACE_HALF_LIFE, weight);
    }

    /// What a stage queues: the mean of what came back or, where that is more, a low quantile of what lately
    /// ended, time-outs above all: a jam does not hide behind what gets through, nor do some silent servers
    /// look like one. One more counts as prompt: few prove nothing. Also catches a pool wholly silent. Harm:
    /// where more than `LOST_AT_MOST` meets silent servers, what others could serve is refused.
    pub(crate) fn pressure(&self, at: usize) -> f64 {
        let stage = &self.stages[at];
        let fresh = stage.lately.iter().filter(|&&(ended, _)| ((self.now - ended) as f64) < PACE_HALF_LIFE);
        let queued = fresh.map(|&(_, queued)| queued).chain([0.0]).collect();
        let low = quantile(queued, 1.0 - LOST_AT_MOST).unwrap_or(0.0);
        low.max(stage.pressure.now(0.0, self.now, PACE_HALF_LIFE))
    }
}
