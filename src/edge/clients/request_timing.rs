//! Times of a request that travel with it, as extensions, from its connection to its front.

use std::time::Duration;

use tokio::time::Instant;

/// By when a request must have come whole.
#[derive(Clone, Copy, Debug)]
pub struct WholeBy(pub Instant);

/// How long a request may have waited for its connection to be accepted: its client's time has run since.
#[derive(Clone, Copy, Debug)]
pub struct AcceptDelay(pub Duration);
