//! The dispatcher's clock: Unix time in microseconds, read from the system once at the start and advanced by the
//! monotonic clock. Later adjustments of the system's time don't move deadlines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::interface::Micros;

/// A clock that never goes back. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// When the clock was started.
    start: Instant,
    /// The Unix time at `start` (us).
    unix_start: Micros,
}

impl Clock {
    /// Starts a clock at the system's current Unix time.
    #[must_use]
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_start: micros(unix_start) }
    }

    /// The current Unix time (us).
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix_start + micros(self.start.elapsed())
    }

    /// Converts a time of this clock to an instant of the runtime. Times before the start become the start.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix_start))
    }
}

/// Converts a duration to whole microseconds, at most `u64::MAX`.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
