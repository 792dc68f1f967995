//! Clients of a dispatcher: they send requests and read the responses; some disconnect early, and some misbehave as the
//! plan says.

mod bad_clients;
mod booking_clients;
mod ended_ids;
mod half_requests;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::event_log::{Class, ClientOutcome, EventLog, Micros, Observation};
use crate::plan::{prompt_tokens, FaultKind, Plan};
use bad_clients::{BadClients, OpenStreams};
use booking_clients::BookingClients;
use ended_ids::EndedRequests;

/// Time that a client waits for a response beyond the request's timeout. Also the timeout of its connect.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_500);
/// Time that a client waits for the rest of a stream from its first event on; before, each read starts it again.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that a client reads at once, and the time until it reads again (`SlowReaders`).
const SLOW_READ_BYTES: usize = 96;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time left for requests without time (`NoTimeLeft`, us), and how many there are in each hundred.
const NO_TIME: Micros = 30_000;
const NO_TIME_IN_HUNDRED: u64 = 5;
/// Number of shared prefixes of the requests of a class.
const PREFIXES_PER_CLASS: u64 = 5;
/// Bytes per write of a request that is sent in pieces.
const PIECE_BYTES: usize = 7;
/// Number of pieces of a request that is written slowly.
const SLOW_PIECES: usize = 8;
/// Time between two pieces of a request.
const PIECE_INTERVAL: Duration = Duration::from_millis(2);
/// The last chunk of a stream.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const EVENT_START: &[u8] = b"data: ";

/// The clients of one dispatcher.
#[derive(Clone)]
pub struct Clients {
    plan: Arc<Plan>,
    event_log: EventLog,
    dispatcher: usize,
    address: SocketAddr,
    /// Counts the requests of all clients of the run, so that their ids are unique.
    next_request: Arc<AtomicU64>,
    pool: ConnectionPool,
    open_streams: OpenStreams,
    ended_requests: EndedRequests,
    /// The address of the dispatcher's chat front; `None` if it is off.
    chat_address: Option<SocketAddr>,
}

/// Kept connections that are idle.
#[derive(Clone, Default)]
struct ConnectionPool(Arc<Mutex<Vec<TcpStream>>>);

impl ConnectionPool {
    fn take(&self) -> Option<TcpStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn put(&self, stream: TcpStream) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
    }

    fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

/// A request to be sent, with its client's behavior.
struct Request {
    id: u64,
    class: Class,
    /// How long the client waits for the first token; sent as `X-Remaining`.
    timeout: Micros,
    /// Time after sending at which the client closes its connection; `None` if it waits for the response.
    leaves_after: Option<Duration>,
    /// Whether the connection is kept for further requests.
    keeps_connection: bool,
    /// Whether its prompt is as long as its class says.
    has_work: bool,
    is_sent_in_pieces: bool,
    /// Time over which the request is written; `None` writes it at once.
    is_written_over: Option<Duration>,
}

impl Request {
    fn text(&self) -> String {
        let (labels, body) = self.labels_and_body();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {:016x}\r\nX-Lane: {}\r\n\
             X-Org: acme\r\nX-Entity: e{}\r\nX-Remaining: {:.6}\r\nX-Labels: {labels}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.class.name(),
            self.id % 50,
            self.timeout as f64 / 1e6,
            body.len()
        )
    }

    /// The lengths in the header, and the body. Servers of limited capacity know the work by the length of the body.
    fn labels_and_body(&self) -> (String, String) {
        if !self.has_work {
            return ("prompt_len=100,max_out=8".to_owned(), "{\"stream\":true}".to_owned());
        }
        let tokens = prompt_tokens(self.class);
        let prefix = tokens + self.id % PREFIXES_PER_CLASS;
        let labels =
            format!("prefix={prefix:016x},prompt_len={tokens},prefix_len=300,max_out={}", tokens / 2);
        let mut body = "{\"stream\":true}".to_owned();
        body.extend(std::iter::repeat_n(' ', tokens as usize - body.len()));
        (labels, body)
    }

    /// Writes the request, whole or in pieces.
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let text = self.text();
        if let Some(time) = self.is_written_over {
            for (at, piece) in text.as_bytes().chunks(text.len().div_ceil(SLOW_PIECES)).enumerate() {
                if at > 0 {
                    sleep(time / SLOW_PIECES as u32).await;
                }
                stream.write_all(piece).await?;
            }
            return Ok(());
        }
        if !self.is_sent_in_pieces {
            return stream.write_all(text.as_bytes()).await;
        }
        for piece in text.as_bytes().chunks(PIECE_BYTES) {
            stream.write_all(piece).await?;
            sleep(PIECE_INTERVAL).await;
        }
        Ok(())
    }

    /// Completes when the client disconnects; never if it waits for the response.
    async fn client_leaves(&self) {
        match self.leaves_after {
            Some(after) => sleep(after).await,
            None => std::future::pending().await,
        }
    }
}

impl Clients {
    /// The clients of the dispatcher at an address. `next_request` is shared by the clients of all dispatchers.
    #[must_use]
    pub fn new(
        plan: Arc<Plan>,
        event_log: EventLog,
        dispatcher: usize,
        address: SocketAddr,
        chat_address: Option<SocketAddr>,
        next_request: Arc<AtomicU64>,
    ) -> Self {
        let (pool, open_streams) = (ConnectionPool::default(), OpenStreams::default());
        let ended_requests = EndedRequests::default();
        Self {
            plan,
            event_log,
            dispatcher,
            address,
            next_request,
            pool,
            open_streams,
            ended_requests,
            chat_address,
        }
    }

    /// Whether a fault that satisfies `is_kind` is in force for this dispatcher.
    fn has(&self, is_kind: impl Fn(&FaultKind) -> bool) -> bool {
        let now_ms = self.event_log.now() / 1_000;
        self.plan.has(now_ms, |kind| is_kind(kind) && kind.dispatcher() == Some(self.dispatcher))
    }

    /// Sends requests until a time (ms since the start of the run), then waits for those in flight.
    pub async fn run(self, until_ms: u64) {
        let seed = self.plan.seed ^ (self.dispatcher as u64 + 1).wrapping_mul(0x9e37_79b9);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let interval_us = 1_000_000 / u64::from(self.plan.requests_per_second.max(1));
        let mut in_flight = JoinSet::new();
        let idle_clients = tokio::spawn(half_requests::run(
            self.plan.clone(),
            self.event_log.clone(),
            self.dispatcher,
            self.address,
        ));
        let bad_clients = BadClients {
            plan: self.plan.clone(),
            event_log: self.event_log.clone(),
            dispatcher: self.dispatcher,
            address: self.address,
            open_streams: self.open_streams.clone(),
            ended_requests: self.ended_requests.clone(),
        };
        let bad_clients = tokio::spawn(bad_clients.run());
        let booking_clients = self.chat_address.map(|address| {
            let (plan, event_log) = (self.plan.clone(), self.event_log.clone());
            let clients = BookingClients { plan, event_log, dispatcher: self.dispatcher, address };
            tokio::spawn(clients.run())
        });
        while self.event_log.now() / 1_000 < until_ms {
            let is_burst = self.has(|kind| matches!(kind, FaultKind::Burst { .. }));
            let interval_us = if is_burst { interval_us / 2 } else { interval_us };
            sleep(Duration::from_micros(interval_us / 2 + rng.next_u64() % interval_us)).await;
            let request = self.draw_request(&mut rng);
            let is_new_wanted = rng.next_u64().is_multiple_of(3);
            let kept = if is_new_wanted { None } else { self.pool.take() };
            in_flight.spawn(self.clone().exchange(request, kept));
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
        // Clients that sent half a request log whether the dispatcher ended it in time.
        drop(idle_clients.await);
        drop(bad_clients.await);
        if let Some(booking_clients) = booking_clients {
            drop(booking_clients.await);
        }
        self.pool.clear();
    }

    fn draw_request(&self, rng: &mut Pcg64Mcg) -> Request {
        let class = match rng.next_u64() % 10 {
            0..=4 => Class::Idempotent,
            5..=7 => Class::AtMostOnce,
            _ => Class::Deduplicated,
        };
        let is_short = self.has(|kind| matches!(kind, FaultKind::ShortTime { .. }));
        let timeout = match is_short {
            true => 1_000 + rng.next_u64() % 49_000,
            false => 500_000 + rng.next_u64() % 1_500_000,
        };
        let timeout = timeout.min(self.plan.deadline_ms * 1_000);
        let leaving_in_ten = match self.has(|kind| matches!(kind, FaultKind::ClientsLeave { .. })) {
            true => 8,
            false => 1,
        };
        let leaves = rng.next_u64() % 10 < leaving_in_ten;
        let leaves_after = leaves.then(|| Duration::from_micros(rng.next_u64() % 120_000));
        let id = (self.plan.seed << 24) + self.next_request.fetch_add(1, Ordering::Relaxed) + 1;
        let has_no_time = self.has(|kind| matches!(kind, FaultKind::NoTimeLeft { .. }));
        let number = id - (self.plan.seed << 24) - 1;
        let timeout = if has_no_time && number % 100 < NO_TIME_IN_HUNDRED { NO_TIME } else { timeout };
        let keeps_connection = !rng.next_u64().is_multiple_of(4);
        let is_sent_in_pieces = self.has(|kind| matches!(kind, FaultKind::Pieces { .. }));
        let is_written_over = self.slow_write_time();
        let has_work = self.plan.slow_start.is_some();
        Request {
            id,
            class,
            timeout,
            leaves_after,
            keeps_connection,
            has_work,
            is_sent_in_pieces,
            is_written_over,
        }
    }

    /// The time over which requests are written now, if a fault makes that slow.
    fn slow_write_time(&self) -> Option<Duration> {
        self.plan.faults_at(self.event_log.now() / 1_000).find_map(|kind| match *kind {
            FaultKind::SlowWriters { dispatcher, over_ms } if dispatcher == self.dispatcher => {
                Some(Duration::from_millis(over_ms))
            }
            _ => None,
        })
    }

    /// Sends a request, on a kept connection or a new one, and logs its outcome.
    async fn exchange(self, request: Request, kept: Option<TcpStream>) {
        let (mut stream, connected_at) = match kept {
            Some(stream) => (stream, None),
            None => match timeout(GIVE_UP_AFTER, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => (stream, Some(self.event_log.now())),
                _ => return, // not connected, so nothing was sent and there is nothing to log
            },
        };
        if request.write(&mut stream).await.is_err() {
            return;
        }
        let (id, dispatcher) = (request.id, self.dispatcher);
        let (class, timeout) = (request.class, request.timeout);
        self.event_log.write(id, Observation::RequestSent { dispatcher, class, timeout, connected_at });
        let until = Instant::now() + Duration::from_micros(timeout) + GIVE_UP_AFTER;
        let first_event = || {
            if request.leaves_after.is_none() {
                self.open_streams.insert(id, class, self.event_log.now());
            }
        };
        let reads_slowly = self.has(|kind| matches!(kind, FaultKind::SlowReaders { .. }));
        let reading = AnswerReading { id, event_log: &self.event_log, until, reads_slowly };
        let outcome = tokio::select! {
            outcome = read_answer(&mut stream, reading, first_event) => outcome,
            () = request.client_leaves() => None,
        };
        self.open_streams.remove(id);
        let Some(outcome) = outcome else {
            drop(stream);
            self.event_log.write(id, Observation::ClientLeft);
            self.ended_requests.push(id, class, self.event_log.now());
            return;
        };
        self.event_log.write(id, Observation::ExchangeEnded(outcome));
        self.ended_requests.push(id, class, self.event_log.now());
        if request.keeps_connection && outcome == ClientOutcome::Served {
            self.pool.put(stream);
        }
    }
}

/// How a client reads a response.
struct AnswerReading<'a> {
    id: u64,
    event_log: &'a EventLog,
    /// Until when it waits for the first event.
    until: Instant,
    reads_slowly: bool,
}

/// Reads more of a response, or a few bytes after a pause.
async fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>, slowly: bool) -> std::io::Result<usize> {
    if !slowly {
        return stream.read_buf(read).await;
    }
    sleep(SLOW_READ_INTERVAL).await;
    stream.take(SLOW_READ_BYTES as u64).read_buf(read).await
}

/// Reads a response and logs its events; calls `on_first_event` at the first one. Returns `None` if the client gave up
/// waiting, or the status line is malformed.
async fn read_answer(
    stream: &mut TcpStream,
    reading: AnswerReading<'_>,
    on_first_event: impl Fn(),
) -> Option<ClientOutcome> {
    let AnswerReading { id, event_log, mut until, reads_slowly } = reading;
    let (mut read, mut events) = (Vec::new(), 0);
    loop {
        let head = read.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD);
        if let Some(head) = head {
            match status_of(&read[..head])? {
                200 => {}
                429 | 503 => return Some(ClientOutcome::Refused),
                _ => return Some(ClientOutcome::Failed),
            }
            if events == 0 {
                until = Instant::now() + STREAM_TIMEOUT;
            }
            let received = count(&decoded(&read[head + END_OF_HEAD.len()..]), EVENT_START);
            if events == 0 && received > 0 {
                on_first_event();
            }
            for event in events..received {
                event_log.write(id, Observation::EventReceived(event));
            }
            events = received;
            if read.ends_with(LAST_CHUNK) {
                return Some(ClientOutcome::Served);
            }
        }
        match timeout_at(until, read_more(stream, &mut read, reads_slowly)).await {
            Ok(Ok(0) | Err(_)) if head.is_some() => return Some(ClientOutcome::Cut),
            Ok(Ok(0)) => return Some(ClientOutcome::Closed),
            Ok(Err(_)) => return Some(ClientOutcome::Reset),
            Ok(Ok(_)) => {}
            Err(_) => return None,
        }
    }
}

fn status_of(head: &[u8]) -> Option<u16> {
    String::from_utf8_lossy(head).split(' ').nth(1)?.parse().ok()
}

/// The data of a chunked body, as far as it has come. An event may be split over chunks.
fn decoded(mut body: &[u8]) -> Vec<u8> {
    let mut data = Vec::with_capacity(body.len());
    while let Some(line_end) = body.windows(2).position(|window| window == b"\r\n") {
        let size = String::from_utf8_lossy(&body[..line_end]);
        let Ok(size) = usize::from_str_radix(&size, 16) else { break };
        let chunk = &body[line_end + 2..];
        data.extend_from_slice(&chunk[..size.min(chunk.len())]);
        let Some(rest) = chunk.get(size + 2..) else { break };
        body = rest;
    }
    data
}

fn count(bytes: &[u8], pattern: &[u8]) -> usize {
    bytes.windows(pattern.len()).filter(|window| *window == pattern).count()
}
