//! The transport of load gossip: datagrams to and from other dispatchers, where the settings allow it. What they say is the
//! router's to weigh; here nothing is waited for, and what can't be sent at once is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

/// A longer datagram is none of ours; one byte more is read, so that it is seen to be longer.
const MAX_BYTES: usize = 256;
/// A socket that fails at once must not be asked in a tight loop.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The socket for other dispatchers; by default there are none.
#[derive(Clone, Debug, Default)]
pub struct GossipTransport(Option<Peers>);

#[derive(Clone, Debug)]
struct Peers {
    socket: Arc<UdpSocket>,
    /// The address that reaches every other dispatcher.
    all: SocketAddr,
}

impl GossipTransport {
    /// Listens at `at`; `all` reaches every other dispatcher. Where the address is `shared`, another process of
    /// this dispatcher may listen there too, and each receives a part.
    ///
    /// # Errors
    /// What the system says.
    pub fn bind(at: SocketAddr, all: SocketAddr, shared: bool) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::DGRAM, None)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        let socket = Arc::new(UdpSocket::from_std(socket.into())?);
        Ok(Self(Some(Peers { socket, all })))
    }

    /// Where it listens, if it does.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.0.as_ref().and_then(|peers| peers.socket.local_addr().ok())
    }

    /// Sends a message to all; it may be lost.
    pub fn publish(&self, bytes: &[u8]) {
        let Some(Peers { socket, all }) = &self.0 else { return };
        if bytes.len() > MAX_BYTES {
            return;
        }
        if let Err(error) = socket.try_send_to(bytes, *all) {
            debug!(reason:% = error; "gossip: not sent");
        }
    }

    /// Receives messages for ever, and hands each one to `deliver`.
    pub async fn receive(self, deliver: impl Fn(Vec<u8>)) {
        let Some(Peers { socket, .. }) = self.0 else { return };
        let mut bytes = [0; MAX_BYTES + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((length, _)) => deliver(bytes[..length].to_vec()),
                // An earlier datagram that could not be delivered may be told of here.
                Err(error) => {
                    warn!(reason:% = error; "gossip: receive failed");
                    tokio::time::sleep(ERROR_PAUSE).await;
                }
            }
        }
    }
}
