//! One of the two processes: what it holds, and how far it has come.

use crate::announcement::{Announcement, Stage};
use crate::generation::Generation;
use crate::share::{LimitShare, FULL_SHARE, HALF_SHARE, STARTUP_SHARE};

/// Microseconds, on a clock of the process's own that only goes forward.
pub type Micros = u64;

/// With this share the later process can serve.
const MIN_SERVING_SHARE: LimitShare = FULL_SHARE / 4;
/// But however full the first one is, the later one does not wait for longer (us): the platform waits for it to be ready.
const MAX_JOINING_US: Micros = 3_000_000;

/// What is seen of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// There is none.
    Absent,
    /// It lives, but its announcement can't be read just now.
    Unreadable,
    /// It lives and announces this.
    Announced(Announcement),
}

/// One of the two processes. See the [crate].
#[derive(Clone, Debug)]
pub struct HotRestart {
    own: Announcement,
    /// When it started, on its own clock.
    started: Micros,
    peer: Option<Announcement>,
}

impl HotRestart {
    /// One that starts; it serves nobody yet. No two have the same generation.
    #[must_use]
    pub fn start(generation: Generation, now: Micros) -> Self {
        let own =
            Announcement { generation, stage: Stage::Joining, share: STARTUP_SHARE, acknowledged_peer: 0 };
        Self { own, started: now, peer: None }
    }

    /// The same process under its generation: it had none while it could take no lock.
    pub fn set_generation(&mut self, generation: Generation) {
        self.own.generation = generation;
    }

    /// What it announces of itself: to be announced before it is acted on.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        self.own
    }

    /// The other process, as last seen.
    #[must_use]
    pub fn peer(&self) -> Option<Announcement> {
        self.peer
    }

    /// Takes what is seen of the other process; `in_use` is the share of the limits that is in use here now. Whether its
    /// own announcement has changed.
    pub fn observe(&mut self, now: Micros, peer: Peer, in_use: LimitShare) -> bool {
        let before = self.own;
        self.peer = match peer {
            Peer::Absent => None,
            Peer::Announced(announcement) => Some(announcement),
            Peer::Unreadable => Some(self.peer.unwrap_or_else(|| self.worst_peer())),
        };
        self.own.share = self.next_share(in_use);
        self.own.acknowledged_peer = self.peer.map_or(0, |peer| peer.generation);
        let may_serve = self.own.share >= MIN_SERVING_SHARE || now >= self.started + MAX_JOINING_US;
        if self.own.stage == Stage::Joining && may_serve {
            self.own.stage = Stage::Serving;
        }
        self.own != before
    }

    /// One that can't be read is taken to hold all that it could: nothing is raised for it.
    fn worst_peer(&self) -> Announcement {
        Announcement {
            generation: self.own.generation + 1,
            stage: Stage::Joining,
            share: FULL_SHARE - STARTUP_SHARE,
            acknowledged_peer: 0,
        }
    }

    fn next_share(&self, in_use: LimitShare) -> LimitShare {
        let Some(peer) = self.peer else { return FULL_SHARE - STARTUP_SHARE };
        // Also on its way out: what it still has open needs its share, and clients that stay ask on.
        let gives_up = self.own.stage == Stage::Leaving || self.own.generation < peer.generation;
        if gives_up {
            return self.own.share.min(HALF_SHARE.max(in_use)).max(STARTUP_SHARE);
        }
        // It may act on having seen nobody before this one came: until it acknowledges this one, nothing is sure.
        if peer.acknowledged_peer != self.own.generation {
            return self.own.share;
        }
        let left = (FULL_SHARE - peer.share).min(FULL_SHARE - STARTUP_SHARE);
        self.own.share.max(left)
    }

    /// It has been told to end.
    pub fn begin_leaving(&mut self) {
        self.own.stage = Stage::Leaving;
    }

    /// Both processes, as this one sees them now.
    #[must_use]
    pub fn status(&self) -> RestartStatus {
        RestartStatus { own: self.own, peer: self.peer }
    }
}

/// Both processes of a dispatcher, as one of them sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartStatus {
    /// What this process announces.
    pub own: Announcement,
    /// What the other one announces, if there is one.
    pub peer: Option<Announcement>,
}

impl RestartStatus {
    /// Whether the other process serves in the place of this one, so that new clients need not be taken here.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        let peer_serves = self.peer.is_some_and(|peer| peer.stage == Stage::Serving);
        self.own.stage == Stage::Leaving && peer_serves
    }
}
