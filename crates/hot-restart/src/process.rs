//! The state machine of one of the two processes: its share of the limits and its stage.

use crate::announcement::{Announcement, Stage};
use crate::generation::Generation;
use crate::share::{LimitShare, FULL_SHARE, HALF_SHARE, STARTUP_SHARE};

/// Microseconds on the process's own monotonic clock.
pub type Micros = u64;

/// The newer process starts to serve when it has at least this share.
const MIN_SERVING_SHARE: LimitShare = FULL_SHARE / 4;
/// The longest time that a process stays [`Stage::Joining`] (us): after that it serves with the share that it has,
/// however much the older process has in use. The platform is waiting for it to be ready.
const MAX_JOINING_US: Micros = 3_000_000;

/// The state of the other process, as far as it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// There is no other process.
    Absent,
    /// Another process is running, but its announcement can't be read at present.
    Unreadable,
    /// Another process is running, and this is its announcement.
    Announced(Announcement),
}

/// The state of one of the two processes. See the [crate].
#[derive(Clone, Debug)]
pub struct HotRestart {
    own: Announcement,
    /// When the process started, on its own clock.
    started: Micros,
    /// The last known announcement of the other process, or an assumed one; `None` if there is no other process.
    peer: Option<Announcement>,
}

impl HotRestart {
    /// The state of a process that starts at `now` and does not serve yet. `generation` must be unique.
    #[must_use]
    pub fn start(generation: Generation, now: Micros) -> Self {
        let own =
            Announcement { generation, stage: Stage::Joining, share: STARTUP_SHARE, acknowledged_peer: 0 };
        Self { own, started: now, peer: None }
    }

    /// Sets the generation of a process that could not take a lock when it started.
    pub fn set_generation(&mut self, generation: Generation) {
        self.own.generation = generation;
    }

    /// The announcement of this process. It must be published before this process acts on it.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        self.own
    }

    /// The announcement of the other process as last seen, or as assumed while it can't be read; `None` if there is
    /// no other process.
    #[must_use]
    pub fn peer(&self) -> Option<Announcement> {
        self.peer
    }

    /// Updates this process's state from what was read of the other one. `in_use` is the share of the limits that
    /// this process uses now. Returns whether the announcement of this process has changed.
    pub fn observe(&mut self, now: Micros, peer: Peer, in_use: LimitShare) -> bool {
        let previous = self.own;
        self.peer = match peer {
            Peer::Absent => None,
            Peer::Announced(announcement) => Some(announcement),
            Peer::Unreadable => Some(self.peer.unwrap_or_else(|| self.assumed_peer())),
        };
        self.own.share = self.next_share(in_use);
        self.own.acknowledged_peer = self.peer.map_or(0, |peer| peer.generation);
        let may_serve = self.own.share >= MIN_SERVING_SHARE || now >= self.started + MAX_JOINING_US;
        if self.own.stage == Stage::Joining && may_serve {
            self.own.stage = Stage::Serving;
        }
        self.own != previous
    }

    /// The announcement assumed for a process that was never readable: a newer process with the largest possible
    /// share, so that the share of this process does not grow.
    fn assumed_peer(&self) -> Announcement {
        Announcement {
            generation: self.own.generation + 1,
            stage: Stage::Joining,
            share: FULL_SHARE - STARTUP_SHARE,
            acknowledged_peer: 0,
        }
    }

    /// The share of this process after the last update of `peer`.
    fn next_share(&self, in_use: LimitShare) -> LimitShare {
        let Some(peer) = self.peer else { return FULL_SHARE - STARTUP_SHARE };
        // A leaving process gives up shares too, but not below half or what it uses: its open requests need the
        // share, and clients that stay connected send further requests.
        let gives_up_share = self.own.stage == Stage::Leaving || self.own.generation < peer.generation;
        if gives_up_share {
            return self.own.share.min(HALF_SHARE.max(in_use)).max(STARTUP_SHARE);
        }
        // Until the older process acknowledges this one, it may still act on having seen no peer: its announced share
        // is not final.
        if peer.acknowledged_peer != self.own.generation {
            return self.own.share;
        }
        let available = (FULL_SHARE - peer.share).min(FULL_SHARE - STARTUP_SHARE);
        self.own.share.max(available)
    }

    /// Records that this process was told to shut down.
    pub fn begin_leaving(&mut self) {
        self.own.stage = Stage::Leaving;
    }

    /// The state of both processes, as this one sees it now.
    #[must_use]
    pub fn status(&self) -> RestartStatus {
        RestartStatus { own: self.own, peer: self.peer }
    }
}

/// The state of both processes of a dispatcher, as one of them sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartStatus {
    /// The announcement of this process.
    pub own: Announcement,
    /// The announcement of the other process; `None` if there is none.
    pub peer: Option<Announcement>,
}

impl RestartStatus {
    /// Whether this process is leaving and the other one serves, so that this one need not accept new connections.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        let peer_serves = self.peer.is_some_and(|peer| peer.stage == Stage::Serving);
        self.own.stage == Stage::Leaving && peer_serves
    }
}
