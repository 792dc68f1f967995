//! Which histories of requests are written to the log, and how many: faults come in crowds, and a log that is flooded
//! explains nothing.

use std::fmt;

use log::{info, warn};

use crate::edge::core::request::Request;
use crate::edge::guard::Rule;
use crate::interface::{Micros, RequestId};

/// So many histories are written in each interval; further ones are counted.
const MAX_REPORTS: u32 = 20;
const INTERVAL: Micros = 10_000_000;

/// Why a request needs explaining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportReason {
    /// An attempt got no answer after its last byte was written.
    Unanswered,
    /// What servers hold for it was not taken within its time; it is being released.
    HoldTimeOver,
    /// No server answered that it has released what is held.
    ReleaseUnanswered,
    /// The guard refused a send.
    SendRefused(Rule),
}

impl fmt::Display for ReportReason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered => to.write_str("unanswered"),
            Self::HoldTimeOver => to.write_str("hold_time_over"),
            Self::ReleaseUnanswered => to.write_str("release_unanswered"),
            Self::SendRefused(rule) => write!(to, "send_refused:{}", rule.name()),
        }
    }
}

/// Writes histories, within a rate.
#[derive(Debug, Default)]
pub struct HistoryReports {
    interval_began: Micros,
    written: u32,
    left_out: u64,
}

impl HistoryReports {
    /// Writes the history of a request, or counts it as left out.
    pub fn write(&mut self, now: Micros, id: RequestId, request: &Request, reason: ReportReason) {
        if now >= self.interval_began + INTERVAL {
            (self.interval_began, self.written) = (now, 0);
        }
        if self.written >= MAX_REPORTS {
            self.left_out += 1;
            return;
        }
        self.written += 1;
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

    /// How many were left out since this was last asked.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
