//! Calls to the discovery agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{Request, StatusCode};
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{no_retry_client, NoRetryClient};
use crate::edge::discovery::listing::{Answer, Listing, NoReadableEntry};
use crate::edge::settings::Config;

/// A longer answer is not read.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call gave no list that can be used.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The address is no part of a request.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The agent could not be reached, or the connection broke.
    #[error("{0}")]
    Send(#[from] hyper_util::client::legacy::Error),
    /// The agent refused.
    #[error("status {}", .0.as_u16())]
    Status(StatusCode),
    /// The answer broke off, or is too long.
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer is not in the form of a list.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// No entry of the list can be read.
    #[error(transparent)]
    NoReadableEntry(#[from] NoReadableEntry),
    /// The answer is an older list.
    #[error("an older list than the one that is known")]
    Older,
    /// No answer in time.
    #[error("silence")]
    Timeout,
}

/// A client of the agent at one address.
pub(super) struct Client {
    http: NoRetryClient<Empty<Bytes>>,
    base: String,
}

impl Client {
    pub(super) fn new(config: &Config, address: SocketAddr) -> Self {
        Self { http: no_retry_client(config, 1), base: format!("http://{address}/registry/instances") }
    }

    /// The changes since a version of the list, for which the agent may wait so long; without a version, the whole list.
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
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(CallError::Body)?.to_bytes();
        let answer: Answer = serde_json::from_slice(&body)?;
        Ok(answer.listing()?)
    }
}
