//! Budget of sends to one server in slow start: a leaky bucket with a depth of one window.

use crate::interface::Micros;

/// This dispatcher's part of what a server in slow start can take. `level` is the fill level of the bucket:
/// the number of requests sent, less what has leaked until `updated_at`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartBudget {
    level: f64,
    updated_at: Micros,
}

impl SlowStartBudget {
    /// A bucket with an initial level. The callers draw it at random, so that dispatchers do not all send at
    /// the same time.
    pub(crate) fn with_level(level: f64, now: Micros) -> Self {
        Self { level, updated_at: now }
    }

    /// The level at `now`; `per_window` is the number of requests permitted per window.
    fn level_at(&self, now: Micros, per_window: f64, window_us: Micros) -> f64 {
        (self.level - (now - self.updated_at) as f64 / window_us.max(1) as f64 * per_window).max(0.0)
    }

    /// Whether one more request fits into the bucket.
    pub(crate) fn allows(&self, now: Micros, per_window: f64, window_us: Micros) -> bool {
        self.level_at(now, per_window, window_us) + 1.0 <= per_window.max(1.0)
    }

    /// Takes one request from the budget, which raises the level by one.
    pub(crate) fn spend(&mut self, now: Micros, per_window: f64, window_us: Micros) {
        (self.level, self.updated_at) = (self.level_at(now, per_window, window_us) + 1.0, now);
    }
}
