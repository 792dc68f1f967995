//! Accepting from a listener's queue: accepts that fail, and closing the listener without losing queued
//! connections.

use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::edge::accept::AbortedAccepts;

/// The pause after an accept that failed with an error of this machine, such as too few descriptors.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// When a listener closes, failing accepts are retried for this long. That is enough: each queued request has
/// a deadline of its own, and the platform gives a process that is shutting down longer than the longest
/// request deadline.
const CLOSE_RETRY_TIME: Duration = Duration::from_secs(2);

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

    fn record_failure<T>(&mut self, accepted: &io::Result<T>) {
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

/// Accepts all queued connections and then closes the listener. The close would reset connections that are
/// still queued, and their clients would have to repeat their requests. Calls `admit` with each of them and
/// the longest time that it may have been queued. Accepts that fail are retried: other connections may be
/// queued behind one that failed with ECONNABORTED, and descriptors may come free.
pub async fn close_when_empty(
    listener: TcpListener,
    failing: &mut FailingAccepts,
    admit: impl Fn(TcpStream, Duration),
) {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            return warn!(reason:% = error; "listener: accept queue not emptied before the close");
        }
    };
    let retry_until = Instant::now() + CLOSE_RETRY_TIME;
    let mut aborted = AbortedAccepts::default();
    loop {
        let accepted = listener.accept();
        if aborted.should_retry_at_once(&accepted) {
            continue;
        }
        match accepted {
            Ok((stream, _)) => match into_tokio(stream) {
                Ok(stream) => admit(stream, failing.max_wait()),
                Err(error) => warn!(reason:% = error; "listener: queued connection lost at the close"),
            },
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if Instant::now() >= retry_until => {
                warn!(reason:% = error; "listener: accept failed at the close");
                break;
            }
            failed => {
                failing.record_failure(&failed);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener); // without delay: a connection that arrives between the last accept and this is lost
}

/// Registers a connection that was accepted by the standard library with the runtime.
fn into_tokio(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
