//! The sum of many rates that fade alike, each scaled up to its own age, without going through each one's own
//! exponentials: both are kept as of one common time, and fade together.

use std::collections::HashMap;

use crate::figures::Rate;
use crate::interface::{EngineId, Micros};

/// The common time is moved on after so many time constants: what is kept must not overflow.
const MOVED_AFTER: f64 = 16.0;

/// See the [module](self); the sum of [`Rate::young`].
#[derive(Debug)]
pub(crate) struct RateSum {
    /// Time constant of the rates (us).
    time: f64,
    /// The common time.
    epoch: Micros,
    places: HashMap<EngineId, usize>,
    owners: Vec<EngineId>,
    /// Each rate, and what its age takes from it, as of the common time.
    values: Vec<f64>,
    ages: Vec<f64>,
}

impl RateSum {
    pub(crate) fn new(time: f64, epoch: Micros) -> Self {
        let (places, owners) = (HashMap::new(), Vec::new());
        Self { time, epoch, places, owners, values: Vec::new(), ages: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }

    /// Adds a server's rate, or puts its new rate in the place of the one before.
    pub(crate) fn set(&mut self, engine: EngineId, rate: &Rate) {
        let place = *self.places.entry(engine).or_insert(self.owners.len());
        if place == self.owners.len() {
            self.owners.push(engine);
            self.values.push(0.0);
            self.ages.push(0.0);
        }
        (self.values[place], self.ages[place]) = rate.as_of(self.epoch, self.time);
    }

    pub(crate) fn remove(&mut self, engine: EngineId) {
        let Some(place) = self.places.remove(&engine) else { return };
        self.owners.swap_remove(place);
        self.values.swap_remove(place);
        self.ages.swap_remove(place);
        if let Some(&moved) = self.owners.get(place) {
            self.places.insert(moved, place);
        }
    }

    /// Moves the common time on where it lies far back.
    pub(crate) fn advance(&mut self, now: Micros) {
        let passed = (now - self.epoch) as f64 / self.time;
        if passed > MOVED_AFTER {
            let fades = (-passed).exp();
            self.values.iter_mut().chain(&mut self.ages).for_each(|kept| *kept *= fades);
            self.epoch = now;
        }
    }

    pub(crate) fn now(&self, now: Micros) -> f64 {
        let fades = (-((now - self.epoch) as f64) / self.time).exp();
        let rate = |(value, age): (&f64, &f64)| value * fades / Rate::part_of_age(age * fades);
        self.values.iter().zip(&self.ages).map(rate).sum()
    }
}
