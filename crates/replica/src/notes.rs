//! Notes about servers: that one drains, has gone, or is cold since when. The last writer's holds, by a hybrid logical
//! clock: close to real time, and yet what was written by one that had read another comes after that one.

use std::collections::BTreeMap;

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// A stamp so far ahead of this instance's clock (ms) is not taken: it would hold over all others for that long.
pub const MOST_AHEAD_MS: u64 = 10_000;

/// When something was written, and by whom: no two are the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Real time (Unix, ms), or that of what was read before, where that is later.
    pub wall_ms: u64,
    /// Counts what falls into the same millisecond.
    pub count: u32,
    /// Who wrote.
    pub by: MemberId,
}

/// What is noted of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Said {
    /// Nothing any more.
    Nothing,
    /// It drains: nothing new goes there.
    Draining,
    /// It has gone.
    Gone,
    /// It started then (Unix time, ms) and is cold.
    ColdSince(u64),
}

/// A note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Which server, by a stable hash of its id in the list.
    pub server: u64,
    /// What.
    pub said: Said,
    /// When, and by whom.
    pub stamp: Stamp,
    /// When all forget it (Unix time, us).
    pub expires: Micros,
}

/// The notes of one instance.
#[derive(Clone, Debug, Default)]
pub struct Notes {
    held: BTreeMap<u64, Note>,
    last: Stamp,
}

impl Notes {
    /// Servers of which notes are held, at most; more are not noted.
    pub const MOST: usize = 4_096;

    /// Writes a note, later than all that was read.
    pub fn write(&mut self, server: u64, said: Said, by: MemberId, now: Micros, expires: Micros) -> Note {
        let wall_ms = (now / 1_000).max(self.last.wall_ms);
        let count = if wall_ms == self.last.wall_ms { self.last.count + 1 } else { 0 };
        self.last = Stamp { wall_ms, count, by };
        let note = Note { server, said, stamp: self.last, expires };
        self.take(note, now);
        note
    }

    /// Takes a note where it is the later; whether it was.
    pub fn take(&mut self, note: Note, now: Micros) -> bool {
        let ahead = note.stamp.wall_ms > now / 1_000 + MOST_AHEAD_MS;
        if ahead
            || note.expires <= now
            || (self.held.len() >= Self::MOST && !self.held.contains_key(&note.server))
        {
            return false;
        }
        self.last = self.last.max(note.stamp);
        match self.held.get_mut(&note.server) {
            Some(own) if own.stamp >= note.stamp => false,
            Some(own) => {
                *own = note;
                true
            }
            None => {
                self.held.insert(note.server, note);
                true
            }
        }
    }

    /// What holds of a server.
    #[must_use]
    pub fn of(&self, server: u64) -> Said {
        self.held.get(&server).map_or(Said::Nothing, |note| note.said)
    }

    /// All notes.
    pub fn iter(&self) -> impl Iterator<Item = &Note> {
        self.held.values()
    }

    /// Forgets what is over. One that says nothing any more is kept to its time like any other: until then an older
    /// note could come from one that has not heard.
    pub fn expire(&mut self, now: Micros) {
        self.held.retain(|_, note| note.expires > now);
    }
}
