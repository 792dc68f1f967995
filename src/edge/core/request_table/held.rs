//! What servers hold for open requests: how the ends of attempts and releases change it, and its deadline.

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

/// What is held has so much more than the settings say on sockets (the protocol page; us).
const HOLD_TOLERANCE: Micros = 300_000;

impl RequestTable {
    /// An attempt has ended: what it may have left is held from now on, and only a server's answer gives what is held more
    /// time.
    pub(super) fn update_held_state(
        &mut self,
        id: RequestId,
        attempt: &InFlight,
        outcome: Outcome,
        step: &mut Step,
    ) -> HeldStateAfter {
        let Some(request) = self.requests.get_mut(&id) else { return HeldStateAfter::TimeGoesOn };
        let (held, now, max_hold_time) = (&mut request.held, step.now, self.max_hold_time);
        if held.was_released() {
            self.held_statistics.ended_after(outcome);
        }
        // A machine that took the bytes, reset the connection or stayed silent says nothing of the server's process.
        let answered = match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => return HeldStateAfter::TimeGoesOn,
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
            HeldStateAfter::TimeBeginsAnew
        } else {
            if outcome.may_have_run() {
                held.read_unanswered(attempt.server, now, max_hold_time);
            }
            HeldStateAfter::TimeGoesOn
        };
        held.sync_timer(id, &mut step.timers);
        after
    }

    /// Before a prompt is read once more, what earlier attempts may have left of it is let go of: asked for later, the
    /// release would let go of the new read's state too.
    pub(super) fn free_before_read(&mut self, id: RequestId, step: &mut Step) {
        let is_unreleased = self.requests.get(&id).is_some_and(|request| request.held.is_unreleased());
        if is_unreleased {
            self.release_held_state(id, step);
        }
    }

    /// What is held for a request has not been taken in its time, or no server has said so: it is let go of, whatever is in
    /// flight. A server that has the attempt keeps the state for it.
    pub fn hold_deadline_reached(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.awaits_held_state() {
            self.reports.write(step.now, id, request, ReportReason::HoldTimeOver);
        }
        self.release_held_state(id, step);
    }

    /// Has servers release all that they hold, or may hold, for a request.
    pub fn release_held_state(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (number, is_final) = (self.last_number + 1, request.is_completed());
        let order = request.held.start_releasing(number, is_final, step.now);
        request.held.sync_timer(id, &mut step.timers);
        let Some(ReleaseOrder { holders, again, held, deadline }) = order else { return };
        let in_flight = !request.in_flight.is_empty();
        request.history.add(step.now, Transition::ReleaseRequested { holders: holders.len(), in_flight });
        if deadline.is_some_and(|deadline| step.now > deadline + HOLD_TOLERANCE) {
            self.guard.finds_broken(Rule::HeldTooLong, id, &request.history);
        }
        Transitions::releases(id, holders.len(), held);
        self.held_statistics.released(held, in_flight);
        self.last_number = number;
        let before_read = !in_flight && !is_final;
        step.effects.push(Effect::ReleaseHeldState { id, number, holders, again, before_read });
    }

    /// A release that was asked for has come to its end.
    pub fn finish_releasing(&mut self, id: RequestId, number: u64, answered: bool, step: &mut Step) {
        self.held_statistics.finished(answered);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.history.add(step.now, Transition::ReleaseFinished { answered });
        request.held.finish_releasing(number, answered, step.now, self.max_hold_time);
        request.held.sync_timer(id, &mut step.timers);
        if !answered {
            self.reports.write(step.now, id, request, ReportReason::ReleaseUnanswered);
        }
    }

    /// Evicts a request that is completed, and has what may still be held for it released.
    pub fn evict_if_completed(&mut self, id: RequestId, step: &mut Step) {
        if !self.requests.get(&id).is_some_and(Request::is_completed) {
            return;
        }
        self.release_held_state(id, step);
        let request = self.requests.remove(&id);
        let may_have_run = request.is_some_and(|request| request.first_execution.is_some());
        step.effects.push(Effect::Evict { id, may_have_run });
    }

    /// What became of held state since the start, with what is held now, in lines.
    #[must_use]
    pub fn held_figures(&self, now: Micros) -> String {
        let held = self.requests.values().filter(|request| request.held.is_held());
        let ages: Vec<Micros> = held.map(|request| request.held.age(now)).collect();
        self.held_statistics.lines(&ages)
    }
}
