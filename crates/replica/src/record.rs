//! The record of an at-most-once request: its known attempts and their stages, and how two copies of it are merged.

use std::collections::BTreeMap;

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::Micros;

/// Identifies the record of a request by a hash of its tenant and its client's idempotency key. The id is the same at
/// all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId(pub [u8; 16]);

impl RecordId {
    /// The id of a tenant's request with this idempotency key. The tenant's length is hashed too, so that tenant and
    /// key can't be split differently into the same bytes.
    #[must_use]
    pub fn of(tenant: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((tenant.len() as u64).to_le_bytes());
        hash.update(tenant.as_bytes());
        hash.update(key.as_bytes());
        let mut id = [0; 16];
        id.copy_from_slice(&hash.finalize()[..16]);
        Self(id)
    }
}

/// Identifies one attempt to execute a request. An id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The instance that makes the attempt.
    pub owner: MemberId,
    /// The incarnation of that instance, see [`Settings::incarnation`](crate::Settings::incarnation).
    pub incarnation: u64,
    /// Counts up from the start of that instance.
    pub number: u64,
}

/// The stage of an attempt. Stages only move forward, in this order. If two copies have different final stages, the
/// later one is kept: an instance that did not see an execution can't undo it. Messages encode a variant as its
/// position: new variants go last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The attempt's instance has offered it to the holders, and may send it to a server once a quorum has stored it.
    Offered,
    /// A quorum has stored the attempt: its first byte may have been sent to a server.
    Executing,
    /// Final: the attempt's instance knows that it never executed.
    NeverExecuted,
    /// Final: the attempt is over, and may have executed.
    MayHaveExecuted,
    /// Final: the attempt executed.
    Executed(Outcome),
}

/// The result of an attempt that executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the answer came to its end.
    pub complete: bool,
    /// A digest of the answer's content. If two copies differ, merging keeps the higher one, so that all instances
    /// agree.
    pub digest: u64,
}

/// The status of a request: the furthest status that any of its known attempts gives it, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestStatus {
    /// No attempt is known, or all known attempts never executed.
    Free,
    /// An attempt has been offered or is executing, and none is known to have ended in a later status.
    Open,
    /// An attempt is over and may have executed.
    MayHaveExecuted,
    /// An attempt executed.
    Executed(Outcome),
}

/// A copy of a request's record: each known attempt with the furthest stage it is known to have reached. Merging
/// keeps the furthest stage of each attempt; it is commutative, associative and idempotent, so copies may be merged
/// in any order and repeatedly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    attempts: BTreeMap<AttemptId, Stage>,
    /// When every instance drops the record (Unix time). A copy that has expired is not accepted from another
    /// instance.
    pub expires: Micros,
}

impl Record {
    /// Maximum number of attempts of a request: after this many that never executed, no further attempt is accepted.
    pub const MAX_ATTEMPTS: usize = 8;

    /// A copy that contains one attempt.
    #[must_use]
    pub fn new(attempt: AttemptId, stage: Stage, expires: Micros) -> Self {
        Self { attempts: BTreeMap::from([(attempt, stage)]), expires }
    }

    /// Merges another copy into this one; returns whether that changed this one.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = other.expires > self.expires;
        for (&attempt, &stage) in &other.attempts {
            if self.stage(attempt).is_none_or(|own| own < stage) {
                self.attempts.insert(attempt, stage);
                changed = true;
            }
        }
        self.expires = self.expires.max(other.expires);
        changed
    }

    /// The status of the request, as far as this copy knows.
    #[must_use]
    pub fn status(&self) -> RequestStatus {
        let status = |stage: &Stage| match *stage {
            Stage::NeverExecuted => RequestStatus::Free,
            Stage::Offered | Stage::Executing => RequestStatus::Open,
            Stage::MayHaveExecuted => RequestStatus::MayHaveExecuted,
            Stage::Executed(outcome) => RequestStatus::Executed(outcome),
        };
        self.attempts.values().map(status).max().unwrap_or(RequestStatus::Free)
    }

    /// The furthest known stage of an attempt; `None` if this copy does not contain the attempt.
    #[must_use]
    pub fn stage(&self, attempt: AttemptId) -> Option<Stage> {
        self.attempts.get(&attempt).copied()
    }

    /// The number of attempts that this copy contains.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Whether a holder of this copy may accept an offer of the attempt: no other attempt may execute or have
    /// executed.
    #[must_use]
    pub fn admits(&self, attempt: AttemptId) -> bool {
        match self.stage(attempt) {
            // The offer is repeated because an answer was lost. An attempt that was withdrawn meanwhile stays
            // withdrawn.
            Some(stage) => {
                matches!(stage, Stage::Offered | Stage::Executing) && self.others_never_executed(attempt)
            }
            None => self.status() == RequestStatus::Free && self.attempts.len() < Self::MAX_ATTEMPTS,
        }
    }

    fn others_never_executed(&self, attempt: AttemptId) -> bool {
        self.attempts.iter().all(|(&other, &stage)| other == attempt || stage == Stage::NeverExecuted)
    }
}
