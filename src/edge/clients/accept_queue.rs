//! Accepting from a listener's queue where accepts fail.

use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::edge::accept::AbortedAccepts;

/// The pause after an accept that failed with an error of this machine, such as too few descriptors.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Tracks a series of failing accepts: a connection accepted after them may have been queued since the first
/// one.
#[derive(Debug, Default)]
pub struct FailingAccepts {
    /// When the first of them failed; `None` once the queue was seen empty.
    first_failure_at: Option<Instant>,
}

impl FailingAccepts {
    /// Accepts the next connection, skipping per-connection errors.
    ///
    /// # Errors
    /// An error of this machine, or the last of very many per-connection errors in a row, see
    /// [`AbortedAccepts`].
    pub async fn accept(&mut self, listener: &TcpListener) -> io::Result<TcpStream> {
        let mut aborted = AbortedAccepts::default();
        loop {
            let polled = poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await;
            let accepted = match polled {
                Poll::Ready(accepted) => accepted,
                Poll::Pending => {
                    self.first_failure_at = None; // the queue is empty
                    listener.accept().await
                }
            };
            // A per-connection error is retried at once and delays no queued connection, so only errors that
            // are followed by a pause start a series.
            if !aborted.should_retry_at_once(&accepted) {
                self.record_failure(&accepted);
                return accepted.map(|(stream, _)| stream);
            }
        }
    }

    /// Records the result of an accept that is followed by a pause if it failed.
    pub fn record_failure<T>(&mut self, accepted: &io::Result<T>) {
        if accepted.is_err() {
            self.first_failure_at.get_or_insert_with(Instant::now);
        }
    }

    /// The longest time that a connection accepted now may have been queued because accepts were failing.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        self.first_failure_at.map_or(Duration::ZERO, |first_failure_at| first_failure_at.elapsed())
    }
}
