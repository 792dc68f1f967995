//! How soon a dispatcher asks the service that keeps the list of servers again, after a call that failed.
//!
//! That service has a fixed capacity for all dispatchers: calls wait in turn, and fail when they have waited
//! too long. One that is kept busy with calls that have failed by their turn answers nobody. Seen with 100
//! dispatchers that each asked again after a fixed 100 ms: 920 calls a second, and no dispatcher got a change
//! of the list any more; with waits of up to 10 s, 20 calls a second, still none. It could answer seven.

use crate::interface::Micros;
use crate::statistics::unit_interval;

/// The first wait is drawn from so much time for each dispatcher (us), so that all of them together ask ten
/// times a second at first; doubled with each failure. Scales with how long a call takes the service.
const SPREAD_PER_DISPATCHER_US: Micros = 200_000;
/// No wait is shorter (us).
const MIN_WAIT_US: Micros = 100_000;
/// Waits are drawn from this time at the most (us) where nothing tells how often a dispatcher has to ask.
const MAX_SPREAD_US: Micros = 10_000_000;
/// After a failed call, a dispatcher may take so many times as long as else before it has to ask again.
const INTERVALS_AFTER_FAILURE: Micros = 4;
/// Doublings of the spread, at most.
const MAX_DOUBLINGS: u32 = 16;

/// Spaces out the calls of one dispatcher.
#[derive(Clone, Debug)]
pub struct ListBackoff {
    failures: u32,
    max_wait_us: Micros,
}

impl Default for ListBackoff {
    fn default() -> Self {
        Self::within(Micros::MAX)
    }
}

impl ListBackoff {
    /// One whose waits are never longer (us), however many dispatchers there are and however seldom each has
    /// to ask.
    #[must_use]
    pub fn within(max_wait_us: Micros) -> Self {
        Self { failures: 0, max_wait_us }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// A call failed: how long to wait before the next one (us). `must_ask_in_us` is how often each of
    /// `dispatchers` has to ask at the least (0 where that is not told); `draw` is random.
    pub fn failed(&mut self, dispatchers: u32, must_ask_in_us: Micros, draw: u64) -> Micros {
        let max_spread_us = if must_ask_in_us > 0 {
            INTERVALS_AFTER_FAILURE.saturating_mul(must_ask_in_us) - MIN_WAIT_US.min(must_ask_in_us)
        } else {
            MAX_SPREAD_US
        };
        let max_spread_us = max_spread_us.min(self.max_wait_us.saturating_sub(MIN_WAIT_US));
        let first_us = SPREAD_PER_DISPATCHER_US.saturating_mul(Micros::from(dispatchers.max(1)));
        let doubled_us = first_us.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        MIN_WAIT_US + (unit_interval(draw) * doubled_us.min(max_spread_us) as f64) as Micros
    }
}
