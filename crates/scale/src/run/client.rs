//! The clients of one real dispatcher. They send requests at a constant rate with jitter and keep connections open
//! between requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};

use super::{platform, RunOptions};
use crate::hollow::AT_MOST_ONCE_ID_PREFIX;
use crate::results::Ends;

/// How long a client waits for the first token; requests carry it as their remaining time.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Number of user sessions.
const SESSIONS: u64 = 4_000;
/// Number of prompt prefixes, each shared by several sessions.
const SHARED_PREFIXES: u64 = 200;
/// The last chunk of a chunked response.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Outcomes of the requests, and figures on the load.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    /// Requests by their outcome.
    pub(super) ends: Ends,
    /// The id of each request and when its last byte was sent (us, Unix time); twice for a request that was sent
    /// again.
    pub(super) sent: Vec<(String, u64)>,
    /// Events that were received under steady load: after the first streams have ended and before the load does.
    pub(super) events_steady: u64,
    /// Requests that were open under steady load, on average over the times at which a request was sent.
    pub(super) mean_open: f64,
}

/// The clients of one real dispatcher, see the [module](self).
#[derive(Debug)]
pub(super) struct Clients {
    options: RunOptions,
    number: u32,
    dispatcher: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
    tally: Mutex<Tally>,
    open_requests: AtomicU64,
    events: AtomicU64,
}

/// How a request ended, see the fields of [`Ends`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Served,
    Refused,
    Failed,
    Cut,
    Unanswered,
}

/// What has been received of a response.
#[derive(Debug, Default)]
struct PartialResponse {
    received: Vec<u8>,
    /// Offset of the body in `received`, once the head is complete.
    body: Option<usize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64)
}

impl Clients {
    pub(super) fn new(options: RunOptions, number: u32, dispatcher: SocketAddr) -> Self {
        let (idle, tally) = (Mutex::default(), Mutex::default());
        Self {
            options,
            number,
            dispatcher,
            idle,
            tally,
            open_requests: AtomicU64::new(0),
            events: AtomicU64::new(0),
        }
    }

    /// Number of requests that are open now.
    pub(super) fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// The tally so far.
    pub(super) fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Sends all requests of the run, and waits until each has ended.
    pub(super) async fn load(self: Arc<Self>) {
        let mut rng = Pcg64Mcg::seed_from_u64(100 + u64::from(self.number));
        let interval = Duration::from_secs(1) / self.options.requests;
        let start = Instant::now();
        let (steady, end) = (
            start + self.options.stream().min(Duration::from_secs(self.options.seconds / 2)),
            start + Duration::from_secs(self.options.seconds),
        );
        let (mut due, mut number, mut requests) = (start, 0, JoinSet::new());
        let (mut events_before, mut open_requests, mut open_samples) = (None, 0, 0u64);
        while due < end {
            sleep_until(due).await;
            if due >= steady {
                events_before = events_before.or(Some(self.events.load(Ordering::Relaxed)));
                (open_requests, open_samples) = (open_requests + self.open_requests(), open_samples + 1);
            }
            let clients = self.clone();
            let random = rng.next_u64();
            requests.spawn(async move { clients.request(number, random).await });
            number += 1;
            due = start + interval * number + interval.mul_f64((rng.next_u64() % 1_000) as f64 / 1_000.0);
        }
        {
            let mut tally = lock(&self.tally);
            tally.events_steady = self.events.load(Ordering::Relaxed) - events_before.unwrap_or(0);
            tally.mean_open = open_requests as f64 / open_samples.max(1) as f64;
        }
        while requests.join_next().await.is_some() {}
    }

    /// Sends one request and counts its outcome.
    async fn request(&self, number: u32, random: u64) {
        let class = number % self.options.classes;
        let id_prefix = if platform::is_at_most_once(class) { AT_MOST_ONCE_ID_PREFIX } else { 'a' };
        let id = format!("{id_prefix}{:03x}{number:012x}", self.number);
        let text = self.text(&id, class, random);
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        let time_limit = FIRST_TOKEN_TIMEOUT + self.options.stream() + Duration::from_secs(2);
        let end =
            timeout(time_limit, self.send_request(&id, &text)).await.unwrap_or(RequestOutcome::Unanswered);
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
        let mut tally = lock(&self.tally);
        let ends = &mut tally.ends;
        *match end {
            RequestOutcome::Served => &mut ends.served,
            RequestOutcome::Refused => &mut ends.refused,
            RequestOutcome::Failed => &mut ends.failed,
            RequestOutcome::Cut => &mut ends.cut,
            RequestOutcome::Unanswered => &mut ends.unanswered,
        } += 1;
    }

    /// The request as HTTP; `random` picks its session and the length of its prompt.
    fn text(&self, id: &str, class: u32, random: u64) -> String {
        let session = random % SESSIONS;
        let (prompt, shared) = (2_000 + (random >> 20) % 6_000, session % SHARED_PREFIXES);
        let body = "{\"stream\":true,\"max_tokens\":250,\"messages\":[{\"role\":\"user\",\"content\":\"fire the kiln\"}]}";
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: {}\r\n\
             X-Org: org\r\nX-Entity: {session:016x}\r\nX-Remaining: {:.3}\r\n\
             X-Labels: prefix={shared:016x},prompt_len={prompt},prefix_len=1500,max_out=250\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            platform::class_name(class),
            FIRST_TOKEN_TIMEOUT.as_secs_f64(),
            body.len()
        )
    }

    /// Sends a request on an idle connection or else on a new one. If the idle connection closes before a response
    /// begins, for example because it was closed between requests, the request is sent once more on a new
    /// connection, as HTTP clients commonly do.
    async fn send_request(&self, id: &str, text: &str) -> RequestOutcome {
        let idle = lock(&self.idle).pop();
        if let Some(stream) = idle {
            if let Some(end) = self.send_request_on(stream, id, text).await {
                return end;
            }
        }
        let Ok(stream) = TcpStream::connect(self.dispatcher).await else { return RequestOutcome::Unanswered };
        let _ = stream.set_nodelay(true);
        self.send_request_on(stream, id, text).await.unwrap_or(RequestOutcome::Unanswered)
    }

    /// Sends a request on this connection and waits for its outcome; `None` if the request can't be sent or the
    /// connection closes before the head of the response is complete.
    async fn send_request_on(&self, mut stream: TcpStream, id: &str, text: &str) -> Option<RequestOutcome> {
        stream.write_all(text.as_bytes()).await.ok()?;
        lock(&self.tally).sent.push((id.to_owned(), unix_us()));
        let mut response = PartialResponse::default();
        let mut buffer = vec![0; 4 << 10];
        loop {
            let length = stream.read(&mut buffer).await.unwrap_or(0);
            if length == 0 {
                return response.status().map(|_| RequestOutcome::Cut);
            }
            self.events.fetch_add(count_events(&buffer[..length]), Ordering::Relaxed);
            response.append(&buffer[..length]);
            if let Some(end) = response.end() {
                if !response.closes_connection() {
                    lock(&self.idle).push(stream);
                }
                return Some(end);
            }
        }
    }
}

/// Number of server-sent events that begin in `bytes`. An event whose `data: ` is split between two reads is not
/// counted.
fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(6).filter(|window| window == b"data: ").count() as u64
}

impl PartialResponse {
    /// Adds received bytes. Of the body of a stream only the last bytes are kept.
    fn append(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
        if self.body.is_none() {
            let end = self.received.windows(4).position(|window| window == b"\r\n\r\n");
            self.body = end.map(|end| end + 4);
        }
        // The head and the last bytes of a stream are enough to see its end.
        let max_buffered = self.body.unwrap_or(usize::MAX).saturating_add(2 * LAST_CHUNK.len());
        if self.status() == Some(200) && self.received.len() > max_buffered {
            let excess = self.received.len() - max_buffered;
            let body = self.body.unwrap_or(0);
            self.received.drain(body..body + excess);
        }
    }

    /// The head as text; empty until it is complete.
    fn text(&self) -> &str {
        let received = self.body.and_then(|end| self.received.get(..end)).unwrap_or_default();
        std::str::from_utf8(received).unwrap_or("")
    }

    /// The status code, once the head is complete.
    fn status(&self) -> Option<u16> {
        self.text().split(' ').nth(1)?.parse().ok()
    }

    /// Whether the dispatcher closes the connection after this response.
    fn closes_connection(&self) -> bool {
        self.text().to_ascii_lowercase().contains("connection: close")
    }

    /// The outcome of the request, once the response is complete.
    fn end(&self) -> Option<RequestOutcome> {
        let status = self.status()?;
        let body = &self.received[self.body?..];
        if status == 200 {
            return body.ends_with(LAST_CHUNK).then_some(RequestOutcome::Served);
        }
        let length = dewladder_test_peers::field(self.text(), "content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let refused = status == 429 || status == 503;
        (body.len() >= length).then_some(if refused {
            RequestOutcome::Refused
        } else {
            RequestOutcome::Failed
        })
    }
}
