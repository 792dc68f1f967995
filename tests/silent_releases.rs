//! Releases while all open connections to servers are unresponsive without an error, and new connections work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use dewladder::edge::servers::{self, Attempt, Payload, Servers};
use dewladder::edge::settings::Config;
use dewladder::edge::stats::Figures;
use dewladder_test_peers::{config, message, plain};
use serde_json::json;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

const SERVERS: usize = 4;
/// Number of connections to each server that are open when all of them become unresponsive.
const OPEN_PER_SERVER: usize = 3;

/// State that the servers share: whether connections are unresponsive, and counters of messages.
#[derive(Default)]
struct Network {
    /// Whether connections that were opened before this was set get no answers.
    silent: AtomicBool,
    /// Messages that arrived on unresponsive connections.
    unanswered: AtomicUsize,
    /// Releases that were answered.
    released_count: AtomicUsize,
}

/// Starts a server and returns its address.
async fn server(network: Arc<Network>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, network.clone()));
        }
    });
    address
}

/// Serves a connection: reads are answered after 30 ms, releases at once, unresponsive connections never.
async fn serve(mut stream: TcpStream, network: Arc<Network>) {
    let opened_before = !network.silent.load(Ordering::Relaxed);
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        if opened_before && network.silent.load(Ordering::Relaxed) {
            network.unanswered.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let answer = if head.starts_with("DELETE") {
            network.released_count.fetch_add(1, Ordering::Relaxed);
            plain(204, "", "")
        } else {
            sleep(Duration::from_millis(30)).await; // so that concurrent requests don't share a connection
            plain(202, "", "{}")
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends a read and waits for its answer.
async fn reads(servers: Servers, address: SocketAddr) {
    let payload = Payload { txn: "01".to_owned(), target: "/".to_owned(), key: None, body: "{}".into() };
    let attempt_deadline = Instant::now() + Duration::from_secs(2);
    let attempt = Attempt {
        address: address.to_string(),
        payload: payload.into(),
        reads: true,
        attempt_deadline,
        begin_by: attempt_deadline,
        new_connection: false,
        unanswered_releases: None,
    };
    let (_keep, stopped) = oneshot::channel();
    let result = servers.attempt(attempt, Arc::default(), stopped).await;
    assert!(matches!(result, servers::AttemptOutcome::Ended(_)), "{result:?}");
}

/// A release that a holder does not answer is retried on a new connection: the other open connections may be
/// unresponsive as well.
#[tokio::test]
async fn an_unanswered_release_is_retried_on_a_new_connection() {
    let network = Arc::new(Network::default());
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        addresses.push(server(network.clone()).await);
    }
    let config = Config::parse("config", &config(addresses[0], &json!({})), |_| None).unwrap();
    let servers = Servers::new(&config, Figures::default());
    let open = addresses.iter().flat_map(|address| [*address; OPEN_PER_SERVER]);
    let open: Vec<_> = open.map(|address| tokio::spawn(reads(servers.clone(), address))).collect();
    for reading in open {
        reading.await.unwrap();
    }
    sleep(Duration::from_millis(20)).await; // let all connections return to the pool
    network.silent.store(true, Ordering::Relaxed);
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    servers.release("01", &addresses).await;
    assert_eq!(network.released_count.load(Ordering::Relaxed), 1);
    let unanswered = network.unanswered.load(Ordering::Relaxed);
    assert!(unanswered <= 2, "{unanswered} releases were sent on unresponsive connections");
}
