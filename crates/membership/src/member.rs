//! Members, and what is said of them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::suspicion::Suspicion;
use crate::Micros;

/// A member, by a stable hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name: the same at every instance.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Where a member hears: an IPv4 address and a UDP port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The address.
    pub ip: [u8; 4],
    /// The port.
    pub port: u16,
}

impl fmt::Display for Place {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.ip;
        write!(to, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}

/// How a member stands, in the order in which the later holds at one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It answers, directly or through others.
    Alive,
    /// It did not answer; it may refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Standing {
    /// Is asked, and counted in all that depends on the number of members.
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

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Whom it is about.
    pub id: MemberId,
    /// Its name.
    pub name: String,
    /// Where it hears.
    pub place: Place,
    /// Its incarnation: only the member itself makes a new one, to refute what is said of the old.
    pub incarnation: u64,
    /// How it stands in that incarnation.
    pub standing: Standing,
    /// Who found that, for what counts as found independently; the member itself where it says so.
    pub by: MemberId,
    /// For how many seconds it has stood so: by that, all forget a dead member at about the same time.
    pub age_s: u32,
}

impl Update {
    /// Whether this holds over what was known. A new incarnation holds over the old, dead or not, and
    /// within one incarnation only a later standing does: the same in whatever order news arrive.
    #[must_use]
    pub fn holds_over(&self, incarnation: u64, standing: Standing) -> bool {
        (self.incarnation, self.standing) > (incarnation, standing)
    }
}

/// A member, as this instance knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it hears.
    pub place: Place,
    /// Its last incarnation that was heard of.
    pub incarnation: u64,
    /// How it stands.
    pub standing: Standing,
    /// Since when.
    pub since: Micros,
    /// Who found that.
    pub by: MemberId,
    pub(crate) suspicion: Option<Suspicion>,
}

impl Member {
    pub(crate) fn new(update: &Update, now: Micros) -> Self {
        Self {
            name: update.name.clone(),
            place: update.place,
            incarnation: update.incarnation,
            standing: update.standing,
            since: now.saturating_sub(Micros::from(update.age_s) * 1_000_000),
            by: update.by,
            suspicion: None,
        }
    }

    pub(crate) fn update(&self, id: MemberId, now: Micros) -> Update {
        Update {
            id,
            name: self.name.clone(),
            place: self.place,
            incarnation: self.incarnation,
            standing: self.standing,
            by: self.by,
            age_s: u32::try_from(now.saturating_sub(self.since) / 1_000_000).unwrap_or(u32::MAX),
        }
    }
}
