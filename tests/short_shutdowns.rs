//! Shutdowns with short deadlines. After SIGTERM a process may be killed 0.7 s after its longest deadline; until then
//! clients keep sending on their open connections. Before the kill each request has to be answered and each held state
//! released, also while servers are stopped.

mod server_processes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dewladder_test_peers::{field, platform};
use server_processes::{Layout, Site};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

const CLIENTS: u64 = 6;
/// The process is killed this long after the longest deadline, counted from the signal. Requests that arrive later than
/// this after the signal have less than their deadline until the kill, and still have to be answered before it.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Clients open new connections until this long after the signal.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);
/// Time from the start of the clients to the signal, so that requests are in flight when the process gets the signal.
const WARM_UP: Duration = Duration::from_millis(400);

/// A request and the status of its answer.
#[derive(Debug)]
struct Exchange {
    id: String,
    /// When the last byte of the request was written.
    sent_at: Instant,
    is_first_on_connection: bool,
    /// `None` if the connection ended before a whole answer.
    status: Option<u16>,
}

type Exchanges = Arc<Mutex<Vec<Exchange>>>;

/// Which servers are stopped (SIGSTOP) during the whole test.
#[derive(Clone, Copy, Debug)]
enum StoppedServers {
    Neither,
    Readers,
    Writers,
}

/// Reads an answer to its end and returns its status, or `None` if the connection ends before.
async fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut read = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&read).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let is_whole = match field(head, "content-length") {
                Some(length) => body.len() >= length.parse::<usize>().unwrap(),
                None => body.ends_with("0\r\n\r\n"),
            };
            if is_whole {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        if stream.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    }
}

/// Sends one request after another on a connection until it is closed, then on a new one, until `stops_at`.
async fn client(front: SocketAddr, number: u64, deadline_s: f64, stops_at: Instant, exchanges: Exchanges) {
    let mut count = 0;
    while Instant::now() < stops_at {
        let Ok(mut stream) = TcpStream::connect(front).await else { return };
        for at in 0.. {
            count += 1;
            let id = format!("{:016x}", (number << 32) + count);
            let class = ["ask", "book", "note"][count as usize % 3];
            let text = platform(&id, class, &deadline_s.to_string()).replace("Connection: close\r\n", "");
            if stream.write_all(text.as_bytes()).await.is_err() {
                break;
            }
            let (sent_at, is_first_on_connection) = (Instant::now(), at == 0);
            let status = read_answer(&mut stream).await;
            exchanges.lock().unwrap().push(Exchange { id, sent_at, is_first_on_connection, status });
            if status.is_none() {
                break;
            }
            sleep(Duration::from_millis(3)).await;
        }
    }
}

/// Sends the first half of a request at once and the rest at `rest_at`, when the kill is less than a deadline away.
async fn slow_client(front: SocketAddr, deadline_s: f64, rest_at: Instant, exchanges: Exchanges) {
    let id = format!("{:016x}", 0xfeed);
    let text = platform(&id, "ask", &deadline_s.to_string());
    let (first, rest) = text.split_at(text.len() / 2);
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(first.as_bytes()).await.unwrap();
    sleep_until(rest_at).await;
    if stream.write_all(rest.as_bytes()).await.is_err() {
        return;
    }
    let sent_at = Instant::now();
    let status = read_answer(&mut stream).await;
    exchanges.lock().unwrap().push(Exchange { id, sent_at, is_first_on_connection: true, status });
}

/// Sends a request whose own deadline is longer than that of any class, and longer than the process may live.
async fn long_deadline_client(front: SocketAddr, sends_at: Instant, exchanges: Exchanges) {
    sleep_until(sends_at).await;
    let id = format!("{:016x}", 0xbeef);
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(platform(&id, "ask", "6.000").as_bytes()).await.unwrap();
    let sent_at = Instant::now();
    let status = read_answer(&mut stream).await;
    exchanges.lock().unwrap().push(Exchange { id, sent_at, is_first_on_connection: true, status });
}

/// Shuts a dispatcher down under load and checks that each request was answered and that no state is held at the kill.
async fn shut_down(deadline_s: f64, stopped: StoppedServers) {
    let name = format!("short-{deadline_s}-{stopped:?}");
    let layout = Layout { readers: 2, objective_s: deadline_s / 2.0, deadline_s, ..Layout::default() };
    let mut site = Site::start(&name, &layout).await;
    match stopped {
        StoppedServers::Neither => {}
        StoppedServers::Readers => Site::stop(&site.readers).await,
        StoppedServers::Writers => Site::stop(&site.writers).await,
    }
    let signalled_at = Instant::now() + WARM_UP;
    let killed_at = signalled_at + Duration::from_secs_f64(deadline_s) + GRACE_PERIOD;
    let exchanges = Exchanges::default();
    let mut clients = JoinSet::new();
    for number in 1..=CLIENTS {
        let stops_at = signalled_at + NEW_CONNECTIONS;
        clients.spawn(client(site.front(), number, deadline_s, stops_at, exchanges.clone()));
    }
    let rest_at = signalled_at + GRACE_PERIOD + Duration::from_millis(170);
    clients.spawn(slow_client(site.front(), deadline_s, rest_at, exchanges.clone()));
    clients.spawn(long_deadline_client(
        site.front(),
        signalled_at - Duration::from_millis(50),
        exchanges.clone(),
    ));
    sleep_until(signalled_at).await;
    site.signal("-TERM");
    sleep_until(killed_at).await;
    site.kill().await;
    while let Some(client) = clients.join_next().await {
        client.unwrap();
    }
    let exchanges = std::mem::take(&mut *exchanges.lock().unwrap());
    let ledger = site.ledger();
    assert!(exchanges.len() > 5, "{name}: {exchanges:?}");
    assert!(
        exchanges.iter().any(|exchange| exchange.sent_at > signalled_at),
        "{name}: no request was sent after the signal"
    );
    for exchange in &exchanges {
        let was_forwarded = ledger.is_known(&exchange.id);
        let may_be_unanswered = !exchange.is_first_on_connection && !was_forwarded;
        let after = exchange.sent_at.saturating_duration_since(signalled_at);
        assert!(
            exchange.status.is_some() || may_be_unanswered,
            "{name}: {exchange:?}, {after:?} after the signal, has no answer; {:#?}",
            site.log()
        );
    }
    assert_eq!(ledger.held(), Vec::<String>::new(), "{name}: held at the kill; {:#?}", site.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn all_requests_are_answered_and_all_states_released_before_the_kill() {
    let mut running = JoinSet::new();
    for deadline_s in [0.3, 0.5, 1.0] {
        for stopped in [StoppedServers::Neither, StoppedServers::Readers, StoppedServers::Writers] {
            running.spawn(shut_down(deadline_s, stopped));
        }
    }
    while let Some(finished) = running.join_next().await {
        finished.unwrap();
    }
}
