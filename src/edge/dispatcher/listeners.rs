//! Opens the listeners and the gossip socket, with retries while that fails with a transient error.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::edge::clients::listener;
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::transient::{self, is_transient, retry_transient};

/// How long opening an optional socket is retried at startup.
const OPTIONAL_BIND_TIME: Duration = Duration::from_millis(500);

/// Listening on an address failed.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {error}")]
pub struct ListenError {
    /// The address that was to be listened on.
    pub address: SocketAddr,
    /// The error of the operating system.
    #[source]
    pub error: io::Error,
}

/// Opens the socket for load gossip. Blocks the thread for [`OPTIONAL_BIND_TIME`] at most, as the dispatcher can
/// serve without it.
pub(super) fn bind_gossip(at: SocketAddr, all: SocketAddr, shared: bool) -> io::Result<GossipTransport> {
    retry_transient("peers", OPTIONAL_BIND_TIME, is_transient, || GossipTransport::bind(at, all, shared))
}

/// Opens a listener for clients. If `shared` is set, another process of this dispatcher may listen on the same
/// address. Blocks the thread while it retries after transient errors, which is harmless as nothing is served yet.
pub(super) fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, ListenError> {
    let listen = || listener::listen(address, shared);
    let listening = retry_transient("listener", transient::STARTUP_RETRY_TIME, is_transient, listen);
    listening.map_err(|error| ListenError { address, error })
}

/// Like [`listen`] on a shared address, without blocking the thread: for use while other tasks are running.
pub(super) async fn listen_while_running(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let retry_until = Instant::now() + transient::STARTUP_RETRY_TIME;
    loop {
        match listener::listen(address, true) {
            Err(error) if is_transient(&error) && Instant::now() < retry_until => {
                tokio::time::sleep(transient::RETRY_INTERVAL).await;
            }
            listening => return listening.map_err(|error| ListenError { address, error }),
        }
    }
}
