//! What servers hold for open requests: when it began, how long it may last, and its release.

use crate::edge::core::held_statistics::HeldStatistics;
use crate::edge::core::history_reports::ReportReason;
use crate::edge::core::messages::Effect;
use crate::edge::core::request::{InFlight, Request};
use crate::edge::core::request_history::Transition;
use crate::edge::core::request_table::{RequestTable, CLOSE_SEEN};
use crate::edge::core::step::Step;
use crate::edge::guard::Rule;
use crate::edge::transitions::Transitions;
use crate::interface::{Micros, Outcome, RequestId};

/// What is held has so much more than the settings say on sockets (the protocol page; us).
const HOLD_TOLERANCE: Micros = 300_000;

impl RequestTable {
    /// Notes what an attempt that has ended may have left at its server, and whether it may have been executed.
    pub(super) fn note_execution(request: &mut Request, attempt: &InFlight, outcome: Outcome, now: Micros) {
        // A read that was cut short may have ended well all the same: what it left counts as held.
        if attempt.reads && (outcome == Outcome::Read || outcome.may_have_run()) {
            request.held.holders.push(attempt.server);
            request.held.read_at = now;
            if outcome != Outcome::Read {
                request.held.uncertain_read = Some(now);
            }
        }
        if !attempt.reads && outcome.may_have_run() {
            request.first_execution.get_or_insert(attempt.sent);
        }
    }

    /// The time that something may be held begins anew as an attempt ends. While requests don't reach servers it goes on
    /// running, and once it is over what is held is released.
    pub(super) fn note_hold_time(&mut self, id: RequestId, outcome: Outcome, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_over = step.now >= request.held.since + self.max_hold_time;
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unacknowledged) {
            request.held.since = step.now;
        } else if is_over && request.in_flight.is_empty() {
            self.release_held_state(id, step);
        }
    }

    /// Has servers release all that they hold, or may hold, for a request.
    pub fn release_held_state(&mut self, id: RequestId, step: &mut Step) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let held_by = request.held.since + self.max_hold_time + HOLD_TOLERANCE;
        if !request.held.holders.is_empty() && request.in_flight.is_empty() && step.now > held_by {
            self.guard.finds_broken(Rule::HeldTooLong, id, &request.history);
        }
        let (held, in_flight) = (request.held.age(step.now), !request.in_flight.is_empty());
        let holders = std::mem::take(&mut request.held.holders);
        if holders.is_empty() {
            return;
        }
        Transitions::releases(id, holders.len(), held);
        self.held_statistics.released(held, in_flight);
        let requested = Transition::ReleaseRequested { holders: holders.len(), in_flight };
        request.history.add(step.now, requested);
        let again = request.held.uncertain_read.take().is_some_and(|at| step.now < at + CLOSE_SEEN);
        self.last_release += 1;
        step.effects.push(Effect::ReleaseHeldState { id, release: self.last_release, holders, again });
    }

    /// A release that was asked for has come to its end.
    pub fn release_finished(&mut self, id: RequestId, answered: bool, step: &Step) {
        self.held_statistics.release_finished(answered);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.history.add(step.now, Transition::ReleaseFinished { answered });
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

    /// What became of held state since the start, with what is held now.
    #[must_use]
    pub fn held_figures(&self, now: Micros) -> String {
        let ages = self.requests.values().filter(|request| !request.held.holders.is_empty());
        let ages: Vec<Micros> = ages.map(|request| request.held.age(now)).collect();
        self.held_statistics.lines(&ages)
    }

    /// The statistics of held state.
    #[must_use]
    pub fn held_statistics(&self) -> &HeldStatistics {
        &self.held_statistics
    }
}
