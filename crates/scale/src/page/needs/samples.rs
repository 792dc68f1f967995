//! Picks the samples that were taken at the [target] size, and fits lines through others.

use crate::results::{
    DataPathSample, Decider, DecisionSample, GossipSample, ListChange, ListSample, MembershipEvent,
    MembershipSample, Results, RunEvent, RunSample,
};
use crate::target;

/// Share of the servers that is assumed to be in slow start on an ordinary day (percent).
pub(super) const SLOW_START_PERCENT: u32 = 10;

pub(super) fn decisions(results: &Results, decider: Decider) -> Option<&DecisionSample> {
    let samples = &results.decisions.as_ref()?.samples;
    samples.iter().find(|sample| {
        sample.decider == decider
            && f64::from(sample.servers) == target::REPLICAS
            && sample.slow_start_percent == SLOW_START_PERCENT
    })
}

pub(super) fn gossip(results: &Results) -> Option<&GossipSample> {
    let samples = &results.gossip.as_ref()?.samples;
    samples.iter().find(|sample| f64::from(sample.dispatchers) == target::DISPATCHERS)
}

pub(super) fn list(results: &Results, told: ListChange) -> Option<&ListSample> {
    let samples = &results.list.as_ref()?.samples;
    samples.iter().find(|sample| sample.told == told && f64::from(sample.servers) == target::REPLICAS)
}

pub(super) fn membership(results: &Results) -> Option<&MembershipSample> {
    let samples = &results.membership.as_ref()?.samples;
    samples.iter().find(|sample| {
        sample.event == MembershipEvent::Death && f64::from(sample.members) == target::DISPATCHERS
    })
}

pub(super) fn run(results: &Results) -> Option<&RunSample> {
    let samples = &results.run.as_ref()?.samples;
    samples.iter().find(|sample| {
        f64::from(sample.servers) == target::REPLICAS
            && f64::from(sample.dispatchers) == target::DISPATCHERS
            && sample.event == RunEvent::None
    })
}

pub(super) fn last_data_path(results: &Results) -> Option<&DataPathSample> {
    results.data_path.as_ref()?.samples.last()
}

/// The line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line {
    pub(super) intercept: f64,
    pub(super) slope: f64,
}

impl Line {
    /// Fits a line through points (x, y) by least squares; `None` unless there are two different values of x.
    pub(super) fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || variance <= 0.0 {
            return None;
        }
        Some(Self { intercept: mean_y - covariance / variance * mean_x, slope: covariance / variance })
    }

    pub(super) fn value_at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
