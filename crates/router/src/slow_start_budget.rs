//! The budget of sends to one server in slow start: a leaky bucket that is one window deep.

use crate::interface::Micros;

/// This dispatcher's part of what a server in slow start can take. `debt` is the number of requests that it
/// was sent, less what has been earned since `updated_at`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartBudget {
    debt: f64,
    updated_at: Micros,
}

impl SlowStartBudget {
    /// One with a debt from the start. The callers draw it at random: dispatchers must not all send at once.
    pub(crate) fn with_debt(debt: f64, now: Micros) -> Self {
        Self { debt, updated_at: now }
    }

    /// The debt that is left now; `per_window` is the number of requests permitted in each window.
    fn debt_at(&self, now: Micros, per_window: f64, window_us: Micros) -> f64 {
        (self.debt - (now - self.updated_at) as f64 / window_us.max(1) as f64 * per_window).max(0.0)
    }

    /// Whether one more request fits.
    pub(crate) fn allows(&self, now: Micros, per_window: f64, window_us: Micros) -> bool {
        self.debt_at(now, per_window, window_us) + 1.0 <= per_window.max(1.0)
    }

    /// Takes one request off.
    pub(crate) fn spend(&mut self, now: Micros, per_window: f64, window_us: Micros) {
        (self.debt, self.updated_at) = (self.debt_at(now, per_window, window_us) + 1.0, now);
    }
}
