//! Anti-entropy repair: an instance compares its copies with those of other holders, by digests, and both send what
//! differs. One that has just started catches up so with each of its ranges before it accepts offers for it.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;

use crate::placement::{Placement, RANGES};
use crate::record::RecordId;
use crate::settings::Settings;
use crate::storage::{RecordStore, BUCKETS};
use crate::{Copies, Micros};

/// Ranges that are caught up with at once: what comes back in answer must fit into a socket's buffer.
const RANGES_AT_ONCE: usize = 4;
/// Records of a range sent in answer to one comparison; the next comparison has the rest.
const RECORDS_AT_ONCE: usize = 240;
/// Clocks do not run alike: an instance that has started waits longer than offers last, by one part in so many.
const CLOCK_DRIFT_DIVISOR: Micros = 10;

/// A range that this instance has not caught up with.
#[derive(Debug, Default)]
struct CatchUp {
    /// Holders whose copies were found equal.
    equal_at: BTreeSet<MemberId>,
    /// Those of them that had caught up themselves.
    caught_up_at: BTreeSet<MemberId>,
}

/// A comparison to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Comparison {
    pub(crate) range: usize,
    pub(crate) with: MemberId,
}

/// Which copies are compared, when and with whom.
#[derive(Debug)]
pub(crate) struct Repair {
    own_id: MemberId,
    /// Ranges held here that have not been caught up with.
    behind: BTreeMap<usize, CatchUp>,
    /// Before that, a comparison shows nothing about what this instance held in its last incarnation.
    settled_at: Micros,
    ticks: usize,
    next_round_at: Micros,
    /// Rounds of comparing ranges that are caught up.
    rounds: usize,
    /// The record of a range that was last sent to a holder in answer to a comparison.
    last_sent: BTreeMap<(MemberId, usize), RecordId>,
}

impl Repair {
    /// An instance that has just started, and is behind with all of its ranges where others hold copies.
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

    /// How many ranges are behind.
    pub(crate) fn count_behind(&self) -> usize {
        self.behind.len()
    }

    pub(crate) fn is_behind(&self, range: usize) -> bool {
        self.behind.contains_key(&range)
    }

    /// How many rounds there were.
    pub(crate) fn rounds(&self) -> usize {
        self.rounds
    }

    /// The comparisons of a tick that serve to catch up: of the next ranges that are behind, with all holders whose
    /// copies were not found equal.
    pub(crate) fn catch_up_comparisons(&mut self, placement: &Placement, now: Micros) -> Vec<Comparison> {
        self.ticks += 1;
        if now < self.settled_at {
            return Vec::new();
        }
        let turns = self.behind.len().div_ceil(RANGES_AT_ONCE).max(1);
        let first = self.ticks % turns * RANGES_AT_ONCE;
        let mut comparisons = Vec::new();
        for (&range, catch_up) in self.behind.iter().skip(first).take(RANGES_AT_ONCE) {
            for with in placement.other_holders(range, self.own_id) {
                if !catch_up.equal_at.contains(&with) {
                    comparisons.push(Comparison { range, with });
                }
            }
        }
        comparisons
    }

    /// Whether a round is due; the next one is scheduled.
    pub(crate) fn take_round(&mut self, now: Micros, interval: Micros) -> bool {
        if now < self.next_round_at {
            return false;
        }
        self.next_round_at = now + interval;
        true
    }

    /// Ranges held here that are caught up.
    pub(crate) fn caught_up_ranges(&self, placement: &Placement) -> Vec<usize> {
        let own = (0..RANGES).filter(|&range| placement.is_holder(self.own_id, range));
        own.filter(|range| !self.is_behind(*range)).collect()
    }

    /// Begins a round: the next of these ranges, with its next holder in turn.
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

    /// Takes the word of a holder that its copies of a range equal those here; whether the range is caught up by that.
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
        // Any quorum that holds a record has one in common with so many others: what is not among them was never held.
        let enough = settings.copies - settings.quorum + 1;
        // Where all others are equal, nobody knows more, as when a cluster is started.
        let is_caught_up =
            catch_up.caught_up_at.len() >= enough.min(others) || catch_up.equal_at.len() >= others;
        if is_caught_up {
            self.behind.remove(&range);
        }
        is_caught_up
    }

    /// The next records of some buckets of a range for a holder, as many as are sent at once. They go on behind those
    /// that were sent last, and round again: however many records a bucket has, all of them are sent in time.
    pub(crate) fn next_records(
        &mut self,
        to: MemberId,
        range: usize,
        buckets: BucketSet,
        store: &RecordStore,
    ) -> Copies {
        let last = self.last_sent.get(&(to, range)).copied();
        let first_bucket = last.map_or(0, RecordStore::bucket_of);
        let is_behind_last = |id: RecordId| match last {
            Some(last) => RecordStore::bucket_of(id) != first_bucket || id > last,
            None => true,
        };
        let mut records = Vec::new();
        let mut skipped = Vec::new();
        for at in 0..BUCKETS {
            let bucket = (first_bucket + at) % BUCKETS;
            if !buckets.contains(bucket) {
                continue;
            }
            for (id, record) in store.bucket_records(range, bucket) {
                if records.len() == RECORDS_AT_ONCE {
                    break;
                }
                let part = if is_behind_last(id) { &mut records } else { &mut skipped };
                part.push((id, record));
            }
        }
        // Those before the last one in its bucket come round at the end.
        skipped.truncate(RECORDS_AT_ONCE - records.len());
        records.append(&mut skipped);
        if let Some((id, _)) = records.last() {
            self.last_sent.insert((to, range), *id);
        }
        records.into_iter().map(|(id, record)| (id, record.clone())).collect()
    }
}

/// Buckets of a range, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BucketSet(pub(crate) u64);

impl BucketSet {
    /// The buckets whose digests differ.
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
