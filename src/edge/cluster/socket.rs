//! The UDP socket of an instance.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dewladder_membership::Address;
use log::{debug, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Between tries for an address that another process still uses.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Listens on an address.
pub(super) fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Listens on an address as soon as no other process does.
pub(super) async fn bind_when_free(address: SocketAddrV4) -> UdpSocket {
    loop {
        match bind(address) {
            Ok(socket) => return socket,
            Err(_) => sleep(RETRY_AFTER).await,
        }
    }
}

/// Sends a sealed message; `None` is one that was too long to be sealed. What can't be sent at once is lost, as any
/// datagram may be.
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
