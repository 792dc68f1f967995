//! A ranking of servers that is sorted lazily, only as far as it is read. It contains no rules.

use crate::interface::ServerId;

/// Number of ranks in the first sorted chunk; the end of the sorted part grows by the factor below with each
/// further chunk.
const FIRST_CHUNK: usize = 16;
const CHUNK_GROWTH: usize = 4;

/// A server's rank: the lower tier first, then the lower key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) tier: u8,
    pub(crate) key: u64,
    pub(crate) server: ServerId,
}

/// Servers in ascending order of rank.
#[derive(Debug)]
pub(crate) struct Ranking {
    ranks: Vec<Rank>,
    /// Number of ranks from the start that are in their final positions.
    sorted: usize,
}

impl Ranking {
    pub(crate) fn new(ranks: Vec<Rank>) -> Self {
        Self { ranks, sorted: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Moves the first `count` servers into the lowest tier and ranks them by new keys among themselves.
    pub(crate) fn rerank_first(&mut self, count: usize, key: impl Fn(ServerId) -> u64) {
        let count = count.min(self.ranks.len());
        if count == 0 {
            return;
        }
        self.ranks.select_nth_unstable(count - 1);
        for rank in &mut self.ranks[..count] {
            (rank.tier, rank.key) = (0, key(rank.server));
        }
        self.sorted = 0;
    }

    /// The server at a position, counted from 0; `None` past the end.
    pub(crate) fn get(&mut self, position: usize) -> Option<ServerId> {
        while position >= self.sorted && self.sorted < self.ranks.len() {
            self.sort_further();
        }
        self.ranks.get(position).map(|rank| rank.server)
    }

    fn sort_further(&mut self) {
        let start = self.sorted;
        let end = (start * CHUNK_GROWTH).max(FIRST_CHUNK).min(self.ranks.len());
        let rest = &mut self.ranks[start..];
        if end < start + rest.len() {
            rest.select_nth_unstable(end - start);
        }
        rest[..end - start].sort_unstable();
        self.sorted = end;
    }
}
