//! The schedule of a shutdown. By the platform's protocol, a process may be killed once the longest deadline of its
//! classes plus a grace period have passed since the signal to end; the schedule follows from that.
//!
//! A request is owed an answer if it was taken before the end of the grace period, even if the kill then cuts its stream.
//! A stream of a later request must not be cut by the kill. As nothing tells how long a stream will last, later requests
//! are refused, which is harmless.

use crate::edge::heartbeat::MAX_HOLD_UP;
use crate::interface::{Micros, Settings};

/// Longer deadlines of classes count as this in the schedule (us).
const MAX_DEADLINE: Micros = 3_000_000;
/// Time from the longest deadline to the earliest kill (us), and the age of the shutdown from which on requests are
/// refused.
const GRACE_PERIOD: Micros = 700_000;
/// When listeners and idle connections are closed after the signal (us): later than new connections still arrive, which
/// is up to 0.4 s after the signal.
const CLOSE_DELAY: Micros = 600_000;
/// Time reserved before the kill for writing answers and releasing held state (us).
const ANSWER_MARGIN: Micros = 100_000;
/// Time reserved before the kill for refusing requests that are still being received (us), also by a process that is
/// held up.
const RECEIVE_MARGIN: Micros = MAX_HOLD_UP + ANSWER_MARGIN;

/// The times of the steps of a shutdown, on the dispatcher's clock (us).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// When listeners and idle connections are closed.
    pub close_at: Micros,
    /// Requests that are received from this time on are refused, as their streams might not end before the kill.
    pub refuse_from: Micros,
    /// When requests that are still being received are refused.
    pub stop_receiving_at: Micros,
    /// The latest time for each open request to get its answer, or the first event of its stream.
    pub answer_by: Micros,
}

impl ShutdownTimes {
    /// The schedule of a process that got the signal to end at `signalled_at` (us).
    #[must_use]
    pub fn new(settings: &Settings, signalled_at: Micros) -> Self {
        let longest_deadline = settings.classes.values().map(|class| class.default_timeout).max();
        let earliest_kill =
            signalled_at + longest_deadline.unwrap_or(MAX_DEADLINE).min(MAX_DEADLINE) + GRACE_PERIOD;
        let refuse_from = signalled_at + GRACE_PERIOD;
        Self {
            close_at: signalled_at + CLOSE_DELAY,
            refuse_from,
            stop_receiving_at: earliest_kill.saturating_sub(RECEIVE_MARGIN).max(refuse_from),
            answer_by: earliest_kill.saturating_sub(ANSWER_MARGIN),
        }
    }

    /// Whether a request that was received at `received_at` (us) must be refused.
    #[must_use]
    pub fn refuses(&self, received_at: Micros) -> bool {
        received_at >= self.refuse_from
    }
}
