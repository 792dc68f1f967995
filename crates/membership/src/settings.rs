//! Configuration of the membership protocol, and its validation.

use std::ops::RangeInclusive;

use thiserror::Error;

use crate::identity::Address;
use crate::Micros;

/// A setting is out of range or conflicts with another one.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct InvalidSettings {
    /// The setting's key in the `[cluster]` table of the operator's configuration file.
    pub field: &'static str,
    /// What is wrong with the value, for the operator.
    pub reason: String,
}

/// The membership configuration of one instance. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's name, unique in the cluster and unchanged over restarts. Its [`MemberId`](crate::MemberId) is
    /// derived from the name.
    pub name: String,
    /// The address at which other instances reach this one.
    pub address: Address,
    /// The initial incarnation. A value above the last one of the previous run saves a refutation after a restart;
    /// correctness does not depend on it.
    pub incarnation: u64,
    /// Addresses of instances through which this one joins the cluster.
    pub seeds: Vec<Address>,
    /// The time between two probes; each probes one member.
    pub probe_interval: Micros,
    /// How long to wait for a direct answer before requesting indirect probes.
    pub probe_timeout: Micros,
    /// How many members are asked to probe indirectly. Also the number of members to which an urgent update is sent
    /// at once.
    pub indirect_probes: usize,
    /// The minimum suspicion timeout is this many probe intervals, times the decimal logarithm of the number of
    /// members (1 at least).
    pub suspicion_multiplier: f64,
    /// The maximum suspicion timeout, as a multiple of the minimum.
    pub max_suspicion_multiplier: f64,
    /// How many independent confirmations reduce the suspicion timeout to the minimum.
    pub confirmations: usize,
    /// SWIM's lambda: each update is sent this many times the binary logarithm of the number of members.
    pub retransmit_multiplier: usize,
    /// The mean time between two rounds of anti-entropy. Each round exchanges member tables with one member that is
    /// up, and tries to contact one dead member or seed. While no other member is up, [`Settings::probe_interval`] is
    /// the mean time instead.
    pub sync_interval: Micros,
    /// How long members that are dead or have left stay in the member table.
    pub dead_retention: Micros,
    /// The time between two [`Event::Tick`](crate::Event::Tick)s. A much longer gap means that this process was
    /// paused.
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

/// The maximum length of a name, chosen so that updates about several members fit into one message.
pub const MAX_NAME_BYTES: usize = 48;
/// The valid range of configurable times: a value below a millisecond or above an hour is taken for a mistake.
const VALID_TIMES: RangeInclusive<Micros> = 1_000..=3_600_000_000;
/// The valid range of [`Settings::indirect_probes`] and [`Settings::confirmations`].
const VALID_COUNTS: RangeInclusive<usize> = 0..=16;
const VALID_RETRANSMIT_MULTIPLIERS: RangeInclusive<usize> = 1..=16;
const VALID_SUSPICION_MULTIPLIERS: RangeInclusive<f64> = 1.0..=100.0;
/// The minimum number of tick intervals in [`Settings::probe_timeout`].
const MIN_TICKS_IN_TIMEOUT: Micros = 4;
/// The minimum number of [`Settings::sync_interval`]s in [`Settings::dead_retention`].
const MIN_SYNCS_IN_RETENTION: Micros = 4;

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

impl Settings {
    /// Validates all settings.
    ///
    /// # Errors
    /// The first setting that is invalid.
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
            // The rest of the interval is the time that indirect probes have.
            return invalid("probe_timeout_s", "over half of probe_every_s".to_owned());
        }
        let min_timeout = self.tick_interval * MIN_TICKS_IN_TIMEOUT;
        if min_timeout > self.probe_timeout {
            return invalid("probe_timeout_s", format!("under {} s", seconds(min_timeout)));
        }
        if self.dead_retention < MIN_SYNCS_IN_RETENTION * self.sync_interval {
            // An instance that removes a dead member too early would learn of it again from one that still has it.
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

    /// The minimum and maximum suspicion timeout, in a cluster of `members_up` members.
    #[must_use]
    pub fn suspicion_bounds(&self, members_up: usize) -> (Micros, Micros) {
        let scale = (members_up.max(1) as f64).log10().max(1.0);
        let min = self.suspicion_multiplier * scale * self.probe_interval as f64;
        (min as Micros, (min * self.max_suspicion_multiplier) as Micros)
    }

    /// How many times each update is sent, in a cluster of `members_up` members.
    #[must_use]
    pub fn transmit_limit(&self, members_up: usize) -> usize {
        self.retransmit_multiplier * (usize::BITS - members_up.leading_zeros()) as usize
    }

    /// A gap between two ticks that is longer than this is treated as a pause of the process.
    pub(crate) fn pause_threshold(&self) -> Micros {
        self.tick_interval + self.probe_timeout / 2
    }
}

fn invalid(field: &'static str, reason: String) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { field, reason })
}
