//! Bad clients, which send the ids of requests that are open, or as much as a request may hold, or connect anew for each
//! request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use super::ended_ids::{self, EndedRequests};
use super::{status_of, Class, END_OF_HEAD};
use crate::event_log::{EventLog, Micros, Observation};
use crate::plan::{FaultKind, Plan};
use crate::servers::EVENTS;

/// Time between two repeats of an open id.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between the end of a connection and the next one of a client that connects all the time.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);
/// A request that is answered without a server.
const UNKNOWN_PATH_REQUEST: &[u8] =
    b"GET /unknown HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
/// How long a bad client waits for an answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection that is not established after this time is given up: its first packet was dropped, or lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A stream with less time left than this is not repeated: its id may be free before the repeat arrives.
const MIN_STREAM_LEFT: Micros = 500_000;
/// Time between two waves of large bodies.
const WAVE_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that a client sends behind each other, their header fields, and the time until the next ones.
const PIPELINED_REQUESTS: u64 = 12;
const PIPELINED_FIELDS: usize = 90;
const PIPELINED_BODY_BYTES: usize = 8_000;
/// Time from the start of one client that pipelines to that of the next (ms).
const PIPELINE_CLIENT_INTERVAL_MS: u64 = 4;
const PIPELINE_INTERVAL: Duration = Duration::from_millis(5);
/// Just under the longest body that is allowed (bytes).
const LARGE_BODY_BYTES: usize = 250_000;
/// Ids of large requests start here: no other request has one of them.
const FIRST_LARGE_ID: u64 = 0xb0d1_0000_0000_0000;

/// The requests of one dispatcher whose streams are under way, with the times of their first events.
#[derive(Clone, Default)]
pub(super) struct OpenStreams(Arc<Mutex<BTreeMap<u64, (Class, Micros)>>>);

impl OpenStreams {
    /// Adds a request whose stream has begun now.
    pub(super) fn insert(&self, id: u64, class: Class, now: Micros) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id, (class, now));
    }

    /// Removes a request whose stream has ended.
    pub(super) fn remove(&self, id: u64) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
    }

    /// The request whose stream has begun last, if it goes on for long enough.
    fn latest(&self, plan: &Plan, now: Micros) -> Option<(u64, Class)> {
        let streams = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (&id, &(class, begun_at)) = streams.iter().max_by_key(|(_, (_, begun_at))| *begun_at)?;
        let ends_at = begun_at + EVENTS as u64 * plan.event_interval_ms * 1_000;
        (now + MIN_STREAM_LEFT < ends_at).then_some((id, class))
    }
}

/// What the bad clients of a dispatcher need.
#[derive(Clone)]
pub(super) struct BadClients {
    pub(super) plan: Arc<Plan>,
    pub(super) event_log: EventLog,
    pub(super) dispatcher: usize,
    pub(super) address: SocketAddr,
    pub(super) open_streams: OpenStreams,
    pub(super) ended_requests: EndedRequests,
}

impl BadClients {
    /// Applies the faults of bad clients in the plan, and returns once all of them are over.
    pub(super) async fn run(self) {
        let mut running = JoinSet::new();
        for fault in self.plan.faults.clone() {
            if fault.kind.dispatcher() != Some(self.dispatcher) {
                continue;
            }
            let clients = self.clone();
            running.spawn(async move {
                sleep_until(clients.event_log.instant(fault.from_ms)).await;
                match fault.kind {
                    FaultKind::RepeatOpenIds { .. } => clients.repeat_open_ids(fault.to_ms).await,
                    FaultKind::RepeatEndedIds { .. } => {
                        let BadClients { event_log, address, ended_requests, .. } = clients;
                        ended_ids::repeat(event_log, address, ended_requests, fault.to_ms).await;
                    }
                    FaultKind::LargeBodies { count, chunk_bytes, .. } => {
                        clients.send_large_bodies(count, chunk_bytes, fault.to_ms).await;
                    }
                    FaultKind::Pipelining { count, .. } => {
                        clients.pipeline(count, fault.from_ms, fault.to_ms).await;
                    }
                    FaultKind::ConnectAllTheTime { .. } => clients.connect_all_the_time(fault.to_ms).await,
                    _ => {}
                }
            });
        }
        while running.join_next().await.is_some() {}
    }

    async fn repeat_open_ids(&self, until_ms: u64) {
        let mut repeats = JoinSet::new();
        while self.event_log.now() / 1_000 < until_ms {
            sleep(REPEAT_INTERVAL).await;
            if let Some((id, class)) = self.open_streams.latest(&self.plan, self.event_log.now()) {
                repeats.spawn(self.clone().repeat(id, class));
            }
        }
        while repeats.join_next().await.is_some() {}
    }

    async fn repeat(self, id: u64, class: Class) {
        let text = request_head(id, class, 2.0) + "Content-Length: 2\r\nConnection: close\r\n\r\n{}";
        let status = timeout(ANSWER_TIMEOUT, status_of_answer(self.address, text.as_bytes())).await;
        let (dispatcher, status) = (self.dispatcher, status.ok().flatten());
        self.event_log.write(id, Observation::OpenIdRepeated { dispatcher, status });
    }

    /// Sends requests, each on a new connection, and logs those that end without an answer.
    async fn connect_all_the_time(&self, until_ms: u64) {
        while self.event_log.now() / 1_000 < until_ms {
            sleep(CONNECT_INTERVAL).await;
            let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await else {
                continue;
            };
            let connected_at = self.event_log.now();
            let mut read = Vec::new();
            let exchange = async {
                stream.write_all(UNKNOWN_PATH_REQUEST).await?;
                stream.read_to_end(&mut read).await
            };
            let Ok(ended) = timeout(ANSWER_TIMEOUT, exchange).await else { continue };
            if read.is_empty() {
                let (dispatcher, was_reset) = (self.dispatcher, ended.is_err());
                self.event_log
                    .write(0, Observation::NewConnectionLost { dispatcher, connected_at, was_reset });
            }
        }
    }

    /// Sends batches of requests behind each other on many connections, and reads none of the answers.
    async fn pipeline(&self, count: usize, from_ms: u64, until_ms: u64) {
        let until = self.event_log.instant(until_ms);
        let mut clients = JoinSet::new();
        for client in 0..count {
            let (address, first_id) = (self.address, FIRST_LARGE_ID + ((client as u64) << 32));
            let starts_at = self.event_log.instant(from_ms + PIPELINE_CLIENT_INTERVAL_MS * client as u64);
            clients.spawn(async move {
                sleep_until(starts_at).await;
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                for batch in 0.. {
                    let ids = (1..=PIPELINED_REQUESTS).map(|at| first_id + batch * PIPELINED_REQUESTS + at);
                    let text: String = ids.map(request_of_many_fields).collect();
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                    sleep(PIPELINE_INTERVAL).await;
                }
            });
        }
        sleep_until(until).await;
    }

    /// Sends large bodies, in one wave after the other: what the allocator keeps of one adds to the next.
    async fn send_large_bodies(&self, count: usize, chunk_bytes: usize, until_ms: u64) {
        let waves = async {
            loop {
                self.send_wave(count, chunk_bytes).await;
                sleep(WAVE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = waves => {}
            () = sleep_until(self.event_log.instant(until_ms)) => {}
        }
    }

    async fn send_wave(&self, count: usize, chunk_bytes: usize) {
        let mut clients = JoinSet::new();
        for at in 0..count {
            let id = FIRST_LARGE_ID + ((self.dispatcher as u64) << 32) + self.event_log.now() + at as u64;
            let text = large_request(id, chunk_bytes);
            clients.spawn(status_of_answer_of(self.address, text));
        }
        while clients.join_next().await.is_some() {}
    }
}

/// The head of a request up to the headers that describe its body.
pub(super) fn request_head(id: u64, class: Class, remaining_s: f64) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id:016x}\r\nX-Lane: {}\r\n\
         X-Org: acme\r\nX-Remaining: {remaining_s:.3}\r\nX-Labels: prompt_len=100,max_out=8\r\n",
        class.name()
    )
}

/// A request of usual length with many short header fields.
fn request_of_many_fields(id: u64) -> String {
    let head = request_head(id, Class::Idempotent, 2.0);
    let body = format!("{{\"a\":\"{}\"}}", "x".repeat(PIPELINED_BODY_BYTES));
    let fields = "A: b\r\n".repeat(PIPELINED_FIELDS);
    format!("{head}{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A request with a large body, in chunks unless `chunk_bytes` is 0.
fn large_request(id: u64, chunk_bytes: usize) -> Vec<u8> {
    let head = request_head(id, Class::Idempotent, 2.0);
    let body = format!("{{\"a\":\"{}\"}}", "x".repeat(LARGE_BODY_BYTES));
    if chunk_bytes == 0 {
        return format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
    }
    let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in body.as_bytes().chunks(chunk_bytes) {
        text.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        text.extend(chunk);
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\n\r\n");
    text
}

async fn status_of_answer_of(address: SocketAddr, text: Vec<u8>) -> Option<u16> {
    status_of_answer(address, &text).await
}

/// Sends a request on a new connection. Returns the status of the answer once its connection has ended; `None` if it
/// ended before a whole head.
pub(super) async fn status_of_answer(address: SocketAddr, text: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let (mut reading, mut writing) = stream.split();
    let mut read = Vec::new();
    let write = async {
        let _ = writing.write_all(text).await; // the dispatcher may answer and close before the end of the body
    };
    let answer = async { while reading.read_buf(&mut read).await.is_ok_and(|length| length > 0) {} };
    tokio::join!(write, answer);
    let head = read.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD)?;
    status_of(&read[..head])
}
