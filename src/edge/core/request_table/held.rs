//! Held state of open requests: how ends of attempts and of releases change it, and what happens at its deadline.

use crate::edge::core::held_state::ReleaseOrder;
use crate::edge::core::history_reports::ReportReason;
use crate::edge::core::messages::Effect;
use crate::edge::core::request::{InFlight, Request};
use crate::edge::core::request_history::Transition;
use crate::edge::core::request_table::RequestTable;
use crate::edge::core::step::Step;
use crate::edge::guard::Rule;
use crate::edge::transitions::Transitions;
use crate::interface::{HeldStateAfter, Micros, Outcome, RequestId};

/// Tolerance on the time for which state may be held (us): the platform's protocol allows 300 ms more where
/// servers are reached over sockets.
const HOLD_TOLERANCE: Micros = 300_000;

impl RequestTable {
    /// Updates the held state after an attempt has ended: state that the attempt may have left counts as held,
    /// and only an answer from the server restarts the deadline.
    pub(super) fn update_held_state(
        &mut self,
        id: RequestId,
        attempt: &InFlight,
        outcome: Outcome,
        step: &mut Step,
    ) -> HeldStateAfter {
        let Some(request) = self.requests.get_mut(&id) else { return HeldStateAfter::HoldTimeContinues };
        let (held, now, max_hold_time) = (&mut request.held, step.now, self.max_hold_time);
        if held.was_released() {
            self.held_statistics.attempt_ended_after_release(outcome);
        }
        // If a machine accepted the bytes, reset the connection or stayed silent, that proves nothing about the
        // server process.
        let answered = match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => return HeldStateAfter::HoldTimeContinues,
            Outcome::Read | Outcome::Served | Outcome::Full | Outcome::NoState | Outcome::Error => true,
            Outcome::Timeout
            | Outcome::Reset
            | Outcome::Unacknowledged
            | Outcome::Cancelled
            | Outcome::Unknown => false,
        };
        let after = if !attempt.reads {
            held.write_ended(answered, now, max_hold_time)
        } else if outcome == Outcome::Read {
            held.read_answered(attempt.server, now, max_hold_time);
            HeldStateAfter::HoldTimeRestarts
        } else {
            if outcome.may_have_run() {
                held.read_unanswered(attempt.server, now, max_hold_time);
            }
            HeldStateAfter::HoldTimeContinues
        };
        held.sync_timer(id, &mut step.timers);
        after
    }

    /// Before the prompt is read again, releases what earlier attempts may have left: a release requested later
    /// would also release the state of the new read.
    pub(super) fn release_before_read(&mut self, id: RequestId, step: &mut Step) {
        let needs_release = self.requests.get(&id).is_some_and(|request| request.held.needs_release());
        if needs_release {
            self.release_held_state(id, step);
        }
    }

    /// Handles a hold deadline: no writer took the state in time, or no server has said so. The state is
    /// released whatever is in flight; a server that has the attempt keeps the state for it.
    pub fn hold_deadline_reached(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.awaits_held_state() {
            self.reports.write(step.now, id, request, ReportReason::HoldTimeOver);
        }
        self.release_held_state(id, step);
    }

    /// Requests that servers release all state that they hold, or may hold, for a request.
    pub fn release_held_state(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (number, is_final) = (self.last_release_number + 1, request.is_completed());
        let order = request.held.start_release(number, is_final, step.now);
        request.held.sync_timer(id, &mut step.timers);
        let Some(ReleaseOrder { holders, again, held, deadline }) = order else { return };
        let in_flight = !request.in_flight.is_empty();
        request.history.add(step.now, Transition::ReleaseRequested { holders: holders.len(), in_flight });
        if deadline.is_some_and(|deadline| step.now > deadline + HOLD_TOLERANCE) {
            self.guard.record_violation(Rule::HeldTooLong, id, &request.history);
        }
        Transitions::log_release(id, holders.len(), held);
        self.held_statistics.release_requested(held, in_flight);
        self.last_release_number = number;
        let before_read = !in_flight && !is_final;
        step.effects.push(Effect::ReleaseHeldState { id, number, holders, again, before_read });
    }

    /// Handles the end of a requested release; `number` says which.
    pub fn finish_release(&mut self, id: RequestId, number: u64, answered: bool, step: &mut Step) {
        self.held_statistics.release_finished(answered);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.history.add(step.now, Transition::ReleaseFinished { answered });
        request.held.finish_release(number, answered, step.now, self.max_hold_time);
        request.held.sync_timer(id, &mut step.timers);
        if !answered {
            self.reports.write(step.now, id, request, ReportReason::ReleaseUnanswered);
        }
    }

    /// Evicts the request if it is completed, and releases the state that may still be held for it.
    pub fn evict_if_completed(&mut self, id: RequestId, step: &mut Step) {
        if !self.requests.get(&id).is_some_and(Request::is_completed) {
            return;
        }
        self.release_held_state(id, step);
        let request = self.requests.remove(&id);
        let may_have_run = request.is_some_and(|request| request.first_execution.is_some());
        step.effects.push(Effect::Evict { id, may_have_run });
    }

    /// Metrics of held state since the start and of the state held at `now`, one per line.
    #[must_use]
    pub fn held_state_metrics(&self, now: Micros) -> String {
        let held = self.requests.values().filter(|request| request.held.is_held());
        let ages: Vec<Micros> = held.map(|request| request.held.age(now)).collect();
        self.held_statistics.lines(&ages)
    }
}
