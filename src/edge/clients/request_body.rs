//! Reading a request's body, within bounds of length and time.

use axum::body::Body;
use axum::http::{Extensions, StatusCode};
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use tokio::time::{timeout_at, Instant};

use crate::edge::clients::request_timing::WholeBy;

/// A body holds this many bytes at most.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is too long.
    TooLong,
    /// It broke off, or is not framed as HTTP has it.
    Unreadable,
    /// It had not come whole in time.
    Late,
}

impl BodyError {
    /// The HTTP status for it.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// What clients read.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::TooLong => "the body is longer than 256 KiB",
            Self::Unreadable => "the body can't be read",
            Self::Late => "the body came too late",
        }
    }
}

/// Reads a request's body; its extensions tell by when it must have come.
///
/// # Errors
/// A body that is too long, late or can't be read.
pub async fn read_body(body: Body, extensions: &Extensions) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong); // its length was told: none of it is read
    }
    let whole = Limited::new(body, MAX_BODY_BYTES).collect();
    let whole_by = extensions.get().map_or_else(Instant::now, |&WholeBy(whole_by)| whole_by);
    match timeout_at(whole_by, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Unreadable),
        Err(_) => Err(BodyError::Late),
    }
}
