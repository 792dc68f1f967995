//! All replicas of a fleet in one process: an address each on loopback, two stages, and a ledger of every call.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dewladder_test_peers::{chunk, field, message, plain};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use crate::shape;

/// Addresses start here: 127.77.0.1, then 250 in each last octet.
const FIRST_OCTETS: [u8; 2] = [127, 77];
const IN_AN_OCTET: u32 = 250;
const BACKLOG: u32 = 64;
/// Ids of requests that may run once only begin so, all others do not.
pub(crate) const RUNS_ONCE: char = 'b';
/// Ports that are tried until one is free at all addresses.
const TRIES: u32 = 20;

/// What the replicas are like.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaOptions {
    /// How many.
    pub servers: u32,
    /// A read takes so long (ms).
    pub read_ms: u64,
    /// The first token takes so long (ms).
    pub first_token_ms: u64,
    /// Events of an answer.
    pub events: u32,
    /// Time between two events (ms).
    pub event_ms: u64,
    /// Calls that a warm server bears in a second, from all dispatchers.
    pub capacity: f64,
    /// The part of all dispatchers whose calls come here: the real ones' share of a server's budget.
    pub part: f64,
    /// A starting server has at least this share of its capacity, and is warm after this time (ms).
    pub cold_from: f64,
    /// See [`Self::cold_from`].
    pub cold_ms: u64,
    /// Sent more than this many times its present capacity, for the window (ms), a cold server falls over.
    pub fall_multiple: f64,
    /// See [`Self::fall_multiple`].
    pub fall_window_ms: u64,
}

/// What the replicas have seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLedger {
    /// When each request first came whole to any server, by its id (us, Unix time).
    pub first_came: BTreeMap<String, u64>,
    /// Reads.
    pub reads: u64,
    /// Answers that were begun.
    pub writes: u64,
    /// Requests that may run once only and were begun twice.
    pub ran_twice: u64,
    /// Calls to servers in slow start.
    pub cold_calls: u64,
    /// Of them, those beyond the budget.
    pub over_budget: u64,
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections that were open at once, at their most.
    pub most_connections: u64,
    /// The most that were open at one server at once.
    pub most_at_one: u64,
    /// Prompts' states that still wait at a reader.
    pub held: u64,
}

#[derive(Debug, Default)]
struct State {
    ledger: ReplicaLedger,
    held: HashMap<String, u32>,
    begun: HashMap<String, u32>,
    /// When a server last started, where that was in this run, and the calls that it got since.
    started: HashMap<u32, (Instant, Vec<Instant>)>,
    open: u64,
    open_at: HashMap<u32, u64>,
}

#[derive(Debug)]
struct Shared {
    options: ReplicaOptions,
    state: Mutex<State>,
    /// Which zones are lost.
    lost: watch::Sender<Vec<u32>>,
}

/// The hollow replicas, see the [module](self).
#[derive(Clone, Debug)]
pub struct HollowReplicas {
    shared: Arc<Shared>,
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
}

fn address(server: u32, port: u16) -> SocketAddr {
    let [first, second] = FIRST_OCTETS;
    let ip = Ipv4Addr::new(first, second, (server / IN_AN_OCTET) as u8, (1 + server % IN_AN_OCTET) as u8);
    SocketAddr::from((ip, port))
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Listeners at all addresses, on one port that is free at each.
fn listen_all(servers: u32) -> io::Result<Vec<TcpListener>> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..TRIES {
        let first = listen(address(0, 0))?;
        let port = first.local_addr()?.port();
        let rest: io::Result<Vec<_>> = (1..servers).map(|server| listen(address(server, port))).collect();
        match rest {
            Ok(rest) => return Ok(std::iter::once(first).chain(rest).collect()),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => last = error,
            Err(error) => return Err(error),
        }
    }
    Err(last)
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64)
}

impl HollowReplicas {
    /// Starts all of them.
    ///
    /// # Errors
    /// What the system says.
    pub fn start(options: ReplicaOptions) -> io::Result<Self> {
        let (lost, _) = watch::channel(Vec::new());
        let shared = Arc::new(Shared { options, state: Mutex::default(), lost });
        let listeners = listen_all(options.servers)?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        for (server, listener) in (0..).zip(listeners) {
            tokio::spawn(accept(listener, server, shared.clone()));
        }
        Ok(Self { shared, addresses })
    }

    /// A zone's replicas vanish: their connections are reset, and new ones too.
    pub fn lose(&self, zone: u32) {
        self.shared.lost.send_modify(|lost| lost.push(zone));
    }

    /// A zone's replicas are back, cold.
    pub fn return_cold(&self, zone: u32) {
        let now = Instant::now();
        let mut state = self.shared.state();
        for server in (0..self.shared.options.servers).filter(|&server| shape::zone(server) == zone) {
            state.started.insert(server, (now, Vec::new()));
            state.held.retain(|_, reader| *reader != server);
        }
        drop(state);
        self.shared.lost.send_modify(|lost| lost.retain(|other| *other != zone));
    }

    /// What they have seen.
    #[must_use]
    pub fn ledger(&self) -> ReplicaLedger {
        let state = self.shared.state();
        ReplicaLedger { held: state.held.len() as u64, ..state.ledger.clone() }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls that the real dispatchers may send a cold server in a window: their part of what it bears, and as much
    /// more as chance makes of so few (the standing test's term for under 30 calls).
    fn cold_limit(&self, age: Duration) -> f64 {
        let options = &self.options;
        let warmed = (age.as_millis() as f64 / options.cold_ms.max(1) as f64).min(1.0);
        let share = options.cold_from + (1.0 - options.cold_from) * warmed;
        let window = options.fall_window_ms as f64 / 1_000.0;
        let calls = options.fall_multiple * share * options.capacity * window * options.part;
        let chance = if calls < 30.0 { 3.0 } else { 2.0 };
        calls + chance * calls.sqrt() + chance
    }

    /// A call has come whole to a server.
    fn called(&self, server: u32, id: &str) {
        let mut state = self.state();
        let state = &mut *state;
        state.ledger.first_came.entry(id.to_owned()).or_insert_with(unix_us);
        let Some((started, calls)) = state.started.get_mut(&server) else { return };
        let (now, options) = (Instant::now(), &self.options);
        let age = now - *started;
        if age > Duration::from_millis(options.cold_ms) {
            return;
        }
        calls.push(now);
        let window = Duration::from_millis(options.fall_window_ms);
        let recent = calls.iter().rev().take_while(|at| now - **at < window).count();
        state.ledger.cold_calls += 1;
        state.ledger.over_budget += u64::from(recent as f64 > self.cold_limit(age));
    }

    fn accepted(&self, server: u32) {
        let mut state = self.state();
        state.ledger.connections += 1;
        state.open += 1;
        state.ledger.most_connections = state.ledger.most_connections.max(state.open);
        let at_one = state.open_at.entry(server).or_default();
        *at_one += 1;
        let at_one = *at_one;
        state.ledger.most_at_one = state.ledger.most_at_one.max(at_one);
    }

    fn closed(&self, server: u32) {
        let mut state = self.state();
        state.open -= 1;
        if let Some(at_one) = state.open_at.get_mut(&server) {
            *at_one -= 1;
        }
    }

    fn is_lost(&self, server: u32) -> bool {
        self.lost.borrow().contains(&shape::zone(server))
    }
}

async fn accept(listener: TcpListener, server: u32, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            shared.accepted(server);
            let mut lost = shared.lost.subscribe();
            let mut stream = stream;
            let gone = tokio::select! {
                _ = lost.wait_for(|lost| lost.contains(&shape::zone(server))) => true,
                () = connection(&mut stream, server, &shared) => false,
            };
            if gone {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            drop(stream);
            shared.closed(server);
        });
    }
}

async fn connection(stream: &mut TcpStream, server: u32, shared: &Shared) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(stream, &mut read).await {
        if shared.is_lost(server) {
            return;
        }
        let line = head.lines().next().unwrap_or("");
        let text = if let Some(path) = line.strip_prefix("DELETE /kv/leases/") {
            let id = path.split(' ').next().unwrap_or("");
            shared.state().held.remove(id);
            plain(204, "", "")
        } else if line.starts_with("POST /v1/") {
            let Some(id) = field(&head, "x-txn") else { return };
            shared.called(server, &id);
            if shape::reads(server) {
                reads(server, shared, id).await
            } else if let Some(()) = begins(shared, &id) {
                if !streams(stream, shared).await {
                    return;
                }
                continue;
            } else {
                plain(410, "X-Turned-Away: 1\r\n", "")
            }
        } else {
            plain(404, "", "")
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn reads(server: u32, shared: &Shared, id: String) -> String {
    sleep(Duration::from_millis(shared.options.read_ms)).await;
    let mut state = shared.state();
    state.held.insert(id, server);
    state.ledger.reads += 1;
    drop(state);
    plain(202, "", "{\"cached_tokens\":0}")
}

/// Takes a request's state to answer it; `None` where there is none.
fn begins(shared: &Shared, id: &str) -> Option<()> {
    let mut state = shared.state();
    let state = &mut *state;
    state.held.remove(id)?;
    state.ledger.writes += 1;
    let runs = state.begun.entry(id.to_owned()).or_default();
    *runs += 1;
    // Ids of requests that may run once only say so: a dispatcher does not pass the class on.
    if id.starts_with(RUNS_ONCE) && *runs == 2 {
        state.ledger.ran_twice += 1;
    }
    Some(())
}

async fn streams(stream: &mut TcpStream, shared: &Shared) -> bool {
    let options = &shared.options;
    sleep(Duration::from_millis(options.first_token_ms)).await;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let event = chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n",
    );
    if stream.write_all((head.to_owned() + &event).as_bytes()).await.is_err() {
        return false;
    }
    let mut due = tokio::time::Instant::now();
    for _ in 1..options.events {
        due += Duration::from_millis(options.event_ms);
        sleep_until(due).await;
        if stream.write_all(event.as_bytes()).await.is_err() {
            return false;
        }
    }
    let last = chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
    );
    stream.write_all((last + "0\r\n\r\n").as_bytes()).await.is_ok()
}
