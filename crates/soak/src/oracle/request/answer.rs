//! Checks that a request got its final answer, or that its connection may have ended without one.

use super::RequestHistory;
use crate::event_log::{ClientOutcome, Micros, Observation};
use crate::oracle::idle_crowds::IdleCrowds;
use crate::oracle::outages::PlannedOutages;
use crate::oracle::planned_kills::PlannedKills;
use crate::oracle::{Excuses, Rule, Violation, MS, TOLERANCE};
use crate::plan::{FaultKind, Plan};

/// Time after the request's deadline within which its final response is due.
const MAX_LATE_ANSWER: Micros = 500 * MS;

impl RequestHistory<'_> {
    /// Checks that the client received a final response in time ([`Rule::Dropped`]).
    pub(super) fn check_answer(&self, plan: &Plan, excuses: &Excuses, violations: &mut Vec<Violation>) {
        let Excuses { outages, kills, idle_crowds } = excuses;
        let left = self.first(|seen| *seen == Observation::ClientLeft);
        let outcome = self.outcome();
        let ended_at = outcome.map(|(at, _)| at).or(left).unwrap_or(Micros::MAX);
        let first_event =
            self.first(|seen| matches!(seen, Observation::EventReceived(0))).unwrap_or(ended_at);
        let due = self.deadline.max(self.earliest_read(outages)) + MAX_LATE_ANSWER + TOLERANCE;
        if let Some((at, ClientOutcome::Cut)) = outcome {
            if kills.cut_late_stream(self.dispatcher, self.asked_at, at) {
                let what = "its stream was begun although the process was about to be killed, and was cut";
                violations.push(self.violation(Rule::Dropped, at, what));
            }
        }
        if outages.any_within(self.dispatcher, self.asked_at, ended_at.min(due))
            || kills.excuses_request(self.dispatcher, self.asked_at, ended_at.min(due))
        {
            return;
        }
        if let Some((at, ended)) = outcome.and_then(|(at, outcome)| Some((at, outcome.unanswered()?))) {
            if !self.may_be_closed_unanswered(plan, idle_crowds, at) && !self.was_cut_off_by_a_kill(kills, at)
            {
                let what =
                    format!("the connection was {ended} without an answer, {}", self.connection_times(at));
                violations.push(self.violation(Rule::Dropped, at, what));
            }
            return;
        }
        match outcome {
            Some((at, _)) if first_event.min(at) > due => {
                let late_ms = (first_event.min(at) - self.deadline) / MS;
                let what = format!("the answer came {late_ms} ms after the deadline");
                violations.push(self.violation(Rule::Dropped, at, what));
            }
            None if left.is_none_or(|left| left > due) => {
                violations.push(self.violation(Rule::Dropped, due, "no answer came"));
            }
            _ => {}
        }
    }

    /// The earliest time at which the dispatcher could read the request: one on a new connection waits while all
    /// accepts fail.
    fn earliest_read(&self, outages: &PlannedOutages) -> Micros {
        if self.connected_at.is_some() {
            outages.accept_possible_at(self.dispatcher, self.asked_at)
        } else {
            self.asked_at
        }
    }

    /// Whether a kill had ended the connection before the client wrote the end of its request, so that the client found it
    /// closed at once.
    fn was_cut_off_by_a_kill(&self, kills: &PlannedKills, ended_at: Micros) -> bool {
        let connected_at = self.connected_at.unwrap_or(self.asked_at);
        ended_at <= self.asked_at + TOLERANCE
            && kills.preceded_request(self.dispatcher, connected_at, self.asked_at)
    }

    /// The times of the connection and the request, relative to each other, for the report.
    fn connection_times(&self, ended_at: Micros) -> String {
        let since_request = ended_at.saturating_sub(self.asked_at);
        let Some(connected_at) = self.connected_at else {
            return format!("{since_request} us after the request was sent on a kept connection");
        };
        let until_request = self.asked_at.saturating_sub(connected_at);
        format!("{since_request} us after the request was sent, {until_request} us after it was established")
    }

    /// Whether the dispatcher may have closed the connection before it read the request: a kept connection at any time, a
    /// new one if the plan has idle clients use up the descriptors, and a crowd of them was connected, at some time from
    /// when it was established until it ended.
    fn may_be_closed_unanswered(&self, plan: &Plan, idle_crowds: &IdleCrowds, ended_at: Micros) -> bool {
        if self.first(|seen| matches!(seen, Observation::AttemptBegan { .. })).is_some() {
            return false;
        }
        let Some(connected_at) = self.connected_at else { return true };
        let is_planned = plan.faults.iter().any(|fault| {
            matches!(fault.kind, FaultKind::Idlers { dispatcher, .. } if dispatcher == self.dispatcher)
                && fault.from_ms * MS <= ended_at
                && connected_at < fault.to_ms * MS
        });
        is_planned && idle_crowds.any_within(self.dispatcher, connected_at, ended_at)
    }
}
