//! Notes about servers: that one drains, has gone, or is in slow start since when. The last writer wins, by a hybrid
//! logical clock: close to real time, and yet what was written by one that had read another note comes after that one.

use std::collections::BTreeMap;

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// A timestamp further ahead of this instance's clock (ms) is not taken: it would win over all others for that long.
pub const MAX_AHEAD_MS: u64 = 10_000;

/// When something was written, and by whom: no two are the same. Compared field by field, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Real time (Unix, ms), or that of what was read before, where that is later.
    pub wall_ms: u64,
    /// Counts what falls into the same millisecond.
    pub counter: u32,
    /// Who wrote.
    pub writer: MemberId,
}

/// What is noted of a server. The order of variants is that of encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerStatus {
    /// Nothing any more.
    Cleared,
    /// It drains: nothing new goes there.
    Draining,
    /// It has gone.
    Gone,
    /// It is in slow start since then (Unix time, ms).
    SlowStartSince(u64),
}

/// A note about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The server, by a stable hash of its id in the list.
    pub server: u64,
    /// What is noted.
    pub status: ServerStatus,
    /// When, and by whom.
    pub timestamp: Timestamp,
    /// When all instances forget it (Unix time).
    pub expires: Micros,
}

/// The notes that an instance holds.
#[derive(Clone, Debug, Default)]
pub struct NoteStore {
    notes: BTreeMap<u64, Note>,
    latest: Timestamp,
}

impl NoteStore {
    /// Notes that are held at most; further servers are not noted.
    pub const MAX_NOTES: usize = 4_096;

    /// Writes a note, with a timestamp later than all that were read.
    pub fn write(
        &mut self,
        server: u64,
        status: ServerStatus,
        writer: MemberId,
        now: Micros,
        expires: Micros,
    ) -> Note {
        let wall_ms = (now / 1_000).max(self.latest.wall_ms);
        let counter = if wall_ms == self.latest.wall_ms { self.latest.counter + 1 } else { 0 };
        self.latest = Timestamp { wall_ms, counter, writer };
        let note = Note { server, status, timestamp: self.latest, expires };
        self.merge(note, now);
        note
    }

    /// Takes a note where it is the later one; whether it was.
    pub fn merge(&mut self, note: Note, now: Micros) -> bool {
        let is_ahead = note.timestamp.wall_ms > now / 1_000 + MAX_AHEAD_MS;
        let is_full = self.notes.len() >= Self::MAX_NOTES && !self.notes.contains_key(&note.server);
        if is_ahead || note.expires <= now || is_full {
            return false;
        }
        self.latest = self.latest.max(note.timestamp);
        let is_later = match self.notes.get(&note.server) {
            Some(own) => note.timestamp > own.timestamp,
            None => true,
        };
        if is_later {
            self.notes.insert(note.server, note);
        }
        is_later
    }

    /// What is noted of a server.
    #[must_use]
    pub fn status(&self, server: u64) -> ServerStatus {
        self.notes.get(&server).map_or(ServerStatus::Cleared, |note| note.status)
    }

    /// All notes, by server.
    pub fn iter(&self) -> impl Iterator<Item = &Note> {
        self.notes.values()
    }

    /// Forgets notes that have expired. A cleared one is kept to its time like any other: until then an older note
    /// could come from an instance that has not heard of it.
    pub fn expire(&mut self, now: Micros) {
        self.notes.retain(|_, note| note.expires > now);
    }
}
