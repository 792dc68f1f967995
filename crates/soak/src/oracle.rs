//! The oracle: checks a run against the rules, using only its plan and its event log.

mod bookings;
mod idle_crowds;
mod outages;
mod planned_kills;
mod request;
mod slow_start;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::event_log::{ClientOutcome, LogEntry, Micros, Observation};
use crate::plan::Plan;
use idle_crowds::IdleCrowds;
use outages::PlannedOutages;
use planned_kills::PlannedKills;
use request::RequestHistory;
pub use slow_start::{slow_start_use, SlowStartUse};

/// One millisecond.
const MS: Micros = 1_000;
/// Added to every time limit: the tolerance of 50 ms that the platform's protocol allows over sockets, and as much
/// again for the lag of the event log itself.
const TOLERANCE: Micros = 100 * MS;

/// Time limits from the dispatcher's settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after the report of a server's drain within which a dispatcher stops sending it new work.
    pub stop_sending: Micros,
    /// Time within which held state is released.
    pub release_within: Micros,
    /// Time for which servers recognize a repeat of a request of the deduplicated class (`note`).
    pub deduplication_window: Micros,
}

/// The limits that the harness writes into the dispatchers' settings.
pub const LIMITS: Limits =
    Limits { stop_sending: 1_000 * MS, release_within: 500 * MS, deduplication_window: 400 * MS };

/// The rules that dispatchers are checked against. The name of the rule is printed with each violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request that the dispatcher read received no final response within its time.
    Dropped,
    /// A request ran, or may have run, more often than its class allows.
    RunTwice,
    /// A client of the chat front was given the answer to another client's booking.
    ForeignAnswer,
    /// A server received new work too long after its drain was reported.
    SentToDraining,
    /// A server in slow start got more work than it takes.
    SlowStart,
    /// An attempt began too long after its client had disconnected.
    SentAfterClientLeft,
    /// A state was held for too long while its request had no attempt in flight.
    Held,
    /// A server was told a longer remaining time than the request had.
    DeadlineTold,
    /// An event reached the client late, or a stream that the server completed was cut on its way to the client.
    Stream,
    /// A stream that could not become whole stayed open for too long, or was ended as if it were whole.
    EndlessStream,
    /// The answer of a server that wrote it slowly was given up.
    AnswerCutShort,
    /// A request was refused where only others had no time left.
    RefusedIdle,
    /// A client that stopped in the middle of a request received neither an error nor a close in time.
    HalfRequest,
    /// A process was not ready in time ([`READY_TIMEOUT`](crate::process::READY_TIMEOUT)).
    NotReady,
    /// A process could not be started, ended by itself, or did not end properly when told to.
    Exit,
    /// A process held more resources after the run than allowed, or reported a violated invariant.
    Leak,
}

impl Rule {
    /// All rules.
    pub const ALL: [Self; 16] = [
        Self::Dropped,
        Self::RunTwice,
        Self::ForeignAnswer,
        Self::SentToDraining,
        Self::SlowStart,
        Self::SentAfterClientLeft,
        Self::Held,
        Self::DeadlineTold,
        Self::Stream,
        Self::EndlessStream,
        Self::AnswerCutShort,
        Self::RefusedIdle,
        Self::HalfRequest,
        Self::NotReady,
        Self::Exit,
        Self::Leak,
    ];
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation, since the start of the run.
    pub at: Micros,
    /// Id of the request; 0 if the violation is not about a request.
    pub id: u64,
    /// Description for the report.
    pub what: String,
}

/// Numbers of requests and attempts in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that clients sent.
    pub asked: usize,
    /// Requests that were served: status 200 and a complete stream.
    pub served: usize,
    /// Requests that were refused: status 429 or 503.
    pub refused: usize,
    /// Requests that failed with any other status.
    pub failed: usize,
    /// Attempts that arrived completely at servers.
    pub attempts: usize,
}

/// Counts the requests of a run by their outcome, and the attempts.
#[must_use]
pub fn counts(entries: &[LogEntry]) -> Counts {
    let mut counts = Counts::default();
    for entry in entries {
        match entry.observation {
            Observation::RequestSent { .. } => counts.asked += 1,
            Observation::ExchangeEnded(ClientOutcome::Served) => counts.served += 1,
            Observation::ExchangeEnded(ClientOutcome::Refused) => counts.refused += 1,
            Observation::ExchangeEnded(ClientOutcome::Failed) => counts.failed += 1,
            Observation::AttemptArrived { .. } => counts.attempts += 1,
            _ => {}
        }
    }
    counts
}

/// All violations in a run, ordered by time.
#[must_use]
pub fn check(plan: &Plan, entries: &[LogEntry], limits: &Limits) -> Vec<Violation> {
    let outages = PlannedOutages::new(plan, entries);
    let kills = PlannedKills::new(entries);
    let idle_crowds = IdleCrowds::new(entries);
    let mut by_request: BTreeMap<u64, Vec<&LogEntry>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.id != 0) {
        by_request.entry(entry.id).or_default().push(entry);
    }
    let excuses = Excuses { outages: &outages, kills: &kills, idle_crowds: &idle_crowds };
    let mut violations = Vec::new();
    for (id, entries) in by_request {
        if let Some(history) = RequestHistory::new(id, entries) {
            history.check(plan, &excuses, limits, &mut violations);
        }
    }
    violations.extend(slow_start::check(plan, entries));
    violations.extend(bookings::check(entries));
    violations.extend(entries.iter().filter_map(|entry| check_process(entry, &excuses)));
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Faults of the plan that excuse violations of some rules.
struct Excuses<'a> {
    outages: &'a PlannedOutages,
    kills: &'a PlannedKills,
    idle_crowds: &'a IdleCrowds,
}

/// The violation that follows from a single observation that is not about a request, if it is one.
fn check_process(entry: &LogEntry, excuses: &Excuses) -> Option<Violation> {
    let Excuses { outages, kills, .. } = excuses;
    let (rule, dispatcher, what) = match &entry.observation {
        Observation::BadExit { dispatcher, what } if what.starts_with("not ready") => {
            (Rule::NotReady, dispatcher, what.as_str())
        }
        Observation::BadExit { dispatcher, what } => (Rule::Exit, dispatcher, what.as_str()),
        Observation::Leak { dispatcher, what } => (Rule::Leak, dispatcher, what.as_str()),
        Observation::HalfRequestIgnored { dispatcher, began } => {
            let is_accepted_late = outages.accept_possible_at(*dispatcher, *began) > *began;
            if is_accepted_late || outages.any_within(*dispatcher, *began, entry.at) {
                return None;
            }
            (Rule::HalfRequest, dispatcher, "an incomplete request got neither an error nor a close")
        }
        Observation::NewConnectionLost { dispatcher, connected_at, was_reset } => {
            let is_excused = outages.any_within(*dispatcher, *connected_at, entry.at)
                || kills.excuses_request(*dispatcher, *connected_at, entry.at);
            if is_excused {
                return None;
            }
            let what = match was_reset {
                true => "a new connection was reset without an answer",
                false => "a new connection was closed without an answer",
            };
            (Rule::Dropped, dispatcher, what)
        }
        _ => return None,
    };
    Some(Violation { rule, at: entry.at, id: 0, what: format!("dispatcher {dispatcher}: {what}") })
}
