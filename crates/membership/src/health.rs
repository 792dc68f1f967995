//! How well this instance itself does (Lifeguard's local health): one that is slow, cut off or was paused gives
//! others more time before it finds fault with them.

/// The score goes no higher: times grow nine-fold at the most.
const MOST: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    score: u32,
}

impl Health {
    /// Something showed that this instance may be at fault.
    pub(crate) fn worse(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(MOST);
    }

    /// A probe was answered.
    pub(crate) fn better(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// What times of probes are multiplied by.
    pub(crate) fn multiple(self) -> u64 {
        u64::from(self.score) + 1
    }
}
