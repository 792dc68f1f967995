//! Attempts: the planning and bookkeeping of a send to a server, and how the end of an attempt changes its
//! request.

use crate::interface::{AttemptFinished, HeldStateAfter, Micros, Outcome, RequestId, ServerId};
use crate::records::{Attempt, HeldState, PossibleRun, RequestState, Server, Stage};
use crate::routing_state::RoutingState;
use crate::slow_start;
use crate::timeouts::{attempt_timeout_us, telling_wait_us};
use crate::work;

/// Multiplies the attempt timeout of a write whose state leaves the reader's cell: a retry would transfer the
/// whole state again.
const REMOTE_TIMEOUT_MULTIPLE: Micros = 3;

/// An attempt that is ready to be sent.
#[derive(Debug)]
pub(crate) struct PlannedAttempt {
    pub(crate) attempt: Attempt,
    /// Work of the attempt at its server, in tokens.
    server_tokens: f64,
}

/// What is to be done with the state that servers hold for a request after one of its attempts has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldStateChange {
    /// The state must be released.
    Release,
    Keep,
}

/// Computes the next attempt of a request. The caller has checked that the attempt is permitted at `server`.
pub(crate) fn plan(
    state: &RoutingState,
    request: &RequestState,
    server: &Server,
    stage: Stage,
) -> PlannedAttempt {
    let info = &request.info;
    let cached = server.prefixes.longest_match(info, state.now);
    let work = work::estimate(state, info, stage, cached.map_or(0, |prefix| prefix.tokens));
    let reader = request.held_state.and_then(|held| state.fleet.get(held.reader));
    let crosses_cells = reader.is_some_and(|reader| reader.entry.cell != server.entry.cell);
    let class = state.class(info.class);
    let objective_us = class.map_or(0.0, |class| class.latency_objective_for(info.prompt_tokens));
    let failures = request.failed_at.len();
    let timeout_us = attempt_timeout_us(state, server, stage, work.work_tokens, failures, objective_us);
    let timeout_us = if crosses_cells { timeout_us * REMOTE_TIMEOUT_MULTIPLE } else { timeout_us };
    let attempt = Attempt {
        number: request.attempts,
        server: server.entry.server,
        stage,
        sent_at: state.now,
        timeout_us: timeout_us.min(info.not_after - state.now).max(1),
        telling_wait_us: telling_wait_us(class, objective_us, state.shortest_objective_us),
        memory_tokens: work.memory_tokens,
        work_tokens: work.work_tokens,
        expected_queueing_us: state.gossip.estimated_queueing_us(server.entry.server, state.now),
        class: info.class,
        expected_prefix: cached.filter(|_| stage != Stage::Write),
        is_streaming: false,
        crosses_cells,
    };
    PlannedAttempt { attempt, server_tokens: work.server_tokens }
}

/// Records that an attempt is being sent: in the load of its server, in the load gossip and in its request.
pub(crate) fn record_sent(state: &mut RoutingState, request: &mut RequestState, planned: PlannedAttempt) {
    let PlannedAttempt { attempt, server_tokens, .. } = planned;
    let id: RequestId = request.info.id;
    let relative_work = slow_start::relative_work(state, attempt.stage, attempt.class);
    state.stages[attempt.stage as usize].class_work.record(attempt.class, server_tokens);
    let unloaded_us_per_token = state.stage(attempt.stage).unloaded_us_per_token;
    if attempt.stage != Stage::Write {
        state.gossip.record_sent(attempt.server, attempt.work_tokens * unloaded_us_per_token);
    }
    state.fleet.change(attempt.server, |server| {
        server.slow_start_budget.record_sent(id, relative_work);
        server.add_attempt(id, &attempt);
    });
    if attempt.stage != Stage::Write {
        state.fleet.record_prefixes(attempt.server, &request.info);
    }
    request.attempts += 1;
    request.in_flight = Some(attempt);
}

/// Records that an attempt of a request has reached its server.
pub(crate) fn record_arrived(state: &mut RoutingState, id: RequestId, server: ServerId) {
    let (now, window_us) = (state.now, state.settings.overload_window);
    if let Some(budget) = state.fleet.slow_start_budget(server) {
        budget.record_arrived(id, now, window_us);
    }
}

/// Records whether an attempt that has ended has reached its server. One that may have does count.
pub(crate) fn record_arrival_by_outcome(
    state: &mut RoutingState,
    id: RequestId,
    server: ServerId,
    outcome: Outcome,
) {
    let has_not_arrived = matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
    if !has_not_arrived {
        return record_arrived(state, id, server);
    }
    if let Some(budget) = state.fleet.slow_start_budget(server) {
        budget.record_not_arrived(id);
    }
}

/// Updates a request after its attempt has ended: where its held state is now, whether the attempt may have
/// run, and whether the server counts as one that failed it. `attempt` is no longer in flight.
pub(crate) fn record_outcome(
    request: &mut RequestState,
    attempt: &Attempt,
    ended: &AttemptFinished,
    now: Micros,
) -> HeldStateChange {
    let outcome = ended.outcome;
    let mut change = HeldStateChange::Keep;
    match (outcome, ended.held_state) {
        (Outcome::Read, _) => request.held_state = Some(HeldState { reader: attempt.server, since: now }),
        // A writer also reports `NoState` when only its own connection to the reader is broken. The reader
        // may still hold the state then, so it has to be released.
        (Outcome::NoState, _) if request.held_state.take().is_some() => change = HeldStateChange::Release,
        (_, HeldStateAfter::HoldTimeContinues) => {}
        (_, HeldStateAfter::HoldTimeRestarts) => {
            request.held_state = request.held_state.map(|held| HeldState { since: now, ..held });
        }
        (_, HeldStateAfter::Released) => request.held_state = None,
    }
    if !matches!(outcome, Outcome::Read | Outcome::Served) {
        request.failed_at.push(attempt.server);
    }
    let may_have_run = outcome.may_have_run() && attempt.stage != Stage::Read;
    if may_have_run && request.may_have_run.is_none() {
        request.may_have_run = Some(PossibleRun { server: attempt.server, sent_at: attempt.sent_at });
    }
    change
}
