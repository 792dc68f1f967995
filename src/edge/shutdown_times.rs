//! The times of a shutdown. A process that was told to end may be killed as early as the longest deadline of its classes
//! and a grace period after that (the protocol page): these times follow from the settings.

use crate::interface::{Micros, Settings};

/// Deadlines count as this at most (us).
const MAX_DEADLINE: Micros = 3_000_000;
/// A process may be killed so long after the longest deadline (us). A request that comes later than this after the signal
/// has to be answered before the kill.
const GRACE_PERIOD: Micros = 700_000;
/// New connections go on coming for up to 0.4 s after the signal; only then are idle ones closed (us).
const CLOSE_AFTER: Micros = 600_000;
/// A process may be held up for so long between a request's arrival and its being read (us).
const MAX_HOLD_UP: Micros = 150_000;
/// Answers, and the release of what is held, take so long at most (us).
const ANSWER_MARGIN: Micros = 100_000;

/// When what happens after the signal to end, on the dispatcher's clock (us).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Listeners and idle connections are closed.
    pub close_at: Micros,
    /// Requests that are read from then on are refused: their streams might not come to their end.
    pub refuse_from: Micros,
    /// All requests have their answer by then, or the first event of their stream.
    pub answer_by: Micros,
}

impl ShutdownTimes {
    /// The times of a process that is told to end now.
    #[must_use]
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let longest_deadline = settings.classes.values().map(|class| class.default_timeout).max();
        let killed_at = now + longest_deadline.unwrap_or(MAX_DEADLINE).min(MAX_DEADLINE) + GRACE_PERIOD;
        Self {
            close_at: now + CLOSE_AFTER,
            refuse_from: now + GRACE_PERIOD + MAX_HOLD_UP,
            answer_by: killed_at.saturating_sub(ANSWER_MARGIN),
        }
    }
}
