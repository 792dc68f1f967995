//! Closes a listener without losing a connection. The kernel resets connections that are in the accept queue at the
//! close, also those that come between the last accept and the close, and refuses those whose handshake is under way. So
//! new connections are first kept away from the listener ([`connection_steering`](super::connection_steering)), then
//! handshakes get the time to complete, and only the empty queue is closed.
//!
//! New connections go to another listener on the same address, if there is one. Whether there is, and its number in the
//! group, is found out by probes: connections of this process to its own address.

use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener, TcpStream as StdTcpStream};
use std::time::Duration;

use log::{debug, warn};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

use crate::edge::accept::AbortedAccepts;
use crate::edge::clients::accept_queue::{FailingAccepts, ACCEPT_RETRY_DELAY};
use crate::edge::clients::connection_steering::{drop_new_connections, steer_by_hash, steer_to};

/// When a listener closes, failing accepts are retried for this long. That is enough: each queued request has
/// a deadline of its own, and the platform gives a process that is shutting down longer than the longest
/// request deadline.
const CLOSE_RETRY_TIME: Duration = Duration::from_secs(2);
/// A probe that is not connected after this time tells nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for handshakes that have begun to complete once new connections are kept away.
const HANDSHAKE_TIME: Duration = Duration::from_millis(50);
/// Interval at which connections are accepted in that time.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);
/// Numbers in the group that are tried: of two, one belongs to another listener if there is one.
const TRIED_NUMBERS: [u32; 2] = [0, 1];

/// Where new connections go while the listener closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewConnections {
    /// To another listener.
    ToOther,
    /// Nowhere: their first packets are dropped, as no other listener is open.
    Dropped,
    /// Still to this listener, too, as it could not be found out whether there is another one.
    Unchanged,
}

/// What became of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// It reached this listener.
    Own,
    /// It reached another listener.
    Other,
    /// It was not connected, or the queue of this listener could not be emptied.
    Inconclusive,
}

/// What emptying the accept queue found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Emptied {
    /// Whether all queued connections have been accepted, or accepts failed until it was given up.
    is_empty: bool,
    /// Whether the probe was among them.
    has_probe: bool,
}

/// Accepts all queued connections and then closes the listener. Calls `admit` with each of them and the longest time that
/// it may have been queued. Accepts that fail are retried: other connections may be queued behind one that failed with
/// ECONNABORTED, and descriptors may come free.
pub async fn close_when_empty(
    listener: TcpListener,
    failing: &mut FailingAccepts,
    admit: impl Fn(TcpStream, Duration),
) {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            return warn!(reason:% = error; "listener: accept queue not emptied before the close");
        }
    };
    let retry_until = Instant::now() + CLOSE_RETRY_TIME;
    let mut closing = ClosingListener { listener, failing, admit, retry_until };
    if closing.accept_queued(None).await.is_empty {
        let new_connections = closing.keep_new_connections_away().await;
        debug!(new_connections:? = new_connections; "listener: about to close");
        closing.await_handshakes(new_connections).await;
    }
}

/// A listener that is about to close. It closes when this is dropped.
struct ClosingListener<'a, A> {
    listener: StdTcpListener,
    failing: &'a mut FailingAccepts,
    admit: A,
    retry_until: Instant,
}

impl<A: Fn(TcpStream, Duration)> ClosingListener<'_, A> {
    /// Accepts connections until the queue is empty. The connection from `probe` is closed, the others are admitted.
    async fn accept_queued(&mut self, probe: Option<SocketAddr>) -> Emptied {
        let mut emptied = Emptied::default();
        let mut aborted = AbortedAccepts::default();
        loop {
            let accepted = self.listener.accept();
            if aborted.should_retry_at_once(&accepted) {
                continue;
            }
            match accepted {
                Ok((_, peer)) if Some(peer) == probe => emptied.has_probe = true,
                Ok((stream, _)) => self.admit(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Emptied { is_empty: true, ..emptied };
                }
                Err(error) if Instant::now() >= self.retry_until => {
                    warn!(reason:% = error; "listener: accept failed at the close");
                    return emptied;
                }
                failed => {
                    self.failing.record_failure(&failed);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn admit(&self, stream: StdTcpStream) {
        match into_tokio(stream) {
            Ok(stream) => (self.admit)(stream, self.failing.max_wait()),
            Err(error) => warn!(reason:% = error; "listener: queued connection lost at the close"),
        }
    }

    /// Has new connections go to another listener, or nowhere if there is none.
    async fn keep_new_connections_away(&mut self) -> NewConnections {
        if !SockRef::from(&self.listener).reuse_port().unwrap_or(false) {
            return self.drop_new_connections();
        }
        for number in TRIED_NUMBERS {
            match self.probe(number).await {
                Probe::Other => return NewConnections::ToOther,
                Probe::Own => {}
                Probe::Inconclusive => {
                    let _ = steer_by_hash(&self.listener); // it fails where steering failed before
                    return NewConnections::Unchanged;
                }
            }
        }
        let _ = steer_by_hash(&self.listener); // without effect: there is one listener
        self.drop_new_connections()
    }

    fn drop_new_connections(&self) -> NewConnections {
        match drop_new_connections(&self.listener) {
            Ok(()) => NewConnections::Dropped,
            Err(error) => {
                debug!(reason:% = error; "listener: new connections not dropped before the close");
                NewConnections::Unchanged
            }
        }
    }

    /// Gives new connections to the listener of this number, and finds out by a connection which one that is.
    async fn probe(&mut self, number: u32) -> Probe {
        let connected = async {
            steer_to(&self.listener, number)?;
            let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(self.listener.local_addr()?)).await??;
            let address = probe.local_addr()?;
            io::Result::Ok((probe, address))
        };
        match connected.await {
            Ok((_probe, address)) => match self.accept_queued(Some(address)).await {
                Emptied { has_probe: true, .. } => Probe::Own,
                Emptied { is_empty: true, .. } => Probe::Other,
                Emptied { .. } => Probe::Inconclusive,
            },
            Err(error) => {
                debug!(reason:% = error, number; "listener: can't tell whether there is another one");
                Probe::Inconclusive
            }
        }
    }

    /// Accepts the connections whose handshakes had begun before new ones were kept away.
    async fn await_handshakes(&mut self, new_connections: NewConnections) {
        let until = Instant::now() + HANDSHAKE_TIME;
        while new_connections != NewConnections::Unchanged && Instant::now() < until {
            sleep(ACCEPT_INTERVAL).await;
            self.accept_queued(None).await;
        }
    }
}

/// Registers a connection that was accepted by the standard library with the runtime.
fn into_tokio(stream: StdTcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
