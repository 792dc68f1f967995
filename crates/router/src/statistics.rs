//! Decaying averages and rates, order statistics, and hashing of random draws. Plain arithmetic without tuned
//! values or decisions. Times are in microseconds, rates in units per second.

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// An exponentially weighted average that drifts back to a baseline while no samples come in.
///
/// Invariant: samples are added in the order of their times. The caller passes the same baseline and
/// half-life in every call for one average.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingAverage {
    /// The average after the last sample, and the time of that sample; `None` before the first one.
    #[serde(rename = "known")]
    pub(crate) last: Option<(f64, Micros)>,
}

impl DecayingAverage {
    /// Converts the average to a clock that is `ahead_us` ahead.
    pub(crate) fn shift_clock(&mut self, ahead_us: i64) {
        self.last = self.last.map(|(average, at)| (average, at.saturating_add_signed(ahead_us)));
    }

    /// The average at `now`, after its drift towards the baseline.
    pub(crate) fn value_at(&self, now: Micros, baseline: f64, half_life_us: f64) -> f64 {
        let Some((average, _)) = self.last else { return baseline };
        baseline + (average - baseline) * libm::exp2(-self.age_us(now) / half_life_us)
    }

    /// Time since the last sample; infinite before the first one.
    pub(crate) fn age_us(&self, now: Micros) -> f64 {
        self.last.map_or(f64::INFINITY, |(_, at)| (now - at) as f64)
    }

    /// Adds a sample with a fixed weight.
    pub(crate) fn add(&mut self, sample: f64, now: Micros, baseline: f64, half_life_us: f64, weight: f64) {
        let before = self.value_at(now, baseline, half_life_us);
        self.last = Some((before + weight * (sample - before), now));
    }

    /// Adds a sample of a quantity whose baseline is 0. The weight of the sample grows with the time since
    /// the last one, from `min_weight` up.
    pub(crate) fn add_weighted_by_age(
        &mut self,
        sample: f64,
        now: Micros,
        half_life_us: f64,
        min_weight: f64,
    ) {
        let weight = 1.0 - (1.0 - min_weight) * libm::exp2(-self.age_us(now) / half_life_us);
        self.add(sample, now, 0.0, half_life_us, weight);
    }
}

/// A rate of events that decays exponentially, in units per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    /// The rate as of `updated_at`.
    #[serde(rename = "value")]
    per_second: f64,
    #[serde(rename = "at")]
    updated_at: Micros,
    /// Since when events are counted: a given time, or else that of the first event; `None` before it.
    #[serde(rename = "since")]
    started_at: Option<Micros>,
}

impl DecayingRate {
    /// Converts the rate to a clock that is `ahead_us` ahead.
    pub(crate) fn shift_clock(&mut self, ahead_us: i64) {
        self.updated_at = self.updated_at.saturating_add_signed(ahead_us);
        self.started_at = self.started_at.map(|since| since.saturating_add_signed(ahead_us));
    }

    /// A rate of events that are counted from `now` on. Without that, the first event would count as the rate of
    /// a very short time.
    pub(crate) fn observed_since(now: Micros) -> Self {
        Self { per_second: 0.0, updated_at: now, started_at: Some(now) }
    }

    /// Whether nothing has been added yet.
    pub(crate) fn is_new(&self) -> bool {
        self.per_second <= 0.0
    }

    /// Whether this rate can be the result of additions up to `now`; a deserialized one need not be.
    pub(crate) fn is_plausible(&self, now: Micros) -> bool {
        self.per_second.is_finite()
            && self.per_second >= 0.0
            && self.updated_at <= now
            && self.started_at.is_none_or(|at| at <= now)
    }

    /// The rate at `now`.
    pub(crate) fn value_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        self.per_second * libm::exp(-((now - self.updated_at) as f64) / time_constant_us)
    }

    /// The rate of a series that is younger than the time constant: scaled up for its age, by a factor of at
    /// most ten.
    pub(crate) fn age_corrected_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        let age = self.started_at.map_or(0.0, |since| (now - since) as f64);
        self.value_at(now, time_constant_us) / Self::reached_share(libm::exp(-age / time_constant_us))
    }

    /// The share of its steady level that a rate has reached if the share `missing` is still to come; at
    /// least a tenth.
    pub(crate) fn reached_share(missing: f64) -> f64 {
        (1.0 - missing).max(0.1)
    }

    /// The rate and the missing share of its steady level, projected to `epoch`. Both decay with the same
    /// time constant.
    pub(crate) fn projected_to(&self, epoch: Micros, time_constant_us: f64) -> (f64, f64) {
        let decay = |moment: Micros| libm::exp((moment as f64 - epoch as f64) / time_constant_us);
        let Some(since) = self.started_at else { return (0.0, 0.0) };
        (self.per_second * decay(self.updated_at), decay(since))
    }

    /// Number of units within one time constant at the rate at `now`.
    pub(crate) fn count_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        self.value_at(now, time_constant_us) * time_constant_us / 1e6
    }

    /// Counts `amount` units at `now`.
    pub(crate) fn add(&mut self, amount: f64, now: Micros, time_constant_us: f64) {
        self.per_second = self.value_at(now, time_constant_us) + amount * 1e6 / time_constant_us;
        self.updated_at = now;
        self.started_at = self.started_at.or(Some(now));
    }
}

/// The ratio of an amount to its mean, shrunk towards 1 if both are small against a prior amount.
pub(crate) fn shrunk_ratio(amount: f64, mean: f64, prior: f64) -> f64 {
    (prior + amount) / (prior + mean).max(1.0)
}

/// The share of a Poisson-distributed count that remains one standard deviation below it.
pub(crate) fn lower_bound_share(count: f64) -> f64 {
    (1.0 - count.max(1.0).sqrt().recip()).powi(2)
}

/// Whether the lower median of `total` values is above a limit that `above` of them exceed.
pub(crate) fn median_exceeds(above: usize, total: usize) -> bool {
    total > 0 && above >= total - (total - 1) / 2
}

/// The lower median; `None` without values.
pub(crate) fn lower_median(values: Vec<f64>) -> Option<f64> {
    quantile(values, 0.5)
}

/// The quantile of the values at `share`, rounded down to a value; `None` without values.
pub(crate) fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len().saturating_sub(1) as f64 * share) as usize).copied()
}

/// A multiset of values in ascending order. Insertion and removal take linear time, which suits a few
/// thousand values.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SortedValues(Vec<f64>);

impl SortedValues {
    fn position(&self, value: f64) -> usize {
        self.0.partition_point(|other| other.total_cmp(&value).is_lt())
    }

    pub(crate) fn insert(&mut self, value: f64) {
        self.0.insert(self.position(value), value);
    }

    /// Removes one occurrence of a value; does nothing if the value is not there.
    pub(crate) fn remove(&mut self, value: f64) {
        let position = self.position(value);
        if self.0.get(position).is_some_and(|other| other.total_cmp(&value).is_eq()) {
            self.0.remove(position);
        }
    }

    /// The lower median; `None` without values.
    pub(crate) fn lower_median(&self) -> Option<f64> {
        self.0.get(self.0.len().saturating_sub(1) / 2).copied()
    }
}

/// A fixed 64-bit mixer (the finaliser of SplitMix64). Every dispatcher computes the same result.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a random 64-bit draw to (0, 1].
pub(crate) fn unit_interval(draw: u64) -> f64 {
    (draw as f64 + 1.0) / u64::MAX as f64
}
