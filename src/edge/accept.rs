//! Accepting connections. Some errors of `accept(2)` are those of one connection only, or of nobody: those that wait behind
//! it are accepted at once. Others (descriptors, memory) are this machine's, and pass with time.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Such errors in a row, after which the error is told, so that whoever accepts makes a pause.
const IN_A_ROW: usize = 100;

/// Errnos of `accept(2)` that are of the connection that would have been accepted: it was aborted, or an error was
/// already pending on it, or a firewall forbids it; and EINTR, which is of none.
const OF_ONE_CONNECTION: [i32; 12] = [
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

/// Whether the next accept may succeed at once.
#[must_use]
pub fn is_of_one_connection(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| OF_ONE_CONNECTION.contains(&errno))
}

/// How many accepts in a row have failed for one connection each.
#[derive(Debug, Default)]
pub struct Aborted(usize);

impl Aborted {
    /// Takes the result of an accept; whether the next one is to be made at once.
    pub fn again_at_once<T>(&mut self, accepted: &io::Result<T>) -> bool {
        let again = accepted.as_ref().is_err_and(is_of_one_connection) && self.0 < IN_A_ROW;
        self.0 = if again { self.0 + 1 } else { 0 };
        again
    }
}

/// Accepts the next connection.
///
/// # Errors
/// What this machine lacks; or the error of the last connection where very many in a row had one.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let mut aborted = Aborted::default();
    loop {
        let accepted = listener.accept().await;
        if !aborted.again_at_once(&accepted) {
            return accepted.map(|(stream, _)| stream);
        }
    }
}
