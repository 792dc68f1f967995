//! A dispatcher in front of servers that the test scripts step by step. The messages that all servers receive are put
//! into one queue, in the order of their arrival; the test takes them from the queue and sends the answers. The test
//! can block a server: connections to it are then not established until it is unblocked.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::{
    chunk, config, event, field, member, plain, platform, until_close, Agent, LAST_EVENTS,
};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{timeout, Instant};

pub const READER: &str = "prefill";
pub const WRITER: &str = "decode";
pub const MIXED: &str = "both";

/// Head of a streamed answer; its chunked body follows.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The answer of a reader that has read the prompt and holds state.
pub fn read_answer() -> String {
    plain(202, "", "{\"cached_tokens\":4}")
}

/// A complete streamed answer: event number `at` and the events that end the answer.
pub fn stream(at: usize) -> String {
    format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(&event(at)), chunk(LAST_EVENTS))
}

/// An answer that rejects the request with this status. Its header proves that the request never ran.
pub fn rejection(status: u16) -> String {
    plain(status, "X-Turned-Away: 1\r\n", "")
}

/// The status code of an answer; 0 if the text has none.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// A complete message that a server has received.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// Index of the server.
    pub server: usize,
    /// Method and request id, such as `POST 01` or `DELETE 01`.
    pub what: String,
    /// Head of the message, without the empty line at its end.
    pub head: String,
    /// Time at which its last byte was received.
    pub received: Instant,
    /// Connection over which it was received.
    pub connection: Connection,
}

impl ReceivedMessage {
    /// Sends text on the connection of the message.
    pub async fn reply(&self, text: &str) {
        self.connection.reply(text).await;
    }

    /// The value of a header of the message, `None` if the header is absent.
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

/// A server's side of a connection.
#[derive(Clone)]
pub struct Connection {
    to: Arc<tokio::sync::Mutex<Option<OwnedWriteHalf>>>,
    reading: Arc<Mutex<Option<AbortHandle>>>,
    ended: watch::Receiver<Option<Instant>>,
    /// All bytes received so far.
    pub bytes: Arc<Mutex<Vec<u8>>>,
    /// While set, messages are received but not put into the queue of the test.
    silent: Arc<AtomicBool>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "Connection {{ ended: {} }}", self.has_ended())
    }
}

impl Connection {
    /// Whether both values stand for the same connection.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.to, &other.to)
    }

    /// Sends text. A write error, as after a close by the dispatcher, is ignored.
    pub async fn reply(&self, text: &str) {
        if let Some(to) = self.to.lock().await.as_mut() {
            let _ = to.write_all(text.as_bytes()).await;
        }
    }

    /// Closes the connection, with a reset (RST) or in the regular way (FIN).
    pub async fn close(&self, with_reset: bool) {
        let to = self.to.lock().await.take();
        let Some(to) = to else { return };
        if with_reset {
            to.as_ref().set_zero_linger().unwrap();
        }
        let reading = self.reading.lock().unwrap().take();
        if let Some(reading) = reading {
            reading.abort();
        }
        drop(to);
    }

    /// Waits until the dispatcher has closed the connection, and returns when that was seen; panics after 5 s.
    pub async fn ended(&self) -> Instant {
        let mut ended = self.ended.clone();
        let wait = ended.wait_for(Option::is_some);
        let at = timeout(Duration::from_secs(5), wait)
            .await
            .expect("the dispatcher closes the connection")
            .unwrap();
        at.unwrap()
    }

    /// Whether the dispatcher closed the connection before `then`. The close counts as earlier up to 2 ms after
    /// `then`, because different tasks report the close and the message that `then` comes from.
    pub fn ended_before(&self, then: Instant) -> bool {
        self.ended.borrow().is_some_and(|at| at <= then + Duration::from_millis(2))
    }

    /// Whether the dispatcher has closed the connection.
    pub fn has_ended(&self) -> bool {
        self.ended.borrow().is_some()
    }
}

/// A server whose answers the test sends. `open` allows connections, `fillers` are the connections that fill its
/// accept queue while it is blocked, and `filler_ports` are their local ports.
#[derive(Debug)]
struct ScriptedServer {
    address: SocketAddr,
    open: watch::Sender<bool>,
    fillers: Vec<TcpStream>,
    filler_ports: Arc<Mutex<BTreeSet<u16>>>,
    accepting: AbortHandle,
    read_messages: Arc<AtomicBool>,
}

/// A running dispatcher and its scripted servers. See the [module](self).
pub struct TestBed {
    pub platform: SocketAddr,
    pub agent: Agent,
    servers: Vec<ScriptedServer>,
    kinds: Vec<&'static str>,
    revision: u64,
    incoming: mpsc::UnboundedReceiver<ReceivedMessage>,
    /// Accepted connections with the indexes of their servers, oldest first.
    pub connections: Arc<Mutex<Vec<(usize, Connection)>>>,
    _shutdown: oneshot::Sender<()>,
    _discovery: watch::Sender<SocketAddr>,
    _running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
}

impl TestBed {
    /// Starts servers of these kinds and a dispatcher with the default settings as changed by `tweak`.
    pub async fn start(kinds: &[&'static str], tweak: impl FnOnce(&mut Value)) -> Self {
        let (to, incoming) = mpsc::unbounded_channel();
        let connections = Arc::new(Mutex::new(Vec::new()));
        let mut servers = Vec::new();
        for at in 0..kinds.len() {
            servers.push(ScriptedServer::start(at, to.clone(), connections.clone()));
        }
        let agent = Agent::start(json!({"revision": 0, "complete": true, "members": []})).await;
        let mut list_builder = ListBuilder { servers: &servers, kinds, revision: 1 };
        let list = list_builder.list(&[]);
        agent.tells(Some(list.clone()));
        let mut config_json: Value = serde_json::from_str(&config(agent.address, &list)).unwrap();
        config_json["settings"]["kinds"] = json!([READER, WRITER, MIXED]);
        config_json["settings"]["domain"]["role_by_kind"] = json!(["read", "write", "both"]);
        config_json["settings"]["domain"]["kind_memory_tokens"] = json!([100_000, 100_000, 100_000]);
        tweak(&mut config_json);
        let config = Config::parse("config", &config_json.to_string(), |_| None).unwrap();
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", "").unwrap()).unwrap();
        let [platform] = dispatcher.addresses()[..] else { panic!("expected one listener") };
        let (end, ended) = oneshot::channel();
        let (discovery, at) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        let kinds = kinds.to_vec();
        Self {
            platform,
            agent,
            servers,
            kinds,
            revision: 1,
            incoming,
            connections,
            _shutdown: end,
            _discovery: discovery,
            _running: running,
        }
    }

    /// Sends a client request in a task of its own, which returns the answer once the connection is closed.
    pub fn start_request(&self, id: &str, class: &str, remaining: &str) -> JoinHandle<String> {
        let (to, text) = (self.platform, platform(id, class, remaining));
        tokio::spawn(async move { until_close(to, &text).await })
    }

    /// Waits for the next message that any server receives; panics after 5 s.
    pub async fn next(&mut self) -> ReceivedMessage {
        self.next_within(Duration::from_secs(5)).await.expect("a message is received")
    }

    /// Waits for the next message and panics unless it has this method and id.
    pub async fn expect(&mut self, what: &str) -> ReceivedMessage {
        let incoming = self.next().await;
        assert_eq!(incoming.what, what, "at server {}", incoming.server);
        incoming
    }

    /// Waits for the next message that is not a release; releases received before it are answered.
    pub async fn next_post(&mut self) -> ReceivedMessage {
        loop {
            let incoming = self.next().await;
            if !incoming.what.starts_with("DELETE") {
                return incoming;
            }
            incoming.reply(&plain(204, "", "")).await;
        }
    }

    /// Makes the server accept new connections without reading from them, so that only the receive buffer of its
    /// socket is filled.
    pub fn stop_reading(&self, server: usize) {
        self.servers[server].read_messages.store(false, Ordering::Relaxed);
    }

    /// Waits for the next message for up to `time`; `None` if none is received.
    pub async fn next_within(&mut self, time: Duration) -> Option<ReceivedMessage> {
        timeout(time, self.incoming.recv()).await.ok().flatten()
    }

    /// Fills the accept queue of the server, so that no further connection to it is established.
    pub async fn block_connections(&mut self, server: usize) {
        let scripted = &mut self.servers[server];
        scripted.open.send_replace(false);
        tokio::task::yield_now().await;
        loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            scripted.filler_ports.lock().unwrap().insert(socket.local_addr().unwrap().port());
            // A connection that is not established within 60 ms has found the accept queue full.
            match timeout(Duration::from_millis(60), socket.connect(scripted.address)).await {
                Ok(stream) => scripted.fillers.push(stream.unwrap()),
                Err(_) => return,
            }
        }
    }

    /// Makes all open connections of the server unresponsive, without an error; new ones work as before.
    pub fn ignore_open_connections(&self, server: usize) {
        for connection in self.connections_of(server) {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Undoes [`Self::block_connections`]. A connect that is pending succeeds at the next SYN retransmission.
    pub fn unblock_connections(&mut self, server: usize) {
        self.servers[server].fillers.clear();
        self.servers[server].open.send_replace(true);
    }

    /// Simulates the death of the server process: new connections are refused and open ones are reset.
    pub async fn kill(&mut self, server: usize) {
        self.servers[server].accepting.abort();
        for connection in self.connections_of(server) {
            connection.close(true).await;
        }
    }

    /// Collects the messages received during `time`.
    pub async fn all_within(&mut self, time: Duration) -> Vec<ReceivedMessage> {
        let (mut all, end) = (Vec::new(), Instant::now() + time);
        while let Some(incoming) = self.next_within(end.saturating_duration_since(Instant::now())).await {
            all.push(incoming);
        }
        all
    }

    /// Publishes a list revision in which these servers are draining and all others are up.
    pub fn set_draining(&mut self, draining: &[usize]) {
        self.revision += 1;
        let mut list_builder =
            ListBuilder { servers: &self.servers, kinds: &self.kinds, revision: self.revision };
        let list = list_builder.list(draining);
        self.agent.tells(Some(list));
    }

    /// Connections that the server has accepted, oldest first, without those that only fill its accept queue.
    pub fn connections_of(&self, server: usize) -> Vec<Connection> {
        let connections = self.connections.lock().unwrap();
        connections.iter().filter(|(at, _)| *at == server).map(|(_, connection)| connection.clone()).collect()
    }
}

struct ListBuilder<'a> {
    servers: &'a [ScriptedServer],
    kinds: &'a [&'static str],
    revision: u64,
}

impl ListBuilder<'_> {
    fn list(&mut self, draining: &[usize]) -> Value {
        let members = self.servers.iter().zip(self.kinds).enumerate().map(|(at, (scripted, kind))| {
            let phase = if draining.contains(&at) { "draining" } else { "up" };
            member(scripted.address, at as u32 + 1, kind, phase)
        });
        json!({"revision": self.revision, "complete": true, "members": members.collect::<Vec<_>>()})
    }
}

type Connections = Arc<Mutex<Vec<(usize, Connection)>>>;

impl ScriptedServer {
    fn start(at: usize, to: mpsc::UnboundedSender<ReceivedMessage>, connections: Connections) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        // 8 KiB hold a head and a short body; the rest of a long one stays with its sender until the server reads.
        socket.set_recv_buffer_size(8 << 10).unwrap();
        let listener = socket.listen(4).unwrap();
        let address = listener.local_addr().unwrap();
        let (open, opened) = watch::channel(true);
        let filler_ports = Arc::new(Mutex::new(BTreeSet::new()));
        let read_messages = Arc::new(AtomicBool::new(true));
        let accepting = accept_connections(
            listener,
            opened,
            filler_ports.clone(),
            read_messages.clone(),
            at,
            to,
            connections,
        );
        let accepting = tokio::spawn(accepting).abort_handle();
        Self { address, open, fillers: Vec::new(), filler_ports, accepting, read_messages }
    }
}

async fn accept_connections(
    listener: TcpListener,
    mut open: watch::Receiver<bool>,
    filler_ports: Arc<Mutex<BTreeSet<u16>>>,
    reading: Arc<AtomicBool>,
    at: usize,
    to: mpsc::UnboundedSender<ReceivedMessage>,
    connections: Connections,
) {
    let mut unread = Vec::new();
    loop {
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let (stream, from) = tokio::select! {
            biased;
            _ = open.changed() => continue,
            accepted = listener.accept() => accepted.unwrap(),
        };
        if filler_ports.lock().unwrap().contains(&from.port()) {
            continue;
        }
        stream.set_nodelay(true).unwrap();
        let (from, into) = stream.into_split();
        let (end_sender, ended) = watch::channel(None);
        let connection = Connection {
            to: Arc::new(tokio::sync::Mutex::new(Some(into))),
            reading: Arc::default(),
            ended,
            bytes: Arc::default(),
            silent: Arc::default(),
        };
        connections.lock().unwrap().push((at, connection.clone()));
        if !reading.load(Ordering::Relaxed) {
            unread.push((from, end_sender));
            continue;
        }
        let reading = tokio::spawn(read_messages(from, at, connection.clone(), end_sender, to.clone()));
        *connection.reading.lock().unwrap() = Some(reading.abort_handle());
    }
}

async fn read_messages(
    mut from: OwnedReadHalf,
    server: usize,
    connection: Connection,
    end_sender: watch::Sender<Option<Instant>>,
    to: mpsc::UnboundedSender<ReceivedMessage>,
) {
    let mut consumed = 0;
    loop {
        let mut buffer = Vec::with_capacity(64 << 10);
        let length = from.read_buf(&mut buffer).await.unwrap_or(0);
        if length == 0 {
            end_sender.send_replace(Some(Instant::now()));
            return;
        }
        let messages = {
            let mut bytes = connection.bytes.lock().unwrap();
            bytes.extend_from_slice(&buffer);
            let mut messages = Vec::new();
            while let Some((head, length)) = parse_message(&bytes[consumed..]) {
                consumed += length;
                messages.push(head);
            }
            messages
        };
        for head in messages.into_iter().filter(|_| !connection.silent.load(Ordering::Relaxed)) {
            let mut words = head.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let id =
                field(&head, "x-txn").unwrap_or_else(|| path.rsplit('/').next().unwrap_or("").to_owned());
            let what = format!("{method} {id}");
            let _ = to.send(ReceivedMessage {
                server,
                what,
                head,
                received: Instant::now(),
                connection: connection.clone(),
            });
        }
    }
}

/// Returns the head and the total length of the first message, or `None` if the message is incomplete.
fn parse_message(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length: usize = field(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    (bytes.len() >= end + 4 + length).then_some((head, end + 4 + length))
}
