//! Times in which a dispatcher could not keep the rules, as the plan has it.

use std::collections::{BTreeMap, BTreeSet};

use super::MS;
use crate::event_log::{LogEntry, Micros, Observation};
use crate::plan::Plan;

/// A dispatcher that was held up by the plan is excused for so long after.
const RECOVERY: Micros = 500 * MS;

/// A span of time.
#[derive(Clone, Copy)]
struct Span {
    from: Micros,
    to: Micros,
}

/// Times in which a dispatcher was killed or paused, or could accept no connections, as planned.
pub(super) struct PlannedOutages {
    by_dispatcher: BTreeMap<usize, Vec<Span>>,
    /// Times in which all accepts of a dispatcher's process fail.
    without_accepts: BTreeMap<usize, Vec<Span>>,
}

impl PlannedOutages {
    /// The outages that a log has, with what the plan says of accepts.
    pub(super) fn new(plan: &Plan, entries: &[LogEntry]) -> Self {
        let mut by_dispatcher: BTreeMap<usize, Vec<Span>> = BTreeMap::new();
        let mut without_accepts: BTreeMap<usize, Vec<Span>> = BTreeMap::new();
        let mut started = BTreeSet::new();
        for entry in entries {
            match entry.observation {
                Observation::Excused { dispatcher, until, .. } => {
                    by_dispatcher.entry(dispatcher).or_default().push(Span { from: entry.at, to: until });
                }
                Observation::Started { dispatcher } => {
                    let rules = plan.shim_rules(dispatcher, started.insert(dispatcher));
                    let spans = rules.split(';').filter_map(|rule| failing_accepts(rule, entry.at));
                    without_accepts.entry(dispatcher).or_default().extend(spans);
                }
                _ => {}
            }
        }
        Self { by_dispatcher, without_accepts }
    }

    /// When connections that are opened at a time can be accepted: no program answers before that.
    pub(super) fn accepted_from(&self, dispatcher: usize, at: Micros) -> Micros {
        let spans = self.without_accepts.get(&dispatcher).into_iter().flatten();
        let failing = spans.filter(|span| (span.from..span.to).contains(&at));
        failing.map(|span| span.to).max().unwrap_or(at)
    }

    /// Whether an outage, or the time to recover from one, overlaps a span.
    pub(super) fn any_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        let mut outages = self.by_dispatcher.get(&dispatcher).into_iter().flatten();
        outages.any(|outage| outage.from <= to && outage.to + RECOVERY >= from)
    }
}

/// The span in which all accepts fail by a rule of the fault shim, if it has them do so. The rule's times are in
/// milliseconds since the process was started.
fn failing_accepts(rule: &str, started_at: Micros) -> Option<Span> {
    let (_, times) = rule.strip_prefix("accept:")?.split_once('@')?;
    let (from, to) = times.strip_suffix("%1000")?.split_once('-')?;
    let since_start = |text: &str| Some(started_at + text.parse::<u64>().ok()? * MS);
    Some(Span { from: since_start(from)?, to: since_start(to)? })
}
