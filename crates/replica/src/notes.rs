//! Notes about servers: that a server is draining, is gone, or has been in slow start since some time. The last
//! writer wins, by a hybrid logical clock: its timestamps are close to real time, but a note that an instance writes
//! after it has read another note is always the later of the two, even if the instance's clock is behind.

use std::collections::BTreeMap;

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// A note whose timestamp is further ahead of this instance's clock than this (ms) is rejected: it would win over all
/// other notes about its server until the clocks have caught up with it.
pub const MAX_AHEAD_MS: u64 = 10_000;

/// Hybrid logical timestamp of a note. Timestamps are compared field by field, in this order; `writer` makes those of
/// different instances distinct.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// The writer's Unix time (ms), or the latest `wall_ms` that the writer knew of, whichever is later.
    pub wall_ms: u64,
    /// Orders timestamps with the same `wall_ms`: one more than the counter of the latest one that the writer knew
    /// of, or 0.
    pub counter: u32,
    /// The instance that wrote the note.
    pub writer: MemberId,
}

/// The noted status of a server. Messages encode a variant as its position: new variants go last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerStatus {
    /// An earlier note no longer applies; also the status of a server without a note.
    Cleared,
    /// The server is draining: no new requests are sent to it.
    Draining,
    /// The server is gone.
    Gone,
    /// The server has been in slow start since this time (Unix time, ms).
    SlowStartSince(u64),
}

/// A note about one server, as instances store and exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The server: a hash of its id in the server list, the same at all instances.
    pub server: u64,
    /// The server's status.
    pub status: ServerStatus,
    /// Decides between two notes about the same server: the later one is kept.
    pub timestamp: Timestamp,
    /// When every instance drops the note (Unix time, us).
    pub expires: Micros,
}

/// The notes that an instance holds, at most one for each server.
#[derive(Clone, Debug, Default)]
pub struct NoteStore {
    notes: BTreeMap<u64, Note>,
    /// The latest timestamp written or read.
    latest: Timestamp,
}

impl NoteStore {
    /// Maximum number of notes held. When it is reached, notes about further servers are dropped.
    pub const MAX_NOTES: usize = 4_096;

    /// Writes a note whose timestamp is later than all that were read here, and returns it to be sent to the others.
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

    /// Stores a note if it is later than the stored one about the same server; returns whether it was stored. A note
    /// that has expired, is more than [`MAX_AHEAD_MS`] ahead, or finds the store full is rejected.
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

    /// The noted status of a server; [`ServerStatus::Cleared`] if there is no note about it.
    #[must_use]
    pub fn status(&self, server: u64) -> ServerStatus {
        self.notes.get(&server).map_or(ServerStatus::Cleared, |note| note.status)
    }

    /// All notes, in the order of [`Note::server`].
    pub fn iter(&self) -> impl Iterator<Item = &Note> {
        self.notes.values()
    }

    /// Drops notes that have expired. A [`ServerStatus::Cleared`] note is kept until it expires like any other:
    /// before that, an instance that has not received it could send an older note, which it overrides.
    pub fn expire(&mut self, now: Micros) {
        self.notes.retain(|_, note| note.expires > now);
    }
}
