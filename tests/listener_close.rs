//! The close of a listener while clients connect all the time: the kernel resets a connection that becomes established
//! between the last accept and the close, and refuses one whose handshake is under way then. Threads outside of the
//! runtime connect as fast as they can, so that many connections meet each close.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dewladder::edge::clients::connection_limits::ConnectionLimits;
use dewladder::edge::clients::listener;
use dewladder::edge::clients::memory_budget::MemoryBudget;
use dewladder::edge::phase::Phase;
use dewladder::edge::stats::Figures;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

/// Memory for what clients make the process hold (bytes).
const CLIENT_MEMORY: usize = 4 << 20;
/// Threads that connect.
const CLIENTS: usize = 4;
/// Listeners that are closed in a test, one after the other.
const CLOSES: usize = 400;
/// Requests that are answered before the next listener closes, so that clients meet each close however slow the machine is.
const ANSWERED_BETWEEN_CLOSES: usize = 20;
/// A request that its client writes this long after the connection was established has no right to an answer as the process
/// ends: it closes silent connections at an age of 60 ms.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(50);
/// A connection that is not established after this time is given up, where another listener is open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The same, where none is: the first packet was dropped then, and is sent again after a second.
const CONNECT_TIMEOUT_ALONE: Duration = Duration::from_millis(20);

/// What the clients saw.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcomes {
    /// Connections that could not be established.
    not_connected: usize,
    /// Connections that ended without an answer after they had been established.
    unanswered: usize,
}

/// Sends a request on a new connection and reads the answer. Returns whether it was answered, or `None` if the client was
/// held up before it wrote the request.
fn exchange(mut stream: TcpStream) -> Option<bool> {
    let connected_at = Instant::now();
    let mut answer = String::new();
    let request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let written = stream.write_all(request);
    let is_late = connected_at.elapsed() >= MAX_WRITE_DELAY;
    let exchanged = written.and_then(|()| stream.read_to_string(&mut answer));
    let is_answered = exchanged.is_ok() && answer.starts_with("HTTP/1.1 200");
    (is_answered || !is_late).then_some(is_answered)
}

/// Clients in threads of their own.
struct Clients {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Outcomes>>,
}

impl Clients {
    fn start(address: SocketAddr, connect_timeout: Duration) -> Self {
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let start = |_| {
            let (stop, answered) = (stop.clone(), answered.clone());
            std::thread::spawn(move || {
                let mut outcomes = Outcomes::default();
                while !stop.load(Ordering::Relaxed) {
                    match TcpStream::connect_timeout(&address, connect_timeout).map(exchange) {
                        Ok(Some(true)) => drop(answered.fetch_add(1, Ordering::Relaxed)),
                        Ok(Some(false)) => outcomes.unanswered += 1,
                        Ok(None) => {}
                        Err(_) => outcomes.not_connected += 1,
                    }
                }
                outcomes
            })
        };
        let threads = (0..CLIENTS).map(start).collect();
        Self { stop, answered, threads }
    }

    /// Waits until further requests have been answered.
    async fn wait_for_answers(&self) {
        let enough = self.answered.load(Ordering::Relaxed) + ANSWERED_BETWEEN_CLOSES;
        while self.answered.load(Ordering::Relaxed) < enough {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Ends the clients and returns what they saw together.
    fn end(self) -> Outcomes {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = Outcomes::default();
        for thread in self.threads {
            let seen = thread.join().unwrap();
            sum.not_connected += seen.not_connected;
            sum.unanswered += seen.unanswered;
        }
        sum
    }
}

/// A listener with its front.
struct Front {
    phase: watch::Sender<Phase>,
    serving: tokio::task::JoinHandle<()>,
}

impl Front {
    fn serve(listener: TcpListener) -> Self {
        let front = axum::Router::new().route("/", axum::routing::get(|| async { "here" }));
        let (phase, phases) = watch::channel(Phase::Serving);
        let limits = ConnectionLimits::new(500, MemoryBudget::new(CLIENT_MEMORY));
        let serving = tokio::spawn(listener::serve(listener, front, limits, Figures::default(), phases));
        Self { phase, serving }
    }

    async fn close(self) {
        self.phase.send_replace(Phase::Closing);
        self.serving.await.unwrap();
    }
}

fn listen(port: u16) -> io::Result<TcpListener> {
    listener::listen(SocketAddr::from(([127, 0, 0, 1], port)), true)
}

/// Each listener closes while the next one is open on the same address: every connection is established and answered, by
/// one of the two.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_connection_is_lost_as_a_listener_closes_beside_its_successor() {
    let first = listen(0).unwrap();
    let address = first.local_addr().unwrap();
    let mut current = Front::serve(first);
    let clients = Clients::start(address, CONNECT_TIMEOUT);
    for _ in 0..CLOSES {
        let next = Front::serve(listen(address.port()).unwrap());
        clients.wait_for_answers().await;
        current.close().await;
        current = next;
    }
    let seen = clients.end();
    current.close().await;
    assert_eq!(seen, Outcomes::default());
}

/// No other listener is open on the address: a client may find that nobody listens, but a connection that has been
/// established is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_established_connection_is_lost_as_the_only_listener_closes() {
    let first = listen(0).unwrap();
    let address = first.local_addr().unwrap();
    let mut current = Front::serve(first);
    let clients = Clients::start(address, CONNECT_TIMEOUT_ALONE);
    for _ in 0..CLOSES {
        clients.wait_for_answers().await;
        current.close().await;
        current = Front::serve(listen(address.port()).unwrap());
    }
    let seen = clients.end();
    current.close().await;
    assert_eq!(seen.unanswered, 0, "{seen:?}");
}
