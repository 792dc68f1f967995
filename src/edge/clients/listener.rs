//! Accepts clients' connections for a front, and waits for them to end on shutdown.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use log::{debug, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::edge::clients::accept_queue::{FailingAccepts, ACCEPT_RETRY_DELAY};
use crate::edge::clients::client_stream::ClientStream;
use crate::edge::clients::closing_listener::close_when_empty;
use crate::edge::clients::connection::{serve_connection, RequestHandler};
use crate::edge::clients::connection_limits::ConnectionLimits;
use crate::edge::clients::connection_steering::steer_by_hash;
use crate::edge::phase::Phase;
use crate::edge::stats::Figures;

/// Maximum number of connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// Listens on this address only. If `shared` is set, another process may listen on it at the same time.
///
/// # Errors
/// The error of the system call that failed.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    if shared {
        // A process that has closed its listener may have left all new connections to one of the others.
        let _ = steer_by_hash(&listener);
    }
    Ok(listener)
}

/// Serves a front until [`Phase::Yielding`]; then closes the listener, and returns once all connections have
/// ended. Requests that are refused without the front are counted in `figures`.
pub async fn serve(
    listener: TcpListener,
    front: Router,
    limits: ConnectionLimits,
    figures: Figures,
    mut phase: watch::Receiver<Phase>,
) {
    // Every connection holds a clone of the sender: the receiver returns once all connections have ended.
    let (shutdown_complete_tx, mut shutdown_complete_rx) = mpsc::channel::<()>(1);
    let acceptor = Acceptor { front, limits, figures, phase: phase.clone(), shutdown_complete_tx };
    let mut failing = FailingAccepts::default();
    loop {
        let accepted = tokio::select! {
            _ = phase.wait_for(|phase| *phase >= Phase::Yielding) => break,
            accepted = failing.accept(&listener) => accepted,
        };
        match accepted {
            Ok(stream) => acceptor.admit(stream, failing.max_wait()),
            Err(error) => {
                warn!(reason:% = error; "listener: accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    close_when_empty(listener, &mut failing, |stream, max_wait| acceptor.admit(stream, max_wait)).await;
    drop(acceptor);
    let _ = shutdown_complete_rx.recv().await;
}

/// What is needed to serve a new connection of a front.
struct Acceptor {
    front: Router,
    limits: ConnectionLimits,
    figures: Figures,
    phase: watch::Receiver<Phase>,
    shutdown_complete_tx: mpsc::Sender<()>,
}

impl Acceptor {
    /// Starts the task of a connection if there is a slot for it, else drops the connection. `accept_delay`
    /// is the longest time that it may have been queued before it was accepted.
    fn admit(&self, stream: TcpStream, accept_delay: Duration) {
        let Some(guard) = self.limits.admit(Instant::now()) else {
            debug!("listener: connection closed: too many connections, including those over capacity");
            return;
        };
        let (slot, memory) = (guard.slot.clone(), guard.limits.memory.clone());
        slot.set_accept_delay(accept_delay);
        let stream = ClientStream::new(stream, guard, self.shutdown_complete_tx.clone());
        let (front, figures, phase) = (self.front.clone(), self.figures.clone(), self.phase.clone());
        let handler = RequestHandler::new(front, slot.clone(), memory, figures, phase);
        let task = tokio::spawn(serve_connection(stream, handler, self.phase.clone()));
        slot.set_task(task.abort_handle());
    }
}
