//! The schedule of a shutdown. By the platform's protocol, a process may be killed once the longest deadline of its
//! classes plus a grace period have passed since the signal to end; the schedule follows from that.

use crate::interface::{Micros, Settings};

/// Longer deadlines of classes count as this in the schedule (us).
const MAX_DEADLINE: Micros = 3_000_000;
/// Time from the longest deadline to the earliest kill (us). A request that arrives later than this after the signal
/// may have a deadline after the kill, but must be answered before it.
const GRACE_PERIOD: Micros = 700_000;
/// When listeners and idle connections are closed after the signal (us): later than new connections still arrive, which
/// is up to 0.4 s after the signal.
const CLOSE_DELAY: Micros = 600_000;
/// Maximum time from the arrival of a request until the process reads it (us).
const MAX_READ_DELAY: Micros = 150_000;
/// Time reserved before the kill for writing answers and releasing held state (us).
const ANSWER_MARGIN: Micros = 100_000;

/// The times of the steps of a shutdown, on the dispatcher's clock (us).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// When listeners and idle connections are closed.
    pub close_at: Micros,
    /// Requests that are read from this time on are rejected, as their streams might not end before the kill.
    pub refuse_from: Micros,
    /// The latest time for each open request to get its answer, or the first event of its stream.
    pub answer_by: Micros,
}

impl ShutdownTimes {
    /// The schedule of a process that gets the signal to end at `now` (us).
    #[must_use]
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let longest_deadline = settings.classes.values().map(|class| class.default_timeout).max();
        let earliest_kill = now + longest_deadline.unwrap_or(MAX_DEADLINE).min(MAX_DEADLINE) + GRACE_PERIOD;
        Self {
            close_at: now + CLOSE_DELAY,
            refuse_from: now + GRACE_PERIOD + MAX_READ_DELAY,
            answer_by: earliest_kill.saturating_sub(ANSWER_MARGIN),
        }
    }
}
