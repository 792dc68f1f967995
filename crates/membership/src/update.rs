//! Statements about members, as messages carry them, and the rule by which one supersedes another.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, MemberId};

/// The state of a member. Within one incarnation, a later variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes, directly or through others.
    Alive,
    /// It did not answer a probe; it may refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member is probed, and counted in all that depends on the number of members.
    #[must_use]
    pub fn is_up(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The name in logs and answers.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// A statement about a member. Field order is the order of encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub id: MemberId,
    /// Its name.
    pub name: String,
    /// Where it receives messages.
    pub address: Address,
    /// Its incarnation: only the member itself starts a new one, to refute statements about the old.
    pub incarnation: u64,
    /// Its state in that incarnation.
    pub state: MemberState,
    /// Who found that state, by which independent findings are counted; the member itself where it says so.
    pub reported_by: MemberId,
    /// How long it has been in that state (seconds), so that all instances forget a dead member at about the same time.
    pub age_s: u32,
}

impl Update {
    /// Whether this supersedes what was known. A new incarnation supersedes the old, dead or not, and within one
    /// incarnation only a later state does: the result is the same in whatever order updates arrive.
    #[must_use]
    pub fn supersedes(&self, incarnation: u64, state: MemberState) -> bool {
        (self.incarnation, self.state) > (incarnation, state)
    }

    /// An upper bound of its encoded size, with all variable-length integers at their longest.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        const ID: usize = 10;
        const NAME_LENGTH: usize = 2;
        const IP: usize = 4;
        const PORT: usize = 3;
        const INCARNATION: usize = 10;
        const STATE: usize = 1;
        const REPORTED_BY: usize = 10;
        const AGE: usize = 5;
        ID + NAME_LENGTH + self.name.len() + IP + PORT + INCARNATION + STATE + REPORTED_BY + AGE
    }
}
