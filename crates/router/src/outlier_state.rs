//! Outlier detection for one server and one class of requests: failures in a row eject the server for a time,
//! then one request at a time tries whether it answers again.

use crate::interface::Micros;

/// Failures in a row, of one class, after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// An ejection is doubled up to this with each failed trial (us).
const MAX_EJECTION_US: Micros = 3_200_000;
/// Doublings after which the length of an ejection is only limited, not computed further.
const MAX_DOUBLINGS: u32 = 8;

/// Failures of a server since it last served a request of the class. A server that serves one has no state.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierState {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Micros,
}

impl OutlierState {
    /// Whether the server may take a request of the class now; `is_idle`: no attempt of this dispatcher is
    /// unanswered there. A server whose ejection has ended takes one request at a time.
    pub(crate) fn accepts_work(&self, now: Micros, is_idle: bool) -> bool {
        self.consecutive_failures < FAILURES_TO_EJECT || (now >= self.ejected_until && is_idle)
    }

    /// Counts a failure. `base_ejection_us` is the length of the first ejection; `draw` is random and
    /// lengthens it by up to a quarter, so that dispatchers do not try the server at one moment.
    pub(crate) fn record_failure(&mut self, now: Micros, base_ejection_us: Micros, draw: u64) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT || now < self.ejected_until {
            return;
        }
        let doubled = base_ejection_us << self.ejections.min(MAX_DOUBLINGS);
        let ejection_us = doubled.min(MAX_EJECTION_US.max(base_ejection_us));
        self.ejected_until = now + ejection_us + draw % (ejection_us / 4);
        self.ejections += 1;
    }
}
