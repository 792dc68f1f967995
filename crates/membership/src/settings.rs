//! Times and counts of the protocol.

use thiserror::Error;

use crate::member::Place;
use crate::Micros;

/// A setting that can't be; it names the field.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {what}")]
pub struct BadSettings {
    /// Which field.
    pub field: &'static str,
    /// What is wrong with it.
    pub what: String,
}

/// What an instance is told at its start. All times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's name, the same after a restart.
    pub name: String,
    /// Where others reach it.
    pub place: Place,
    /// Its first incarnation; one above that of its last life saves a refutation, nothing hangs on it.
    pub incarnation: u64,
    /// Where to join.
    pub seeds: Vec<Place>,
    /// One member is probed in each such time.
    pub probe_every: Micros,
    /// Others are asked to probe a member that has not answered by then.
    pub probe_timeout: Micros,
    /// How many others.
    pub indirect: usize,
    /// The least time for a refutation, in probe times, times the decimal logarithm of the members.
    pub suspicion: f64,
    /// The most time for one, over the least.
    pub suspicion_most: f64,
    /// So many others that found the same by themselves bring it down to the least.
    pub confirmations: usize,
    /// Each update is sent so many times, times the binary logarithm of the members (lambda).
    pub retransmit: usize,
    /// Whole states are exchanged with one member in each such time, and a lost member or seed is looked for.
    pub sync_every: Micros,
    /// Dead members are remembered for so long.
    pub forget_after: Micros,
    /// [`Event::Tick`](crate::Event::Tick) comes this often; much later means that this instance was paused.
    pub tick_every: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "n0".to_owned(),
            place: Place { ip: [127, 0, 0, 1], port: 7946 },
            incarnation: 1,
            seeds: Vec::new(),
            probe_every: 1_000_000,
            probe_timeout: 500_000,
            indirect: 3,
            suspicion: 4.0,
            suspicion_most: 6.0,
            confirmations: 3,
            retransmit: 3,
            sync_every: 15_000_000,
            forget_after: 3_600_000_000,
            tick_every: 50_000,
        }
    }
}

/// A name holds so many bytes at most: updates of several members fit into each message.
pub const MOST_NAME: usize = 48;
/// Times under a millisecond or over an hour are mistakes.
const TIMES: std::ops::RangeInclusive<Micros> = 1_000..=3_600_000_000;

impl Settings {
    /// Checks all of it.
    ///
    /// # Errors
    /// The first field that can't be, by its name.
    pub fn check(&self) -> Result<(), BadSettings> {
        let bad = |field, what: String| Err(BadSettings { field, what });
        if self.name.is_empty() || self.name.len() > MOST_NAME {
            return bad("name", format!("'{}' is not 1 to {MOST_NAME} bytes", self.name));
        }
        if self.place.port == 0 {
            return bad("advertise", "port 0 can't be reached".to_owned());
        }
        for (field, time) in [
            ("probe_every_s", self.probe_every),
            ("probe_timeout_s", self.probe_timeout),
            ("sync_every_s", self.sync_every),
            ("forget_after_s", self.forget_after),
        ] {
            if !TIMES.contains(&time) {
                return bad(field, format!("{} s is not 0.001 to 3600", time as f64 / 1e6));
            }
        }
        if self.probe_timeout * 2 > self.probe_every {
            // The second half is for those that are asked to probe.
            return bad("probe_timeout_s", "over half of probe_every_s".to_owned());
        }
        if self.tick_every * 4 > self.probe_timeout {
            return bad("probe_timeout_s", format!("under {} s", self.tick_every as f64 * 4.0 / 1e6));
        }
        if self.forget_after < 4 * self.sync_every {
            // A member that forgets sooner could be told of a dead one by one that does not.
            return bad("forget_after_s", "under four times sync_every_s".to_owned());
        }
        for (field, count, range) in [
            ("indirect", self.indirect, 0..=16),
            ("confirmations", self.confirmations, 0..=16),
            ("retransmit", self.retransmit, 1..=16),
        ] {
            if !range.contains(&count) {
                return bad(field, format!("{count} is not {} to {}", range.start(), range.end()));
            }
        }
        for (field, value) in [("suspicion", self.suspicion), ("suspicion_most", self.suspicion_most)] {
            if !(1.0..=100.0).contains(&value) {
                return bad(field, format!("{value} is not 1 to 100"));
            }
        }
        Ok(())
    }

    /// The least and the most time for a refutation in a cluster of so many members.
    #[must_use]
    pub fn suspicion_bounds(&self, up: usize) -> (Micros, Micros) {
        let scale = (up.max(1) as f64).log10().max(1.0);
        let least = self.suspicion * scale * self.probe_every as f64;
        (least as Micros, (least * self.suspicion_most) as Micros)
    }

    /// How often each update is sent in a cluster of so many members.
    #[must_use]
    pub fn sends_of_update(&self, up: usize) -> usize {
        self.retransmit * (usize::BITS - up.leading_zeros()) as usize
    }

    /// Ticks that come so much later than they should tell of a pause of this instance.
    pub(crate) fn pause(&self) -> Micros {
        self.tick_every + self.probe_timeout / 2
    }
}
