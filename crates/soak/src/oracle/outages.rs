//! Planned outages: times in which a dispatcher could not keep the rules, because the plan killed or paused its process
//! or made its accepts fail.

use std::collections::{BTreeMap, BTreeSet};

use super::{MS, TOLERANCE};
use crate::event_log::{LogEntry, Micros, Observation};
use crate::plan::Plan;

/// Time after an outage for which the dispatcher is still excused.
const RECOVERY: Micros = 500 * MS;

/// A span of time, in microseconds since the start of the run.
#[derive(Clone, Copy)]
struct Span {
    from: Micros,
    to: Micros,
}

/// The planned outages of all dispatchers.
pub(super) struct PlannedOutages {
    by_dispatcher: BTreeMap<usize, Vec<Span>>,
    /// Times in which all accepts of a dispatcher's process fail, by dispatcher.
    accept_failures: BTreeMap<usize, Vec<Span>>,
}

impl PlannedOutages {
    /// Collects the outages in the log, and the failing accepts by the plan's shim rules and the logged starts.
    pub(super) fn new(plan: &Plan, entries: &[LogEntry]) -> Self {
        let mut by_dispatcher: BTreeMap<usize, Vec<Span>> = BTreeMap::new();
        let mut accept_failures: BTreeMap<usize, Vec<Span>> = BTreeMap::new();
        let mut dispatchers_seen = BTreeSet::new();
        for entry in entries {
            match entry.observation {
                Observation::PlannedOutage { dispatcher, until, .. } => {
                    by_dispatcher.entry(dispatcher).or_default().push(Span { from: entry.at, to: until });
                }
                Observation::Started { dispatcher } => {
                    let rules = plan.shim_rules(dispatcher, dispatchers_seen.insert(dispatcher));
                    let spans = rules.split(';').filter_map(|rule| failing_accepts(rule, entry.at));
                    accept_failures.entry(dispatcher).or_default().extend(spans);
                }
                _ => {}
            }
        }
        Self { by_dispatcher, accept_failures }
    }

    /// The earliest time at which a connection that is opened at `at` can be accepted, and so answered. One that is opened
    /// just before accepts fail may still be in the queue then.
    pub(super) fn accept_possible_at(&self, dispatcher: usize, at: Micros) -> Micros {
        let spans = self.accept_failures.get(&dispatcher).into_iter().flatten();
        let failing = spans.filter(|span| (span.from.saturating_sub(TOLERANCE)..span.to).contains(&at));
        failing.map(|span| span.to).max().unwrap_or(at)
    }

    /// Whether an outage, or the recovery time after one, overlaps a span.
    pub(super) fn any_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        let mut outages = self.by_dispatcher.get(&dispatcher).into_iter().flatten();
        outages.any(|outage| outage.from <= to && outage.to + RECOVERY >= from)
    }
}

/// The span in which a rule of the fault shim makes all accepts fail (rate 1000 per mille); `None` for any other rule.
/// The rule's times are in milliseconds since the process was started.
fn failing_accepts(rule: &str, started_at: Micros) -> Option<Span> {
    let (_, times) = rule.strip_prefix("accept:")?.split_once('@')?;
    let (from, to) = times.strip_suffix("%1000")?.split_once('-')?;
    let since_start = |text: &str| Some(started_at + text.parse::<u64>().ok()? * MS);
    Some(Span { from: since_start(from)?, to: since_start(to)? })
}
