//! Simulates all replicas of a fleet in one process. Each replica is a reader or a writer with a loopback address
//! of its own, and a common ledger counts the calls of all of them.

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

/// First octets of all replica addresses. The first address is 127.77.0.1; each third octet has
/// [`ADDRESSES_PER_OCTET`] addresses.
const FIRST_OCTETS: [u8; 2] = [127, 77];
const ADDRESSES_PER_OCTET: u32 = 250;
const LISTEN_BACKLOG: u32 = 64;
/// First character of the ids of at-most-once requests; the id of no other request begins with it.
pub(crate) const AT_MOST_ONCE_ID_PREFIX: char = 'b';
/// How many ports are tried until one is free at all addresses.
const MAX_PORT_TRIES: u32 = 20;

/// How the simulated replicas behave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaOptions {
    /// Number of replicas.
    pub servers: u32,
    /// Duration of a read (ms).
    pub read_ms: u64,
    /// Time from the arrival of a write to its first token (ms).
    pub first_token_ms: u64,
    /// Events with a token in each answer.
    pub events: u32,
    /// Time between two events (ms).
    pub event_ms: u64,
    /// Calls a second, from all dispatchers together, that a server can take after slow start.
    pub capacity: f64,
    /// Share of the dispatchers that are real. Only they send calls, so it is also their share of a server's
    /// budget.
    #[serde(rename = "part")]
    pub real_share: f64,
    /// Share of its full capacity that a server has as it starts. The share grows linearly to 1 over `cold_ms`.
    pub cold_from: f64,
    /// Duration of slow start (ms).
    pub cold_ms: u64,
    /// A server in slow start is overloaded by more than this many times its current capacity during
    /// `fall_window_ms`.
    pub fall_multiple: f64,
    /// Time over which calls are counted against `fall_multiple` (ms).
    pub fall_window_ms: u64,
}

/// What the replicas have counted since their start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLedger {
    /// When the first complete call for each request arrived at any server, by request id (us, Unix time).
    pub first_came: BTreeMap<String, u64>,
    /// Completed reads.
    pub reads: u64,
    /// Answers that were started.
    pub writes: u64,
    /// At-most-once requests whose answer was started more than once.
    pub ran_twice: u64,
    /// Calls to servers in slow start.
    pub cold_calls: u64,
    /// Those of `cold_calls` that were over the slow-start budget of their server.
    pub over_budget: u64,
    /// Accepted connections.
    pub connections: u64,
    /// Highest number of connections that were open at the same time.
    pub most_connections: u64,
    /// Highest number of connections that were open at one server at the same time.
    pub most_at_one: u64,
    /// Held states at readers that have not been fetched or released yet.
    pub held: u64,
}

#[derive(Debug, Default)]
struct State {
    ledger: ReplicaLedger,
    /// Reader that holds the state of each request, by request id.
    held: HashMap<String, u32>,
    /// How often the answer to each request was started, by request id.
    answers_started: HashMap<String, u32>,
    /// Servers that restarted during the run: the time of the last restart, and the times of the calls in slow
    /// start since then.
    restarted: HashMap<u32, (Instant, Vec<Instant>)>,
    /// Connections that are open now.
    open_connections: u64,
    /// Connections that are open now, by server.
    open_by_server: HashMap<u32, u64>,
}

#[derive(Debug)]
struct Shared {
    options: ReplicaOptions,
    state: Mutex<State>,
    /// Zones whose replicas are unreachable at present.
    lost_zones: watch::Sender<Vec<u32>>,
}

/// Handle to the hollow replicas of this process, see the [module](self).
#[derive(Clone, Debug)]
pub struct HollowReplicas {
    shared: Arc<Shared>,
    /// Listen address of each replica, by server number.
    pub addresses: Vec<SocketAddr>,
}

fn address(server: u32, port: u16) -> SocketAddr {
    let [first, second] = FIRST_OCTETS;
    let ip = Ipv4Addr::new(
        first,
        second,
        (server / ADDRESSES_PER_OCTET) as u8,
        (1 + server % ADDRESSES_PER_OCTET) as u8,
    );
    SocketAddr::from((ip, port))
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(at)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Binds a listener at every replica's address, all on one port that is free at each of them.
fn listen_all(servers: u32) -> io::Result<Vec<TcpListener>> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..MAX_PORT_TRIES {
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
    /// Starts all replicas in the background.
    ///
    /// # Errors
    /// The system's error, if the addresses can't be bound.
    pub fn start(options: ReplicaOptions) -> io::Result<Self> {
        let (lost_zones, _) = watch::channel(Vec::new());
        let shared = Arc::new(Shared { options, state: Mutex::default(), lost_zones });
        let listeners = listen_all(options.servers)?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        for (server, listener) in (0..).zip(listeners) {
            tokio::spawn(accept(listener, server, shared.clone()));
        }
        Ok(Self { shared, addresses })
    }

    /// Makes the replicas of a zone unreachable: open connections are reset, and so are new ones.
    pub fn lose_zone(&self, zone: u32) {
        self.shared.lost_zones.send_modify(|lost_zones| lost_zones.push(zone));
    }

    /// Makes the replicas of a zone reachable again, as after a restart: in slow start and without held state.
    pub fn restart_zone(&self, zone: u32) {
        let now = Instant::now();
        let mut state = self.shared.state();
        for server in (0..self.shared.options.servers).filter(|&server| shape::zone(server) == zone) {
            state.restarted.insert(server, (now, Vec::new()));
            state.held.retain(|_, reader| *reader != server);
        }
        drop(state);
        self.shared.lost_zones.send_modify(|lost_zones| lost_zones.retain(|other| *other != zone));
    }

    /// What the replicas have counted so far.
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

    /// How many calls the real dispatchers may send to a server in slow start within `fall_window_ms`: their share
    /// of the overload limit, and a margin for random variation of so small a count. The margin is 3 standard
    /// deviations plus 3 calls for less than 30 calls, else 2 and 2, as in the slow-start test of the router.
    fn slow_start_call_limit(&self, age: Duration) -> f64 {
        let options = &self.options;
        let warm_up_progress = (age.as_millis() as f64 / options.cold_ms.max(1) as f64).min(1.0);
        let share = options.cold_from + (1.0 - options.cold_from) * warm_up_progress;
        let window = options.fall_window_ms as f64 / 1_000.0;
        let calls = options.fall_multiple * share * options.capacity * window * options.real_share;
        let deviations = if calls < 30.0 { 3.0 } else { 2.0 };
        calls + deviations * calls.sqrt() + deviations
    }

    /// Counts a complete call to a server, against its budget if the server is in slow start.
    fn record_call(&self, server: u32, id: &str) {
        let mut state = self.state();
        let state = &mut *state;
        state.ledger.first_came.entry(id.to_owned()).or_insert_with(unix_us);
        let Some((restarted, calls)) = state.restarted.get_mut(&server) else { return };
        let (now, options) = (Instant::now(), &self.options);
        let age = now - *restarted;
        if age > Duration::from_millis(options.cold_ms) {
            return;
        }
        calls.push(now);
        let window = Duration::from_millis(options.fall_window_ms);
        let recent = calls.iter().rev().take_while(|at| now - **at < window).count();
        state.ledger.cold_calls += 1;
        state.ledger.over_budget += u64::from(recent as f64 > self.slow_start_call_limit(age));
    }

    fn record_accepted(&self, server: u32) {
        let mut state = self.state();
        state.ledger.connections += 1;
        state.open_connections += 1;
        state.ledger.most_connections = state.ledger.most_connections.max(state.open_connections);
        let open_at_server = state.open_by_server.entry(server).or_default();
        *open_at_server += 1;
        let open_at_server = *open_at_server;
        state.ledger.most_at_one = state.ledger.most_at_one.max(open_at_server);
    }

    fn record_closed(&self, server: u32) {
        let mut state = self.state();
        state.open_connections -= 1;
        if let Some(open_at_server) = state.open_by_server.get_mut(&server) {
            *open_at_server -= 1;
        }
    }

    fn is_in_lost_zone(&self, server: u32) -> bool {
        self.lost_zones.borrow().contains(&shape::zone(server))
    }
}

/// Accepts connections of one replica and serves each in a task of its own.
async fn accept(listener: TcpListener, server: u32, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            shared.record_accepted(server);
            let mut lost_zones = shared.lost_zones.subscribe();
            let mut stream = stream;
            let was_lost = tokio::select! {
                _ = lost_zones.wait_for(|lost_zones| lost_zones.contains(&shape::zone(server))) => true,
                () = serve_connection(&mut stream, server, &shared) => false,
            };
            if was_lost {
                // Without lingering, closing the socket resets the connection.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            drop(stream);
            shared.record_closed(server);
        });
    }
}

/// Answers the calls of one connection, one after the other, until it is closed.
async fn serve_connection(stream: &mut TcpStream, server: u32, shared: &Shared) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(stream, &mut read).await {
        if shared.is_in_lost_zone(server) {
            return;
        }
        let line = head.lines().next().unwrap_or("");
        let text = if let Some(path) = line.strip_prefix("DELETE /kv/leases/") {
            let id = path.split(' ').next().unwrap_or("");
            shared.state().held.remove(id);
            plain(204, "", "")
        } else if line.starts_with("POST /v1/") {
            let Some(id) = field(&head, "x-txn") else { return };
            shared.record_call(server, &id);
            if shape::reads(server) {
                reads(server, shared, id).await
            } else if let Some(()) = take_held_state(shared, &id) {
                if !stream_answer(stream, shared).await {
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

/// Reads a prompt and holds its state; returns the answer.
async fn reads(server: u32, shared: &Shared, id: String) -> String {
    sleep(Duration::from_millis(shared.options.read_ms)).await;
    let mut state = shared.state();
    state.held.insert(id, server);
    state.ledger.reads += 1;
    drop(state);
    plain(202, "", "{\"cached_tokens\":0}")
}

/// Fetches the held state of a request for its writer; `None` if no reader holds any.
fn take_held_state(shared: &Shared, id: &str) -> Option<()> {
    let mut state = shared.state();
    let state = &mut *state;
    state.held.remove(id)?;
    state.ledger.writes += 1;
    let runs = state.answers_started.entry(id.to_owned()).or_default();
    *runs += 1;
    // The id says whether the request is at-most-once, because a dispatcher does not forward the class.
    if id.starts_with(AT_MOST_ONCE_ID_PREFIX) && *runs == 2 {
        state.ledger.ran_twice += 1;
    }
    Some(())
}

/// Streams an answer; returns whether the connection can still be used.
async fn stream_answer(stream: &mut TcpStream, shared: &Shared) -> bool {
    let options = &shared.options;
    sleep(Duration::from_millis(options.first_token_ms)).await;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let event = chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n",
    );
    if stream.write_all((head.to_owned() + &event).as_bytes()).await.is_err() {
        return false;
    }
    let mut next_event_at = tokio::time::Instant::now();
    for _ in 1..options.events {
        next_event_at += Duration::from_millis(options.event_ms);
        sleep_until(next_event_at).await;
        if stream.write_all(event.as_bytes()).await.is_err() {
            return false;
        }
    }
    let last = chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
    );
    stream.write_all((last + "0\r\n\r\n").as_bytes()).await.is_ok()
}
