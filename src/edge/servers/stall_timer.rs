//! The time for which a stream may go on without a sign of life of its server.
//!
//! A sign of life is an event with data that has been received to the end of its chunk. Comments, empty events, and
//! events within a chunk that does not end say nothing: a faulty server can send them for ever.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::time::{sleep_until, Instant, Sleep};

use crate::edge::connections::ConnectionHandle;

/// Runs while the relay waits for the server; the time that the client takes for what it is given does not count.
#[derive(Debug)]
pub(super) struct StallTimer {
    timeout: Duration,
    /// Ends at the deadline, or before.
    sleep: Pin<Box<Sleep>>,
    deadline: Instant,
    connection: ConnectionHandle,
    /// An event with data has ended, and its chunk has not been seen to end.
    awaits_chunk_end: bool,
    /// Since when the client has what was received; `None` while the relay waits for the server.
    paused_at: Option<Instant>,
}

impl StallTimer {
    /// Starts the timer of a stream on `connection` whose first event has just been received; `event_end` is the position
    /// at which that ends in the stream (bytes).
    pub(super) fn new(timeout: Duration, connection: ConnectionHandle, event_end: u64) -> Self {
        let deadline = Instant::now() + timeout;
        let sleep = Box::pin(sleep_until(deadline));
        let mut timer =
            Self { timeout, sleep, deadline, connection, awaits_chunk_end: false, paused_at: None };
        timer.event_ended(event_end);
        timer
    }

    /// Records that an event with data has been received, which ends at this position in the stream (bytes).
    pub(super) fn event_ended(&mut self, event_end: u64) {
        self.connection.await_chunk_end(event_end);
        self.awaits_chunk_end = true;
        self.look_for_chunk_end();
    }

    /// Stops the timer: the client is given what was received.
    pub(super) fn pause(&mut self) {
        self.paused_at = Some(Instant::now());
    }

    /// Lets the timer go on: the client has taken what it was given.
    pub(super) fn go_on(&mut self) {
        if let Some(paused_at) = self.paused_at.take() {
            self.deadline += paused_at.elapsed();
        }
    }

    /// Completes once the time without a sign of life is over.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            self.look_for_chunk_end();
            if Instant::now() >= self.deadline {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(self.deadline);
        }
    }

    /// Puts the deadline off if the chunk with the last event has ended.
    fn look_for_chunk_end(&mut self) {
        if !self.awaits_chunk_end {
            return;
        }
        if let Some(ended_at) = self.connection.chunk_ended_at() {
            self.awaits_chunk_end = false;
            self.deadline = self.deadline.max(ended_at + self.timeout);
        }
    }
}
