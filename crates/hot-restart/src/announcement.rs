//! The state that a process announces to its peer, and the line format of announcements.

use crate::generation::Generation;
use crate::share::{LimitShare, FULL_SHARE};

/// The stage of a process between start and shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Started, but not serving yet: waiting for a share of the limits.
    Joining,
    /// Serving requests.
    Serving,
    /// Told to shut down.
    Leaving,
}

impl Stage {
    /// The name of the stage in an announcement.
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

/// The state of a process as it announces it to its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The process's generation. The process with the lower generation is the older one.
    pub generation: Generation,
    /// The process's stage.
    pub stage: Stage,
    /// The share of the limits that the process may use.
    pub share: LimitShare,
    /// The generation of the peer that the process has seen; 0 if none. A newer peer takes over only
    /// shares that were given up in an announcement that acknowledges that peer.
    pub acknowledged_peer: Generation,
}

impl Announcement {
    /// The announcement as a line: generation, stage, share and acknowledged peer, separated by spaces.
    #[must_use]
    pub fn to_line(self) -> String {
        format!("{} {} {} {}\n", self.generation, self.stage.name(), self.share, self.acknowledged_peer)
    }

    /// Parses a line. Returns `None` if it is incomplete (without a line feed) or malformed.
    #[must_use]
    pub fn from_line(line: &str) -> Option<Self> {
        let mut fields = line.strip_suffix('\n')?.split(' ');
        let generation = fields.next()?.parse().ok()?;
        let stage = Stage::from_name(fields.next()?)?;
        let share = fields.next()?.parse().ok().filter(|share| *share <= FULL_SHARE)?;
        let acknowledged_peer = fields.next()?.parse().ok()?;
        let is_end = fields.next().is_none();
        is_end.then_some(Self { generation, stage, share, acknowledged_peer })
    }
}
