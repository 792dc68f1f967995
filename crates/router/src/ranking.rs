//! A ranking of servers that is sorted only as far as it is looked at: a record without any rule.

use crate::interface::ServerId;

/// Ranks that are sorted at first; each further chunk ends four times as far back.
const FIRST_CHUNK: usize = 16;
const CHUNK_GROWTH: usize = 4;

/// A server's rank: the lower tier first, then the lower key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) tier: u8,
    pub(crate) key: u64,
    pub(crate) server: ServerId,
}

/// Servers by rank, the first ones first.
#[derive(Debug)]
pub(crate) struct Ranking {
    ranks: Vec<Rank>,
    /// So many from the start are in their places.
    sorted: usize,
}

impl Ranking {
    pub(crate) fn new(ranks: Vec<Rank>) -> Self {
        Self { ranks, sorted: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Ranks the first `count` anew among themselves, in the lowest tier, by these keys.
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

    /// The server at a place, from 0 on.
    pub(crate) fn get(&mut self, at: usize) -> Option<ServerId> {
        while at >= self.sorted && self.sorted < self.ranks.len() {
            self.sort_further();
        }
        self.ranks.get(at).map(|rank| rank.server)
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
