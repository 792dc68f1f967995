//! Checks the rules about a single request, from the time at which its client sent it to the last release of its state.

mod answer;
mod peers;

use super::outages::PlannedOutages;
use super::{Excuses, Limits, Rule, Violation, MS, TOLERANCE};
use crate::event_log::{Class, ClientOutcome, LogEntry, Micros, Observation};
use crate::plan::{FaultKind, Plan};
use crate::servers::EVENTS;

/// Time after the client disconnected within which an attempt may still begin.
const MAX_AFTER_LEAVING: Micros = 100 * MS;
/// Time beyond [`Limits::release_within`] within which held state must be released.
const MAX_HELD_BEYOND_SETTING: Micros = 300 * MS;
/// Time by which the remaining time told to a server may exceed the actual one.
const MAX_EXCESS_REMAINING: Micros = 150 * MS;
/// Time from the write of an event by the server within which it must reach the client.
const MAX_EVENT_DELAY: Micros = 300 * MS;
/// Time after which a server that was stalled has read everything that was sent meanwhile.
const CATCH_UP_TIME: Micros = 100 * MS;
/// Time after a watch fell silent at which a change counts as reported: the dispatcher must have noticed by then.
const SILENT_WATCH_TIMEOUT: Micros = 6_000 * MS;

/// A request with all its log entries.
pub(super) struct RequestHistory<'a> {
    id: u64,
    dispatcher: usize,
    class: Class,
    asked_at: Micros,
    deadline: Micros,
    /// When its connection was established, if it is the first request on it.
    connected_at: Option<Micros>,
    entries: Vec<&'a LogEntry>,
    /// What was observed from when a bad client sent the id again, after the request had ended.
    repeat_entries: Vec<&'a LogEntry>,
}

impl<'a> RequestHistory<'a> {
    /// Builds the history of a request from its entries; `None` if its client never sent it completely.
    pub(super) fn new(id: u64, mut entries: Vec<&'a LogEntry>) -> Option<Self> {
        let is_repeat = |entry: &&LogEntry| entry.observation == Observation::EndedIdSent;
        let repeated_from = entries.iter().position(is_repeat).unwrap_or(entries.len());
        let repeat_entries = entries.split_off(repeated_from);
        let asked =
            entries.iter().find(|entry| matches!(entry.observation, Observation::RequestSent { .. }))?;
        let Observation::RequestSent { dispatcher, class, timeout, connected_at } = asked.observation else {
            return None;
        };
        let (asked_at, deadline) = (asked.at, asked.at + timeout);
        Some(Self { id, dispatcher, class, asked_at, deadline, connected_at, entries, repeat_entries })
    }

    /// Checks all rules about the request and adds what it violates to `violations`.
    pub(super) fn check(
        &self,
        plan: &Plan,
        excuses: &Excuses,
        limits: &Limits,
        violations: &mut Vec<Violation>,
    ) {
        let outages = excuses.outages;
        self.check_answer(plan, excuses, violations);
        self.check_repeated_ids(violations);
        self.check_ended_ids(outages, violations);
        self.check_runs(limits, violations);
        self.check_attempts_after_leaving(plan, outages, violations);
        self.check_held_states(excuses, limits, violations);
        self.check_deadlines(plan, outages, violations);
        self.check_stream(plan, excuses, violations);
        self.check_peers(plan, excuses, violations);
        self.check_draining(plan, outages, limits, violations);
    }

    fn violation(&self, rule: Rule, at: Micros, what: impl Into<String>) -> Violation {
        let what = format!("dispatcher {}, {}: {}", self.dispatcher, self.class.name(), what.into());
        Violation { rule, at, id: self.id, what }
    }

    /// Time of the first observation that satisfies `is_wanted`.
    fn first(&self, is_wanted: impl Fn(&Observation) -> bool) -> Option<Micros> {
        self.entries.iter().find(|entry| is_wanted(&entry.observation)).map(|entry| entry.at)
    }

    /// Time of the last observation that satisfies `is_wanted`.
    fn last(&self, is_wanted: impl Fn(&Observation) -> bool) -> Option<Micros> {
        self.entries.iter().rfind(|entry| is_wanted(&entry.observation)).map(|entry| entry.at)
    }

    /// The client's outcome with its time; `None` if the client disconnected first.
    fn outcome(&self) -> Option<(Micros, ClientOutcome)> {
        self.entries.iter().find_map(|entry| match entry.observation {
            Observation::ExchangeEnded(outcome) => Some((entry.at, outcome)),
            _ => None,
        })
    }

    /// Checks that no bad client was served under the id of this request while it was open ([`Rule::Dropped`]).
    fn check_repeated_ids(&self, violations: &mut Vec<Violation>) {
        for entry in &self.entries {
            if let Observation::OpenIdRepeated { status: Some(200), .. } = entry.observation {
                let what = "a bad client was served under the id of this request while it was open";
                violations.push(self.violation(Rule::Dropped, entry.at, what));
            }
        }
    }

    /// Checks that an id whose request was refused is served when it comes again, or refused once more
    /// ([`Rule::Dropped`]). The id of a process that was killed may stay taken.
    fn check_ended_ids(&self, outages: &PlannedOutages, violations: &mut Vec<Violation>) {
        let Some(&sent) = self.repeat_entries.first() else { return };
        let was_refused = matches!(self.outcome(), Some((_, ClientOutcome::Refused)));
        let is_taken = |entry: &&&LogEntry| {
            matches!(entry.observation, Observation::EndedIdAnswered { status: Some(409) })
        };
        let Some(answer) = self.repeat_entries.iter().find(is_taken).filter(|_| was_refused) else { return };
        if !self.may_have_run() && !outages.any_within(self.dispatcher, self.asked_at, sent.at) {
            let what = "the id of a request that had been refused stayed taken";
            violations.push(self.violation(Rule::Dropped, answer.at, what));
        }
    }

    /// Whether a writer may have run the request.
    fn may_have_run(&self) -> bool {
        let arrived = |entry: &&LogEntry| {
            matches!(entry.observation, Observation::AttemptArrived { is_reader: false, .. })
        };
        let turned_away = |entry: &&LogEntry| matches!(entry.observation, Observation::TurnedAway { .. });
        self.entries.iter().copied().filter(arrived).count()
            > self.entries.iter().copied().filter(turned_away).count()
    }

    /// Checks that the request did not run more often than its class allows ([`Rule::RunTwice`]).
    fn check_runs(&self, limits: &Limits, violations: &mut Vec<Violation>) {
        if self.class == Class::Idempotent {
            return;
        }
        // The first attempt at a writer that was not rejected. It may have run, so every later attempt is a repeat.
        let mut first_run: Option<Micros> = None;
        let entries: Vec<&LogEntry> = self.entries.iter().chain(&self.repeat_entries).copied().collect();
        for (at, entry) in entries.iter().enumerate() {
            let Observation::AttemptArrived { server, is_reader: false, .. } = entry.observation else {
                continue;
            };
            if let Some(first_run) = first_run {
                let age = entry.at - first_run;
                if self.class == Class::AtMostOnce || age > limits.deduplication_window + TOLERANCE {
                    let what =
                        format!("sent to writer {server} again, {} ms after it may have run", age / MS);
                    violations.push(self.violation(Rule::RunTwice, entry.at, what));
                }
            }
            let later = &entries[at..];
            let turned_away = Observation::TurnedAway { server };
            if !later.iter().any(|after| after.observation == turned_away) {
                first_run.get_or_insert(entry.at);
            }
        }
        let runs = entries.iter();
        let runs = runs.filter(|entry| matches!(entry.observation, Observation::WriteBegan { .. })).count();
        if runs > 1 && self.class == Class::AtMostOnce {
            let what = format!("{runs} writers began to run it");
            violations.push(self.violation(Rule::RunTwice, self.asked_at, what));
        }
    }

    /// Checks that no attempt begins long after the client disconnected ([`Rule::SentAfterClientLeft`]).
    fn check_attempts_after_leaving(
        &self,
        plan: &Plan,
        outages: &PlannedOutages,
        violations: &mut Vec<Violation>,
    ) {
        let Some(left) = self.first(|seen| *seen == Observation::ClientLeft) else { return };
        for entry in &self.entries {
            let Observation::AttemptBegan { server } = entry.observation else { continue };
            if may_have_been_stalled(plan, server, entry.at) {
                continue;
            }
            let late = entry.at.saturating_sub(left);
            if late > MAX_AFTER_LEAVING + TOLERANCE && !outages.any_within(self.dispatcher, left, entry.at) {
                let what =
                    format!("an attempt at server {server} began {} ms after the client left", late / MS);
                violations.push(self.violation(Rule::SentAfterClientLeft, entry.at, what));
            }
        }
    }

    /// Checks that held state is released in time while no attempt is in flight ([`Rule::Held`]).
    fn check_held_states(&self, excuses: &Excuses, limits: &Limits, violations: &mut Vec<Violation>) {
        let mut in_flight: usize = 0;
        let mut is_held = false;
        // Since when state has been held with no attempt in flight.
        let mut idle_since: Option<Micros> = None;
        for entry in &self.entries {
            violations.extend(self.held_too_long(idle_since, entry.at, excuses, limits));
            match entry.observation {
                Observation::ReadEnded { .. } => is_held = true,
                Observation::WriteBegan { .. } | Observation::ReleaseReceived => is_held = false,
                Observation::AttemptArrived { .. } => in_flight += 1,
                Observation::AttemptEnded { .. } => in_flight = in_flight.saturating_sub(1),
                _ => continue,
            }
            let is_idle = is_held && in_flight == 0;
            idle_since = if is_idle { idle_since.or(Some(entry.at)) } else { None };
        }
        violations.extend(self.held_too_long(idle_since, Micros::MAX / 2, excuses, limits));
    }

    /// The violation if state that has been held without an attempt in flight since `idle_since` is overdue at `now`.
    fn held_too_long(
        &self,
        idle_since: Option<Micros>,
        now: Micros,
        excuses: &Excuses,
        limits: &Limits,
    ) -> Option<Violation> {
        let Excuses { outages, kills, .. } = excuses;
        let since = idle_since?;
        let due = since + limits.release_within + MAX_HELD_BEYOND_SETTING + TOLERANCE;
        if now <= due
            || outages.any_within(self.dispatcher, since, now)
            || kills.any_within(self.dispatcher, since, due)
        {
            return None;
        }
        let what = format!("a state was held for {} ms with no attempt in flight", (now - since) / MS);
        Some(self.violation(Rule::Held, due, what))
    }

    /// Checks that servers are not told a longer remaining time than there is ([`Rule::DeadlineTold`]).
    fn check_deadlines(&self, plan: &Plan, outages: &PlannedOutages, violations: &mut Vec<Violation>) {
        for entry in &self.entries {
            let Observation::AttemptArrived { server, remaining: Some(told_remaining), .. } =
                entry.observation
            else {
                continue;
            };
            if may_have_been_stalled(plan, server, entry.at) {
                continue;
            }
            let left = self.deadline.saturating_sub(entry.at);
            let is_excessive = told_remaining > left + MAX_EXCESS_REMAINING + TOLERANCE;
            if is_excessive && !outages.any_within(self.dispatcher, self.asked_at, entry.at) {
                let what =
                    format!("server {server} was told {} ms with {} ms left", told_remaining / MS, left / MS);
                violations.push(self.violation(Rule::DeadlineTold, entry.at, what));
            }
        }
    }

    /// Checks that events reach the client in time, and that a stream that its server completed is not cut
    /// ([`Rule::Stream`]).
    fn check_stream(&self, plan: &Plan, excuses: &Excuses, violations: &mut Vec<Violation>) {
        let Excuses { outages, kills, .. } = excuses;
        let ended_at = self.entries.last().map_or(self.asked_at, |entry| entry.at);
        if outages.any_within(self.dispatcher, self.asked_at, ended_at) {
            return;
        }
        if !is_clock_held(plan) && !self.is_read_slowly(plan) {
            if let Some(late) = self.late_event() {
                violations.push(late);
                return;
            }
        }
        let completed = self.first(|seen| matches!(seen, Observation::StreamEnded { .. }));
        let cut = self.first(|seen| *seen == Observation::ExchangeEnded(ClientOutcome::Cut));
        if let (Some(completed_at), Some(at)) = (completed, cut) {
            if kills.overtook_end(self.dispatcher, self.asked_at, completed_at, at) {
                return;
            }
            let what = "the server completed the stream, but it was cut on its way to the client";
            violations.push(self.violation(Rule::Stream, at, what));
        }
    }

    /// Whether the client may have read its answer slowly, by the plan: then it finds events late that came in time.
    pub(super) fn is_read_slowly(&self, plan: &Plan) -> bool {
        plan.has(
            self.asked_at / MS,
            |kind| matches!(kind, FaultKind::SlowReaders { dispatcher } if *dispatcher == self.dispatcher),
        )
    }

    /// The violation for the first event that reached the client late.
    fn late_event(&self) -> Option<Violation> {
        for event in 0..EVENTS {
            let written_at = self.last(|seen| *seen == Observation::EventWritten(event));
            let received_at = self.last(|seen| *seen == Observation::EventReceived(event));
            let (Some(written_at), Some(received_at)) = (written_at, received_at) else { continue };
            let late = received_at.saturating_sub(written_at);
            if late > MAX_EVENT_DELAY + TOLERANCE {
                let what = format!("event {event} came {} ms late", late / MS);
                return Some(self.violation(Rule::Stream, received_at, what));
            }
        }
        None
    }

    /// Checks that no attempt begins at a server long after its drain was reported ([`Rule::SentToDraining`]).
    fn check_draining(
        &self,
        plan: &Plan,
        outages: &PlannedOutages,
        limits: &Limits,
        violations: &mut Vec<Violation>,
    ) {
        for entry in &self.entries {
            let Observation::AttemptBegan { server } = entry.observation else { continue };
            if may_have_been_stalled(plan, server, entry.at) {
                continue;
            }
            let Some(drained) = drain_start(plan, server) else { continue };
            let reported = self.drain_reported_at(plan, drained, entry.at);
            let due = reported + limits.stop_sending + TOLERANCE;
            if entry.at > due && !outages.any_within(self.dispatcher, reported, entry.at) {
                let late_ms = (entry.at - reported) / MS;
                let what = format!("sent to server {server} {late_ms} ms after its drain was reported");
                violations.push(self.violation(Rule::SentToDraining, entry.at, what));
            }
        }
    }

    /// When a drain counts as reported to this dispatcher. An agent that is down reports nothing, and a process that
    /// starts meanwhile can't know of the drain; so the report counts from the end of the last agent outage that began
    /// before now and ended after the drain.
    fn drain_reported_at(&self, plan: &Plan, drained: Micros, now: Micros) -> Micros {
        let mut reported = drained;
        for fault in plan.faults.iter().filter(|fault| fault.kind.dispatcher() == Some(self.dispatcher)) {
            let (from, to) = (fault.from_ms * MS, fault.to_ms * MS);
            match fault.kind {
                FaultKind::AgentDown { .. } if from <= now && to > drained => reported = reported.max(to),
                FaultKind::WatchSilent { .. } => {
                    let detected = from + SILENT_WATCH_TIMEOUT;
                    if (from..detected).contains(&drained) {
                        reported = reported.max(detected);
                    }
                }
                _ => {}
            }
        }
        reported
    }
}

/// Whether what a server reads at a time may have been sent while its process was stalled: then the time of the read
/// says nothing about the time of the send.
fn may_have_been_stalled(plan: &Plan, server: usize, at: Micros) -> bool {
    plan.faults.iter().any(|fault| {
        let is_of_server = matches!(fault.kind, FaultKind::StandStill { server: target } if target == server);
        is_of_server && (fault.from_ms * MS..fault.to_ms * MS + CATCH_UP_TIME).contains(&at)
    })
}

/// When a server begins to drain; `None` if it never does.
fn drain_start(plan: &Plan, server: usize) -> Option<Micros> {
    let drains = plan
        .faults
        .iter()
        .filter(|fault| matches!(fault.kind, FaultKind::Drain { server: draining } if draining == server));
    drains.map(|fault| fault.from_ms * MS).min()
}

/// Whether the plan holds back the monotonic clock of any process: then events may be relayed late.
fn is_clock_held(plan: &Plan) -> bool {
    plan.faults.iter().any(|fault| match &fault.kind {
        FaultKind::Shim { rule, .. } | FaultKind::ShimLater { rule, .. } => rule.starts_with("monotonic"),
        _ => false,
    })
}
