//! Admission: the next step of a request that has no attempt in flight, and the answer that ends a request
//! without a stream.

use rand_core::RngCore;

use crate::eligibility::{self, RepeatScope};
use crate::end_reason::EndReason;
use crate::health;
use crate::interface::{Action, DedupGroup, Effect, Key, Micros, Role, ServerId};
use crate::overload::is_overloaded;
use crate::placement::{select_server, WhenFull};
use crate::records::{HeldState, RequestState, Stage};
use crate::routing_state::RoutingState;
use crate::statistics::{mix, unit_interval};
use crate::sweep::SWEEP_INTERVAL_US;
use crate::writers::select_writer;

/// Safety margin for waiting until the next sweep: a held state waits for a writer only if the sweep, this
/// many event batches after it, and [`ANSWER_MARGIN_US`] for sending the answer (us) all fit before its time
/// is up.
const SWEEP_MARGIN_BATCHES: Micros = 4;
const ANSWER_MARGIN_US: Micros = 10_000;

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    Send {
        server: ServerId,
        stage: Stage,
    },
    /// The held state waits for a writer; the next sweep tries again.
    AwaitWriter,
    /// The request ends without a stream, for this reason.
    Answer(EndReason),
}

/// Selects the next step of a request that has no attempt in flight.
///
/// A request with a held state goes to a writer. Any other request goes to a mixed server if it belongs to
/// the mixed servers' share of sessions or the reader path is overloaded, else to a reader, else to any
/// server that can both read and write. If none can take it, it is answered at once.
pub(crate) fn next_step(state: &RoutingState, request: &RequestState, rng: &mut impl RngCore) -> NextStep {
    if let Some(reason) = terminal_reason(state, request) {
        return NextStep::Answer(reason);
    }
    match request.held_state {
        Some(held) => step_to_writer(state, request, held, rng),
        None => step_to_reader(state, request, rng),
    }
}

/// Why a request can have no further attempt; `None` if it can have one.
fn terminal_reason(state: &RoutingState, request: &RequestState) -> Option<EndReason> {
    if request.info.not_after <= state.now {
        return Some(EndReason::Deadline);
    }
    if eligibility::attempts_exhausted(state, request) {
        return Some(EndReason::AttemptsSpent);
    }
    if state.fleet.is_empty() {
        return Some(EndReason::NoServers);
    }
    if eligibility::repeat_scope(state, request) == RepeatScope::Nowhere {
        return Some(EndReason::MayNotRepeat);
    }
    None
}

fn step_to_writer(
    state: &RoutingState,
    request: &RequestState,
    held: HeldState,
    rng: &mut impl RngCore,
) -> NextStep {
    let release_at = held.since + state.settings.max_hold_time;
    match select_writer(state, request, held.reader, rng) {
        Some(server) if state.now < release_at => NextStep::Send { server, stage: Stage::Write },
        None if can_wait_for_sweep(state, release_at.min(request.info.not_after)) => NextStep::AwaitWriter,
        _ => NextStep::Answer(EndReason::NoWriter),
    }
}

/// Whether the next sweep, with its safety margin, comes before `until`.
fn can_wait_for_sweep(state: &RoutingState, until: Micros) -> bool {
    let batches_us = SWEEP_MARGIN_BATCHES * state.settings.min_batch_interval;
    state.now + SWEEP_INTERVAL_US + batches_us + ANSWER_MARGIN_US < until
}

fn step_to_reader(state: &RoutingState, request: &RequestState, rng: &mut impl RngCore) -> NextStep {
    let (class, session) = (request.info.class, request.info.session);
    let draw = unit_interval(rng.next_u64());
    let is_reader_path_overloaded =
        is_overloaded(state, class, Stage::Read, draw) || is_overloaded(state, class, Stage::Write, draw);
    let prefers_mixed = is_reader_path_overloaded || is_in_mixed_share(state, class, session, rng);
    if prefers_mixed && !is_overloaded(state, class, Stage::ReadAndWrite, draw) {
        if let Some(server) = select_server(state, request, Role::Mixed, WhenFull::GiveUp, rng) {
            return NextStep::Send { server, stage: Stage::ReadAndWrite };
        }
    }
    if is_reader_path_overloaded {
        return NextStep::Answer(EndReason::Overloaded);
    }
    if let Some(server) = select_server(state, request, Role::Reader, WhenFull::Queue, rng) {
        return NextStep::Send { server, stage: Stage::Read };
    }
    if let Some(server) = select_server(state, request, Role::Mixed, WhenFull::Queue, rng) {
        return NextStep::Send { server, stage: Stage::ReadAndWrite };
    }
    if state.settings.writers_can_read {
        if let Some(server) = select_server(state, request, Role::Writer, WhenFull::Queue, rng) {
            return NextStep::Send { server, stage: Stage::ReadAndWrite };
        }
    }
    NextStep::Answer(EndReason::NoServerReady)
}

/// Whether a request falls into the mixed servers' share of sessions: their part of all healthy servers. The
/// draw is a hash of the session, so that all requests of a session get the same answer.
fn is_in_mixed_share(state: &RoutingState, class: u32, session: Option<Key>, rng: &mut impl RngCore) -> bool {
    let healthy_count = |role| {
        let suspects = state.fleet.ready_suspects(role);
        let ejected = suspects.filter(|server| !health::is_healthy(server, class, state.now)).count();
        (state.fleet.ready_count(role) - ejected) as f64
    };
    let mixed = healthy_count(Role::Mixed);
    let share = mixed / (mixed + healthy_count(Role::Reader) + healthy_count(Role::Writer)).max(1.0);
    let draw = session.map_or_else(|| rng.next_u64(), |Key(key)| mix(key));
    unit_interval(draw) < share
}

/// The answer that ends a request without a stream. It is rejected if a retry by the client is harmless and
/// its deadline has not passed, else failed. The retry delay is drawn at random between half of the maximum
/// and the maximum, so that clients do not all retry at the same time.
pub(crate) fn final_answer(state: &RoutingState, request: &RequestState, rng: &mut impl RngCore) -> Action {
    let id = request.info.id;
    if !is_retry_safe(state, request) || request.info.not_after <= state.now {
        return Action::Fail(id);
    }
    let half_us = state.settings.max_retry_after / 2;
    Action::Reject { id, retry_in: half_us + rng.next_u64() % half_us.max(1) }
}

fn is_retry_safe(state: &RoutingState, request: &RequestState) -> bool {
    if request.may_have_run.is_none() {
        return true;
    }
    let Some(class) = state.class(request.info.class) else { return true };
    match class.effect {
        Effect::Idempotent => true,
        Effect::Deduplicated => class.dedup_group == DedupGroup::All,
        Effect::AtMostOnce => false,
    }
}
