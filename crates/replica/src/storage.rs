//! Storage: the copies that an instance holds, with digests by which two holders compare theirs.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::placement::Placement;
use crate::record::{Record, RecordId};
use crate::Micros;

/// Parts of a range, each compared by a digest of its own.
pub const BUCKETS: usize = 64;

/// A bucket: its range and its position in the range.
type Bucket = (usize, usize);

/// The records that an instance holds, with a digest of each bucket that is updated on every change.
#[derive(Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<RecordId, Record>,
    /// Of each bucket, the exclusive or of its records' hashes.
    digests: BTreeMap<Bucket, u64>,
    by_bucket: BTreeMap<Bucket, BTreeSet<RecordId>>,
    by_expiry: BTreeSet<(Micros, RecordId)>,
}

impl RecordStore {
    /// The copy of a record.
    #[must_use]
    pub fn get(&self, id: RecordId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// How many records are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (RecordId, &Record)> {
        self.records.iter().map(|(&id, record)| (id, record))
    }

    /// Merges a copy; whether that changed anything. One that has expired by `now` is not taken.
    pub fn merge(&mut self, id: RecordId, copy: &Record, now: Micros) -> bool {
        if copy.expires <= now {
            return false;
        }
        let Some(own) = self.records.get_mut(&id) else {
            self.insert(id, copy.clone());
            return true;
        };
        let (expired, hash_before) = (own.expires, hash(id, own));
        if !own.merge(copy) {
            return false;
        }
        let (expires, hash_after) = (own.expires, hash(id, own));
        self.by_expiry.remove(&(expired, id));
        self.by_expiry.insert((expires, id));
        self.toggle_in_digest(id, hash_before ^ hash_after);
        true
    }

    fn insert(&mut self, id: RecordId, record: Record) {
        self.by_bucket.entry(Self::bucket(id)).or_default().insert(id);
        self.by_expiry.insert((record.expires, id));
        self.toggle_in_digest(id, hash(id, &record));
        self.records.insert(id, record);
    }

    /// Forgets records that have expired; how many those were.
    pub fn expire(&mut self, now: Micros) -> usize {
        let mut expired = 0;
        while let Some(&(_, id)) = self.by_expiry.first().filter(|(expires, _)| *expires <= now) {
            self.by_expiry.pop_first();
            let Some(record) = self.records.remove(&id) else { continue };
            self.toggle_in_digest(id, hash(id, &record));
            self.by_bucket.entry(Self::bucket(id)).or_default().remove(&id);
            expired += 1;
        }
        expired
    }

    /// A digest of each bucket of a range: equal where the bucket has equal records.
    #[must_use]
    pub fn digests(&self, range: usize) -> Vec<u64> {
        (0..BUCKETS).map(|at| self.digests.get(&(range, at)).copied().unwrap_or(0)).collect()
    }

    /// The records of a bucket, by id.
    pub fn bucket_records(&self, range: usize, at: usize) -> impl Iterator<Item = (RecordId, &Record)> {
        let ids = self.by_bucket.get(&(range, at)).into_iter().flatten();
        ids.filter_map(|&id| Some((id, self.records.get(&id)?)))
    }

    /// The position of a record's bucket in its range.
    #[must_use]
    pub fn bucket_of(id: RecordId) -> usize {
        usize::from(id.0[1]) % BUCKETS
    }

    fn bucket(id: RecordId) -> Bucket {
        (Placement::range_of(id), Self::bucket_of(id))
    }

    /// Adds a record's hash to its bucket's digest, or removes it: the operation is its own inverse.
    fn toggle_in_digest(&mut self, id: RecordId, hash: u64) {
        *self.digests.entry(Self::bucket(id)).or_default() ^= hash;
    }
}

/// The hash of a copy. It is compared between instances: the encoding of a record is part of the protocol.
fn hash(id: RecordId, record: &Record) -> u64 {
    postcard::to_allocvec(&(id, record)).map_or(0, |bytes| xxh3_64(&bytes))
}
