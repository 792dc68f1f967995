//! Reads a request's body within limits on length, time and memory.

use axum::body::Body;
use axum::http::{Extensions, StatusCode};
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::edge::clients::body_buffer::BodyBuffer;
use crate::edge::clients::memory_budget::{MemoryBudget, NoRoom};
use crate::edge::clients::request_timing::ReceiveLimits;

/// Maximum length of a request body.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// The connection broke off within the body, or the body is not framed as HTTP requires.
    Unreadable,
    /// It was not complete at the [deadline](ReceiveLimits::deadline) of the request.
    TimedOut,
    /// There is no memory for it now; the client may send it again later.
    NoRoom,
    /// It was not complete when the process was about to end; the client may send it again elsewhere.
    Ending,
}

impl From<NoRoom> for BodyError {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

impl BodyError {
    /// The HTTP status of the response to the client.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom | Self::Ending => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether the request is refused only for now: it was never sent to a server, and may be sent again.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::NoRoom | Self::Ending)
    }

    /// The message in the response to the client.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::TooLong => "the body is longer than 256 KiB",
            Self::Unreadable => "the body can't be read",
            Self::TimedOut => "the body came too late",
            Self::NoRoom => "no memory is free for the body",
            Self::Ending => "this process is about to end",
        }
    }
}

/// Reads a request's body within the [`ReceiveLimits`] in its extensions; without them, only a body that is there
/// already is read. Its memory stays taken until the last clone of the returned bytes is dropped.
///
/// # Errors
/// The body is too long, late or malformed, there is no memory for it, or the process is about to end.
pub async fn read_body(body: Body, extensions: &Extensions) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong); // the declared length is already too long: none of the body is read
    }
    let Some(limits) = extensions.get::<ReceiveLimits>() else {
        let unlimited = MemoryBudget::new(usize::MAX);
        let collected = timeout_at(Instant::now(), collect(body, &unlimited)).await;
        return collected.unwrap_or(Err(BodyError::TimedOut));
    };
    tokio::select! {
        biased;
        body = collect(body, &limits.memory) => body,
        () = sleep_until(limits.deadline) => Err(BodyError::TimedOut),
        () = limits.wait_for_ending() => Err(BodyError::Ending),
    }
}

/// Copies the frames of a body into one buffer. A frame is dropped at once: it refers to the buffer in which it was
/// received, so that many small ones would hold far more memory than their bytes.
async fn collect(mut body: Body, memory: &MemoryBudget) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(memory);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Unreadable)?.into_data() else { continue };
        if data.len() > MAX_BODY_BYTES - buffer.len() {
            return Err(BodyError::TooLong);
        }
        buffer.push(&data)?;
    }
    Ok(buffer.into_bytes())
}
