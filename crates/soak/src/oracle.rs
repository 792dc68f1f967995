//! The oracle: checks a play against the rules, by its event log alone.

mod outages;
mod planned_kills;
mod request;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::event_log::{ClientOutcome, LogEntry, Micros, Observation};
use crate::plan::Plan;
use outages::PlannedOutages;
use planned_kills::PlannedKills;
use request::RequestHistory;

const MS: Micros = 1_000;
/// Every time limit is this much longer on sockets (the protocol page), with as much again for the log's own lag.
const TOLERANCE: Micros = 100 * MS;

/// What the settings of a play say.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// New work to a server ends so long after its drain was reported.
    pub stop_sending: Micros,
    /// What is held is released within this.
    pub release_within: Micros,
    /// Servers know a repeat of a `note` for so long.
    pub deduplication_window: Micros,
}

/// The limits of a play's settings.
pub const LIMITS: Limits =
    Limits { stop_sending: 1_000 * MS, release_within: 500 * MS, deduplication_window: 400 * MS };

/// A rule of the platform. Its name is printed with each violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request that was read got no final answer within its time.
    Dropped,
    /// A request ran more often than its class allows.
    RunTwice,
    /// Work went to a server after its drain.
    SentToDraining,
    /// An attempt began after its client had left.
    SentAfterClientLeft,
    /// A state was held for too long with no attempt in flight for it.
    Held,
    /// A server was told of more time than is left.
    DeadlineTold,
    /// An event came late, or a stream that its server ended did not come to its end.
    Stream,
    /// A client that stopped in the middle of a request got neither an error nor a close in time.
    HalfRequest,
    /// A process was not ready in time.
    NotReady,
    /// A process ended by itself, or did not end when told.
    Exit,
    /// A process held more after the play than before.
    Leak,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::Dropped,
        Self::RunTwice,
        Self::SentToDraining,
        Self::SentAfterClientLeft,
        Self::Held,
        Self::DeadlineTold,
        Self::Stream,
        Self::HalfRequest,
        Self::NotReady,
        Self::Exit,
        Self::Leak,
    ];
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, since the start of the play.
    pub at: Micros,
    /// The request; 0 for none.
    pub id: u64,
    /// What was seen.
    pub what: String,
}

/// How often something was seen in a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests of clients.
    pub asked: usize,
    /// Of these, served.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Attempts that arrived at servers.
    pub attempts: usize,
}

/// Counts what became of the requests of a play.
#[must_use]
pub fn counts(entries: &[LogEntry]) -> Counts {
    let mut counts = Counts::default();
    for entry in entries {
        match entry.observation {
            Observation::Asked { .. } => counts.asked += 1,
            Observation::Ended(ClientOutcome::Served) => counts.served += 1,
            Observation::Ended(ClientOutcome::Refused) => counts.refused += 1,
            Observation::Ended(ClientOutcome::Failed) => counts.failed += 1,
            Observation::AttemptArrived { .. } => counts.attempts += 1,
            _ => {}
        }
    }
    counts
}

/// All violations of a play, by time.
#[must_use]
pub fn check(plan: &Plan, entries: &[LogEntry], limits: &Limits) -> Vec<Violation> {
    let outages = PlannedOutages::new(plan, entries);
    let kills = PlannedKills::new(entries);
    let mut by_request: BTreeMap<u64, Vec<&LogEntry>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.id != 0) {
        by_request.entry(entry.id).or_default().push(entry);
    }
    let mut violations = Vec::new();
    for (id, entries) in by_request {
        if let Some(history) = RequestHistory::new(id, entries) {
            history.check(plan, &Excuses { outages: &outages, kills: &kills }, limits, &mut violations);
        }
    }
    violations.extend(entries.iter().filter_map(|entry| check_process(entry, &outages)));
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Times in which a dispatcher could not keep the rules, as the plan has it.
struct Excuses<'a> {
    outages: &'a PlannedOutages,
    kills: &'a PlannedKills,
}

/// The violation that an observation about a process, or about no request, is by itself.
fn check_process(entry: &LogEntry, outages: &PlannedOutages) -> Option<Violation> {
    let (rule, dispatcher, what) = match &entry.observation {
        Observation::BadExit { dispatcher, what } if what.starts_with("not ready") => {
            (Rule::NotReady, dispatcher, what.as_str())
        }
        Observation::BadExit { dispatcher, what } => (Rule::Exit, dispatcher, what.as_str()),
        Observation::Leak { dispatcher, what } => (Rule::Leak, dispatcher, what.as_str()),
        Observation::HalfRequestIgnored { dispatcher, began } => {
            let is_accepted_late = outages.accepted_from(*dispatcher, *began) > *began;
            if is_accepted_late || outages.any_within(*dispatcher, *began, entry.at) {
                return None;
            }
            (Rule::HalfRequest, dispatcher, "a request that stopped in its middle is not ended")
        }
        _ => return None,
    };
    Some(Violation { rule, at: entry.at, id: 0, what: format!("dispatcher {dispatcher}: {what}") })
}
