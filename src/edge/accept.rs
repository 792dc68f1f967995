//! Accepting connections. Some errors of `accept(2)` concern only the connection that was being accepted, or
//! none at all (EINTR); the next accept is made at once, so that connections queued behind it are not
//! delayed. Other errors, such as running out of descriptors or memory, concern this machine and pass with
//! time.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// After this many per-connection errors in a row the error is returned, so that the caller pauses before it
/// accepts again.
const MAX_CONSECUTIVE_ABORTS: usize = 100;

/// Errnos of `accept(2)` that concern only the connection that would have been accepted (it was aborted, a
/// network error was already pending on it, or a firewall forbids it), and EINTR, which concerns no
/// connection.
const PER_CONNECTION_ERRNOS: [i32; 12] = [
    libc::EINTR,
    libc::ECONNABORTED,
    libc::EPERM,
    libc::EPROTO,
    libc::ENETDOWN,
    libc::ENOPROTOOPT,
    libc::EHOSTDOWN,
    libc::ENONET,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENETUNREACH,
    libc::ETIMEDOUT,
];

/// Whether the error concerns at most one connection, so that the next accept may succeed at once.
#[must_use]
pub fn is_per_connection_error(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| PER_CONNECTION_ERRNOS.contains(&errno))
}

/// Counts consecutive accepts that failed with a per-connection error.
#[derive(Debug, Default)]
pub struct AbortedAccepts(usize);

impl AbortedAccepts {
    /// Records the result of an accept. Returns whether the next accept is to be made without a pause, which
    /// ends after `MAX_CONSECUTIVE_ABORTS` per-connection errors in a row.
    pub fn should_retry_at_once<T>(&mut self, accepted: &io::Result<T>) -> bool {
        let should_retry =
            accepted.as_ref().is_err_and(is_per_connection_error) && self.0 < MAX_CONSECUTIVE_ABORTS;
        self.0 = if should_retry { self.0 + 1 } else { 0 };
        should_retry
    }
}

/// Accepts the next connection, skipping per-connection errors.
///
/// # Errors
/// An error of this machine, such as too few descriptors; or a per-connection error after
/// `MAX_CONSECUTIVE_ABORTS` of them in a row.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let mut aborted = AbortedAccepts::default();
    loop {
        let accepted = listener.accept().await;
        if !aborted.should_retry_at_once(&accepted) {
            return accepted.map(|(stream, _)| stream);
        }
    }
}
