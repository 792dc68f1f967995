//! What is sent on for a request.

use bytes::Bytes;
use hyper::header::HeaderValue;

/// What is sent on for a request, unchanged.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The id's text, for `X-Txn`.
    pub txn: String,
    /// Path and query.
    pub target: String,
    /// By which servers know a repeat, for `Idempotency-Key`, where the client sent one.
    pub key: Option<HeaderValue>,
    /// The body, shared by all attempts.
    pub body: Bytes,
}

impl Payload {
    /// The same request without its body, for what is still done in its name.
    #[must_use]
    pub fn without_body(&self) -> Self {
        Self { body: Bytes::new(), ..self.clone() }
    }
}
