//! Collects a message's body into one buffer.

use std::error::Error;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;

/// Why a body was not collected.
#[derive(Debug, thiserror::Error)]
pub enum CollectError {
    /// It is longer than allowed.
    #[error("length limit exceeded")]
    TooLong,
    /// Its connection broke, or it is malformed.
    #[error("{0}")]
    Unreadable(#[source] Box<dyn Error + Send + Sync>),
}

/// Collects a body of at most `max_bytes`. Each frame is copied and dropped at once: a frame refers to the buffer in
/// which it was received, so that many small ones would hold far more memory than their bytes.
///
/// # Errors
/// See [`CollectError`].
pub async fn collect<B>(mut body: B, max_bytes: usize) -> Result<Vec<u8>, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Unreadable(error.into()))?;
        let Ok(data) = frame.into_data() else { continue };
        if data.len() > max_bytes - collected.len() {
            return Err(CollectError::TooLong);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected)
}
