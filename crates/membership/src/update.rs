//! Updates about members, as messages carry them, and the rule by which one update supersedes another.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, MemberId};

/// The state of a member. Within one incarnation, a later variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Not suspected: the member answers probes directly or indirectly.
    Alive,
    /// The member did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced its shutdown.
    Left,
}

impl MemberState {
    /// Whether the member is alive or suspect: such members are probed, and counted in every value that depends on
    /// the number of members.
    #[must_use]
    pub fn is_up(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The state's name in logs and in `GET /cluster/members`.
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

/// A member's state as reported by an instance. Fields are encoded in declaration order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member that the update is about.
    pub id: MemberId,
    /// The member's name.
    pub name: String,
    /// The address at which the member receives messages.
    pub address: Address,
    /// The member's incarnation. Only the member itself starts a new one, to refute a claim about the old one.
    pub incarnation: u64,
    /// The member's state in that incarnation.
    pub state: MemberState,
    /// The instance that detected the state; the member itself if it announced the state. Suspicions count as
    /// independent confirmations if this differs.
    pub reported_by: MemberId,
    /// How long the member has been in that state, in seconds. It makes all instances remove a dead member at about
    /// the same time.
    pub age_s: u32,
}

impl Update {
    /// Whether this update supersedes a known incarnation and state of the member. A higher incarnation always does,
    /// even over a dead state; within an incarnation, only a later state does. Hence the result does not depend on
    /// the order in which updates arrive.
    #[must_use]
    pub fn supersedes(&self, incarnation: u64, state: MemberState) -> bool {
        (self.incarnation, self.state) > (incarnation, state)
    }

    /// An upper bound on the encoded size, with every variable-length integer at its longest.
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
