//! A periodic log line with the counts of requests by outcome, for the engineers on call.

use log::info;

use crate::edge::stats::Counts;
use crate::interface::Micros;
use dewladder_router::GossipCounts;

/// Time between two summaries (us).
const INTERVAL_US: Micros = 10_000_000;
const INTERVAL_S: Micros = INTERVAL_US / 1_000_000;

/// Writes a summary every ten seconds, unless the counts have not changed.
#[derive(Default)]
pub(super) struct Summary {
    due_us: Micros,
    last: Counts,
}

impl Summary {
    /// Whether a summary is due at `now` (us).
    pub(super) fn is_due(&self, now: Micros) -> bool {
        now >= self.due_us
    }

    /// Writes the summary, if the counts have changed since the last one. `left_out` is the number of request
    /// histories that were left out of the log since then.
    pub(super) fn write(&mut self, now: Micros, counts: Counts, gossip: GossipCounts, left_out: u64) {
        if left_out > 0 {
            info!(interval_s = INTERVAL_S, left_out; "driver: histories of requests left out of the log");
        }
        if counts != self.last {
            let Counts { taken, completed, rejected, failed, left } = counts.since(&self.last);
            let pending = counts.pending();
            info!(interval_s = INTERVAL_S, requests = taken, completed, rejected, failed, disconnected = left, pending;
                "driver: requests");
            if gossip != GossipCounts::default() {
                let GossipCounts { sent, received, dropped } = gossip;
                info!(sent, received, dropped; "driver: load gossip since the start");
            }
        }
        (self.due_us, self.last) = (now + INTERVAL_US, counts);
    }
}
