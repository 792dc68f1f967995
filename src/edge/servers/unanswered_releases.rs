//! Releases that a read waits for: one that came later would let go of what the read leaves.

use std::time::Duration;

use tokio::sync::watch;

/// A release before a read is given up after this: where no server answers it, none would read.
pub const BEFORE_READ: Duration = Duration::from_millis(100);

/// Releases of a request that no server has answered yet.
#[derive(Clone, Debug)]
pub struct UnansweredReleases(Vec<watch::Receiver<()>>);

impl UnansweredReleases {
    /// Each is answered, or has ended, once its channel is closed.
    #[must_use]
    pub fn new(releases: Vec<watch::Receiver<()>>) -> Self {
        Self(releases)
    }

    /// Waits until all of them are answered, or have ended.
    pub async fn answered(self) {
        for mut release in self.0 {
            while release.changed().await.is_ok() {}
        }
    }
}
