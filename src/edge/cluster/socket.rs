//! The UDP socket of an instance.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dewladder_membership::Address;
use log::{debug, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The delay before binding is retried while another process still uses the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a non-blocking UDP socket to an address.
pub(super) fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Binds to an address that another process of this instance still uses, retrying until that succeeds.
pub(super) async fn bind_when_free(address: SocketAddrV4) -> UdpSocket {
    loop {
        match bind(address) {
            Ok(socket) => return socket,
            Err(_) => sleep(BIND_RETRY_DELAY).await,
        }
    }
}

/// Sends a sealed message, where `None` is one that was too long to be sealed. A datagram that cannot be sent without
/// blocking is dropped: the protocols tolerate the loss of any datagram.
pub(super) fn send(socket: &UdpSocket, to: Address, datagram: Option<Vec<u8>>) {
    let Some(datagram) = datagram else {
        warn!(address:% = to; "cluster: message too long; not sent");
        return;
    };
    let [a, b, c, d] = to.ip;
    let address = SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), to.port);
    if let Err(error) = socket.try_send_to(&datagram, address.into()) {
        debug!(address:% = to, reason:% = error; "cluster: send failed");
    }
}
