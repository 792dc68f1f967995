//! Backoff between calls to the service that keeps the list of servers, after a failed call.
//!
//! The service has a fixed capacity that all dispatchers share: calls queue, and fail if they queue too long.
//! If it only processes calls that have already timed out, no dispatcher gets an answer. Observed with 100
//! dispatchers and a service that can answer seven calls per second: with a fixed wait of 100 ms they made
//! 920 calls per second, and none received list updates any more; with waits of up to 10 s they made 20 calls
//! per second, and still none did.

use crate::interface::Micros;
use crate::statistics::unit_interval;

/// The first wait is drawn from a range of this length times the number of dispatchers (us), so that all of
/// them together make ten calls per second at first. The range doubles with each failure. Should scale with
/// the time that the service needs for a call.
const SPREAD_PER_DISPATCHER_US: Micros = 200_000;
/// Minimum wait (us).
const MIN_WAIT_US: Micros = 100_000;
/// Maximum length of the range that waits are drawn from if no maximum list age is set (us).
const MAX_SPREAD_US: Micros = 10_000_000;
/// After a failed call, a dispatcher may wait up to this multiple of the maximum list age before its next
/// call.
const INTERVALS_AFTER_FAILURE: Micros = 4;
/// Maximum number of times that the range is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Randomized exponential backoff for the list calls of one dispatcher.
#[derive(Clone, Debug)]
pub struct ListBackoff {
    /// Failed calls since the last one that was answered.
    failures: u32,
    /// Upper limit for every wait (us).
    max_wait_us: Micros,
}

impl Default for ListBackoff {
    fn default() -> Self {
        Self::within(Micros::MAX)
    }
}

impl ListBackoff {
    /// A backoff whose waits never exceed `max_wait_us`, or the minimum of 100 ms if that is longer, whatever
    /// the number of dispatchers and the maximum list age.
    #[must_use]
    pub fn within(max_wait_us: Micros) -> Self {
        Self { failures: 0, max_wait_us }
    }

    /// Resets the backoff after a call that was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call and returns the time to wait before the next one (us). `max_list_age_us` is the
    /// maximum time between two calls of each of `dispatchers` dispatchers, or 0 if not set; `draw` is a
    /// random number.
    pub fn failed(&mut self, dispatchers: u32, max_list_age_us: Micros, draw: u64) -> Micros {
        let max_spread_us = if max_list_age_us > 0 {
            INTERVALS_AFTER_FAILURE.saturating_mul(max_list_age_us) - MIN_WAIT_US.min(max_list_age_us)
        } else {
            MAX_SPREAD_US
        };
        let max_spread_us = max_spread_us.min(self.max_wait_us.saturating_sub(MIN_WAIT_US));
        let initial_spread_us = SPREAD_PER_DISPATCHER_US.saturating_mul(Micros::from(dispatchers.max(1)));
        let spread_us = initial_spread_us.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        MIN_WAIT_US + (unit_interval(draw) * spread_us.min(max_spread_us) as f64) as Micros
    }
}
