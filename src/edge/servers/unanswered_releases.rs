//! Releases that a read waits for: a release that arrived after the read would free the state that the read
//! leaves.

use std::time::Duration;

use tokio::sync::watch;

/// How long a read waits for a release: if no server answers the release in this time, none would answer the
/// read either.
pub const BEFORE_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// The releases of a request that no server has answered yet.
#[derive(Clone, Debug)]
pub struct UnansweredReleases(Vec<watch::Receiver<()>>);

impl UnansweredReleases {
    /// Takes one channel for each release, which is closed once the release is answered or has ended otherwise.
    #[must_use]
    pub fn new(releases: Vec<watch::Receiver<()>>) -> Self {
        Self(releases)
    }

    /// Waits until each release is answered or has ended otherwise.
    pub async fn all_answered(self) {
        for mut release in self.0 {
            while release.changed().await.is_ok() {}
        }
    }
}
