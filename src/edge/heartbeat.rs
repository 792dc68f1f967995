//! Bounds the time at which a signal came: a process that is held up notices a signal late, and what the platform counts
//! from the signal must not be counted from then.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::edge::clock::{micros, Clock};
use crate::interface::Micros;

/// The longest time for which a process may be held up (us).
pub const MAX_HOLD_UP: Micros = 150_000;
/// Time between two beats. Twice this is the most by which a time is taken for later than it was, within the platform's
/// tolerance of 50 ms.
const INTERVAL: Duration = Duration::from_millis(25);

/// The last two beats of the process, on its clock (us).
#[derive(Debug, Default)]
struct Beats {
    last: AtomicU64,
    previous: AtomicU64,
}

/// A regular record of the time, which shows when the process was held up. Clones share it.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    clock: Clock,
    beats: Arc<Beats>,
}

impl Heartbeat {
    /// Creates a heartbeat whose first beat is now.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let heartbeat = Self { clock, beats: Arc::default() };
        heartbeat.beat();
        heartbeat.beat();
        heartbeat
    }

    /// Beats at each [`INTERVAL`]; never returns.
    pub async fn run(self) {
        loop {
            tokio::time::sleep_until(Instant::now() + INTERVAL).await;
            self.beat();
        }
    }

    /// When something happened that is noticed now (us), at the latest. If the process was held up, this may be earlier
    /// than now, and is at most two intervals later than it happened: the last beat may have been late itself, in the
    /// turn in which this was noticed, but the one before that came earlier than what is noticed.
    #[must_use]
    pub fn noticed(&self) -> Micros {
        let (now, previous) = (self.clock.now(), self.beats.previous.load(Ordering::Relaxed));
        now.min(previous + 2 * micros(INTERVAL)).max(now.saturating_sub(MAX_HOLD_UP))
    }

    fn beat(&self) {
        let last = self.beats.last.swap(self.clock.now(), Ordering::Relaxed);
        self.beats.previous.store(last, Ordering::Relaxed);
    }
}
