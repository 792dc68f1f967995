//! What becomes of attempts and requests, by reason: one line for each at debug, and counts for the figures.

use log::debug;

use crate::interface::{Micros, Outcome, RequestId, ServerId};
use dewladder_router::EndReason;

/// Outcomes of attempts, in the order of their counts, with their names in the figures.
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

/// An attempt of a request, as lines name it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLabel {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u32,
    /// Where it goes.
    pub server: ServerId,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transitions {
    attempts: [u64; OUTCOMES.len()],
    answered: [u64; EndReason::ALL.len()],
}

impl Transitions {
    /// An attempt is sent.
    pub fn sends(label: AttemptLabel, reads: bool, timeout_us: Micros) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, reads, timeout_us; "attempt: sent");
    }

    /// An attempt's stream goes to its client.
    pub fn begins(label: AttemptLabel, elapsed_us: Micros) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, elapsed_us; "attempt: stream started");
    }

    /// An attempt is being cancelled.
    pub fn cancels(label: AttemptLabel, reason: Outcome) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, reason:? = reason; "attempt: cancelled");
    }

    /// An attempt has ended.
    pub fn ended(&mut self, label: AttemptLabel, outcome: Outcome, elapsed_us: Micros) {
        let AttemptLabel { id, attempt, server } = label;
        debug!(request_id:% = id, attempt, server = server.0, elapsed_us, outcome:? = outcome; "attempt: finished");
        if let Some(at) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            self.attempts[at] += 1;
        }
    }

    /// A request is answered without a stream.
    pub fn answered(&mut self, id: RequestId, reason: EndReason) {
        debug!(request_id:% = id, reason = reason.name(); "request: answered without a stream");
        self.answered[reason as usize] += 1;
    }

    /// What servers hold for a request is released, so long after nothing was in flight.
    pub fn releases(id: RequestId, holders: usize, elapsed_us: Micros) {
        debug!(request_id:% = id, holders, elapsed_us; "request: held state released");
    }

    /// All counts with their names in the figures.
    pub fn counts(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let attempts =
            OUTCOMES.iter().zip(self.attempts).map(|((_, name), count)| (format!("attempts.{name}"), count));
        let answered = EndReason::ALL.iter().zip(self.answered);
        attempts.chain(answered.map(|(reason, count)| (format!("answered.{}", reason.name()), count)))
    }
}
