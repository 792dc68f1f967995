//! Connects that fail or start late because this machine has no free file descriptors. These tests have a program of
//! their own, since the limit on descriptors is set for the whole process.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use dewladder::edge::servers::{self, Attempt, Payload, Servers};
use dewladder::edge::settings::Config;
use dewladder::edge::stats::Figures;
use dewladder::interface::Outcome;
use dewladder_test_peers::{config, message};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWriteExt as _;
use tokio::sync::{oneshot, Mutex};
use tokio::time::{sleep, timeout, Instant};

/// The connect timeout in the test configuration.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// An address at which connects time out because the listen backlog is full; with the listener and the connections that
/// fill its backlog, which the caller keeps.
fn unreachable_address() -> (SocketAddr, Socket, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut fillers = Vec::new();
    while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        fillers.push(filler);
    }
    (address, listener, fillers)
}

/// Taken by each test that changes the limit on descriptors, so that they run one at a time.
static DESCRIPTOR_LIMIT_LOCK: Mutex<()> = Mutex::const_new(());

/// Sends a request to `address` and returns the outcome; with `new_connection` set, an open connection is not reused.
async fn attempt(servers: Servers, address: SocketAddr, new_connection: bool) -> Outcome {
    let payload = Payload { txn: "01".to_owned(), target: "/".to_owned(), key: None, body: "{}".into() };
    let attempt_deadline = Instant::now() + Duration::from_secs(2);
    let attempt = Attempt {
        address: address.to_string(),
        payload: payload.into(),
        reads: true,
        attempt_deadline,
        begin_by: attempt_deadline,
        new_connection,
        unanswered_releases: None,
    };
    let (_keep, stopped) = oneshot::channel();
    match servers.attempt(attempt, std::sync::Arc::default(), stopped).await {
        servers::AttemptOutcome::Ended(ending) => ending.outcome,
        other => panic!("{other:?}"),
    }
}

/// Limits descriptors to fewer than are open, so that none can be opened; dropping this restores the limit.
struct DescriptorLimit(Rlimit);

impl DescriptorLimit {
    fn lower() -> Self {
        let before = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: Some(3), ..before }).unwrap();
        Self(before)
    }
}

impl Drop for DescriptorLimit {
    fn drop(&mut self) {
        setrlimit(Resource::Nofile, self.0).unwrap();
    }
}

#[tokio::test]
async fn a_connect_timeout_shortened_by_local_failures_is_not_the_servers_failure() {
    let _lock = DESCRIPTOR_LIMIT_LOCK.lock().await;
    let (address, _listener, _fillers) = unreachable_address();
    let config = Config::parse("config", &config(address, &json!({})), |_| None).unwrap();
    let servers = Servers::new(&config, Figures::default());

    let descriptor_limit = DescriptorLimit::lower();
    let sent = tokio::spawn(attempt(servers.clone(), address, false));
    sleep(CONNECT_TIMEOUT * 3 / 4).await;
    drop(descriptor_limit);
    // The remaining time is too short for a timeout to count as the server's failure.
    assert_eq!(sent.await.unwrap(), Outcome::NotSent);

    // With the whole connect timeout available, a timeout is the server's failure.
    assert_eq!(attempt(servers, address, false).await, Outcome::ConnectFailed);
}

/// An attempt that requires a new connection, as for a request with held state, is not sent when no descriptor is free.
/// It must not use an older open connection, which may be silent.
#[tokio::test]
async fn an_attempt_that_needs_a_new_connection_does_not_fall_back_to_an_older_one() {
    const ANSWER: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
    let _lock = DESCRIPTOR_LIMIT_LOCK.lock().await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let config = Config::parse("config", &config(address, &json!({})), |_| None).unwrap();
    let servers = Servers::new(&config, Figures::default());
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = Vec::new();
        message(&mut stream, &mut read).await.unwrap();
        stream.write_all(ANSWER).await.unwrap();
        message(&mut stream, &mut read).await
    });
    assert_eq!(attempt(servers.clone(), address, false).await, Outcome::Read);
    sleep(CONNECT_TIMEOUT).await; // the connection is reusable only after it has been idle for a while

    let _descriptor_limit = DescriptorLimit::lower();
    assert_eq!(attempt(servers, address, true).await, Outcome::NotSent);
    let second = timeout(CONNECT_TIMEOUT, serving).await;
    assert!(second.is_err(), "nothing was sent over the open connection: {second:?}");
}
