//! Checks what servers in slow start got: in no window may more work arrive than the settings promise that a server
//! takes. Judged by the least of these promises.

use std::collections::BTreeMap;

use super::{Rule, Violation, MS};
use crate::event_log::{Class, LogEntry, Micros, Observation};
use crate::plan::{prompt_tokens, work, Plan, ServerStart, SlowStart};

/// The rule is broken if more than this share of the work came from dispatchers that had been told of the start.
const MIN_TOLD_SHARE: f64 = 2.0 / 3.0;

/// An attempt that arrived at a server.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    /// In requests of mean work.
    work: f64,
}

/// What servers in slow start got in a run, in requests of mean work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartUse {
    /// Work that arrived.
    pub arrived: f64,
    /// Work that may have arrived, without the part of the limits that is for chance.
    pub allowed: f64,
    /// The busiest window, as a share of its limit.
    pub busiest: f64,
}

/// Violations of the rule on slow start in a run.
pub(super) fn check(plan: &Plan, entries: &[LogEntry]) -> Vec<Violation> {
    let Some(slow_start) = plan.slow_start else { return Vec::new() };
    let arrivals = arrivals(entries);
    let phases = phases(plan, slow_start);
    phases
        .iter()
        .filter_map(|phase| phase.first_violation(slow_start, arrivals.get(&phase.start.server)?))
        .collect()
}

/// What servers in slow start got; `None` in a plan without slow start.
#[must_use]
pub fn slow_start_use(plan: &Plan, entries: &[LogEntry]) -> Option<SlowStartUse> {
    let slow_start = plan.slow_start?;
    let arrivals = arrivals(entries);
    let mut total = SlowStartUse::default();
    for phase in phases(plan, slow_start) {
        let server = phase.start.server;
        let capacity = slow_start.capacity * slow_start.size(server) * slow_start.min_share;
        let seconds = (phase.until - phase.start.at_ms * MS) as f64 / 1e6;
        total.allowed += slow_start.overload_multiple * capacity * seconds;
        let arrived = phase.arrived(arrivals.get(&server).map_or(&[], Vec::as_slice));
        total.arrived += arrived.iter().map(|arrival| arrival.work).sum::<f64>();
        let limit = slow_start.overload_limit(server);
        for window in windows(arrived, slow_start.window_ms * MS) {
            total.busiest = total.busiest.max(total_work(window) / limit);
        }
    }
    Some(total)
}

/// The time from a start of a server until it is warm or starts again.
struct Phase {
    start: ServerStart,
    until: Micros,
}

fn phases(plan: &Plan, slow_start: SlowStart) -> Vec<Phase> {
    let starts = plan.server_starts();
    let phase = |(at, start): (usize, &ServerStart)| {
        let next = starts[at + 1..].iter().find(|next| next.server == start.server);
        let warm_at_ms = start.at_ms + slow_start.warm_after_ms;
        let until_ms = next.map_or(warm_at_ms, |next| next.at_ms.min(warm_at_ms)).min(plan.length_ms);
        Phase { start: *start, until: until_ms.max(start.at_ms) * MS }
    };
    starts.iter().enumerate().map(phase).collect()
}

impl Phase {
    /// The arrivals in this phase.
    fn arrived<'a>(&self, arrivals: &'a [Arrival]) -> &'a [Arrival] {
        let first = arrivals.partition_point(|arrival| arrival.at < self.start.at_ms * MS);
        let end = arrivals.partition_point(|arrival| arrival.at < self.until);
        &arrivals[first..end.max(first)]
    }

    fn first_violation(&self, slow_start: SlowStart, arrivals: &[Arrival]) -> Option<Violation> {
        let server = self.start.server;
        let limit = slow_start.overload_limit(server);
        let told_at = self.start.listed_at_ms * MS;
        let is_broken = |window: &&[Arrival]| {
            let told: f64 =
                window.iter().filter(|arrival| arrival.at >= told_at).map(|arrival| arrival.work).sum();
            total_work(window) > limit && told > MIN_TOLD_SHARE * total_work(window)
        };
        let window = windows(self.arrived(arrivals), slow_start.window_ms * MS).find(is_broken)?;
        let at = window[window.len() - 1].at;
        let (sent, after_ms) = (total_work(window), at / MS - self.start.at_ms);
        let what = format!(
            "server {server} got {sent:.1} requests of mean work in {} ms, {after_ms} ms after its start; limit {limit:.1}",
            slow_start.window_ms
        );
        Some(Violation { rule: Rule::SlowStart, at, id: 0, what })
    }
}

/// The arrivals in each window that ends with an arrival, in order.
fn windows(arrivals: &[Arrival], length: Micros) -> impl Iterator<Item = &[Arrival]> {
    (0..arrivals.len()).map(move |last| {
        let first = arrivals.partition_point(|arrival| arrival.at + length <= arrivals[last].at);
        &arrivals[first..=last]
    })
}

fn total_work(arrivals: &[Arrival]) -> f64 {
    arrivals.iter().map(|arrival| arrival.work).sum()
}

/// The attempts that arrived at each server, turned away or not, ordered by time.
fn arrivals(entries: &[LogEntry]) -> BTreeMap<usize, Vec<Arrival>> {
    let classes: BTreeMap<u64, Class> = entries
        .iter()
        .filter_map(|entry| match entry.observation {
            Observation::RequestSent { class, .. } => Some((entry.id, class)),
            _ => None,
        })
        .collect();
    let mut arrivals: BTreeMap<usize, Vec<Arrival>> = BTreeMap::new();
    for entry in entries {
        let Observation::AttemptArrived { server, .. } = entry.observation else { continue };
        let work = classes.get(&entry.id).map_or(1.0, |class| work(prompt_tokens(*class)));
        arrivals.entry(server).or_default().push(Arrival { at: entry.at, work });
    }
    arrivals
}
