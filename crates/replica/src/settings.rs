//! The settings of one instance's replica, and the checks that they must pass.

use std::collections::BTreeSet;

use dewladder_membership::MemberId;
use thiserror::Error;

use crate::Micros;

/// The settle time must be at least this many times [`Settings::retry_after`], so that an offer is retried a few
/// times before it is denied.
const MIN_RETRIES_IN_SETTLE_TIME: Micros = 4;
/// Records must be kept for at least this many settle times, so that a record outlasts the offer that created it.
const MIN_SETTLE_TIMES_IN_RETENTION: Micros = 4;

/// The settings of one instance's replica. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The id of this instance; it must be one of `members`.
    pub own_id: MemberId,
    /// Distinguishes the starts of this instance: a later start has a higher number. Part of each [`AttemptId`], so
    /// that an id is not used again after a restart.
    ///
    /// [`AttemptId`]: crate::AttemptId
    pub incarnation: u64,
    /// All instances that hold records, whether they are up or not. Must be the same at all instances, as the
    /// placement of copies is computed from it.
    pub members: Vec<MemberId>,
    /// Number of instances that hold a copy of each record (N): 1 to the number of `members`.
    pub copies: usize,
    /// Number of copies that must exist before a request may be sent to a server (W): more than half of `copies`.
    pub quorum: usize,
    /// How long a record is kept, counted from its offer and again from the end of its attempt.
    pub retention: Micros,
    /// Once this instance holds this many records, it refuses offers that need a new record; it evicts none. Copies
    /// that other holders send are stored even above this limit.
    pub max_records: usize,
    /// Maximum number of hints, for all other holders together: records kept until their holder acknowledges them.
    pub max_hints: usize,
    /// An offer that has no quorum after this time is denied, even if its front set a later deadline. An instance
    /// that has started accepts no offers for this time (and a margin for clock drift): after it, all offers that
    /// count on what the instance held in its last incarnation have been decided.
    pub settle_time: Micros,
    /// An offer or a write that was not answered is sent again after this time.
    pub retry_after: Micros,
    /// Interval of anti-entropy rounds. Each compares one range that is caught up with one other holder, and sends
    /// the notes about servers to one instance.
    pub compare_interval: Micros,
}

/// A setting that is out of range or contradicts another.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct InvalidSettings {
    /// The invalid setting, by its key in the configuration file.
    pub field: &'static str,
    /// What is wrong with its value.
    pub reason: String,
}

impl Settings {
    /// Checks all settings.
    ///
    /// # Errors
    /// The first setting found to be out of range or in contradiction to another.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        let distinct: BTreeSet<_> = self.members.iter().collect();
        if distinct.len() != self.members.len() || !self.members.contains(&self.own_id) {
            return invalid("members", "must list each instance once, this one included".to_owned());
        }
        if self.copies == 0 || self.copies > self.members.len() {
            return invalid("copies", format!("{} is not 1 to {}", self.copies, self.members.len()));
        }
        if self.quorum * 2 <= self.copies || self.quorum > self.copies {
            return invalid("quorum", format!("{} of {} copies is not a majority", self.quorum, self.copies));
        }
        if self.settle_time == 0 || self.settle_time < MIN_RETRIES_IN_SETTLE_TIME * self.retry_after {
            return invalid("settle_s", "under four times the retry interval".to_owned());
        }
        if self.retention < MIN_SETTLE_TIMES_IN_RETENTION * self.settle_time {
            return invalid("window_s", "under four times settle_s".to_owned());
        }
        if self.max_records == 0 {
            return invalid("most_records", "must not be 0".to_owned());
        }
        Ok(())
    }
}

fn invalid(field: &'static str, reason: String) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { field, reason })
}
