//! Accepting clients' connections for a front, and ending them in good order.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use log::{debug, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::edge::clients::accept_queue::{close_when_empty, FailingAccepts, ACCEPT_PAUSE};
use crate::edge::clients::client_stream::ClientStream;
use crate::edge::clients::connection::{serve_connection, RequestHandler};
use crate::edge::clients::connection_limits::ConnectionLimits;
use crate::edge::phase::Phase;
use crate::edge::stats::Figures;

/// Connections that the system keeps until they are accepted.
const BACKLOG: u32 = 1_024;

/// Listens on this address only; where it is `shared`, another process may do so beside this one.
///
/// # Errors
/// What the system says.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a front until the phase says to take no more; returns once all its connections have ended. What is answered here,
/// without the front, is counted in `figures`.
pub async fn serve(
    listener: TcpListener,
    front: Router,
    limits: ConnectionLimits,
    figures: Figures,
    mut phase: watch::Receiver<Phase>,
) {
    // Every connection holds a clone: once all are dropped, all connections have ended.
    let (running, mut all_ended) = mpsc::channel::<()>(1);
    let acceptor = Acceptor { front, limits, figures, phase: phase.clone(), running };
    let mut failing = FailingAccepts::default();
    loop {
        let accepted = tokio::select! {
            _ = phase.wait_for(|phase| *phase >= Phase::Yielding) => break,
            accepted = failing.accept(&listener) => accepted,
        };
        match accepted {
            Ok(stream) => acceptor.admit(stream, failing.waited()),
            Err(error) => {
                warn!(reason:% = error; "listener: accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    close_when_empty(listener, &mut failing, |stream, waited| acceptor.admit(stream, waited)).await;
    drop(acceptor);
    let _ = all_ended.recv().await;
}

/// What every connection of a front is given.
struct Acceptor {
    front: Router,
    limits: ConnectionLimits,
    figures: Figures,
    phase: watch::Receiver<Phase>,
    running: mpsc::Sender<()>,
}

impl Acceptor {
    /// Starts a connection's task, if there is a slot for it. It may have waited so long to be accepted.
    fn admit(&self, stream: TcpStream, accept_delay: Duration) {
        let Some(guard) = self.limits.admit(Instant::now()) else {
            debug!("listener: connection closed: no slot, not even to refuse it");
            return;
        };
        let slot = guard.slot.clone();
        slot.set_accept_delay(accept_delay);
        let stream = ClientStream::new(stream, guard, self.running.clone());
        let handler =
            RequestHandler::new(self.front.clone(), slot.clone(), self.figures.clone(), self.phase.clone());
        let task = tokio::spawn(serve_connection(stream, handler, self.phase.clone()));
        slot.set_task(task.abort_handle());
    }
}
