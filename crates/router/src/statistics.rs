//! Statistics that decay with time, order statistics and hashing of random draws. Plain arithmetic: nothing
//! here is tuned and nothing decides. Times are in microseconds, rates in units per second.

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// An exponentially weighted average that drifts back to a baseline while no samples come in.
///
/// Invariant: samples are taken in the order of their times. The baseline and the half-life are the caller's
/// and are the same in every call for one average.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingAverage {
    /// The average after the last sample, and when that sample came; `None` before the first one.
    #[serde(rename = "known")]
    pub(crate) last: Option<(f64, Micros)>,
}

impl DecayingAverage {
    /// The same average by a clock that is ahead by so much.
    pub(crate) fn shift_clock(&mut self, ahead_us: i64) {
        self.last = self.last.map(|(average, at)| (average, at.saturating_add_signed(ahead_us)));
    }

    /// The average as it stands now, drifted towards the baseline.
    pub(crate) fn value_at(&self, now: Micros, baseline: f64, half_life_us: f64) -> f64 {
        let Some((average, _)) = self.last else { return baseline };
        baseline + (average - baseline) * (-self.age_us(now) / half_life_us).exp2()
    }

    /// Time since the last sample; infinite before the first one.
    pub(crate) fn age_us(&self, now: Micros) -> f64 {
        self.last.map_or(f64::INFINITY, |(_, at)| (now - at) as f64)
    }

    /// Takes a sample with a fixed weight.
    pub(crate) fn add(&mut self, sample: f64, now: Micros, baseline: f64, half_life_us: f64, weight: f64) {
        let before = self.value_at(now, baseline, half_life_us);
        self.last = Some((before + weight * (sample - before), now));
    }

    /// Takes a sample of a quantity whose baseline is 0. The older the last sample, the more the new one
    /// weighs: at least `min_weight`.
    pub(crate) fn add_weighted_by_age(
        &mut self,
        sample: f64,
        now: Micros,
        half_life_us: f64,
        min_weight: f64,
    ) {
        let weight = 1.0 - (1.0 - min_weight) * (-self.age_us(now) / half_life_us).exp2();
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
    /// When the first event came; `None` before it.
    #[serde(rename = "since")]
    started_at: Option<Micros>,
}

impl DecayingRate {
    /// The same rate by a clock that is ahead by so much.
    pub(crate) fn shift_clock(&mut self, ahead_us: i64) {
        self.updated_at = self.updated_at.saturating_add_signed(ahead_us);
        self.started_at = self.started_at.map(|since| since.saturating_add_signed(ahead_us));
    }

    /// Whether nothing has been added yet.
    pub(crate) fn is_new(&self) -> bool {
        self.started_at.is_none()
    }

    /// Whether this can have come about by adding up to now: one that was read from elsewhere need not.
    pub(crate) fn is_plausible(&self, now: Micros) -> bool {
        self.per_second.is_finite()
            && self.per_second >= 0.0
            && self.updated_at <= now
            && self.started_at.is_none_or(|at| at <= now)
    }

    /// The rate as it stands now.
    pub(crate) fn value_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        self.per_second * (-((now - self.updated_at) as f64) / time_constant_us).exp()
    }

    /// The rate of a series that is younger than the time constant: scaled up for its age, ten times at most.
    pub(crate) fn age_corrected_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        let age = self.started_at.map_or(0.0, |since| (now - since) as f64);
        self.value_at(now, time_constant_us) / Self::reached_share((-age / time_constant_us).exp())
    }

    /// The share of its full height that a rate has reached, where `missing` of it is still to come; a tenth
    /// at least.
    pub(crate) fn reached_share(missing: f64) -> f64 {
        (1.0 - missing).max(0.1)
    }

    /// The rate and the share that is missing of its full height, as they would stand at `epoch`: both decay
    /// alike.
    pub(crate) fn projected_to(&self, epoch: Micros, time_constant_us: f64) -> (f64, f64) {
        let decay = |moment: Micros| ((moment as f64 - epoch as f64) / time_constant_us).exp();
        let Some(since) = self.started_at else { return (0.0, 0.0) };
        (self.per_second * decay(self.updated_at), decay(since))
    }

    /// How many units the rate makes within one time constant.
    pub(crate) fn count_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        self.value_at(now, time_constant_us) * time_constant_us / 1e6
    }

    /// Counts so many units now.
    pub(crate) fn add(&mut self, amount: f64, now: Micros, time_constant_us: f64) {
        self.per_second = self.value_at(now, time_constant_us) + amount * 1e6 / time_constant_us;
        self.updated_at = now;
        self.started_at = self.started_at.or(Some(now));
    }
}

/// An amount over its mean, shrunk towards 1 where both are small against a prior amount.
pub(crate) fn shrunk_ratio(amount: f64, mean: f64, prior: f64) -> f64 {
    (prior + amount) / (prior + mean).max(1.0)
}

/// The share of a count that is left one standard deviation below it, where counts vary as chance has it
/// (Poisson).
pub(crate) fn lower_bound_share(count: f64) -> f64 {
    (1.0 - count.max(1.0).sqrt().recip()).powi(2)
}

/// Whether the lower median of `total` values lies over a limit that `above` of them are over.
pub(crate) fn median_exceeds(above: usize, total: usize) -> bool {
    total > 0 && above >= total - (total - 1) / 2
}

/// The middle value, the lower one where there are two; `None` without values.
pub(crate) fn lower_median(values: Vec<f64>) -> Option<f64> {
    quantile(values, 0.5)
}

/// The value that this share of the values lies below, the lower one where it falls between two.
pub(crate) fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len().saturating_sub(1) as f64 * share) as usize).copied()
}

/// A multiset of values in ascending order. Insertion and removal move what lies behind: made for some
/// thousands.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SortedValues(Vec<f64>);

impl SortedValues {
    fn position(&self, value: f64) -> usize {
        self.0.partition_point(|other| other.total_cmp(&value).is_lt())
    }

    pub(crate) fn insert(&mut self, value: f64) {
        self.0.insert(self.position(value), value);
    }

    /// Removes one value that was inserted; others are left alone.
    pub(crate) fn remove(&mut self, value: f64) {
        let position = self.position(value);
        if self.0.get(position).is_some_and(|other| other.total_cmp(&value).is_eq()) {
            self.0.remove(position);
        }
    }

    /// The middle value, the lower one where there are two.
    pub(crate) fn lower_median(&self) -> Option<f64> {
        self.0.get(self.0.len().saturating_sub(1) / 2).copied()
    }
}

/// A fixed 64-bit mixer (the finaliser of SplitMix64): the same at every dispatcher.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A random 64-bit draw as a number in (0, 1].
pub(crate) fn unit_interval(draw: u64) -> f64 {
    (draw as f64 + 1.0) / u64::MAX as f64
}
