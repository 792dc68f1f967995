//! Kills of processes that were still shutting down at the earliest time at which the platform may kill them, and what
//! they excuse, which is less than what a kill without a shutdown excuses.

use std::collections::BTreeMap;

use super::{MS, TOLERANCE};
use crate::event_log::{LogEntry, Micros, Observation};

/// A request that arrives within this time after the process was told to end is excused if the kill finds it
/// unanswered. One that arrives later is not: it counts as dropped.
const GRACE_PERIOD: Micros = 700 * MS;
/// Time within which clients notice that the kill ended their connections.
const DETECTED_WITHIN: Micros = 200 * MS;

/// A shutdown that ended in a kill: when the process was told to end, and when it was killed.
#[derive(Clone, Copy)]
struct Kill {
    signaled_at: Micros,
    at: Micros,
}

/// The kills during shutdown, by dispatcher.
pub(super) struct PlannedKills(BTreeMap<usize, Vec<Kill>>);

impl PlannedKills {
    /// Collects the kills in the log.
    pub(super) fn new(entries: &[LogEntry]) -> Self {
        let mut kills: BTreeMap<usize, Vec<Kill>> = BTreeMap::new();
        for entry in entries {
            if let Observation::KilledInShutdown { dispatcher, signaled_at } = entry.observation {
                kills.entry(dispatcher).or_default().push(Kill { signaled_at, at: entry.at });
            }
        }
        Self(kills)
    }

    /// Whether a kill may have ended a request and excuses it: the request was sent at most [`GRACE_PERIOD`] after the
    /// process was told to end, and was still in flight at the kill. `over` is when it ended or had to end.
    pub(super) fn excuses_request(&self, dispatcher: usize, asked_at: Micros, ended_at: Micros) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| {
            asked_at <= kill.signaled_at + GRACE_PERIOD
                && asked_at <= kill.at
                && ended_at + DETECTED_WITHIN >= kill.at
        })
    }

    /// Whether a kill ended the connection, established at `connected_at`, of a request of which the last byte was written
    /// at `asked_at`, after the kill: the process never had the whole request.
    pub(super) fn preceded_request(&self, dispatcher: usize, connected_at: Micros, asked_at: Micros) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| (connected_at..asked_at).contains(&kill.at))
    }

    /// Whether a kill cut a stream at `cut_at` whose last chunk the server had written at `completed_at`, so shortly before
    /// the kill that it was still on its way, and whose request was sent in time for the kill to excuse it.
    pub(super) fn overtook_end(
        &self,
        dispatcher: usize,
        asked_at: Micros,
        completed_at: Micros,
        cut_at: Micros,
    ) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| {
            asked_at <= kill.signaled_at + GRACE_PERIOD
                && completed_at + TOLERANCE >= kill.at
                && cut_at.abs_diff(kill.at) <= DETECTED_WITHIN
        })
    }

    /// Whether a kill cut a stream that ended at `ended_at`, although its request was sent so late after the process was
    /// told to end that it had to be refused.
    pub(super) fn cut_late_stream(&self, dispatcher: usize, asked_at: Micros, ended_at: Micros) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| {
            asked_at > kill.signaled_at + GRACE_PERIOD + TOLERANCE
                && asked_at <= kill.at
                && ended_at.abs_diff(kill.at) <= DETECTED_WITHIN
        })
    }

    /// Whether a kill falls into a span. State held for a process that no longer exists is freed without a release.
    pub(super) fn any_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| (from..=to).contains(&kill.at))
    }
}
