//! The sum of many decaying rates, each corrected for its own age, without computing an exponential for each
//! rate: values are kept as of one common time (the epoch) and decay together from there.

use std::collections::HashMap;

use crate::interface::{Micros, ServerId};
use crate::statistics::DecayingRate;

/// The epoch is moved forward after this many time constants, before values as of the epoch can overflow.
const REBASE_AFTER_TIME_CONSTANTS: f64 = 16.0;

/// The sum of [`DecayingRate::age_corrected_at`] over servers. See the [module](self).
#[derive(Debug)]
pub(crate) struct RateSum {
    time_constant_us: f64,
    epoch: Micros,
    /// Index of each server's values in the vectors below.
    positions: HashMap<ServerId, usize>,
    servers: Vec<ServerId>,
    /// Each rate as of the epoch.
    rates: Vec<f64>,
    /// The missing share of each rate's steady level, as of the epoch.
    missing: Vec<f64>,
}

impl RateSum {
    /// An empty sum.
    pub(crate) fn new(time_constant_us: f64, epoch: Micros) -> Self {
        Self {
            time_constant_us,
            epoch,
            positions: HashMap::new(),
            servers: Vec::new(),
            rates: Vec::new(),
            missing: Vec::new(),
        }
    }

    /// Number of servers in the sum.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Adds a server's rate, or replaces its previous one.
    pub(crate) fn set(&mut self, server: ServerId, rate: &DecayingRate) {
        let position = *self.positions.entry(server).or_insert(self.servers.len());
        if position == self.servers.len() {
            self.servers.push(server);
            self.rates.push(0.0);
            self.missing.push(0.0);
        }
        (self.rates[position], self.missing[position]) = rate.projected_to(self.epoch, self.time_constant_us);
    }

    /// Removes a server; does nothing if it is not in the sum.
    pub(crate) fn remove(&mut self, server: ServerId) {
        let Some(position) = self.positions.remove(&server) else { return };
        self.servers.swap_remove(position);
        self.rates.swap_remove(position);
        self.missing.swap_remove(position);
        if let Some(&moved) = self.servers.get(position) {
            self.positions.insert(moved, position);
        }
    }

    /// Moves the epoch to `now` if it is too far back.
    pub(crate) fn advance(&mut self, now: Micros) {
        let passed = (now - self.epoch) as f64 / self.time_constant_us;
        if passed > REBASE_AFTER_TIME_CONSTANTS {
            let decay = libm::exp(-passed);
            self.rates.iter_mut().chain(&mut self.missing).for_each(|value| *value *= decay);
            self.epoch = now;
        }
    }

    /// The sum at `now`, per second.
    pub(crate) fn value_at(&self, now: Micros) -> f64 {
        let decay = libm::exp(-((now - self.epoch) as f64) / self.time_constant_us);
        let corrected =
            |(rate, missing): (&f64, &f64)| rate * decay / DecayingRate::reached_share(missing * decay);
        self.rates.iter().zip(&self.missing).map(corrected).sum()
    }
}
