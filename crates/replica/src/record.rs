//! What is known of a request that must not run twice, and how two copies become one.

use std::collections::BTreeMap;

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::Micros;

/// A request, by its tenant and the key that its client gave: the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId(pub [u8; 16]);

impl RecordId {
    /// Of a tenant's request with that key; no other tenant's key gives the same.
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

/// One try to run a request: by whom, in which of its lives, and which one there. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The instance.
    pub owner: MemberId,
    /// When it started.
    pub life: u64,
    /// Counted from its start.
    pub number: u64,
}

/// How far an attempt is. It only goes forward, in this order; of two ends that differ the later holds, as what
/// happened at a server is not undone by one that did not see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Its instance may send it once enough hold this.
    Offered,
    /// Enough did: its first byte may have gone to a server.
    Running,
    /// Its instance knows that it never ran.
    NeverRan,
    /// It is over, and may have run.
    MayHaveRun,
    /// It ran.
    Ran(Ran),
}

/// What came of one that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ran {
    /// The answer came whole.
    pub whole: bool,
    /// A number for the answer's content; of two, the higher holds, everywhere the same.
    pub digest: u64,
}

/// What a request's copies say together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Nobody has it, or all attempts are known never to have run.
    Free,
    /// One may be about to run, or running.
    Open,
    /// One may have run.
    MayHaveRun,
    /// One ran.
    Ran(Ran),
}

/// A copy: each attempt that it knows of with its furthest stage. Copies become one by taking the furthest of each:
/// in any order, any number of times, the same comes out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    attempts: BTreeMap<AttemptId, Stage>,
    /// When all forget it (Unix time, us): what has gone by then is not taken from anybody any more.
    pub expires: Micros,
}

impl Record {
    /// Attempts that a copy holds at most: a request that never ran so often is not offered again.
    pub const MOST_ATTEMPTS: usize = 8;

    /// A copy that knows one thing.
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

    /// What all of it says.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let says = |stage: &Stage| match *stage {
            Stage::NeverRan => Verdict::Free,
            Stage::Offered | Stage::Running => Verdict::Open,
            Stage::MayHaveRun => Verdict::MayHaveRun,
            Stage::Ran(ran) => Verdict::Ran(ran),
        };
        self.attempts.values().map(says).max().unwrap_or(Verdict::Free)
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

    /// Whether a new attempt may be offered beside what is known.
    #[must_use]
    pub fn admits(&self, attempt: AttemptId) -> bool {
        match self.stage(attempt) {
            // Asked again, as an answer was lost; one that was taken back stays so.
            Some(stage) => matches!(stage, Stage::Offered | Stage::Running) && self.others_free(attempt),
            None => self.verdict() == Verdict::Free && self.attempts.len() < Self::MOST_ATTEMPTS,
        }
    }

    fn others_free(&self, attempt: AttemptId) -> bool {
        self.attempts.iter().all(|(&other, &stage)| other == attempt || stage == Stage::NeverRan)
    }
}
