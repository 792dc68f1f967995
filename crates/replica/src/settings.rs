//! The configuration of an instance.

use std::collections::BTreeSet;

use dewladder_membership::MemberId;
use thiserror::Error;

use crate::Micros;

/// The settle time holds so many retries at least.
const MIN_RETRIES_IN_SETTLE_TIME: Micros = 4;
/// Records are kept for so many settle times at least.
const MIN_SETTLE_TIMES_IN_RETENTION: Micros = 4;

/// The configuration of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance.
    pub own_id: MemberId,
    /// When it started: the later incarnation is higher.
    pub incarnation: u64,
    /// All instances that hold records, whether they run or not. The same at all.
    pub members: Vec<MemberId>,
    /// Copies of each record (N).
    pub copies: usize,
    /// Copies that must exist before a request is sent on (W): more than half.
    pub quorum: usize,
    /// How long a record is kept after its last change.
    pub retention: Micros,
    /// Records held at most: when full, an offer is refused and nothing is forgotten.
    pub max_records: usize,
    /// Records kept for other holders that have not acknowledged them, at most.
    pub max_hints: usize,
    /// An offer is denied without a quorum after this, whatever its front's deadline. An instance that has started
    /// accepts no offers for so long: offers that count on what it held in its last incarnation are over then.
    pub settle_time: Micros,
    /// What was not answered is sent again after this.
    pub retry_after: Micros,
    /// How often copies are compared with another holder, once they are caught up.
    pub compare_interval: Micros,
}

/// A setting that is out of range or contradicts another.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct InvalidSettings {
    /// The field, by its name in the operator's file.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl Settings {
    /// Checks all of it.
    ///
    /// # Errors
    /// The first field that is invalid.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        let distinct: BTreeSet<_> = self.members.iter().collect();
        if distinct.len() != self.members.len() || !self.members.contains(&self.own_id) {
            return invalid("members", "each once, this instance among them".to_owned());
        }
        if self.copies == 0 || self.copies > self.members.len() {
            return invalid("copies", format!("{} is not 1 to {}", self.copies, self.members.len()));
        }
        if self.quorum * 2 <= self.copies || self.quorum > self.copies {
            return invalid("quorum", format!("{} is not over half of {} copies", self.quorum, self.copies));
        }
        if self.settle_time == 0 || self.settle_time < MIN_RETRIES_IN_SETTLE_TIME * self.retry_after {
            return invalid("settle_s", "under four times again_after".to_owned());
        }
        if self.retention < MIN_SETTLE_TIMES_IN_RETENTION * self.settle_time {
            return invalid("window_s", "under four times settle_s".to_owned());
        }
        if self.max_records == 0 {
            return invalid("most_records", "0".to_owned());
        }
        Ok(())
    }
}

fn invalid(field: &'static str, reason: String) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { field, reason })
}
