//! The HTTP client of the discovery agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode};
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{no_retry_client, NoRetryClient};
use crate::edge::contiguous_body::{collect, CollectError};
use crate::edge::discovery::listing::{Answer, Listing, NoReadableEntry};
use crate::edge::settings::Config;

/// The maximum length of an answer; a longer one is an error.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call did not return a usable list.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The URI is invalid, so the request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The agent could not be reached, or the connection broke.
    #[error("{0}")]
    Send(#[from] hyper_util::client::legacy::Error),
    /// The agent answered with a status other than success.
    #[error("status {}", .0.as_u16())]
    Status(StatusCode),
    /// The body of the answer broke off, or exceeds [`MAX_ANSWER_BYTES`].
    #[error("{0}")]
    Body(#[from] CollectError),
    /// The body is not JSON, or not in the form of [`Answer`].
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The answer has entries, but none of them can be parsed.
    #[error(transparent)]
    NoReadableEntry(#[from] NoReadableEntry),
    /// The revision of the answer is lower than that of the known list.
    #[error("the answer has an older revision than the known list")]
    OlderRevision,
    /// The complete answer did not arrive within the time limit. The log calls this `silence`.
    #[error("silence")]
    Timeout,
}

/// A client of the discovery agent at one address.
pub(super) struct Client {
    http: NoRetryClient<Empty<Bytes>>,
    base: String,
}

impl Client {
    pub(super) fn new(config: &Config, address: SocketAddr) -> Self {
        Self { http: no_retry_client(config, 1), base: format!("http://{address}/registry/instances") }
    }

    /// Requests the changes since `revision`; the agent may hold the call open for `hold` while there are none.
    /// Without a revision, requests the whole list. The call fails if it is not complete at `until`.
    pub(super) async fn list(
        &self,
        revision: Option<u64>,
        hold: Duration,
        until: Instant,
    ) -> Result<Listing, CallError> {
        let uri = match revision {
            None => self.base.clone(),
            Some(from) => format!("{}?from={from}&hold_ms={}", self.base, hold.as_millis()),
        };
        timeout_at(until, self.get(&uri)).await.unwrap_or(Err(CallError::Timeout))
    }

    async fn get(&self, uri: &str) -> Result<Listing, CallError> {
        let request = Request::get(uri).body(Empty::new())?;
        let response = self.http.request(request).await?;
        if !response.status().is_success() {
            return Err(CallError::Status(response.status()));
        }
        let body = collect(response.into_body(), MAX_ANSWER_BYTES).await?;
        let answer: Answer = serde_json::from_slice(&body)?;
        Ok(answer.listing()?)
    }
}
