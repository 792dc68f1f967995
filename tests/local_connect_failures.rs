//! Connects that fail for want of something on this machine, at the edges of the time that a connect has. Alone in its
//! program: the limit on descriptors is the process's.

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

/// The settings of the test's configuration have this time-out for connects.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A machine to which no connection comes up: its queue is full. The listener, and what fills its queue.
fn silent_machine() -> (SocketAddr, Socket, Vec<TcpStream>) {
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

/// Held by the test that changes the limit on descriptors.
static LIMIT: Mutex<()> = Mutex::const_new(());

/// Sends a request to that address, over a new connection only where that is said; what comes of it.
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

/// A limit on descriptors, below all that are open, for as long as this is kept.
struct NoDescriptors(Rlimit);

impl NoDescriptors {
    fn hold() -> Self {
        let before = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: Some(3), ..before }).unwrap();
        Self(before)
    }
}

impl Drop for NoDescriptors {
    fn drop(&mut self) {
        setrlimit(Resource::Nofile, self.0).unwrap();
    }
}

#[tokio::test]
async fn a_connect_that_local_failures_left_little_time_is_not_the_servers_failure() {
    let _one = LIMIT.lock().await;
    let (address, _listener, _fillers) = silent_machine();
    let config = Config::parse("config", &config(address, &json!({})), |_| None).unwrap();
    let servers = Servers::new(&config, Figures::default());

    let no_descriptors = NoDescriptors::hold();
    let sent = tokio::spawn(attempt(servers.clone(), address, false));
    sleep(CONNECT_TIMEOUT * 3 / 4).await;
    drop(no_descriptors);
    // The rest of the time is too short to say anything of the server.
    assert_eq!(sent.await.unwrap(), Outcome::NotSent);

    // With all of its time, it is the server's.
    assert_eq!(attempt(servers, address, false).await, Outcome::ConnectFailed);
}

/// Where something is held and no connect can be made for want of descriptors, the request does not go over a connection
/// that was open before, which may be silent: it is not sent at all.
#[tokio::test]
async fn where_no_connect_can_be_made_nothing_goes_over_an_older_connection() {
    const ANSWER: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
    let _one = LIMIT.lock().await;
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
    sleep(CONNECT_TIMEOUT).await; // its connection is used again once it has been quiet

    let _no_descriptors = NoDescriptors::hold();
    assert_eq!(attempt(servers, address, true).await, Outcome::NotSent);
    let second = timeout(CONNECT_TIMEOUT, serving).await;
    assert!(second.is_err(), "nothing came over the connection that was open: {second:?}");
}
