//! Placement: the key space in ranges, and which instances hold the copies of each.

use std::cmp::Reverse;

use dewladder_membership::MemberId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record::RecordId;

/// Ranges of the key space. All records of one have the same holders.
pub const RANGES: usize = 64;

/// Which instances hold which range: by rendezvous hash over the instances that the operator names, whether they are
/// up or not. Over those that are up, the two sides of a partition would each choose holders of their own, and their
/// quorums would have no instance in common.
#[derive(Clone, Debug)]
pub struct Placement {
    holders: Vec<Vec<MemberId>>,
}

impl Placement {
    /// So many copies of each range at these members.
    #[must_use]
    pub fn new(members: &[MemberId], copies: usize) -> Self {
        Self { holders: (0..RANGES).map(|range| rank(members, range, copies)).collect() }
    }

    /// The range of a record.
    #[must_use]
    pub fn range_of(id: RecordId) -> usize {
        usize::from(id.0[0]) % RANGES
    }

    /// The holders of a range.
    #[must_use]
    pub fn holders(&self, range: usize) -> &[MemberId] {
        self.holders.get(range).map_or(&[], Vec::as_slice)
    }

    /// Whether a member holds a range.
    #[must_use]
    pub fn is_holder(&self, member: MemberId, range: usize) -> bool {
        self.holders(range).contains(&member)
    }

    /// The holders of a range but for one.
    pub(crate) fn other_holders(&self, range: usize, except: MemberId) -> Vec<MemberId> {
        self.holders(range).iter().copied().filter(|holder| *holder != except).collect()
    }
}

/// The members with the highest rendezvous scores for a range, the highest first.
fn rank(members: &[MemberId], range: usize, copies: usize) -> Vec<MemberId> {
    let score = |id: &MemberId| xxh3_64_with_seed(&id.0.to_le_bytes(), range as u64);
    let mut ranked = members.to_vec();
    ranked.sort_unstable_by_key(|id| (Reverse(score(id)), *id));
    ranked.dedup();
    ranked.truncate(copies);
    ranked
}
