//! Plain arithmetic for figures that fade, and for lots. Nothing here is tuned or decides anything.

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// A running figure that drifts back to the usual when nothing new comes in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) known: Option<(f64, Micros)>,
}

impl Pace {
    /// As told by a clock that is ahead by so much.
    pub(crate) fn shift(&mut self, ahead: i64) {
        self.known = self.known.map(|(pace, at)| (pace, at.saturating_add_signed(ahead)));
    }

    pub(crate) fn now(&self, usual: f64, now: Micros, half_life: f64) -> f64 {
        let Some((pace, _)) = self.known else { return usual };
        usual + (pace - usual) * (-self.age(now) / half_life).exp2()
    }

    /// Time since the last sample (us).
    pub(crate) fn age(&self, now: Micros) -> f64 {
        self.known.map_or(f64::INFINITY, |(_, at)| (now - at) as f64)
    }

    /// Takes a sample of a figure that is usually 0, the more fully the older what is known.
    pub(crate) fn follow(&mut self, value: f64, now: Micros, half_life: f64, weight: f64) {
        let weight = 1.0 - (1.0 - weight) * (-self.age(now) / half_life).exp2();
        self.sample(value, 0.0, now, half_life, weight);
    }

    pub(crate) fn sample(&mut self, pace: f64, usual: f64, now: Micros, half_life: f64, weight: f64) {
        let before = self.now(usual, now, half_life);
        self.known = Some((before + weight * (pace - before), now));
    }
}

/// A rate that fades, in units a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Rate {
    value: f64,
    at: Micros,
    since: Option<Micros>,
}

impl Rate {
    /// As told by a clock that is ahead by so much.
    pub(crate) fn shift(&mut self, ahead: i64) {
        self.at = self.at.saturating_add_signed(ahead);
        self.since = self.since.map(|since| since.saturating_add_signed(ahead));
    }

    /// Nothing has been added yet.
    pub(crate) fn is_new(&self) -> bool {
        self.since.is_none()
    }

    /// Can have been made by adding, up to now.
    pub(crate) fn is_sound(&self, now: Micros) -> bool {
        self.value.is_finite() && self.value >= 0.0 && self.at <= now && self.since.is_none_or(|at| at <= now)
    }

    pub(crate) fn now(&self, now: Micros, time: f64) -> f64 {
        self.value * (-((now - self.at) as f64) / time).exp()
    }

    /// The rate of one that is younger than the time constant: scaled up to its age, ten times at most.
    pub(crate) fn young(&self, now: Micros, time: f64) -> f64 {
        let age = self.since.map_or(0.0, |since| (now - since) as f64);
        self.now(now, time) / Self::part_of_age((-age / time).exp())
    }

    /// The part of its full height that a rate has reached, where `left` of it is still missing; a tenth at the least.
    pub(crate) fn part_of_age(left: f64) -> f64 {
        (1.0 - left).max(0.1)
    }

    /// Its value, and what was missing of its full height, as they would stand at `epoch`: both fade alike since.
    pub(crate) fn as_of(&self, epoch: Micros, time: f64) -> (f64, f64) {
        let at = |moment: Micros| ((moment as f64 - epoch as f64) / time).exp();
        let Some(since) = self.since else { return (0.0, 0.0) };
        (self.value * at(self.at), at(since))
    }

    /// How many units that is within the time constant.
    pub(crate) fn count(&self, now: Micros, time: f64) -> f64 {
        self.now(now, time) * time / 1e6
    }

    pub(crate) fn add(&mut self, amount: f64, now: Micros, time: f64) {
        self.value = self.now(now, time) + amount * 1e6 / time;
        self.at = now;
        self.since = self.since.or(Some(now));
    }
}

/// An amount over its mean, shrunk towards 1 as both are small against a prior amount.
pub(crate) fn against_mean(amount: f64, mean: f64, prior: f64) -> f64 {
    (prior + amount) / (prior + mean).max(1.0)
}

/// The part of a count that is surely no chance: a standard deviation less, where counts vary as chance has it.
pub(crate) fn surely(count: f64) -> f64 {
    (1.0 - count.max(1.0).sqrt().recip()).powi(2)
}

/// Whether the lower median of `of` values lies over a limit that `over` of them are over.
pub(crate) fn median_is_over(over: usize, of: usize) -> bool {
    of > 0 && over >= of - (of - 1) / 2
}

pub(crate) fn lower_median(values: Vec<f64>) -> Option<f64> {
    quantile(values, 0.5)
}

/// The value that this share of the values lies below, the lower one where it falls between two.
pub(crate) fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len().saturating_sub(1) as f64 * share) as usize).copied()
}

/// Values in their order, one by one put in and taken out; room for some thousands, as each moves those behind it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SortedValues(Vec<f64>);

impl SortedValues {
    fn place(&self, value: f64) -> usize {
        self.0.partition_point(|other| other.total_cmp(&value).is_lt())
    }

    pub(crate) fn insert(&mut self, value: f64) {
        self.0.insert(self.place(value), value);
    }

    /// Takes out one that was put in.
    pub(crate) fn remove(&mut self, value: f64) {
        let place = self.place(value);
        if self.0.get(place).is_some_and(|other| other.total_cmp(&value).is_eq()) {
            self.0.remove(place);
        }
    }

    /// The middle value, the lower one where there are two.
    pub(crate) fn lower_median(&self) -> Option<f64> {
        self.0.get(self.0.len().saturating_sub(1) / 2).copied()
    }
}

/// A fixed 64-bit mixer (the finaliser of SplitMix64): the same at every front.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A 64-bit lot as a share of 1, never 0.
pub(crate) fn unit(lot: u64) -> f64 {
    (lot as f64 + 1.0) / u64::MAX as f64
}
