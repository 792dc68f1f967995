//! Listeners of a start, and why one can't be had.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::edge::clients::listener;
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::transient::{self, is_transient, outlast};

/// What is a help and not a need is waited for at a start for so long.
const OPTIONAL_WAIT: Duration = Duration::from_millis(500);

/// An address on which this process can't listen.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {error}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// What the system says.
    #[source]
    pub error: io::Error,
}

/// The socket for load gossip; it is tried for half a second only, as the dispatcher serves without it.
pub(super) fn bind_peers(at: SocketAddr, all: SocketAddr, shared: bool) -> io::Result<GossipTransport> {
    outlast("peers", OPTIONAL_WAIT, is_transient, || GossipTransport::bind(at, all, shared))
}

/// Listens for clients. Where the address is `shared`, another process of this dispatcher may listen there too. Blocks
/// the thread while the system lacks something for a moment: nothing is served yet.
pub(super) fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, ListenError> {
    let listen = || listener::listen(address, shared);
    let listening = outlast("listener", transient::START, is_transient, listen);
    listening.map_err(|error| ListenError { address, error })
}

/// The same while the program does other things already.
pub(super) async fn listen_while_running(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let until = Instant::now() + transient::START;
    loop {
        match listener::listen(address, true) {
            Err(error) if is_transient(&error) && Instant::now() < until => {
                tokio::time::sleep(transient::PAUSE).await;
            }
            listening => return listening.map_err(|error| ListenError { address, error }),
        }
    }
}
