//! A process that is told to end may be killed 0.7 s after its longest deadline, which is soon where deadlines are short.
//! Until then clients go on sending on the connections that they have. By the kill each of their requests is answered and
//! nothing is held, also while servers stand still.

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
/// The process is killed so long after the longest deadline; what comes later than this after the signal has to be
/// answered before that.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// New connections go on coming for so long after the signal.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);
/// Requests are under way when the signal comes.
const WARM_UP: Duration = Duration::from_millis(400);

/// What became of a request.
#[derive(Debug)]
struct Exchange {
    id: String,
    /// Its last byte was written then.
    sent_at: Instant,
    is_first_on_connection: bool,
    /// `None` where the connection ended before.
    status: Option<u16>,
}

type Exchanges = Arc<Mutex<Vec<Exchange>>>;

/// Which servers stand still from before the signal on.
#[derive(Clone, Copy, Debug)]
enum Silent {
    Nobody,
    Readers,
    Writers,
}

/// Reads an answer to its end; its status.
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

/// Sends one request after the other, on one connection while that is open; on a new one while those still come.
async fn client(front: SocketAddr, number: u64, deadline_s: f64, stops: Instant, exchanges: Exchanges) {
    let mut count = 0;
    while Instant::now() < stops {
        let Ok(mut stream) = TcpStream::connect(front).await else { return };
        for at in 0.. {
            count += 1;
            let id = format!("{:016x}", (number << 32) + count);
            let lane = ["ask", "book", "note"][count as usize % 3];
            let text = platform(&id, lane, &deadline_s.to_string()).replace("Connection: close\r\n", "");
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

/// Writes half a request, and the rest only at a time when the process may be killed soon.
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

/// Would wait for longer than any class of the settings says, and for longer than the process may live.
async fn patient_client(front: SocketAddr, asks_at: Instant, exchanges: Exchanges) {
    sleep_until(asks_at).await;
    let id = format!("{:016x}", 0xbeef);
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(platform(&id, "ask", "6.000").as_bytes()).await.unwrap();
    let sent_at = Instant::now();
    let status = read_answer(&mut stream).await;
    exchanges.lock().unwrap().push(Exchange { id, sent_at, is_first_on_connection: true, status });
}

async fn shut_down(deadline_s: f64, silent: Silent) {
    let name = format!("short-{deadline_s}-{silent:?}");
    let layout = Layout { readers: 2, objective_s: deadline_s / 2.0, deadline_s, ..Layout::default() };
    let mut site = Site::start(&name, &layout).await;
    match silent {
        Silent::Nobody => {}
        Silent::Readers => Site::stop(&site.readers).await,
        Silent::Writers => Site::stop(&site.writers).await,
    }
    let told_at = Instant::now() + WARM_UP;
    let killed_at = told_at + Duration::from_secs_f64(deadline_s) + GRACE_PERIOD;
    let exchanges = Exchanges::default();
    let mut clients = JoinSet::new();
    for number in 1..=CLIENTS {
        let stops = told_at + NEW_CONNECTIONS;
        clients.spawn(client(site.front(), number, deadline_s, stops, exchanges.clone()));
    }
    let rest_at = told_at + GRACE_PERIOD + Duration::from_millis(170);
    clients.spawn(slow_client(site.front(), deadline_s, rest_at, exchanges.clone()));
    clients.spawn(patient_client(site.front(), told_at - Duration::from_millis(50), exchanges.clone()));
    sleep_until(told_at).await;
    site.signal("-TERM");
    sleep_until(killed_at).await;
    site.kill().await;
    while let Some(client) = clients.join_next().await {
        client.unwrap();
    }
    let exchanges = std::mem::take(&mut *exchanges.lock().unwrap());
    let ledger = site.ledger();
    assert!(exchanges.len() > 5, "{name}: {exchanges:?}");
    assert!(exchanges.iter().any(|one| one.sent_at > told_at), "{name}: some come after the signal");
    for exchange in &exchanges {
        let was_forwarded = ledger.is_known(&exchange.id);
        let may_be_closed_on = !exchange.is_first_on_connection && !was_forwarded;
        let after = exchange.sent_at.saturating_duration_since(told_at);
        assert!(
            exchange.status.is_some() || may_be_closed_on,
            "{name}: {exchange:?}, {after:?} after the signal, has no answer; {:#?}",
            site.log()
        );
    }
    assert_eq!(ledger.held(), Vec::<String>::new(), "{name}: held at the kill; {:#?}", site.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn by_the_kill_all_is_answered_and_nothing_is_held() {
    let mut running = JoinSet::new();
    for deadline_s in [0.3, 0.5, 1.0] {
        for silent in [Silent::Nobody, Silent::Readers, Silent::Writers] {
            running.spawn(shut_down(deadline_s, silent));
        }
    }
    while let Some(played) = running.join_next().await {
        played.unwrap();
    }
}
