//! Other dispatchers: datagrams to and from them, where the settings allow it. What they say is the decisions'
//! to weigh; here nothing is waited for, and what can't be sent at once is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

use crate::edge::core::Input;
use crate::edge::driver::{DriverHandle, Message};

/// A longer datagram is none of ours; one byte more is read, so that it is seen to be longer.
const MOST_BYTES: usize = 256;
/// A socket that fails at once must not be asked in a tight loop.
const PAUSE: Duration = Duration::from_millis(10);

/// The socket for other dispatchers; by default there are none.
#[derive(Clone, Debug, Default)]
pub struct Peers(Option<(Arc<UdpSocket>, SocketAddr)>);

impl Peers {
    /// Listens at `at`; `all` reaches every other dispatcher. Where the address is `shared`, another process of
    /// this dispatcher may listen there too, and each hears a part.
    ///
    /// # Errors
    /// What the system says.
    pub fn bind(at: SocketAddr, all: SocketAddr, shared: bool) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::DGRAM, None)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        Ok(Self(Some((Arc::new(UdpSocket::from_std(socket.into())?), all))))
    }

    /// Where it listens, if it does.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.0.as_ref().and_then(|(socket, _)| socket.local_addr().ok())
    }

    /// Sends a message to all; it may be lost.
    pub fn tell(&self, bytes: &[u8]) {
        let Some((socket, all)) = &self.0 else { return };
        if bytes.len() > MOST_BYTES {
            return;
        }
        if let Err(error) = socket.try_send_to(bytes, *all) {
            debug!("peers: not told: {error}");
        }
    }

    /// Takes in messages for ever.
    pub async fn hear(self, to: DriverHandle) {
        let Some((socket, _)) = self.0 else { return };
        let mut bytes = [0; MOST_BYTES + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((length, _)) => to.send(Message::Input(Input::GossipReceived(bytes[..length].to_vec()))),
                // An earlier datagram that could not be delivered may be told of here.
                Err(error) => {
                    warn!("peers: {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}
