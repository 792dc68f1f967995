//! Storage: the copies of records that an instance holds, and digests by which two holders compare their copies.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::placement::Placement;
use crate::record::{Record, RecordId};
use crate::Micros;

/// Number of buckets of a range. Each bucket has a digest of its own, so that a comparison shows which ones differ.
pub const BUCKETS: usize = 64;

/// A bucket: its range, and its position within the range.
type BucketId = (usize, usize);

/// The records that an instance holds. The digest of a bucket is updated on every change of its records.
#[derive(Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<RecordId, Record>,
    /// The digest of each bucket: the exclusive or of its records' hashes.
    digests: BTreeMap<BucketId, u64>,
    by_bucket: BTreeMap<BucketId, BTreeSet<RecordId>>,
    by_expiry: BTreeSet<(Micros, RecordId)>,
}

impl RecordStore {
    /// The copy of a record, if one is held.
    #[must_use]
    pub fn get(&self, id: RecordId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// The number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the store holds no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records, by id.
    pub fn iter(&self) -> impl Iterator<Item = (RecordId, &Record)> {
        self.records.iter().map(|(&id, record)| (id, record))
    }

    /// Merges a copy; returns whether that changed the store. A copy that has expired by `now` is ignored.
    pub fn merge(&mut self, id: RecordId, copy: &Record, now: Micros) -> bool {
        if copy.expires <= now {
            return false;
        }
        let Some(own) = self.records.get_mut(&id) else {
            self.insert(id, copy.clone());
            return true;
        };
        // `expired` is the expiry before the merge, by which the record is indexed.
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
        self.by_bucket.entry(Self::bucket_id(id)).or_default().insert(id);
        self.by_expiry.insert((record.expires, id));
        self.toggle_in_digest(id, hash(id, &record));
        self.records.insert(id, record);
    }

    /// Drops records that have expired; returns their number.
    pub fn expire(&mut self, now: Micros) -> usize {
        let mut expired = 0;
        while let Some(&(_, id)) = self.by_expiry.first().filter(|(expires, _)| *expires <= now) {
            self.by_expiry.pop_first();
            let Some(record) = self.records.remove(&id) else { continue };
            self.toggle_in_digest(id, hash(id, &record));
            self.by_bucket.entry(Self::bucket_id(id)).or_default().remove(&id);
            expired += 1;
        }
        expired
    }

    /// The digest of each bucket of a range, by position. Two holders have the same digest of a bucket if they hold
    /// the same records of it.
    #[must_use]
    pub fn digests(&self, range: usize) -> Vec<u64> {
        (0..BUCKETS).map(|position| self.digests.get(&(range, position)).copied().unwrap_or(0)).collect()
    }

    /// The records of a bucket, by id. `range` and `position` identify the bucket.
    pub fn bucket_records(&self, range: usize, position: usize) -> impl Iterator<Item = (RecordId, &Record)> {
        let ids = self.by_bucket.get(&(range, position)).into_iter().flatten();
        ids.filter_map(|&id| Some((id, self.records.get(&id)?)))
    }

    /// The position of a record's bucket within its range, below [`BUCKETS`].
    #[must_use]
    pub fn bucket_of(id: RecordId) -> usize {
        usize::from(id.0[1]) % BUCKETS
    }

    fn bucket_id(id: RecordId) -> BucketId {
        (Placement::range_of(id), Self::bucket_of(id))
    }

    /// Adds a record's hash to its bucket's digest, or removes it: exclusive or is its own inverse.
    fn toggle_in_digest(&mut self, id: RecordId, hash: u64) {
        *self.digests.entry(Self::bucket_id(id)).or_default() ^= hash;
    }
}

/// The hash of a copy, over its encoding. Digests of these hashes are compared between instances, so the encoding of
/// a record is part of the protocol.
fn hash(id: RecordId, record: &Record) -> u64 {
    postcard::to_allocvec(&(id, record)).map_or(0, |bytes| xxh3_64(&bytes))
}
