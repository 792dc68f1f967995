//! The queue of connections that wait to be accepted: accepts that fail, and a listener's close.

use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::edge::accept::Aborted;

/// The pause after an accept that failed, for want of descriptors say.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// At the close of a listener, accepts that fail are made again for so long: what waits has a deadline of its own, and a
/// process that was told to end has its longest one and more (the protocol page).
const FINAL_ACCEPT_TIME: Duration = Duration::from_secs(2);

/// Accepts that fail in a row: what is accepted after them may have waited as long.
#[derive(Debug, Default)]
pub struct FailingAccepts {
    /// When the first of them failed; `None` once the queue was seen empty.
    since: Option<Instant>,
}

impl FailingAccepts {
    /// Accepts the next connection.
    ///
    /// # Errors
    /// What this machine lacks, see [`Aborted`].
    pub async fn accept(&mut self, listener: &TcpListener) -> io::Result<TcpStream> {
        let mut aborted = Aborted::default();
        loop {
            let at_once = poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await;
            let accepted = match at_once {
                Poll::Ready(accepted) => accepted,
                Poll::Pending => {
                    self.since = None; // the queue is empty
                    listener.accept().await
                }
            };
            // An error of one connection holds up nobody behind it: only what a pause follows is waited for.
            if !aborted.again_at_once(&accepted) {
                self.record(&accepted);
                return accepted.map(|(stream, _)| stream);
            }
        }
    }

    fn record<T>(&mut self, accepted: &io::Result<T>) {
        if accepted.is_err() {
            self.since.get_or_insert_with(Instant::now);
        }
    }

    /// How long what is accepted now may have waited at failing accepts.
    #[must_use]
    pub fn waited(&self) -> Duration {
        self.since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// Closes a listener, with nobody left in its queue: a connection that waits there would be reset by the close, and its
/// request would have to be made again. `admit` is given each connection that waited, with the time that it may have.
/// An accept that fails for a moment is made again: behind one that failed with ECONNABORTED others wait, and
/// descriptors may come free.
pub async fn close_when_empty(
    listener: TcpListener,
    failing: &mut FailingAccepts,
    admit: impl Fn(TcpStream, Duration),
) {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            return warn!(reason:% = error; "listener: queue not emptied at its close");
        }
    };
    let until = Instant::now() + FINAL_ACCEPT_TIME;
    let mut aborted = Aborted::default();
    loop {
        let accepted = listener.accept();
        if aborted.again_at_once(&accepted) {
            continue;
        }
        match accepted {
            Ok((stream, _)) => match into_tokio(stream) {
                Ok(stream) => admit(stream, failing.waited()),
                Err(error) => warn!(reason:% = error; "listener: connection lost at its close"),
            },
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if Instant::now() >= until => {
                warn!(reason:% = error; "listener: accept failed at its close");
                break;
            }
            failed => {
                failing.record(&failed);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener); // at once: what comes between the last accept and this is lost
}

/// A connection that was accepted without the runtime, made ready for it.
fn into_tokio(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
