//! The parts of a request that are sent to servers.

use bytes::Bytes;
use hyper::header::HeaderValue;

/// The parts of a request that all its attempts send to servers unchanged.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The request id as text, sent as `X-Txn`.
    pub txn: String,
    /// Path and query of the request URI.
    pub target: String,
    /// The idempotency key by which servers recognize a retry, sent as `Idempotency-Key`; `None` if the client
    /// sent none.
    pub key: Option<HeaderValue>,
    /// The body, shared by all attempts.
    pub body: Bytes,
}

impl Payload {
    /// A copy without the body, for the releases that are still to be sent for the request.
    #[must_use]
    pub fn without_body(&self) -> Self {
        Self { body: Bytes::new(), ..self.clone() }
    }
}
