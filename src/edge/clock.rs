//! The program's clock: monotonic microseconds, mapped to Unix time once, at the start. A step of the
//! system's clock later on moves no deadline.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::interface::Micros;

/// A clock that only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// Starts it at the present Unix time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix: micros(unix) }
    }

    /// Now, in microseconds of Unix time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + micros(self.start.elapsed())
    }

    /// The runtime's instant for a time of this clock.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// A duration in whole microseconds.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
