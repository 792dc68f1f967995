//! Why a request could not be sent, and what that says of whether it was executed.

use std::error::Error as _;
use std::io;

use crate::interface::Outcome;

/// Why a request could not be sent, or its answer not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    /// The connection took a part of it only.
    #[error("it takes no more bytes")]
    Stuck,
    /// The server's machine did not acknowledge all of it in time.
    #[error("what was written is not acknowledged")]
    Unacknowledged,
    /// The connection broke.
    #[error("{0}")]
    Broken(hyper::Error),
}

impl From<hyper::Error> for SendError {
    fn from(error: hyper::Error) -> Self {
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            // A peer's own word, or this side's close.
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::NotConnected,
            )
            | None => Self::Broken(error),
            // ETIMEDOUT, or in its place what routers have said meanwhile (tcp(7)): EHOSTUNREACH, ENETUNREACH and others.
            Some(_) => Self::Unacknowledged,
        }
    }
}

impl SendError {
    /// What becomes of an attempt whose last byte had been written.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Unacknowledged => Outcome::Unacknowledged,
            Self::Stuck | Self::Broken(_) => Outcome::Reset,
        }
    }
}
