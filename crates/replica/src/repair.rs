//! Anti-entropy repair: an instance compares its copies with those of other holders by digests, and both send each
//! other the records of the buckets that differ. In this way an instance that has just started catches up with each
//! of its ranges before it accepts offers for it.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;

use crate::placement::{Placement, RANGES};
use crate::record::RecordId;
use crate::settings::Settings;
use crate::storage::{RecordStore, BUCKETS};
use crate::{Copies, Micros};

/// Number of ranges compared in one tick while catching up. It is limited because the answers, which come back all at
/// once, must fit into the socket's receive buffer.
const RANGES_PER_TICK: usize = 4;
/// Maximum number of records of a range sent in answer to one comparison. Later comparisons bring the rest.
const MAX_RECORDS_PER_ANSWER: usize = 240;
/// After a start, an instance waits for the settle time and, on top, for the settle time divided by this: offers that
/// count on its last incarnation are timed by the clocks of other instances, which may run slower.
const CLOCK_DRIFT_DIVISOR: Micros = 10;

/// The progress with a range that this instance has not caught up with.
#[derive(Debug, Default)]
struct CatchUp {
    /// Holders whose copies were found equal to those here.
    equal_at: BTreeSet<MemberId>,
    /// The holders among these that had caught up with the range themselves.
    caught_up_at: BTreeSet<MemberId>,
}

/// A comparison to be made: this instance sends the digests of a range to another holder of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Comparison {
    pub(crate) range: usize,
    pub(crate) with: MemberId,
}

/// Decides which ranges are compared with which holders and when, and which records are sent in answer.
#[derive(Debug)]
pub(crate) struct Repair {
    own_id: MemberId,
    /// Ranges held here that this instance has not caught up with.
    behind: BTreeMap<usize, CatchUp>,
    /// When catching up begins. Until then, offers that count on a record from this instance's last incarnation may
    /// still be granted, so equal copies don't show that the record exists nowhere.
    settled_at: Micros,
    /// Ticks since the start, by which groups of the ranges that are behind take turns.
    ticks: usize,
    /// When the next round is due.
    next_round_at: Micros,
    /// Rounds begun since the start. A round compares one range that is caught up with one holder.
    rounds: usize,
    /// For each holder and range, the last record sent to it in answer to a comparison; the next answer continues
    /// after it.
    last_sent: BTreeMap<(MemberId, usize), RecordId>,
}

impl Repair {
    /// The state at the start of an instance: it is behind with all of its ranges, unless each record has a single
    /// copy.
    pub(crate) fn new(placement: &Placement, settings: &Settings, now: Micros) -> Self {
        let mut behind = BTreeMap::new();
        for range in 0..RANGES {
            if settings.copies > 1 && placement.is_holder(settings.own_id, range) {
                behind.insert(range, CatchUp::default());
            }
        }
        Self {
            own_id: settings.own_id,
            behind,
            settled_at: now + settings.settle_time + settings.settle_time / CLOCK_DRIFT_DIVISOR,
            ticks: 0,
            next_round_at: now,
            rounds: 0,
            last_sent: BTreeMap::new(),
        }
    }

    /// The number of ranges held here that this instance has not caught up with.
    pub(crate) fn count_behind(&self) -> usize {
        self.behind.len()
    }

    /// Whether this instance is a holder of the range and has not caught up with it.
    pub(crate) fn is_behind(&self, range: usize) -> bool {
        self.behind.contains_key(&range)
    }

    /// The number of rounds begun since the start.
    pub(crate) fn rounds(&self) -> usize {
        self.rounds
    }

    /// The comparisons to make in this tick in order to catch up: the next [`RANGES_PER_TICK`] ranges that are
    /// behind, each with all holders whose copies were not found equal yet. None until [`Self::settled_at`].
    pub(crate) fn catch_up_comparisons(&mut self, placement: &Placement, now: Micros) -> Vec<Comparison> {
        self.ticks += 1;
        if now < self.settled_at {
            return Vec::new();
        }
        let groups = self.behind.len().div_ceil(RANGES_PER_TICK).max(1);
        let first_range = self.ticks % groups * RANGES_PER_TICK;
        let mut comparisons = Vec::new();
        for (&range, catch_up) in self.behind.iter().skip(first_range).take(RANGES_PER_TICK) {
            for with in placement.other_holders(range, self.own_id) {
                if !catch_up.equal_at.contains(&with) {
                    comparisons.push(Comparison { range, with });
                }
            }
        }
        comparisons
    }

    /// Returns whether a round is due; if so, schedules the next one.
    pub(crate) fn take_due_round(&mut self, now: Micros, interval: Micros) -> bool {
        if now < self.next_round_at {
            return false;
        }
        self.next_round_at = now + interval;
        true
    }

    /// The ranges held here that this instance has caught up with.
    pub(crate) fn caught_up_ranges(&self, placement: &Placement) -> Vec<usize> {
        let own = (0..RANGES).filter(|&range| placement.is_holder(self.own_id, range));
        own.filter(|range| !self.is_behind(*range)).collect()
    }

    /// Begins a round: picks the next of `ranges`, which must not be empty, and the next of its other holders in
    /// turn.
    pub(crate) fn begin_round(&mut self, ranges: &[usize], placement: &Placement) -> Option<Comparison> {
        self.rounds += 1;
        let range = ranges[self.rounds % ranges.len()];
        let others = placement.other_holders(range, self.own_id);
        if others.is_empty() {
            return None;
        }
        let with = others[self.rounds / ranges.len() % others.len()];
        Some(Comparison { range, with })
    }

    /// Records that a holder found its copies of a range equal to those here, and whether it has caught up with the
    /// range itself. Returns whether this instance has caught up with the range by that.
    pub(crate) fn found_equal(
        &mut self,
        from: MemberId,
        range: usize,
        sender_caught_up: bool,
        settings: &Settings,
    ) -> bool {
        let Some(catch_up) = self.behind.get_mut(&range) else { return false };
        catch_up.equal_at.insert(from);
        if sender_caught_up {
            catch_up.caught_up_at.insert(from);
        }
        let others = settings.copies - 1;
        // Any quorum has a holder in common with this many others: a record that none of them has was never held by a
        // quorum.
        let required = settings.copies - settings.quorum + 1;
        // If all other holders have equal copies, no holder has more records. This is how a cluster that starts
        // catches up, where no holder has caught up yet.
        let is_caught_up =
            catch_up.caught_up_at.len() >= required.min(others) || catch_up.equal_at.len() >= others;
        if is_caught_up {
            self.behind.remove(&range);
        }
        is_caught_up
    }

    /// The records to send to a holder in answer to a comparison: at most [`MAX_RECORDS_PER_ANSWER`] of the given
    /// buckets of a range. They continue after the last record sent before, and wrap around, so that repeated
    /// comparisons send all records even of a large bucket.
    pub(crate) fn next_records(
        &mut self,
        to: MemberId,
        range: usize,
        buckets: BucketSet,
        store: &RecordStore,
    ) -> Copies {
        let last = self.last_sent.get(&(to, range)).copied();
        let first_bucket = last.map_or(0, RecordStore::bucket_of);
        let is_after_last = |id: RecordId| match last {
            Some(last) => RecordStore::bucket_of(id) != first_bucket || id > last,
            None => true,
        };
        let mut records = Vec::new();
        let mut deferred = Vec::new();
        for offset in 0..BUCKETS {
            let bucket = (first_bucket + offset) % BUCKETS;
            if !buckets.contains(bucket) {
                continue;
            }
            for (id, record) in store.bucket_records(range, bucket) {
                if records.len() == MAX_RECORDS_PER_ANSWER {
                    break;
                }
                let part = if is_after_last(id) { &mut records } else { &mut deferred };
                part.push((id, record));
            }
        }
        // Records up to the last one sent, in its bucket, come last in the rotation.
        deferred.truncate(MAX_RECORDS_PER_ANSWER - records.len());
        records.append(&mut deferred);
        if let Some((id, _)) = records.last() {
            self.last_sent.insert((to, range), *id);
        }
        records.into_iter().map(|(id, record)| (id, record.clone())).collect()
    }
}

/// A set of buckets of a range, one bit for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BucketSet(pub(crate) u64);

impl BucketSet {
    /// The buckets whose digests differ between two holders.
    pub(crate) fn differing(own: &[u64], others: &[u64]) -> Self {
        let mut set = Self::default();
        for (bucket, (own, other)) in own.iter().zip(others).enumerate() {
            if own != other {
                set.0 |= 1 << bucket;
            }
        }
        set
    }

    pub(crate) fn is_empty(self) -> bool {
        self.0 == 0
    }

    fn contains(self, bucket: usize) -> bool {
        self.0 & (1 << bucket) != 0
    }
}
