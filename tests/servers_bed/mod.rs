//! A dispatcher before servers whose every step is the test's. All that comes to any of them lies in one queue, in the
//! order in which it came; the test takes it from there and says what goes back. A server can be shut: then no
//! connection to it comes up until it is opened again.
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

/// The head of a stream.
pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a reader answers.
pub fn read() -> String {
    plain(202, "", "{\"cached_tokens\":4}")
}

/// A whole stream of one event, which names `at`.
pub fn stream(at: usize) -> String {
    format!("{STREAM}{}{}0\r\n\r\n", chunk(&event(at)), chunk(LAST_EVENTS))
}

/// Turned away with this status: it never ran.
pub fn turned_away(status: u16) -> String {
    plain(status, "X-Turned-Away: 1\r\n", "")
}

/// The first words of an answer's head.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// A message that came to a server.
#[derive(Debug)]
pub struct Asked {
    /// Which server.
    pub server: usize,
    /// Its method, path and id: `POST 01`, `DELETE 01`.
    pub what: String,
    /// Its whole head.
    pub head: String,
    /// When its last byte came.
    pub came: Instant,
    /// The connection.
    pub line: Line,
}

impl Asked {
    /// Writes on its connection.
    pub async fn says(&self, text: &str) {
        self.line.says(text).await;
    }

    /// A header of it.
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

/// A server's side of a connection.
#[derive(Clone)]
pub struct Line {
    to: Arc<tokio::sync::Mutex<Option<OwnedWriteHalf>>>,
    reading: Arc<Mutex<Option<AbortHandle>>>,
    ended: watch::Receiver<Option<Instant>>,
    /// All bytes that came.
    pub bytes: Arc<Mutex<Vec<u8>>>,
    /// What comes from now on is taken and reaches nobody.
    silent: Arc<AtomicBool>,
}

impl std::fmt::Debug for Line {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "Line {{ ended: {} }}", self.has_ended())
    }
}

impl Line {
    /// Whether this is the same connection.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.to, &other.to)
    }

    /// Writes; what the other side does not take any more is nobody's.
    pub async fn says(&self, text: &str) {
        if let Some(to) = self.to.lock().await.as_mut() {
            let _ = to.write_all(text.as_bytes()).await;
        }
    }

    /// Closes it: with a reset, or in good order.
    pub async fn closes(&self, with_reset: bool) {
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

    /// Waits until the dispatcher has closed it.
    pub async fn ended(&self) -> Instant {
        let mut ended = self.ended.clone();
        let waits = ended.wait_for(Option::is_some);
        let at = timeout(Duration::from_secs(5), waits).await.expect("it is closed in the end").unwrap();
        at.unwrap()
    }

    /// Whether the dispatcher had closed it before then, as far as the order in which the test is told can say.
    pub fn ended_before(&self, then: Instant) -> bool {
        self.ended.borrow().is_some_and(|at| at <= then + Duration::from_millis(2))
    }

    /// Whether the dispatcher has closed it.
    pub fn has_ended(&self) -> bool {
        self.ended.borrow().is_some()
    }
}

/// A server that the test speaks for.
#[derive(Debug)]
struct Gate {
    address: SocketAddr,
    open: watch::Sender<bool>,
    fillers: Vec<TcpStream>,
    ports: Arc<Mutex<BTreeSet<u16>>>,
    accepting: AbortHandle,
    reads: Arc<AtomicBool>,
}

/// See the [module](self).
pub struct Bed {
    pub platform: SocketAddr,
    pub agent: Agent,
    gates: Vec<Gate>,
    kinds: Vec<&'static str>,
    revision: u64,
    asked: mpsc::UnboundedReceiver<Asked>,
    /// Connections that came up, by server, in their order.
    pub lines: Arc<Mutex<Vec<(usize, Line)>>>,
    _end: oneshot::Sender<()>,
    _discovery: watch::Sender<SocketAddr>,
    _running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
}

impl Bed {
    /// One with servers of these kinds, and settings changed by `tweak`.
    pub async fn start(kinds: &[&'static str], tweak: impl FnOnce(&mut Value)) -> Self {
        let (to, asked) = mpsc::unbounded_channel();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let mut gates = Vec::new();
        for at in 0..kinds.len() {
            gates.push(Gate::start(at, to.clone(), lines.clone()));
        }
        let agent = Agent::start(json!({"revision": 0, "complete": true, "members": []})).await;
        let mut bed = Bedding { gates: &gates, kinds, revision: 1 };
        let list = bed.list(&[]);
        agent.tells(Some(list.clone()));
        let mut told: Value = serde_json::from_str(&config(agent.address, &list)).unwrap();
        told["settings"]["kinds"] = json!([READER, WRITER, MIXED]);
        told["settings"]["domain"]["role_by_kind"] = json!(["read", "write", "both"]);
        told["settings"]["domain"]["kind_memory_tokens"] = json!([100_000, 100_000, 100_000]);
        tweak(&mut told);
        let config = Config::parse("config", &told.to_string(), |_| None).unwrap();
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", "").unwrap()).unwrap();
        let [platform] = dispatcher.addresses()[..] else { panic!("one listener") };
        let (end, ended) = oneshot::channel();
        let (discovery, at) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        let kinds = kinds.to_vec();
        Self {
            platform,
            agent,
            gates,
            kinds,
            revision: 1,
            asked,
            lines,
            _end: end,
            _discovery: discovery,
            _running: running,
        }
    }

    /// Sends a request and waits for its answer beside the test.
    pub fn asks(&self, id: &str, lane: &str, remaining: &str) -> JoinHandle<String> {
        let (to, text) = (self.platform, platform(id, lane, remaining));
        tokio::spawn(async move { until_close(to, &text).await })
    }

    /// The next message that comes to any server.
    pub async fn next(&mut self) -> Asked {
        self.within(Duration::from_secs(5)).await.expect("a message comes")
    }

    /// The next one with this method and id; what comes before it must not come.
    pub async fn expect(&mut self, what: &str) -> Asked {
        let asked = self.next().await;
        assert_eq!(asked.what, what, "at server {}", asked.server);
        asked
    }

    /// The next message that is no release; releases are taken and answered.
    pub async fn post(&mut self) -> Asked {
        loop {
            let asked = self.next().await;
            if !asked.what.starts_with("DELETE") {
                return asked;
            }
            asked.says(&plain(204, "", "")).await;
        }
    }

    /// From now on that server's machine takes connections, and no more of what comes over them than a few bytes.
    pub fn takes_little(&self, server: usize) {
        self.gates[server].reads.store(false, Ordering::Relaxed);
    }

    /// The next message, if one comes in that time.
    pub async fn within(&mut self, time: Duration) -> Option<Asked> {
        timeout(time, self.asked.recv()).await.ok().flatten()
    }

    /// From now on no connection to that server comes up.
    pub async fn shuts(&mut self, server: usize) {
        let gate = &mut self.gates[server];
        gate.open.send_replace(false);
        tokio::task::yield_now().await;
        loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            gate.ports.lock().unwrap().insert(socket.local_addr().unwrap().port());
            // A connection that is not there at once will not come: the queue is full.
            match timeout(Duration::from_millis(60), socket.connect(gate.address)).await {
                Ok(stream) => gate.fillers.push(stream.unwrap()),
                Err(_) => return,
            }
        }
    }

    /// All connections that are open to that server fall silent, without an error; new ones are as ever.
    pub fn silences(&self, server: usize) {
        for line in self.lines_of(server) {
            line.silent.store(true, Ordering::Relaxed);
        }
    }

    /// From now on connections to it come up; one that tries meanwhile does with its next try.
    pub fn opens(&mut self, server: usize) {
        self.gates[server].fillers.clear();
        self.gates[server].open.send_replace(true);
    }

    /// Its process has died: connections to it are refused, and those that it had are reset.
    pub async fn dies(&mut self, server: usize) {
        self.gates[server].accepting.abort();
        for line in self.lines_of(server) {
            line.closes(true).await;
        }
    }

    /// All that comes within a time.
    pub async fn all_within(&mut self, time: Duration) -> Vec<Asked> {
        let (mut all, end) = (Vec::new(), Instant::now() + time);
        while let Some(asked) = self.within(end.saturating_duration_since(Instant::now())).await {
            all.push(asked);
        }
        all
    }

    /// Lists these as draining and all others as up.
    pub fn drains(&mut self, draining: &[usize]) {
        self.revision += 1;
        let mut bed = Bedding { gates: &self.gates, kinds: &self.kinds, revision: self.revision };
        let list = bed.list(draining);
        self.agent.tells(Some(list));
    }

    /// Connections to a server that came up, fillers aside.
    pub fn lines_of(&self, server: usize) -> Vec<Line> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|(at, _)| *at == server).map(|(_, line)| line.clone()).collect()
    }
}

struct Bedding<'a> {
    gates: &'a [Gate],
    kinds: &'a [&'static str],
    revision: u64,
}

impl Bedding<'_> {
    fn list(&mut self, draining: &[usize]) -> Value {
        let members = self.gates.iter().zip(self.kinds).enumerate().map(|(at, (gate, kind))| {
            let phase = if draining.contains(&at) { "draining" } else { "up" };
            member(gate.address, at as u32 + 1, kind, phase)
        });
        json!({"revision": self.revision, "complete": true, "members": members.collect::<Vec<_>>()})
    }
}

type Lines = Arc<Mutex<Vec<(usize, Line)>>>;

impl Gate {
    fn start(at: usize, to: mpsc::UnboundedSender<Asked>, lines: Lines) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        // Room for a head and a short body; a long one stays at its sender until it is read.
        socket.set_recv_buffer_size(8 << 10).unwrap();
        let listener = socket.listen(4).unwrap();
        let address = listener.local_addr().unwrap();
        let (open, opened) = watch::channel(true);
        let ports = Arc::new(Mutex::new(BTreeSet::new()));
        let reads = Arc::new(AtomicBool::new(true));
        let accepting = accepts(listener, opened, ports.clone(), reads.clone(), at, to, lines);
        let accepting = tokio::spawn(accepting).abort_handle();
        Self { address, open, fillers: Vec::new(), ports, accepting, reads }
    }
}

async fn accepts(
    listener: TcpListener,
    mut open: watch::Receiver<bool>,
    ports: Arc<Mutex<BTreeSet<u16>>>,
    reading: Arc<AtomicBool>,
    at: usize,
    to: mpsc::UnboundedSender<Asked>,
    lines: Lines,
) {
    let mut kept = Vec::new();
    loop {
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let (stream, from) = tokio::select! {
            biased;
            _ = open.changed() => continue,
            accepted = listener.accept() => accepted.unwrap(),
        };
        if ports.lock().unwrap().contains(&from.port()) {
            continue;
        }
        stream.set_nodelay(true).unwrap();
        let (from, into) = stream.into_split();
        let (ends, ended) = watch::channel(None);
        let line = Line {
            to: Arc::new(tokio::sync::Mutex::new(Some(into))),
            reading: Arc::default(),
            ended,
            bytes: Arc::default(),
            silent: Arc::default(),
        };
        lines.lock().unwrap().push((at, line.clone()));
        if !reading.load(Ordering::Relaxed) {
            kept.push((from, ends));
            continue;
        }
        let reading = tokio::spawn(reads(from, at, line.clone(), ends, to.clone()));
        *line.reading.lock().unwrap() = Some(reading.abort_handle());
    }
}

async fn reads(
    mut from: OwnedReadHalf,
    server: usize,
    line: Line,
    ends: watch::Sender<Option<Instant>>,
    to: mpsc::UnboundedSender<Asked>,
) {
    let mut taken = 0;
    loop {
        let mut piece = Vec::with_capacity(64 << 10);
        let length = from.read_buf(&mut piece).await.unwrap_or(0);
        if length == 0 {
            ends.send_replace(Some(Instant::now()));
            return;
        }
        let messages = {
            let mut bytes = line.bytes.lock().unwrap();
            bytes.extend_from_slice(&piece);
            let mut messages = Vec::new();
            while let Some((head, length)) = whole(&bytes[taken..]) {
                taken += length;
                messages.push(head);
            }
            messages
        };
        for head in messages.into_iter().filter(|_| !line.silent.load(Ordering::Relaxed)) {
            let mut words = head.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let id =
                field(&head, "x-txn").unwrap_or_else(|| path.rsplit('/').next().unwrap_or("").to_owned());
            let what = format!("{method} {id}");
            let _ = to.send(Asked { server, what, head, came: Instant::now(), line: line.clone() });
        }
    }
}

/// The head of a whole message, and how long the message is.
fn whole(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length: usize = field(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    (bytes.len() >= end + 4 + length).then_some((head, end + 4 + length))
}
