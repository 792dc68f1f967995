//! The key space in ranges, who holds which, and digests by which two copies of a range are compared.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::record::{Record, RecordId};
use crate::Micros;

/// Ranges of the key space. All records of one lie at the same instances.
pub const RANGES: usize = 64;
/// Parts of a range that are compared each by a digest of its own.
pub const BUCKETS: usize = 64;

/// Who holds which range: by rendezvous hash over the instances that the operator names, whether they are up or not.
/// Were it over those that are up, two sides of a cut would each have a set of their own, with nobody in common.
#[derive(Clone, Debug)]
pub struct Ranges {
    holders: Vec<Vec<MemberId>>,
}

impl Ranges {
    /// Each range at so many of these.
    #[must_use]
    pub fn new(members: &[MemberId], copies: usize) -> Self {
        let holders = |range: usize| {
            let score = |id: &MemberId| xxh3_64_with_seed(&id.0.to_le_bytes(), range as u64);
            let mut ranked: Vec<MemberId> = members.to_vec();
            ranked.sort_unstable_by_key(|id| (std::cmp::Reverse(score(id)), *id));
            ranked.dedup();
            ranked.truncate(copies);
            ranked
        };
        Self { holders: (0..RANGES).map(holders).collect() }
    }

    /// The range of a record.
    #[must_use]
    pub fn of(id: RecordId) -> usize {
        usize::from(id.0[0]) % RANGES
    }

    /// Who holds a range.
    #[must_use]
    pub fn holders(&self, range: usize) -> &[MemberId] {
        self.holders.get(range).map_or(&[], Vec::as_slice)
    }
}

/// The records that an instance holds, with a digest of each bucket that is kept up with every change.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<RecordId, Record>,
    digests: BTreeMap<(usize, usize), u64>,
    /// What lies in a bucket.
    placed: BTreeMap<(usize, usize), BTreeSet<RecordId>>,
    expiry: BTreeSet<(Micros, RecordId)>,
}

impl Store {
    /// A record's copy.
    #[must_use]
    pub fn get(&self, id: RecordId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// How many are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// None is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (RecordId, &Record)> {
        self.records.iter().map(|(&id, record)| (id, record))
    }

    /// Takes over what a copy knows; whether that changed anything. What is over by `now` is not taken.
    pub fn merge(&mut self, id: RecordId, copy: &Record, now: Micros) -> bool {
        if copy.expires <= now {
            return false;
        }
        let Some(own) = self.records.get_mut(&id) else {
            self.records.insert(id, copy.clone());
            self.placed.entry(Self::at(id)).or_default().insert(id);
            self.expiry.insert((copy.expires, id));
            self.turn(id, hash(id, copy));
            return true;
        };
        let (expired, before) = (own.expires, hash(id, own));
        if !own.merge(copy) {
            return false;
        }
        let (expires, after) = (own.expires, hash(id, own));
        self.expiry.remove(&(expired, id));
        self.expiry.insert((expires, id));
        self.turn(id, before ^ after);
        true
    }

    /// Forgets what is over; how many that were.
    pub fn expire(&mut self, now: Micros) -> usize {
        let mut gone = 0;
        while let Some(&(_, id)) = self.expiry.first().filter(|(expires, _)| *expires <= now) {
            self.expiry.pop_first();
            if let Some(record) = self.records.remove(&id) {
                self.turn(id, hash(id, &record));
                self.placed.entry(Self::at(id)).or_default().remove(&id);
                gone += 1;
            }
        }
        gone
    }

    /// A digest of each bucket of a range: equal where equal records lie in it.
    #[must_use]
    pub fn digests(&self, range: usize) -> Vec<u64> {
        (0..BUCKETS).map(|at| self.digests.get(&(range, at)).copied().unwrap_or(0)).collect()
    }

    /// What lies in a bucket.
    pub fn bucket(&self, range: usize, at: usize) -> impl Iterator<Item = (RecordId, &Record)> {
        let ids = self.placed.get(&(range, at)).into_iter().flatten();
        ids.filter_map(|&id| Some((id, self.records.get(&id)?)))
    }

    /// The bucket of its range that a record lies in.
    #[must_use]
    pub fn bucket_of(id: RecordId) -> usize {
        usize::from(id.0[1]) % BUCKETS
    }

    fn at(id: RecordId) -> (usize, usize) {
        (Ranges::of(id), Self::bucket_of(id))
    }

    /// Puts a record's hash into its bucket's digest, or takes it out: they are joined by exclusive or.
    fn turn(&mut self, id: RecordId, hash: u64) {
        *self.digests.entry(Self::at(id)).or_default() ^= hash;
    }
}

fn hash(id: RecordId, record: &Record) -> u64 {
    postcard::to_allocvec(&(id, record)).map_or(0, |bytes| xxh3_64(&bytes))
}
