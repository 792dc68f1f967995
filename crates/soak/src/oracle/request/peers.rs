//! Checks how the dispatcher treats peers that do not end, are slow, or leave it no time.

use super::RequestHistory;
use crate::event_log::{ClientOutcome, Micros, Observation};
use crate::oracle::{Excuses, Rule, Violation, MS, TOLERANCE};
use crate::plan::{FaultKind, Plan};

/// Time after the last sound event within which a client's connection must be ended.
const MAX_WITHOUT_EVENT: Micros = 5_000 * MS;
/// Time that a client which reads slowly may take to come to the end of what was sent.
const MAX_SLOW_READING: Micros = 500 * MS;
/// A request with at least this much time is not refused on an idle fleet.
const ENOUGH_TIME: Micros = 200 * MS;

impl RequestHistory<'_> {
    /// Checks the rules about such peers, unless the dispatcher's process was to end meanwhile.
    pub(super) fn check_peers(&self, plan: &Plan, excuses: &Excuses, violations: &mut Vec<Violation>) {
        let ended_at = self.entries.last().map_or(self.asked_at, |entry| entry.at);
        let Excuses { outages, kills, .. } = excuses;
        if outages.any_within(self.dispatcher, self.asked_at, ended_at)
            || kills.excuses_request(self.dispatcher, self.asked_at, ended_at)
        {
            return;
        }
        violations.extend(self.open_without_events(plan));
        violations.extend(self.answer_cut_short());
        violations.extend(self.refused_on_an_idle_fleet(plan));
    }

    /// The violation if a stream that had begun stayed open for too long after it had been spoilt, or was ended as if it
    /// were whole ([`Rule::EndlessStream`]).
    fn open_without_events(&self, plan: &Plan) -> Option<Violation> {
        let spoilt_at = self.last(|seen| matches!(seen, Observation::StreamSpoilt { .. }))?;
        let first_event = self.first(|seen| matches!(seen, Observation::EventReceived(0)))?;
        if self.outcome().is_some_and(|(_, outcome)| outcome == ClientOutcome::Served) {
            let completed = self.last(|seen| matches!(seen, Observation::StreamEnded { .. }));
            let what = "a stream without an end was ended as if it were whole";
            return completed.is_none().then(|| self.violation(Rule::EndlessStream, spoilt_at, what));
        }
        let left = self.first(|seen| *seen == Observation::ClientLeft);
        let ended_at = self.outcome().map(|(at, _)| at).or(left).unwrap_or(Micros::MAX);
        let reading_time = if self.is_read_slowly(plan) { MAX_SLOW_READING } else { 0 };
        let due = spoilt_at.max(first_event) + MAX_WITHOUT_EVENT + reading_time + TOLERANCE;
        (ended_at > due).then(|| {
            self.violation(Rule::EndlessStream, due, "its stream stayed open for 5 s without an event")
        })
    }

    /// The violation if the dispatcher closed the connection of a server that was writing a sound answer, while its client
    /// waited and had time left ([`Rule::AnswerCutShort`]).
    fn answer_cut_short(&self) -> Option<Violation> {
        let left = self.first(|seen| *seen == Observation::ClientLeft).unwrap_or(Micros::MAX);
        let ended_at = self.outcome().map_or(Micros::MAX, |(at, _)| at);
        let cut = self.entries.iter().find(|entry| {
            matches!(entry.observation, Observation::AnswerCutShort { .. })
                && entry.at + TOLERANCE < self.deadline
                && entry.at + TOLERANCE < left
                && entry.at < ended_at
        })?;
        Some(self.violation(
            Rule::AnswerCutShort,
            cut.at,
            "the answer of a server was cut short while it was written",
        ))
    }

    /// The violation if a request with enough time was not served, where nothing was wrong but that others had no time
    /// ([`Rule::RefusedIdle`]).
    fn refused_on_an_idle_fleet(&self, plan: &Plan) -> Option<Violation> {
        let is_idle = plan.faults.iter().all(|fault| matches!(fault.kind, FaultKind::NoTimeLeft { .. }));
        let has_time = self.deadline - self.asked_at >= ENOUGH_TIME;
        let (at, outcome) = self.outcome()?;
        let is_unserved = matches!(outcome, ClientOutcome::Refused | ClientOutcome::Failed);
        (is_idle && !plan.faults.is_empty() && has_time && is_unserved)
            .then(|| self.violation(Rule::RefusedIdle, at, "it was not served by an idle fleet"))
    }
}
