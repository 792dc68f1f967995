//! Timing data of a request, passed from its connection to its front as request extensions.

use std::time::Duration;

use tokio::time::Instant;

/// When the whole request, head and body, must have been received.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveDeadline(pub Instant);

/// The longest time that the connection of a request may have been queued before it was accepted. The time
/// that the client waits has run since then.
#[derive(Clone, Copy, Debug)]
pub struct AcceptDelay(pub Duration);
