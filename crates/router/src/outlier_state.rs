//! Outlier detection for one server and one class of requests: consecutive failures eject the server for a
//! time, after which single requests test whether it answers again.

use crate::interface::Micros;

/// Consecutive failures in one class that eject a server.
const FAILURES_TO_EJECT: u32 = 2;
/// Upper limit of an ejection that is doubled with each failed trial (us); a longer first ejection stays as
/// it is.
const MAX_EJECTION_US: Micros = 3_200_000;
/// Most doublings that are computed. The limit above applies long before, and a larger shift could overflow.
const MAX_DOUBLINGS: u32 = 8;

/// Failures of a server since it last served a request of the class. There is no such state for a server
/// whose last request of the class was served.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierState {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Micros,
}

impl OutlierState {
    /// Whether the server may take a request of the class now. A server whose ejection has ended takes one
    /// request at a time: `is_idle` says that no attempt of this dispatcher is unanswered there.
    pub(crate) fn accepts_work(&self, now: Micros, is_idle: bool) -> bool {
        self.consecutive_failures < FAILURES_TO_EJECT || (now >= self.ejected_until && is_idle)
    }

    /// Counts a failure. `base_ejection_us` is the length of the first ejection. The random number `draw`
    /// lengthens the ejection by up to a quarter, so that dispatchers do not all try the server at the same
    /// time.
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
