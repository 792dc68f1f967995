//! Lifeguard's local health: an instance that is slow, cut off or was paused gives others more time before it suspects
//! them.

/// The score goes no higher: times grow nine-fold at most.
const MAX_SCORE: u32 = 8;

/// How unhealthy this instance is: 0 where nothing is wrong.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Something showed that this instance may be at fault.
    pub(crate) fn worsen(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// A probe was answered.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// The factor for probe times.
    pub(crate) fn multiplier(self) -> u64 {
        u64::from(self.score) + 1
    }
}
