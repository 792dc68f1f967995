//! The table of ids of a process: buckets with a bounded number of places each, and their form in a file.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt as _;

use dewladder_router::mix;

use crate::interface::{Micros, RequestId};

/// How long an id is kept at least after its request has ended (us).
pub const RETENTION: Micros = 600_000_000;
/// Number of buckets of a table.
pub(super) const BUCKETS: usize = 256;
/// Maximum number of ids in a bucket. All buckets together hold 65,536 ids in 1 MiB.
const BUCKET_IDS: usize = 256;
/// The length of a record in a file: the id, and whether it is in use (bytes).
pub(super) const RECORD_BYTES: usize = 16;
/// The length of a bucket in a file (bytes).
pub(super) const BUCKET_BYTES: usize = BUCKET_IDS * RECORD_BYTES;

/// The ids that this process has recorded, and those in the file that it has taken over.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// Empty until the first id is recorded.
    buckets: Vec<Vec<Record>>,
}

/// The place of an id in a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Record {
    id: u64,
    /// From when the place may be used for another id (us): [`FREE`], [`OPEN`] or [`RETENTION`] after the request's end.
    reusable_at: Micros,
}

/// The place holds no id.
const FREE: Micros = 0;
/// The request is open.
const OPEN: Micros = Micros::MAX;

/// The position of a record: its bucket, and its place there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub(super) bucket: usize,
    pub(super) place: usize,
}

impl Table {
    pub(super) fn record(&self, position: Position) -> Record {
        self.buckets[position.bucket][position.place]
    }

    fn record_mut(&mut self, position: Position) -> &mut Record {
        &mut self.buckets[position.bucket][position.place]
    }

    pub(super) fn find(&self, id: RequestId) -> Option<Position> {
        let bucket = bucket_of(id);
        let is_wanted = |record: &Record| record.id == id.0 && record.is_used();
        let place = self.buckets.get(bucket)?.iter().position(is_wanted)?;
        Some(Position { bucket, place })
    }

    /// Adds an open id; `None` if there is no room for it.
    pub(super) fn insert(&mut self, id: RequestId, now: Micros) -> Option<Position> {
        if self.buckets.is_empty() {
            self.buckets = vec![Vec::new(); BUCKETS];
        }
        let bucket = bucket_of(id);
        let records = &mut self.buckets[bucket];
        let reusable = (0..records.len()).min_by_key(|&place| records[place].reusable_at);
        let place = match reusable.filter(|&place| records[place].reusable_at <= now) {
            Some(place) if records.len() == BUCKET_IDS || !records[place].is_used() => place,
            _ if records.len() < BUCKET_IDS => {
                records.push(Record::NONE);
                records.len() - 1
            }
            _ => return None,
        };
        records[place] = Record { id: id.0, reusable_at: OPEN };
        Some(Position { bucket, place })
    }

    /// Adds the ids of a process that has ended, as far as there is room.
    pub(super) fn merge(&mut self, bytes: &[u8], now: Micros) {
        for id in bytes.chunks_exact(RECORD_BYTES).filter_map(used_id) {
            if self.find(id).is_none() && self.insert(id, now).is_some() {
                self.end(id, now);
            }
        }
    }

    /// Frees the place of an id.
    pub(super) fn free(&mut self, position: Position) {
        self.record_mut(position).reusable_at = FREE;
    }

    /// Starts the retention of an id whose request has ended.
    pub(super) fn end(&mut self, id: RequestId, now: Micros) {
        if let Some(position) = self.find(id) {
            self.record_mut(position).reusable_at = now.saturating_add(RETENTION);
        }
    }

    /// Writes all ids to a file whose own ids have been merged.
    pub(super) fn write_to(&self, file: &File) -> io::Result<()> {
        for (bucket, records) in self.buckets.iter().enumerate().filter(|(_, records)| !records.is_empty()) {
            let mut bytes = [0; BUCKET_BYTES];
            for (place, record) in bytes.chunks_exact_mut(RECORD_BYTES).zip(records) {
                place.copy_from_slice(&record.to_bytes());
            }
            file.write_all_at(&bytes, Position { bucket, place: 0 }.offset())?;
        }
        Ok(())
    }
}

impl Record {
    const NONE: Self = Self { id: 0, reusable_at: FREE };

    fn is_used(self) -> bool {
        self.reusable_at != FREE
    }

    pub(super) fn to_bytes(self) -> [u8; RECORD_BYTES] {
        let id = if self.is_used() { self.id } else { 0 };
        (u128::from(id) | u128::from(self.is_used()) << 64).to_le_bytes()
    }
}

impl Position {
    /// The offset of the record in the file.
    pub(super) fn offset(self) -> u64 {
        (self.bucket * BUCKET_BYTES + self.place * RECORD_BYTES) as u64
    }
}

/// The id of a record in a file, if the record is in use.
pub(super) fn used_id(record: &[u8]) -> Option<RequestId> {
    let (id, is_used) = record.split_at(RECORD_BYTES / 2);
    let id = u64::from_le_bytes(id.try_into().ok()?);
    is_used.iter().any(|&byte| byte != 0).then_some(RequestId(id))
}

pub(super) fn bucket_of(id: RequestId) -> usize {
    (mix(id.0) % BUCKETS as u64) as usize
}
