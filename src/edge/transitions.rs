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

impl std::fmt::Display for AttemptLabel {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "request {:016x}: attempt {} at server {}", self.id.0, self.attempt, self.server.0)
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transitions {
    attempts: [u64; OUTCOMES.len()],
    answered: [u64; EndReason::ALL.len()],
}

impl Transitions {
    /// An attempt is sent.
    pub fn sends(label: AttemptLabel, reads: bool, time: Micros) {
        let what = if reads { "reads" } else { "writes" };
        debug!("{label}: sent, {what}, for {time} us at most");
    }

    /// An attempt's stream goes to its client.
    pub fn begins(label: AttemptLabel, taken: Micros) {
        debug!("{label}: begins after {taken} us, is passed on");
    }

    /// An attempt is being stopped.
    pub fn stops(label: AttemptLabel, why: Outcome) {
        debug!("{label}: is stopped: {why:?}");
    }

    /// An attempt has ended.
    pub fn ended(&mut self, label: AttemptLabel, outcome: Outcome, taken: Micros) {
        debug!("{label}: ended after {taken} us: {outcome:?}");
        if let Some(at) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            self.attempts[at] += 1;
        }
    }

    /// A request is answered without a stream.
    pub fn answered(&mut self, id: RequestId, reason: EndReason) {
        debug!("request {:016x}: answered without a stream: {}", id.0, reason.name());
        self.answered[reason as usize] += 1;
    }

    /// What is held for a request is let go.
    pub fn releases(id: RequestId, holders: usize, held: Micros) {
        debug!("request {:016x}: let go at {holders} servers, {held} us after nothing was out", id.0);
    }

    /// All counts with their names in the figures.
    pub fn counts(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let attempts =
            OUTCOMES.iter().zip(self.attempts).map(|((_, name), count)| (format!("attempts.{name}"), count));
        let answered = EndReason::ALL.iter().zip(self.answered);
        attempts.chain(answered.map(|(reason, count)| (format!("answered.{}", reason.name()), count)))
    }
}
