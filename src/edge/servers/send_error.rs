//! Why a request got no response, and what that says about whether it may have run.

use std::error::Error as _;
use std::io;

use crate::interface::Outcome;

/// Why a request could not be sent, or its response could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    /// The connection accepted only a part of the request in time.
    #[error("the connection accepts no more bytes")]
    Stuck,
    /// The server's machine did not acknowledge all of the request in time.
    #[error("written bytes were not acknowledged in time")]
    Unacknowledged,
    /// The connection broke.
    #[error("{0}")]
    Broken(hyper::Error),
}

impl From<hyper::Error> for SendError {
    fn from(error: hyper::Error) -> Self {
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            // The peer reset or closed the connection or declared too much data, or this side closed it.
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::NotConnected
                | io::ErrorKind::InvalidData,
            )
            | None => Self::Broken(error),
            // ETIMEDOUT, or instead of it an error that routers have reported in the meantime (tcp(7)):
            // EHOSTUNREACH, ENETUNREACH and others.
            Some(_) => Self::Unacknowledged,
        }
    }
}

impl SendError {
    /// The outcome of an attempt whose last byte had been written before this error.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Unacknowledged => Outcome::Unacknowledged,
            Self::Stuck | Self::Broken(_) => Outcome::Reset,
        }
    }
}
