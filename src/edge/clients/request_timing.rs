//! What a connection tells its front about a request, as request extensions: the limits under which it is received, and
//! how long it has waited.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::clients::memory_budget::MemoryBudget;
use crate::edge::phase::Phase;

/// The limits under which a request's body is received.
#[derive(Clone, Debug)]
pub struct ReceiveLimits {
    /// When the whole request, head and body, must have been received.
    pub deadline: Instant,
    /// The budget from which the memory for the body is taken.
    pub memory: MemoryBudget,
    /// In [`Phase::Ending`] no more of the body is received.
    pub phase: watch::Receiver<Phase>,
}

impl ReceiveLimits {
    /// Waits until the request must not be received any longer.
    pub(crate) async fn wait_for_ending(&self) {
        let mut phase = self.phase.clone();
        if phase.wait_for(|phase| *phase >= Phase::Ending).await.is_err() {
            std::future::pending::<()>().await; // no phase is published any more
        }
    }
}

/// The longest time that the connection of a request may have been queued before it was accepted. The time
/// that the client waits has run since then.
#[derive(Clone, Copy, Debug)]
pub struct AcceptDelay(pub Duration);
