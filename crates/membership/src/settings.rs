//! Times and counts of the protocol.

use std::ops::RangeInclusive;

use thiserror::Error;

use crate::identity::Address;
use crate::Micros;

/// A setting that is out of range or contradicts another.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct InvalidSettings {
    /// The field, by its name in the operator's file.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// The configuration of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's name, the same after a restart.
    pub name: String,
    /// Where others reach this instance.
    pub address: Address,
    /// Its first incarnation; one above that of its last life saves a refutation, correctness does not depend on it.
    pub incarnation: u64,
    /// Addresses to join through.
    pub seeds: Vec<Address>,
    /// One member is probed in each interval.
    pub probe_interval: Micros,
    /// A member that has not answered by then is probed through others.
    pub probe_timeout: Micros,
    /// How many others are asked to probe it.
    pub indirect_probes: usize,
    /// The minimum time to refute, in probe intervals, times the decimal logarithm of the number of members.
    pub suspicion_multiplier: f64,
    /// The maximum time to refute, as a multiple of the minimum.
    pub max_suspicion_multiplier: f64,
    /// So many independent confirmations bring the time to refute down to the minimum.
    pub confirmations: usize,
    /// Each update is sent so many times, times the binary logarithm of the number of members (SWIM's lambda).
    pub retransmit_multiplier: usize,
    /// Whole states are exchanged with one member in each interval, and a lost member or seed is looked for.
    pub sync_interval: Micros,
    /// How long dead members are remembered.
    pub dead_retention: Micros,
    /// How often [`Event::Tick`](crate::Event::Tick) comes; much later means that this instance was paused.
    pub tick_interval: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "n0".to_owned(),
            address: Address { ip: [127, 0, 0, 1], port: 7946 },
            incarnation: 1,
            seeds: Vec::new(),
            probe_interval: 1_000_000,
            probe_timeout: 500_000,
            indirect_probes: 3,
            suspicion_multiplier: 4.0,
            max_suspicion_multiplier: 6.0,
            confirmations: 3,
            retransmit_multiplier: 3,
            sync_interval: 15_000_000,
            dead_retention: 3_600_000_000,
            tick_interval: 50_000,
        }
    }
}

/// The longest name in bytes: updates of several members fit into each message.
pub const MAX_NAME_BYTES: usize = 48;
/// Times under a millisecond or over an hour are mistakes.
const VALID_TIMES: RangeInclusive<Micros> = 1_000..=3_600_000_000;
/// Numbers of members to ask, and of confirmations.
const VALID_COUNTS: RangeInclusive<usize> = 0..=16;
const VALID_RETRANSMIT_MULTIPLIERS: RangeInclusive<usize> = 1..=16;
const VALID_SUSPICION_MULTIPLIERS: RangeInclusive<f64> = 1.0..=100.0;
/// A probe's timeout holds so many ticks at least.
const MIN_TICKS_IN_TIMEOUT: Micros = 4;
/// Dead members are remembered over so many exchanges of states at least.
const MIN_SYNCS_IN_RETENTION: Micros = 4;

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

impl Settings {
    /// Checks all of it.
    ///
    /// # Errors
    /// The first field that is invalid.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        self.check_identity()?;
        self.check_times()?;
        self.check_counts()
    }

    fn check_identity(&self) -> Result<(), InvalidSettings> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return invalid("name", format!("'{}' is not 1 to {MAX_NAME_BYTES} bytes", self.name));
        }
        if self.address.port == 0 {
            return invalid("advertise", "port 0 can't be reached".to_owned());
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), InvalidSettings> {
        for (field, time) in [
            ("probe_every_s", self.probe_interval),
            ("probe_timeout_s", self.probe_timeout),
            ("sync_every_s", self.sync_interval),
            ("forget_after_s", self.dead_retention),
        ] {
            if !VALID_TIMES.contains(&time) {
                return invalid(field, format!("{} s is not 0.001 to 3600", seconds(time)));
            }
        }
        if self.probe_timeout * 2 > self.probe_interval {
            // The second half is for the indirect probes.
            return invalid("probe_timeout_s", "over half of probe_every_s".to_owned());
        }
        let min_timeout = self.tick_interval * MIN_TICKS_IN_TIMEOUT;
        if min_timeout > self.probe_timeout {
            return invalid("probe_timeout_s", format!("under {} s", seconds(min_timeout)));
        }
        if self.dead_retention < MIN_SYNCS_IN_RETENTION * self.sync_interval {
            // A member that forgets sooner could be told of a dead one by one that does not.
            return invalid("forget_after_s", "under four times sync_every_s".to_owned());
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), InvalidSettings> {
        for (field, count, valid) in [
            ("indirect", self.indirect_probes, VALID_COUNTS),
            ("confirmations", self.confirmations, VALID_COUNTS),
            ("retransmit", self.retransmit_multiplier, VALID_RETRANSMIT_MULTIPLIERS),
        ] {
            if !valid.contains(&count) {
                return invalid(field, format!("{count} is not {} to {}", valid.start(), valid.end()));
            }
        }
        for (field, value) in
            [("suspicion", self.suspicion_multiplier), ("suspicion_most", self.max_suspicion_multiplier)]
        {
            if !VALID_SUSPICION_MULTIPLIERS.contains(&value) {
                return invalid(field, format!("{value} is not 1 to 100"));
            }
        }
        Ok(())
    }

    /// The minimum and the maximum time to refute a suspicion, in a cluster of so many members that are up.
    #[must_use]
    pub fn suspicion_bounds(&self, up: usize) -> (Micros, Micros) {
        let scale = (up.max(1) as f64).log10().max(1.0);
        let min = self.suspicion_multiplier * scale * self.probe_interval as f64;
        (min as Micros, (min * self.max_suspicion_multiplier) as Micros)
    }

    /// How often each update is sent, in a cluster of so many members that are up.
    #[must_use]
    pub fn transmit_limit(&self, up: usize) -> usize {
        self.retransmit_multiplier * (usize::BITS - up.leading_zeros()) as usize
    }

    /// A longer time between two ticks means that this instance was paused.
    pub(crate) fn pause_threshold(&self) -> Micros {
        self.tick_interval + self.probe_timeout / 2
    }
}

fn invalid(field: &'static str, reason: String) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { field, reason })
}
