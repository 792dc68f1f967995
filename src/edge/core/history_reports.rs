//! Selects which request histories are logged and limits their rate: a fault usually affects many requests at
//! once, and a flooded log explains nothing.

use std::fmt;

use log::{info, warn};

use crate::edge::core::request::Request;
use crate::edge::guard::Rule;
use crate::interface::{Micros, RequestId};

/// Number of histories logged in each [`REPORT_INTERVAL`]; further ones are only counted.
const MAX_REPORTS_PER_INTERVAL: u32 = 20;
/// Length of the interval by which the rate is limited (us).
const REPORT_INTERVAL: Micros = 10_000_000;

/// Why the history of a request is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportReason {
    /// An attempt got no answer although it had been written completely.
    Unanswered,
    /// An attempt was in flight at the deadline of held state that it may have been waiting for; the state is
    /// being released.
    HoldTimeOver,
    /// No server confirmed the release of held state.
    ReleaseUnanswered,
    /// The guard refused a send because of this rule.
    SendRefused(Rule),
}

impl fmt::Display for ReportReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered => formatter.write_str("unanswered"),
            Self::HoldTimeOver => formatter.write_str("hold_time_over"),
            Self::ReleaseUnanswered => formatter.write_str("release_unanswered"),
            Self::SendRefused(rule) => write!(formatter, "send_refused:{}", rule.name()),
        }
    }
}

/// Logs request histories at a limited rate.
#[derive(Debug, Default)]
pub struct HistoryReports {
    interval_start: Micros,
    written_in_interval: u32,
    left_out: u64,
}

impl HistoryReports {
    /// Logs the history of a request, or only counts it if the rate limit is reached.
    pub fn write(&mut self, now: Micros, id: RequestId, request: &Request, reason: ReportReason) {
        if now >= self.interval_start + REPORT_INTERVAL {
            (self.interval_start, self.written_in_interval) = (now, 0);
        }
        if self.written_in_interval >= MAX_REPORTS_PER_INTERVAL {
            self.left_out += 1;
            return;
        }
        self.written_in_interval += 1;
        let (class, history) = (request.class, &request.history);
        let held_us = request.held.age(now);
        match reason {
            ReportReason::ReleaseUnanswered => {
                warn!(request_id:% = id, reason:% = reason, class, held_us, history:% = history; "request: history");
            }
            _ => {
                info!(request_id:% = id, reason:% = reason, class, held_us, history:% = history; "request: history");
            }
        }
    }

    /// Number of histories not logged since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
