//! The front under test and the credentials and models to use with it.

use std::net::SocketAddr;

/// The front under test, and the values that requests to it need.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the front, on loopback.
    pub address: SocketAddr,
    /// API key for the `Authorization` header; without one no such header is sent.
    pub key: Option<String>,
    /// API key of a second tenant; if `None`, cases that use one are reported as not run.
    pub other_key: Option<String>,
    /// A model of an idempotent class: the front may run a request again.
    pub model: String,
    /// A model of an at-most-once class: the front must never run a request twice.
    pub at_most_once_model: String,
    /// Unique per run: makes idempotency keys and prompts differ from those of earlier runs against the same front.
    pub nonce: String,
}
