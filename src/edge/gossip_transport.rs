//! The transport of load gossip: UDP datagrams to and from other dispatchers, if the settings allow them. The router
//! interprets the content. Sending never waits: a datagram that can't be sent at once is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

/// The maximum length of a gossip message. The receive buffer has one byte more, so that a longer datagram is not
/// mistaken for a message of this length.
const MAX_MESSAGE_BYTES: usize = 256;
/// Pause after a failed receive, so that a socket that keeps failing does not cause a busy loop.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The socket for load gossip. The default has no socket: it sends and receives nothing.
#[derive(Clone, Debug, Default)]
pub struct GossipTransport(Option<PeerSocket>);

#[derive(Clone, Debug)]
struct PeerSocket {
    socket: Arc<UdpSocket>,
    /// The address that reaches all other dispatchers.
    peers_all: SocketAddr,
}

impl GossipTransport {
    /// Binds a socket to `peer_listen`; messages are sent to `peers_all`, which reaches all other dispatchers.
    /// If `shared` is set, another process of this dispatcher may bind the same address, and each receives a part of
    /// the datagrams.
    ///
    /// # Errors
    /// The socket can't be created or bound.
    pub fn bind(peer_listen: SocketAddr, peers_all: SocketAddr, shared: bool) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::for_address(peer_listen), Type::DGRAM, None)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&peer_listen.into())?;
        let socket = Arc::new(UdpSocket::from_std(socket.into())?);
        Ok(Self(Some(PeerSocket { socket, peers_all })))
    }

    /// The address that the socket is bound to; `None` if there is no socket.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.0.as_ref().and_then(|peer_socket| peer_socket.socket.local_addr().ok())
    }

    /// Sends a message to all other dispatchers, without waiting. It may be lost; one that is too long is not sent.
    pub fn publish(&self, bytes: &[u8]) {
        let Some(PeerSocket { socket, peers_all }) = &self.0 else { return };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return;
        }
        if let Err(error) = socket.try_send_to(bytes, *peers_all) {
            debug!(reason:% = error; "gossip: not sent");
        }
    }

    /// Receives messages and passes each one to `deliver`. Returns only if there is no socket.
    pub async fn receive(self, deliver: impl Fn(Vec<u8>)) {
        let Some(PeerSocket { socket, .. }) = self.0 else { return };
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((length, _)) => deliver(bytes[..length].to_vec()),
                // The error may also report that a datagram sent earlier could not be delivered.
                Err(error) => {
                    warn!(reason:% = error; "gossip: receive failed");
                    tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
                }
            }
        }
    }
}
