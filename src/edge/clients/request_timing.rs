//! The limits under which a request is received, passed from its connection to its front as request extensions.

use std::time::Duration;

use tokio::time::Instant;

use crate::edge::clients::memory_budget::MemoryBudget;

/// When the whole request, head and body, must have been received.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveDeadline(pub Instant);

/// The longest time that the connection of a request may have been queued before it was accepted. The time
/// that the client waits has run since then.
#[derive(Clone, Copy, Debug)]
pub struct AcceptDelay(pub Duration);

/// The budget from which the memory for a request's body is taken.
#[derive(Clone, Debug)]
pub struct BodyMemory(pub MemoryBudget);
