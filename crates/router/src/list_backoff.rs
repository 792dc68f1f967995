//! How soon a front asks the service that keeps the list of servers again, after a call that failed.
//!
//! That service has a fixed capacity for all fronts: calls wait in turn, and fail when they have waited too
//! long. One that is kept busy with calls that have failed by their turn answers nobody. Seen with 100 fronts
//! that each asked again after a fixed 100 ms: 920 calls a second, and no front got a change of the list any
//! more; with waits of up to 10 s, 20 calls a second, still none. It could answer seven.

use crate::figures::unit;
use crate::interface::Micros;

/// The first wait is drawn from so much time for each front (us), so that all of them together ask ten times
/// a second at first; doubled with each failure. Scales with how long a call takes the service.
const SPREAD_FOR_EACH: Micros = 200_000;
/// No wait is shorter (us).
const LEAST: Micros = 100_000;
/// Waits are drawn from this time at the most (us) where nothing tells how often a front has to ask.
const MOST_SPREAD: Micros = 10_000_000;
/// After a failed call, a front may take so many times as long as else before it has to ask again.
const AFTER_FAILURE: Micros = 4;

/// Spaces out the calls of one front.
#[derive(Clone, Debug)]
pub struct ListBackoff {
    failures: u32,
    longest: Micros,
}

impl Default for ListBackoff {
    fn default() -> Self {
        Self::within(Micros::MAX)
    }
}

impl ListBackoff {
    /// One whose waits are never longer, however many fronts there are and however seldom each has to ask.
    #[must_use]
    pub fn within(longest: Micros) -> Self {
        Self { failures: 0, longest }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// A call failed: how long to wait before the next one. `fronts` is their number; `must_ask_in` is how
    /// often each has to ask at the least (0 where that is not told); `lot` is drawn at random.
    pub fn failed(&mut self, fronts: u32, must_ask_in: Micros, lot: u64) -> Micros {
        let most = if must_ask_in > 0 {
            AFTER_FAILURE.saturating_mul(must_ask_in) - LEAST.min(must_ask_in)
        } else {
            MOST_SPREAD
        };
        let most = most.min(self.longest.saturating_sub(LEAST));
        let first = SPREAD_FOR_EACH.saturating_mul(Micros::from(fronts.max(1)));
        let spread = first.saturating_mul(1 << self.failures.min(16)).min(most);
        self.failures = self.failures.saturating_add(1);
        LEAST + (unit(lot) * spread as f64) as Micros
    }
}
