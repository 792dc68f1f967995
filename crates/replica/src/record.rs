//! What is known of a request that must not run twice, and how two copies are merged.

use std::collections::BTreeMap;

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::Micros;

/// A request, by a hash of its tenant and the key that its client gave: the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId(pub [u8; 16]);

impl RecordId {
    /// The id of a tenant's request with that key; no other tenant's key gives the same.
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

/// One attempt to execute a request. An id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The instance that makes it.
    pub owner: MemberId,
    /// When that instance started: no two of its incarnations have the same.
    pub incarnation: u64,
    /// Counted from its start.
    pub number: u64,
}

/// How far an attempt is. It only moves forward, in this order; of two final stages that differ the later one is kept,
/// as what happened at a server is not undone by one that did not see it. The order of variants is that of encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Its instance may send it once a quorum holds this.
    Offered,
    /// A quorum did: its first byte may have gone to a server.
    Executing,
    /// Its instance knows that it never executed.
    NeverExecuted,
    /// It is over, and may have executed.
    MayHaveExecuted,
    /// It executed.
    Executed(Outcome),
}

/// The result of an attempt that executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The answer came to its end.
    pub complete: bool,
    /// A digest of the answer's content; of two, the higher one is kept, at all instances alike.
    pub digest: u64,
}

/// What the copies of a request's record say together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestStatus {
    /// No attempt is known, or all are known never to have executed.
    Free,
    /// An attempt may be about to execute, or executing.
    Open,
    /// An attempt may have executed.
    MayHaveExecuted,
    /// An attempt executed.
    Executed(Outcome),
}

/// A copy of a request's record: each attempt that it knows of with its furthest stage. Merging takes the furthest of
/// each: in any order, any number of times, the result is the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    attempts: BTreeMap<AttemptId, Stage>,
    /// When all instances forget it (Unix time): an expired copy is not taken from any of them.
    pub expires: Micros,
}

impl Record {
    /// Attempts that a copy holds at most: a request that never executed so often is not offered again.
    pub const MAX_ATTEMPTS: usize = 8;

    /// A copy that knows of one attempt.
    #[must_use]
    pub fn new(attempt: AttemptId, stage: Stage, expires: Micros) -> Self {
        Self { attempts: BTreeMap::from([(attempt, stage)]), expires }
    }

    /// Takes over what the other copy knows; whether that changed anything.
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

    /// What all attempts say together.
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

    /// How far an attempt is, as far as this copy knows.
    #[must_use]
    pub fn stage(&self, attempt: AttemptId) -> Option<Stage> {
        self.attempts.get(&attempt).copied()
    }

    /// How many attempts it knows of.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Whether an attempt may be offered beside what is known.
    #[must_use]
    pub fn admits(&self, attempt: AttemptId) -> bool {
        match self.stage(attempt) {
            // Offered again, as an answer was lost; one that was withdrawn stays so.
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
