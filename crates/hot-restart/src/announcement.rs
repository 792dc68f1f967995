//! What a process announces of itself, and the line in which it does.

use crate::generation::Generation;
use crate::share::{LimitShare, FULL_SHARE};

/// How far a process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has started and does not serve yet.
    Joining,
    /// It serves.
    Serving,
    /// It has been told to end.
    Leaving,
}

impl Stage {
    /// Its word in an announcement.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
        }
    }

    fn from_name(name: &str) -> Option<Self> {
        [Self::Joining, Self::Serving, Self::Leaving].into_iter().find(|stage| stage.name() == name)
    }
}

/// What a process announces of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Tells who was first: each takes a number above all that it finds.
    pub generation: Generation,
    /// How far it has come.
    pub stage: Stage,
    /// The share of the limits that it holds at most.
    pub share: LimitShare,
    /// The generation of the peer that it knows of; 0 for none. Only a peer that is known may count on what was given up.
    pub acknowledged_peer: Generation,
}

impl Announcement {
    /// As one line: generation, stage, share, acknowledged peer.
    #[must_use]
    pub fn to_line(self) -> String {
        format!("{} {} {} {}\n", self.generation, self.stage.name(), self.share, self.acknowledged_peer)
    }

    /// Reads a line; `None` for one that is not complete or is none.
    #[must_use]
    pub fn from_line(line: &str) -> Option<Self> {
        let mut words = line.strip_suffix('\n')?.split(' ');
        let generation = words.next()?.parse().ok()?;
        let stage = Stage::from_name(words.next()?)?;
        let share = words.next()?.parse().ok().filter(|share| *share <= FULL_SHARE)?;
        let acknowledged_peer = words.next()?.parse().ok()?;
        let is_end = words.next().is_none();
        is_end.then_some(Self { generation, stage, share, acknowledged_peer })
    }
}
