//! Processes that were killed in their shutdown, at the earliest time at which the platform may do so, and what that
//! excuses: less than an unplanned kill.

use std::collections::BTreeMap;

use super::MS;
use crate::event_log::{LogEntry, Micros, Observation};

/// A request that comes later than this after the process was told to end is lost where the kill finds it unanswered.
const GRACE_PERIOD: Micros = 700 * MS;
/// Connections that the kill ends are seen to end within this.
const SEEN_WITHIN: Micros = 200 * MS;

/// A shutdown that ended in a kill.
#[derive(Clone, Copy)]
struct Kill {
    signaled_at: Micros,
    at: Micros,
}

/// By dispatcher.
pub(super) struct PlannedKills(BTreeMap<usize, Vec<Kill>>);

impl PlannedKills {
    /// The kills that a log has.
    pub(super) fn new(entries: &[LogEntry]) -> Self {
        let mut kills: BTreeMap<usize, Vec<Kill>> = BTreeMap::new();
        for entry in entries {
            if let Observation::KilledAtEnd { dispatcher, signaled_at } = entry.observation {
                kills.entry(dispatcher).or_default().push(Kill { signaled_at, at: entry.at });
            }
        }
        Self(kills)
    }

    /// Whether a request that was sent at a time, and ended or would have to end by another, may have been ended by a kill
    /// that excuses it: it came in time for the kill to find it under way.
    pub(super) fn excuse(&self, dispatcher: usize, asked_at: Micros, over: Micros) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| {
            asked_at <= kill.signaled_at + GRACE_PERIOD
                && asked_at <= kill.at
                && over + SEEN_WITHIN >= kill.at
        })
    }

    /// Whether a kill falls into a span: what a process held that is no more is freed by itself.
    pub(super) fn any_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        let mut kills = self.0.get(&dispatcher).into_iter().flatten();
        kills.any(|kill| (from..=to).contains(&kill.at))
    }
}
