//! Releases while open connections to all servers have fallen silent, with no error, and new ones come up.

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
/// Connections to each server that are open when they fall silent.
const OPEN: usize = 3;

/// What the servers go by, and what came to them.
#[derive(Default)]
struct Network {
    /// Connections that are open already reach nobody.
    silent: AtomicBool,
    lost: AtomicUsize,
    released: AtomicUsize,
}

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

async fn serve(mut stream: TcpStream, network: Arc<Network>) {
    let opened_before = !network.silent.load(Ordering::Relaxed);
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        if opened_before && network.silent.load(Ordering::Relaxed) {
            network.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let answer = if head.starts_with("DELETE") {
            network.released.fetch_add(1, Ordering::Relaxed);
            plain(204, "", "")
        } else {
            sleep(Duration::from_millis(30)).await; // so that each request has a connection of its own
            plain(202, "", "{}")
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

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

/// A release that its holder does not answer is asked over a new connection next: what else is open may be as silent.
#[tokio::test]
async fn a_release_is_not_asked_of_one_silent_connection_after_the_other() {
    let network = Arc::new(Network::default());
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        addresses.push(server(network.clone()).await);
    }
    let config = Config::parse("config", &config(addresses[0], &json!({})), |_| None).unwrap();
    let servers = Servers::new(&config, Figures::default());
    let open = addresses.iter().flat_map(|address| [*address; OPEN]);
    let open: Vec<_> = open.map(|address| tokio::spawn(reads(servers.clone(), address))).collect();
    for reading in open {
        reading.await.unwrap();
    }
    sleep(Duration::from_millis(20)).await; // all are kept
    network.silent.store(true, Ordering::Relaxed);
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    servers.release("01", &addresses).await;
    assert_eq!(network.released.load(Ordering::Relaxed), 1);
    let lost = network.lost.load(Ordering::Relaxed);
    assert!(lost <= 2, "{lost} calls went over silent connections first");
}
