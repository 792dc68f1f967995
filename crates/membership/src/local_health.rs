//! Lifeguard's local health score: an instance with signs that it is itself slow, disconnected or was paused waits
//! longer for answers before it suspects others.

/// The upper limit of the score. [`LocalHealth::multiplier`] is one more, so probe times grow nine-fold at most.
const MAX_SCORE: u32 = 8;

/// The health score of this instance: 0 is healthy, [`MAX_SCORE`] is the worst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Raises the score by `by`, after an event that may be the fault of this instance.
    pub(crate) fn worsen(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// Lowers the score by one, after a probe was answered.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// The factor by which the probe interval and timeout are stretched: 1 to 9.
    pub(crate) fn multiplier(self) -> u64 {
        u64::from(self.score) + 1
    }
}
