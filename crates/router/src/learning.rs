//! Updates of the averages and rates that the rules use, from incoming requests and from attempts that are
//! answered or end.

use rand_core::RngCore;

use crate::averaging::{AVERAGE_HALF_LIFE_US, RATE_TIME_CONSTANT_US, SAMPLE_WEIGHT};
use crate::interface::{AttemptFinished, Micros, Outcome, RequestId, RequestInfo};
use crate::load::SLOW_MULTIPLE;
use crate::popularity;
use crate::prefix_table::PREFIX_KEYS;
use crate::records::{Attempt, Server, Stage};
use crate::routing_state::RoutingState;
use crate::slow_start;
use crate::statistics::DecayingRate;
use crate::work::READ_OVERHEAD_TOKENS;

/// Share of the expected prefix that must be found in a server's cache; less is a miss.
const MIN_FOUND_SHARE: f64 = 0.5;
/// Weights with which the unloaded pace follows faster samples (fall) and slower ones (rise). It thereby
/// tracks a low quantile, which an overload cannot raise.
const UNLOADED_FALL_WEIGHT: f64 = 0.5;
const UNLOADED_RISE_WEIGHT: f64 = 0.001;
/// Upper limit for the queueing of one attempt, in shortest latency objectives: a longer hang carries no more
/// information.
const MAX_QUEUEING_OBJECTIVES: f64 = 3.0;
/// Minimum averaging time for the queueing of a stage (us).
const STAGE_QUEUEING_TIME_US: f64 = 1_000_000.0;
/// The queueing of a stage falls this many times as fast as it rises, so that a few overloaded servers are
/// not taken for the whole stage.
const STAGE_QUEUEING_FALL: f64 = 2.0;
/// Recent ends of attempts that are kept for each stage, to detect an overload that shows only as timeouts.
const MAX_RECENT_SAMPLES: usize = 32;
/// Length of the first ejection of a server (us), doubled with each failed trial. It scales with the usual
/// length of a stall.
const BASE_EJECTION_US: Micros = 400_000;
/// How long a server gets no new work after it rejected a request as full (us). It scales with the time until
/// a slot comes free.
const FULL_PAUSE_US: Micros = 150_000;
/// Lower bound of the request rate (per second) where it is a divisor.
const MIN_REQUEST_RATE: f64 = 1e-3;

/// Records an incoming request.
pub(crate) fn record_request(state: &mut RoutingState, info: &RequestInfo) {
    let now = state.now;
    state.request_rate.add(1.0, now, RATE_TIME_CONSTANT_US);
    let window_us = popularity::window_us(state);
    state.recent_request_rate.add(1.0, now, window_us);
    state.gossip.add_credit();
    let Some(key) = info.shared else { return };
    state.shared_prefixes.get_or_insert_mut(key, DecayingRate::default).add(1.0, now, window_us);
    if state.shared_prefixes.len() > PREFIX_KEYS {
        state.shared_prefixes.pop_lru();
    }
}

/// Records that the answer of an attempt has begun to stream, `elapsed_us` after the attempt was sent.
pub(crate) fn record_first_token(
    state: &mut RoutingState,
    id: RequestId,
    attempt: &Attempt,
    elapsed_us: Micros,
) {
    record_answered(state, id, attempt);
    record_success(state, attempt, elapsed_us);
}

/// Records the end of an attempt: frees its memory and, unless its first token has done so already, updates
/// the server's statistics. `prompt_tokens` is the length of the request's prompt.
pub(crate) fn record_end(
    state: &mut RoutingState,
    mut attempt: Attempt,
    ended: &AttemptFinished,
    prompt_tokens: u64,
    rng: &mut impl RngCore,
) {
    let has_succeeded = matches!(ended.outcome, Outcome::Read | Outcome::Served);
    state.fleet.change(attempt.server, |server| {
        server.memory_tokens_in_flight = server.memory_tokens_in_flight.saturating_sub(attempt.memory_tokens);
        if let Some(expected) = attempt.expected_prefix.filter(|_| has_succeeded) {
            let found = ended.cached_tokens as f64 >= MIN_FOUND_SHARE * expected.tokens as f64;
            server.prefixes.record_lookup(found, expected, attempt.sent_at);
        }
    });
    if attempt.is_streaming {
        return;
    }
    record_answered(state, ended.id, &attempt);
    if ended.outcome == Outcome::Read {
        let unread_tokens = prompt_tokens.saturating_sub(ended.cached_tokens);
        attempt.work_tokens = unread_tokens as f64 + READ_OVERHEAD_TOKENS;
    }
    if has_succeeded {
        record_success(state, &attempt, ended.elapsed);
    } else if says_something(&attempt, ended) {
        record_failure(state, &attempt, ended.outcome, rng);
    }
}

/// Whether an attempt that has failed says something about its server. One that had hardly any time, because
/// its client waits no longer, does not by running out of it, nor by being turned away: servers also turn
/// away what is over.
fn says_something(attempt: &Attempt, ended: &AttemptFinished) -> bool {
    let had_time = attempt.timeout_us >= attempt.telling_wait_us;
    match ended.outcome {
        Outcome::Timeout | Outcome::Full => had_time,
        Outcome::ConnectFailed | Outcome::Unacknowledged => had_time || ended.elapsed < attempt.timeout_us,
        _ => true,
    }
}

/// Updates each stage's median pace over the servers.
pub(crate) fn update_medians(state: &mut RoutingState) {
    for (stage, stage_statistics) in state.stages.iter_mut().enumerate() {
        if let Some(median) = state.fleet.median_us_per_token(stage) {
            stage_statistics.median_us_per_token = median;
        }
    }
}

/// Records that an attempt is no longer unanswered.
fn record_answered(state: &mut RoutingState, id: RequestId, attempt: &Attempt) {
    let was_unanswered = state.fleet.change(attempt.server, |server| server.remove_unanswered(id, attempt));
    if was_unanswered != Some(true) {
        return;
    }
    let seconds = (state.now - attempt.sent_at) as f64 / 1e6;
    let stage_statistics = &mut state.stages[attempt.stage as usize];
    stage_statistics.tokens_in_flight.add(attempt.work_tokens * seconds, state.now, RATE_TIME_CONSTANT_US);
    stage_statistics.tokens_per_attempt +=
        SAMPLE_WEIGHT * (attempt.work_tokens - stage_statistics.tokens_per_attempt);
}

fn record_success(state: &mut RoutingState, attempt: &Attempt, elapsed_us: Micros) {
    let now = state.now;
    let stage = attempt.stage as usize;
    let us_per_token = elapsed_us as f64 / attempt.work_tokens;
    let median = state.stages[stage].median_us_per_token;
    let work = slow_start::relative_work(state, attempt.stage, attempt.class);
    let served = |server: &mut Server| {
        server.statistics.record_served(attempt.class, work, now, RATE_TIME_CONSTANT_US);
    };
    let Some(()) = state.fleet.change(attempt.server, served) else { return };
    if attempt.crosses_cells {
        let remote = &mut state.remote_fetch_us_per_token;
        remote.add(us_per_token, now, median, AVERAGE_HALF_LIFE_US, SAMPLE_WEIGHT);
        return;
    }
    let unloaded = &mut state.stages[stage].unloaded_us_per_token;
    let weight = if us_per_token < *unloaded { UNLOADED_FALL_WEIGHT } else { UNLOADED_RISE_WEIGHT };
    *unloaded += (us_per_token - *unloaded) * weight;
    let queueing_us = (elapsed_us as f64 - *unloaded * attempt.work_tokens).max(0.0);
    state.fleet.change(attempt.server, |server| {
        let pace = &mut server.statistics.us_per_token[stage];
        pace.add(us_per_token, now, median, AVERAGE_HALF_LIFE_US, SAMPLE_WEIGHT);
        let queueing = &mut server.statistics.queueing_us[stage];
        queueing.add_weighted_by_age(queueing_us, now, AVERAGE_HALF_LIFE_US, SAMPLE_WEIGHT);
    });
    if attempt.stage != Stage::Write {
        state.gossip.record_queueing(attempt.server, queueing_us, attempt.expected_queueing_us);
    }
    record_cell_queueing(state, attempt, queueing_us);
    let counted_us = queueing_us.min(MAX_QUEUEING_OBJECTIVES * state.shortest_objective_us);
    record_stage_queueing(state, stage, counted_us);
    state.stages[stage].record_recent(now, queueing_us, MAX_RECENT_SAMPLES);
}

fn record_failure(state: &mut RoutingState, attempt: &Attempt, outcome: Outcome, rng: &mut impl RngCore) {
    let Some(role) = state.fleet.get(attempt.server).map(|server| server.role) else { return };
    let (now, stage) = (state.now, attempt.stage as usize);
    match outcome {
        Outcome::Full => {
            let pause = |server: &mut Server| server.statistics.full_until = now + FULL_PAUSE_US;
            state.fleet.change(attempt.server, pause);
            record_stage_queueing(state, stage, state.shortest_objective_us);
            return;
        }
        Outcome::NoState | Outcome::Cancelled | Outcome::NotSent => return,
        Outcome::Timeout => {
            record_cell_timeout(state, attempt);
            let queueing_us = MAX_QUEUEING_OBJECTIVES * state.shortest_objective_us;
            state.stages[stage].record_recent(now, queueing_us, MAX_RECENT_SAMPLES);
        }
        _ => {}
    }
    // This is about the interval at which this dispatcher sends to each server of the pool. A shorter
    // ejection would end before the server's next turn and have no effect.
    let requests_per_second = state.request_rate.value_at(now, RATE_TIME_CONSTANT_US).max(MIN_REQUEST_RATE);
    let server_interval_us = state.fleet.known_count(role) * 1e6 / requests_per_second;
    let base_ejection_us = BASE_EJECTION_US.max(server_interval_us as Micros);
    let draw = rng.next_u64();
    state.fleet.change(attempt.server, |server| {
        let outlier_state = server.statistics.outlier_states.entry(attempt.class).or_default();
        outlier_state.record_failure(now, base_ejection_us, draw);
    });
}

/// Adds the queueing of a state at a writer in its reader's cell to the cell's average.
fn record_cell_queueing(state: &mut RoutingState, attempt: &Attempt, queueing_us: f64) {
    add_cell_queueing(state, attempt, |_| queueing_us);
}

/// Adds a timeout of a state at a writer in its reader's cell. It counts as at most [`SLOW_MULTIPLE`] times
/// the cell's average: if the other writers of the cell are fast, this one is unresponsive and the cell not
/// congested.
fn record_cell_timeout(state: &mut RoutingState, attempt: &Attempt) {
    let waited_us = (state.now - attempt.sent_at) as f64;
    add_cell_queueing(state, attempt, |average_us| waited_us.min(SLOW_MULTIPLE * average_us));
}

/// Adds a sample to the queueing of the writer's cell. `sample_us` computes it from the cell's average.
fn add_cell_queueing(state: &mut RoutingState, attempt: &Attempt, sample_us: impl Fn(f64) -> f64) {
    if attempt.stage != Stage::Write || attempt.crosses_cells {
        return;
    }
    let Some(writer) = state.fleet.get(attempt.server) else { return };
    let Some(cell) = state.cells.get_mut(&writer.entry.cell) else { return };
    let average_us = cell.queueing_us.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
    let sample_us = sample_us(average_us);
    cell.queueing_us.add_weighted_by_age(sample_us, state.now, AVERAGE_HALF_LIFE_US, SAMPLE_WEIGHT);
}

/// Adds the queueing of an attempt to its stage's average, which covers the last second or the last few
/// samples, whichever is longer.
fn record_stage_queueing(state: &mut RoutingState, stage: usize, queueing_us: f64) {
    let average = &mut state.stages[stage].queueing_us;
    let age_weight = 1.0 - libm::exp(-average.age_us(state.now) / STAGE_QUEUEING_TIME_US);
    let is_falling = queueing_us < average.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
    let weight = age_weight.min(SAMPLE_WEIGHT) * if is_falling { STAGE_QUEUEING_FALL } else { 1.0 };
    average.add(queueing_us, state.now, 0.0, AVERAGE_HALF_LIFE_US, weight);
}
