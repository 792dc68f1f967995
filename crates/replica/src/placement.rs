//! Placement: divides the key space into ranges, and chooses the instances that hold the copies of each range.

use std::cmp::Reverse;

use dewladder_membership::MemberId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record::RecordId;

/// Number of ranges of the key space. All records of a range have the same holders.
pub const RANGES: usize = 64;

/// The holders of each range, chosen by a rendezvous hash over all instances that the operator lists, whether they
/// are up or not. If only instances that are up were considered, each side of a network partition would choose
/// holders of its own, and two quorums could have no instance in common.
#[derive(Clone, Debug)]
pub struct Placement {
    holders: Vec<Vec<MemberId>>,
}

impl Placement {
    /// Chooses `copies` of the `members` as holders of each range.
    #[must_use]
    pub fn new(members: &[MemberId], copies: usize) -> Self {
        Self { holders: (0..RANGES).map(|range| rank_members(members, range, copies)).collect() }
    }

    /// The range that a record belongs to.
    #[must_use]
    pub fn range_of(id: RecordId) -> usize {
        usize::from(id.0[0]) % RANGES
    }

    /// The holders of a range, by descending rendezvous score; empty for a range of [`RANGES`] or above.
    #[must_use]
    pub fn holders(&self, range: usize) -> &[MemberId] {
        self.holders.get(range).map_or(&[], Vec::as_slice)
    }

    /// Whether a member is a holder of a range.
    #[must_use]
    pub fn is_holder(&self, member: MemberId, range: usize) -> bool {
        self.holders(range).contains(&member)
    }

    /// The holders of a range, except for one member.
    pub(crate) fn other_holders(&self, range: usize, except: MemberId) -> Vec<MemberId> {
        self.holders(range).iter().copied().filter(|holder| *holder != except).collect()
    }
}

/// The `copies` members with the highest rendezvous scores for a range, the highest first.
fn rank_members(members: &[MemberId], range: usize, copies: usize) -> Vec<MemberId> {
    let score = |id: &MemberId| xxh3_64_with_seed(&id.0.to_le_bytes(), range as u64);
    let mut ranked = members.to_vec();
    ranked.sort_unstable_by_key(|id| (Reverse(score(id)), *id));
    ranked.dedup();
    ranked.truncate(copies);
    ranked
}
