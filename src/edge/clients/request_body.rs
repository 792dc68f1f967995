//! Reads a request's body within limits on length and time.

use axum::body::Body;
use axum::http::{Extensions, StatusCode};
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use tokio::time::{timeout_at, Instant};

use crate::edge::clients::request_timing::ReceiveDeadline;

/// Maximum length of a request body.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// The connection broke off within the body, or the body is not framed as HTTP requires.
    Unreadable,
    /// It was not complete at the request's [`ReceiveDeadline`].
    TimedOut,
}

impl BodyError {
    /// The HTTP status of the response to the client.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// The message in the response to the client.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::TooLong => "the body is longer than 256 KiB",
            Self::Unreadable => "the body can't be read",
            Self::TimedOut => "the body came too late",
        }
    }
}

/// Reads a request's body until the [`ReceiveDeadline`] in its extensions; without one, only a body that is
/// there already is read.
///
/// # Errors
/// The body is too long, late or malformed.
pub async fn read_body(body: Body, extensions: &Extensions) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong); // the declared length is already too long: none of the body is read
    }
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    let receive_deadline =
        extensions.get().map_or_else(Instant::now, |&ReceiveDeadline(receive_deadline)| receive_deadline);
    match timeout_at(receive_deadline, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Unreadable),
        Err(_) => Err(BodyError::TimedOut),
    }
}
