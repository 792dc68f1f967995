//! The front under test.

use std::net::SocketAddr;

/// The front under test.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it listens: on loopback.
    pub address: SocketAddr,
    /// The API key that is sent, if any.
    pub key: Option<String>,
    /// A second tenant's key: without one, cases that need it are not run.
    pub other_key: Option<String>,
    /// A model whose requests may be repeated.
    pub model: String,
    /// A model whose requests must not run twice.
    pub once: String,
    /// Makes this run's keys and texts its own.
    pub nonce: String,
}
