//! Logs what happens to attempts and requests, one debug line per event, and counts attempts by outcome and
//! answers without a stream by reason.

use log::debug;

use crate::interface::{Micros, Outcome, RequestId, ServerId};
use dewladder_router::EndReason;

/// All outcomes of attempts with their names in the metrics. Counts by outcome are in this order.
pub const OUTCOMES: [(Outcome, &str); 12] = [
    (Outcome::Served, "served"),
    (Outcome::Read, "read"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::NoState, "no_state"),
    (Outcome::Timeout, "timeout"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Unacknowledged, "unacknowledged"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "moot"),
    (Outcome::Unknown, "unknown"),
];

/// Identifies an attempt in log lines.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLabel {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// The server it goes to.
    pub server: ServerId,
}

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transitions {
    attempts: [u64; OUTCOMES.len()],
    answered: [u64; EndReason::ALL.len()],
}

impl Transitions {
    /// Logs that an attempt is sent; `timeout_us` is its timeout.
    pub fn log_sent(label: AttemptLabel, reads: bool, timeout_us: Micros) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, reads, timeout_us; "attempt: sent");
    }

    /// Logs that the stream of an attempt is relayed to its client, `elapsed_us` after the attempt was sent.
    pub fn log_stream_started(label: AttemptLabel, elapsed_us: Micros) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, elapsed_us; "attempt: stream started");
    }

    /// Logs that the cancellation of an attempt is requested; `reason` is the outcome that the attempt then gets.
    pub fn log_cancelled(label: AttemptLabel, reason: Outcome) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, reason:? = reason; "attempt: cancellation requested");
    }

    /// Logs and counts the end of an attempt, `elapsed_us` after it was sent.
    pub fn finished(&mut self, label: AttemptLabel, outcome: Outcome, elapsed_us: Micros) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, elapsed_us, outcome:? = outcome; "attempt: finished");
        if let Some(index) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            self.attempts[index] += 1;
        }
    }

    /// Logs and counts a request that is answered without a stream.
    pub fn answered(&mut self, id: RequestId, reason: EndReason) {
        debug!(request_id:% = id, reason = reason.name(); "request: answered without a stream");
        self.answered[reason as usize] += 1;
    }

    /// Logs that the release of held state is requested; `elapsed_us` is how long the state has been held.
    pub fn log_release(id: RequestId, holders: usize, elapsed_us: Micros) {
        debug!(request_id:% = id, holders, elapsed_us; "request: release of held state requested");
    }

    /// All counts, with their names in the metrics.
    pub fn counts(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let attempts =
            OUTCOMES.iter().zip(self.attempts).map(|((_, name), count)| (format!("attempts.{name}"), count));
        let answered = EndReason::ALL.iter().zip(self.answered);
        attempts.chain(answered.map(|(reason, count)| (format!("answered.{}", reason.name()), count)))
    }
}
