//! Overload: when new work is refused early, so that what is served is in time.

use crate::averaging::{AVERAGE_HALF_LIFE_US, RATE_TIME_CONSTANT_US};
use crate::health;
use crate::interface::Health;
use crate::load::{self, PRIOR_REQUESTS};
use crate::records::stage::STAGES;
use crate::records::{Server, Stage};
use crate::routing_state::RoutingState;
use crate::statistics::{median_exceeds, quantile, shrunk_ratio};

/// How much of the latency objective a request may wait at a stage, by stage. Scales with objective and pace
/// by itself.
pub(crate) const WAIT_SHARE_OF_OBJECTIVE: [f64; STAGES] = [0.4, 0.3, 0.5];
/// Queueing that makes a jam, as a share of that wait.
pub(crate) const QUEUEING_SHARE: f64 = 1.0;
/// Own unanswered work (at the unloaded pace) that makes a jam, as a share of that wait: where answers show
/// queueing.
const WORK_SHARE_WITH_QUEUEING: f64 = 0.3;
/// And where they do not.
const WORK_SHARE_WITHOUT_QUEUEING: f64 = 1.2;
/// The share of recent attempts that unresponsive servers may lose without the stage counting as jammed.
/// Scales with how fast a jam grows.
const MAX_LOST_SHARE: f64 = 0.6;

/// Whether requests queue at this stage for too much of their latency objective, and the queue still stands.
/// Then new work is refused, whatever made the pool too small: a burst, lost, slow or starting servers,
/// forgotten text.
///
/// Told by own work at the median server (many own samples), else by what the whole stage queued: then
/// refusals grow with it, by `draw`, a random number in (0, 1]. Servers that are unresponsive on their own do
/// not count. Harm: a dispatcher that met only buried servers refuses too much.
pub(crate) fn is_overloaded(state: &RoutingState, class: u32, stage: Stage, draw: f64) -> bool {
    let limit_us = WAIT_SHARE_OF_OBJECTIVE[stage as usize] * objective_by_priority_us(state, class);
    let pool = JudgedPool::of(state, class, stage);
    if pool.median_work_exceeds(limit_us) {
        return true;
    }
    let queueing_us = pool.share_of_queue_left() * stage_queueing_us(state, stage);
    draw > (QUEUEING_SHARE * limit_us / queueing_us).powi(2)
}

/// All classes share the queues: a long objective may make them longer than the shortest one wants only as
/// far as the class's priority weight is above the lowest, or it would push the others out.
fn objective_by_priority_us(state: &RoutingState, class: u32) -> f64 {
    let Some(class) = state.class(class) else { return state.shortest_objective_us };
    let lowest =
        state.settings.current().map(|class| class.priority_weight).fold(class.priority_weight, f64::min);
    (class.latency_objective as f64)
        .min(state.shortest_objective_us * class.priority_weight / lowest.max(f64::MIN_POSITIVE))
}

/// The servers by which a stage is judged: those that serve it and answer in time; all that serve it where
/// too few do.
struct JudgedPool<'a> {
    state: &'a RoutingState,
    class: u32,
    stage: Stage,
    includes_late: bool,
    size: usize,
}

impl<'a> JudgedPool<'a> {
    fn of(state: &'a RoutingState, class: u32, stage: Stage) -> Self {
        let serving = state.fleet.serving(stage as usize);
        let all = Self { state, class, stage, includes_late: true, size: serving.all };
        // Only a busy or suspect server can be late.
        let late = state.fleet.busy_or_suspect().filter(|server| {
            let serves = server.serves(stage as usize);
            serves && server.entry.health == Health::Ready && !all.answers_in_time(server)
        });
        let in_time = serving.ready - late.count();
        if health::too_few(in_time, serving.all) {
            return all;
        }
        Self { includes_late: false, size: in_time, ..all }
    }

    fn answers_in_time(&self, server: &Server) -> bool {
        health::is_healthy(server, self.class, self.state.now)
            && !load::is_unresponsive(self.state, server, self.stage)
    }

    fn contains(&self, server: &Server) -> bool {
        server.serves(self.stage as usize) && (self.includes_late || self.answers_in_time(server))
    }

    fn busy(&self) -> impl Iterator<Item = &'a Server> + '_ {
        self.state.fleet.busy().filter(|server| self.contains(server))
    }

    /// Whether the work that waits at the median server is too much, by whether it is also seen to queue.
    fn median_work_exceeds(&self, limit_us: f64) -> bool {
        // Without queueing seen, only what stands behind another attempt counts: one long read is no queue.
        let (work_share, attempts_ahead) = if median_exceeds(self.queueing_count(limit_us), self.size) {
            (WORK_SHARE_WITH_QUEUEING, 0.0)
        } else {
            (WORK_SHARE_WITHOUT_QUEUEING, 1.0)
        };
        let unloaded_us_per_token = self.state.stage(self.stage).unloaded_us_per_token;
        let dispatchers = f64::from(self.state.settings.dispatcher_count);
        let work_us = |server: &Server| {
            let behind_share = 1.0 - attempts_ahead / server.unanswered.len().max(1) as f64;
            let behind_tokens = server.unanswered_tokens[self.stage as usize] * behind_share;
            behind_tokens * unloaded_us_per_token * dispatchers
        };
        let loaded = self.busy().filter(|server| work_us(server) > work_share * limit_us).count();
        median_exceeds(loaded, self.size)
    }

    /// How many servers of the pool queue for too long.
    fn queueing_count(&self, limit_us: f64) -> usize {
        let max_us = QUEUEING_SHARE * limit_us;
        let by_queueing = self.state.fleet.by_queueing(self.stage as usize);
        let queued_lately = by_queueing.take_while(|server| self.recent_queueing_us(server) > max_us);
        // Busy servers may queue more by now than lately; they are all asked.
        let idle = queued_lately.filter(|server| !server.is_busy() && self.contains(server));
        self.busy().chain(idle).filter(|server| self.queueing_us(server) > max_us).count()
    }

    /// How much of the queue that was seen still stands: own unanswered work against its average, 1 at most.
    fn share_of_queue_left(&self) -> f64 {
        let tokens: f64 = self.busy().map(|server| server.unanswered_tokens[self.stage as usize]).sum();
        let of_stage = self.state.stage(self.stage);
        let mean_tokens = of_stage.tokens_in_flight.value_at(self.state.now, RATE_TIME_CONSTANT_US);
        shrunk_ratio(tokens, mean_tokens, PRIOR_REQUESTS * of_stage.tokens_per_attempt).min(1.0)
    }

    /// What attempts lately queued at a server (us).
    fn recent_queueing_us(&self, server: &Server) -> f64 {
        let average = &server.statistics.queueing_us[self.stage as usize];
        average.value_at(self.state.now, 0.0, AVERAGE_HALF_LIFE_US)
    }

    /// What attempts lately queued at a server, or the oldest unanswered one has queued by now, if that is
    /// more (us).
    fn queueing_us(&self, server: &Server) -> f64 {
        let unloaded_us_per_token = self.state.stage(self.stage).unloaded_us_per_token;
        let overdue_us = server.overdue_us(self.state.now, self.stage as usize, unloaded_us_per_token);
        self.recent_queueing_us(server).max(overdue_us)
    }
}

/// What a stage queues (us): the mean of what came back or, where that is more, a low quantile of what lately
/// ended, time-outs above all: a jam does not hide behind what gets through, nor do some unresponsive servers
/// look like one. One more sample counts as prompt: few prove nothing. Also catches a pool that is wholly
/// unresponsive. Harm: where more than [`MAX_LOST_SHARE`] meets unresponsive servers, what others could serve
/// is refused.
fn stage_queueing_us(state: &RoutingState, stage: Stage) -> f64 {
    let of_stage = state.stage(stage);
    let mut samples = Vec::with_capacity(of_stage.recent_queueing.len() + 1);
    for sample in &of_stage.recent_queueing {
        if ((state.now - sample.ended_at) as f64) < AVERAGE_HALF_LIFE_US {
            samples.push(sample.queueing_us);
        }
    }
    samples.push(0.0);
    let low_us = quantile(samples, 1.0 - MAX_LOST_SHARE).unwrap_or(0.0);
    low_us.max(of_stage.queueing_us.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US))
}
