//! The part of the dispatcher's limits that this process may use, while another process of the dispatcher
//! runs beside it.

use crate::interface::Micros;

/// A share from 0 to 1 that falls at once and rises a window later: until then, the other process may have
/// used up what it has given away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitShare {
    share: f64,
    /// The share that holds until `rises_at`.
    previous: f64,
    rises_at: Micros,
}

impl LimitShare {
    /// The whole of the limits.
    pub(crate) const WHOLE: Self = Self { share: 1.0, previous: 1.0, rises_at: 0 };

    /// The share at a time.
    pub(crate) fn at(&self, now: Micros) -> f64 {
        if now < self.rises_at {
            self.share.min(self.previous)
        } else {
            self.share
        }
    }

    /// Changes the share at `now`.
    pub(crate) fn change(&mut self, share: f64, now: Micros, window_us: Micros) {
        let previous = self.at(now);
        *self = Self { share, previous, rises_at: now + window_us };
    }
}
