//! Test servers: readers hold state, writers fetch it. They apply the faults of servers in the plan.

mod connection;

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::event_log::{EventLog, Micros};
use crate::plan::{work, FaultKind, Plan};

/// Length of the accept queue; once it is full, no further connection is established.
const ACCEPT_QUEUE_LENGTH: i32 = 48;
/// Connections that a server opens to itself to fill its accept queue when it is cut off.
const FILLERS: usize = 64;
/// A server accepts no more connections this long before it is cut off (ms), as filling its accept queue takes time.
const CUT_LEAD_MS: u64 = 30;
/// Interval at which a server checks the plan.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time that requests wait in the queue of a server of limited capacity (us).
const MAX_QUEUE_US: Micros = 400_000;
/// Number of events in a writer's stream.
pub const EVENTS: usize = 6;

/// The servers of a run; the first half are readers, the others writers.
#[derive(Clone, Debug)]
pub struct Servers {
    /// The address of each server, by index.
    pub addresses: Vec<SocketAddr>,
}

/// Data that all connections of a server share.
#[derive(Clone)]
struct Shared {
    server: usize,
    is_reader: bool,
    plan: Arc<Plan>,
    event_log: EventLog,
    /// Held states, shared by all servers of the run.
    states: Arc<Mutex<States>>,
    /// The queue of the server, if its capacity is limited.
    queue: Arc<Mutex<Queue>>,
}

/// The queue of a server that does one request after the other.
#[derive(Debug, Default)]
struct Queue {
    /// When the server has done all that it has accepted (us since the start of the run).
    free_at: Micros,
    /// The start of the server that the queue belongs to (ms since the start of the run).
    started_ms: u64,
}

/// Ids of the requests whose state a reader holds, and of those that are being read, over all readers.
#[derive(Debug, Default)]
struct States {
    held: HashSet<u64>,
    /// Requests whose prompt is being read. A release during the read removes the id, so that the read leaves no state.
    being_read: HashSet<u64>,
}

impl States {
    /// Marks the prompt of a request as being read.
    fn begin_read(&mut self, id: u64) {
        self.being_read.insert(id);
    }

    /// Ends a read that succeeded. Returns whether it left a held state that was not held before.
    fn end_read(&mut self, id: u64) -> bool {
        self.being_read.remove(&id) && self.held.insert(id)
    }

    /// Removes a state that a writer fetches. Returns whether it was held.
    fn take(&mut self, id: u64) -> bool {
        self.held.remove(&id)
    }

    /// Releases the state of a request, also one that is still being read.
    fn release(&mut self, id: u64) {
        self.held.remove(&id);
        self.being_read.remove(&id);
    }
}

impl Servers {
    /// Starts all servers of a plan on ports that the system picks.
    ///
    /// # Errors
    /// The system's error if a server can't listen.
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
                queue: Arc::default(),
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
    socket.listen(ACCEPT_QUEUE_LENGTH)?;
    TcpListener::from_std(socket.into())
}

/// Starts a connect without waiting until the connection is established.
fn open_filler(to: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Err(error) if error.raw_os_error().is_none() => Err(error),
        _ => Ok(socket),
    }
}

/// Accepts connections, unless by the plan the server is cut off, refuses them or is stalled.
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
        shared.wait_while_stalled().await;
        let is_cut_off = shared.is_cut_off_soon();
        let Some(listening) = listener.as_ref().filter(|_| !is_cut_off) else {
            if is_cut_off && fillers.is_empty() {
                fillers = (0..FILLERS).filter_map(|_| open_filler(address).ok()).collect();
            }
            sleep(POLL_INTERVAL).await;
            continue;
        };
        if !fillers.is_empty() {
            reset_accept_queue(listening).await;
            fillers.clear();
        }
        tokio::select! {
            accepted = listening.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(connection::serve(stream, shared.clone()));
            },
            () = sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Resets all connections in the accept queue: the fillers, and those that were established while the server was being
/// cut off.
async fn reset_accept_queue(listener: &TcpListener) {
    let poll_once = || std::future::poll_fn(|context| Poll::Ready(listener.poll_accept(context)));
    while let Poll::Ready(Ok((stream, _))) = poll_once().await {
        reset_on_close(&stream);
    }
}

/// Makes the close of a stream send a reset.
fn reset_on_close(stream: &TcpStream) {
    // If the option can't be set, the close is an ordinary one.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.event_log.now() / 1_000
    }

    /// Whether a fault that satisfies `is_kind` is in force at this server.
    fn has(&self, is_kind: impl Fn(&FaultKind) -> bool) -> bool {
        self.plan.has(self.now_ms(), |kind| is_kind(kind) && kind.server() == Some(self.server))
    }

    /// Waits while the server's process is stalled. Returns whether it was.
    async fn wait_while_stalled(&self) -> bool {
        let mut was_stalled = false;
        while self.has(|kind| matches!(kind, FaultKind::StandStill { .. })) {
            was_stalled = true;
            sleep(POLL_INTERVAL).await;
        }
        was_stalled
    }

    /// Whether the server is cut off now or will be in [`CUT_LEAD_MS`], so that no connection may be established.
    fn is_cut_off_soon(&self) -> bool {
        let is_cut = |kind: &FaultKind| matches!(kind, FaultKind::Cut { server } if *server == self.server);
        let now_ms = self.now_ms();
        self.plan.has(now_ms, is_cut) || self.plan.has(now_ms + CUT_LEAD_MS, is_cut)
    }

    /// Whether the server's drain has begun; it lasts until the end of the run.
    fn is_draining(&self) -> bool {
        let now_ms = self.now_ms();
        self.plan.faults.iter().any(|fault| {
            let is_drain = matches!(fault.kind, FaultKind::Drain { server } if server == self.server);
            is_drain && fault.from_ms <= now_ms
        })
    }

    /// Additional delay of the server's responses now.
    fn delay(&self) -> Duration {
        let delays_ms = self.plan.faults_at(self.now_ms()).filter_map(|kind| match *kind {
            FaultKind::Slow { server, by_ms } if server == self.server => Some(by_ms),
            _ => None,
        });
        Duration::from_millis(delays_ms.max().unwrap_or(0))
    }

    /// Until when (ms) a connection that was opened at a time is silent; `None` if it is not silent now.
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

    /// When (ms) a connection that was opened at a time is reset; `None` if the plan does not reset it.
    fn reset_at_ms(&self, opened_ms: u64) -> Option<u64> {
        let resets = self.plan.faults.iter().filter(|fault| {
            let is_reset = matches!(fault.kind, FaultKind::Reset { server } if server == self.server);
            is_reset && fault.from_ms >= opened_ms
        });
        let starts = self.plan.server_starts();
        let starts = starts.iter().filter(|start| start.server == self.server && start.at_ms > opened_ms);
        resets.map(|fault| fault.from_ms).chain(starts.map(|start| start.at_ms)).min()
    }

    /// Takes a place in the server's queue for a request with a prompt of this length. Returns how long its work takes
    /// from now on; `None` if the queue is full.
    fn take_place(&self, prompt_tokens: u64) -> Option<Duration> {
        let now = self.event_log.now();
        let now_ms = now / 1_000;
        let Some(capacity) = self.plan.capacity_at(self.server, now_ms) else { return Some(Duration::ZERO) };
        let starts = self.plan.server_starts();
        let started = starts.iter().filter(|start| start.server == self.server && start.at_ms <= now_ms);
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let started_ms = started.map(|start| start.at_ms).max().unwrap_or(0);
        if queue.started_ms != started_ms {
            *queue = Queue { free_at: now, started_ms };
        }
        let begin = queue.free_at.max(now);
        if begin > now + MAX_QUEUE_US {
            return None;
        }
        queue.free_at = begin + (work(prompt_tokens) / capacity * 1e6) as Micros;
        Some(Duration::from_micros(queue.free_at - now))
    }

    fn states(&self) -> MutexGuard<'_, States> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the words of bookings at the chat front begin with; a writer logs the words of a request that has some.
pub const WORDS_PREFIX: &str = "words-";

/// Parses the hexadecimal request id of `X-Txn`; 0 if it is missing or malformed.
#[must_use]
pub fn parse_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}
