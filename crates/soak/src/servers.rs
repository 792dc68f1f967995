//! Test servers: readers keep states, writers fetch them. What they do wrong, and when, the plan says.

mod connection;

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::event_log::EventLog;
use crate::plan::{FaultKind, Plan};

/// Connections that wait to be accepted; when so many do, no further one comes up.
const BACKLOG: i32 = 48;
/// Connections by which a server that is cut off fills its queue.
const FILLERS: usize = 64;
/// A server that will be cut off accepts no more connections so long before (ms), as its queue takes a while to fill.
const CUT_AHEAD_MS: u64 = 30;
/// How often a server looks at the plan.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Events of an answer.
pub const EVENTS: usize = 6;

/// All servers of a play; the first half reads.
#[derive(Clone, Debug)]
pub struct Servers {
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
}

/// What the connections of a server share.
#[derive(Clone)]
struct Shared {
    server: usize,
    is_reader: bool,
    plan: Arc<Plan>,
    event_log: EventLog,
    /// Ids of requests whose states wait at readers, or are being read and will.
    states: Arc<Mutex<States>>,
}

/// States of requests, by their ids, at all readers.
#[derive(Debug, Default)]
struct States {
    held: HashSet<u64>,
    /// Being read. A release while a prompt is being read lets go of what that read leaves too.
    being_read: HashSet<u64>,
}

impl States {
    fn read_begins(&mut self, id: u64) {
        self.being_read.insert(id);
    }

    /// A read has ended well; whether its state is held.
    fn read_ends(&mut self, id: u64) -> bool {
        self.being_read.remove(&id) && self.held.insert(id)
    }

    /// A writer takes a state; whether it was there.
    fn take(&mut self, id: u64) -> bool {
        self.held.remove(&id)
    }

    fn release(&mut self, id: u64) {
        self.held.remove(&id);
        self.being_read.remove(&id);
    }
}

impl Servers {
    /// Starts all servers of a plan.
    ///
    /// # Errors
    /// What the system says.
    pub fn start(plan: &Arc<Plan>, event_log: &EventLog) -> std::io::Result<Self> {
        let states = Arc::default();
        let mut addresses = Vec::new();
        for server in 0..2 * plan.servers_per_role {
            let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            addresses.push(listener.local_addr()?);
            let shared = Shared {
                server,
                is_reader: server < plan.servers_per_role,
                plan: plan.clone(),
                event_log: event_log.clone(),
                states: Arc::clone(&states),
            };
            tokio::spawn(accept(listener, shared));
        }
        Ok(Self { addresses })
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects without waiting for the connection to come up.
fn filler(to: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Err(error) if error.raw_os_error().is_none() => Err(error),
        _ => Ok(socket),
    }
}

/// Accepts connections, unless the plan has the server cut off or refuse them.
async fn accept(listener: TcpListener, shared: Shared) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    let mut fillers = Vec::new();
    loop {
        if shared.has(|kind| matches!(kind, FaultKind::Refuse { .. })) {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        shared.stand_still().await;
        let is_cut_off = shared.is_cut_off_soon();
        let Some(listening) = listener.as_ref().filter(|_| !is_cut_off) else {
            if is_cut_off && fillers.is_empty() {
                fillers = (0..FILLERS).filter_map(|_| filler(address).ok()).collect();
            }
            sleep(LOOK_INTERVAL).await;
            continue;
        };
        if !fillers.is_empty() {
            reset_waiting(listening).await;
            fillers.clear();
        }
        tokio::select! {
            accepted = listening.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(connection::serve(stream, shared.clone()));
            },
            () = sleep(LOOK_INTERVAL) => {}
        }
    }
}

/// Resets all connections that wait to be accepted: those that came up as the server was cut off are of no use.
async fn reset_waiting(listener: &TcpListener) {
    let at_once = || std::future::poll_fn(|context| Poll::Ready(listener.poll_accept(context)));
    while let Poll::Ready(Ok((stream, _))) = at_once().await {
        reset_on_close(&stream);
    }
}

/// Has the close of a stream be a reset.
fn reset_on_close(stream: &TcpStream) {
    // Where it can't be set, the close is an ordinary one.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.event_log.now() / 1_000
    }

    /// Whether a fault of a kind is in force at this server.
    fn has(&self, is_kind: impl Fn(&FaultKind) -> bool) -> bool {
        self.plan.has(self.now_ms(), |kind| is_kind(kind) && kind.server() == Some(self.server))
    }

    /// Waits while the server's process stands still; whether it did.
    async fn stand_still(&self) -> bool {
        let mut stood = false;
        while self.has(|kind| matches!(kind, FaultKind::StandStill { .. })) {
            stood = true;
            sleep(LOOK_INTERVAL).await;
        }
        stood
    }

    /// Whether no connection may come up: from a moment before the server is cut off on.
    fn is_cut_off_soon(&self) -> bool {
        let is_cut = |kind: &FaultKind| matches!(kind, FaultKind::Cut { server } if *server == self.server);
        let now_ms = self.now_ms();
        self.plan.has(now_ms, is_cut) || self.plan.has(now_ms + CUT_AHEAD_MS, is_cut)
    }

    /// Whether the server drains: once it does, it drains for good.
    fn is_draining(&self) -> bool {
        let now_ms = self.now_ms();
        self.plan.faults.iter().any(|fault| {
            let is_drain = matches!(fault.kind, FaultKind::Drain { server } if server == self.server);
            is_drain && fault.from_ms <= now_ms
        })
    }

    /// How much later the server answers now.
    fn delay(&self) -> Duration {
        let delays_ms = self.plan.faults_at(self.now_ms()).filter_map(|kind| match *kind {
            FaultKind::Slow { server, by_ms } if server == self.server => Some(by_ms),
            _ => None,
        });
        Duration::from_millis(delays_ms.max().unwrap_or(0))
    }

    /// Until when (ms) a connection that was opened at a time is silent, if it is.
    fn silent_until_ms(&self, opened_ms: u64) -> Option<u64> {
        let now_ms = self.now_ms();
        let silences = self.plan.faults.iter().filter(|fault| match fault.kind {
            FaultKind::Cut { server } => server == self.server && fault.is_in_force(now_ms),
            FaultKind::Silence { server } => {
                server == self.server && opened_ms < fault.from_ms && fault.from_ms <= now_ms
            }
            _ => false,
        });
        silences.map(|fault| fault.to_ms.max(now_ms)).max()
    }

    /// When (ms) a connection that was opened at a time is reset; `None` where the plan does not say so.
    fn reset_at_ms(&self, opened_ms: u64) -> Option<u64> {
        let resets = self.plan.faults.iter().filter(|fault| {
            let is_reset = matches!(fault.kind, FaultKind::Reset { server } if server == self.server);
            is_reset && fault.from_ms >= opened_ms
        });
        resets.map(|fault| fault.from_ms).min()
    }

    fn states(&self) -> MutexGuard<'_, States> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's number by its `X-Txn`; 0 where it has none.
#[must_use]
pub fn id_of(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}
