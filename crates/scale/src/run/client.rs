//! The clients of one real dispatcher: requests at an even rate with some jitter, over connections that are kept.

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
use crate::hollow::RUNS_ONCE;
use crate::results::Ends;

/// A client waits so long for its first token.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Sessions of users.
const SESSIONS: u64 = 4_000;
/// Prefixes of prompts that sessions share.
const SHARED_PREFIXES: u64 = 200;
/// The end of a chunked answer.
const END: &[u8] = b"0\r\n\r\n";

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) ends: Ends,
    /// Each request's id and when its last byte was sent (us, Unix time).
    pub(super) sent: Vec<(String, u64)>,
    /// Events that came after the first streams had ended and before the load did.
    pub(super) events_steady: u64,
    /// Requests that were open in that time, on average.
    pub(super) mean_open: f64,
}

/// The clients of one real dispatcher, see the [module](self).
#[derive(Debug)]
pub(super) struct Clients {
    options: RunOptions,
    number: u32,
    to: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
    tally: Mutex<Tally>,
    open: AtomicU64,
    events: AtomicU64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    Failed,
    Cut,
    Unanswered,
}

/// An answer by now.
#[derive(Debug, Default)]
struct Answer {
    head: Vec<u8>,
    /// Where the body begins, once the head is whole.
    body: Option<usize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64)
}

impl Clients {
    pub(super) fn new(options: RunOptions, number: u32, to: SocketAddr) -> Self {
        let (idle, tally) = (Mutex::default(), Mutex::default());
        Self { options, number, to, idle, tally, open: AtomicU64::new(0), events: AtomicU64::new(0) }
    }

    /// Requests that are open now.
    pub(super) fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    pub(super) fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Sends all requests, and waits until each has its end.
    pub(super) async fn load(self: Arc<Self>) {
        let mut rng = Pcg64Mcg::seed_from_u64(100 + u64::from(self.number));
        let gap = Duration::from_secs(1) / self.options.requests;
        let start = Instant::now();
        let (steady, end) = (
            start + self.options.stream().min(Duration::from_secs(self.options.seconds / 2)),
            start + Duration::from_secs(self.options.seconds),
        );
        let (mut due, mut number, mut requests) = (start, 0, JoinSet::new());
        let (mut events_before, mut open, mut looks) = (None, 0, 0u64);
        while due < end {
            sleep_until(due).await;
            if due >= steady {
                events_before = events_before.or(Some(self.events.load(Ordering::Relaxed)));
                (open, looks) = (open + self.open(), looks + 1);
            }
            let clients = self.clone();
            let draw = rng.next_u64();
            requests.spawn(async move { clients.request(number, draw).await });
            number += 1;
            due = start + gap * number + gap.mul_f64((rng.next_u64() % 1_000) as f64 / 1_000.0);
        }
        {
            let mut tally = lock(&self.tally);
            tally.events_steady = self.events.load(Ordering::Relaxed) - events_before.unwrap_or(0);
            tally.mean_open = open as f64 / looks.max(1) as f64;
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(&self, number: u32, draw: u64) {
        let class = number % self.options.classes;
        let first = if platform::runs_once(class) { RUNS_ONCE } else { 'a' };
        let id = format!("{first}{:03x}{number:012x}", self.number);
        let text = self.text(&id, class, draw);
        self.open.fetch_add(1, Ordering::Relaxed);
        let longest = FIRST_TOKEN_TIMEOUT + self.options.stream() + Duration::from_secs(2);
        let end = timeout(longest, self.ask(&id, &text)).await.unwrap_or(End::Unanswered);
        self.open.fetch_sub(1, Ordering::Relaxed);
        let mut tally = lock(&self.tally);
        let ends = &mut tally.ends;
        *match end {
            End::Served => &mut ends.served,
            End::Refused => &mut ends.refused,
            End::Failed => &mut ends.failed,
            End::Cut => &mut ends.cut,
            End::Unanswered => &mut ends.unanswered,
        } += 1;
    }

    fn text(&self, id: &str, class: u32, draw: u64) -> String {
        let session = draw % SESSIONS;
        let (prompt, shared) = (2_000 + (draw >> 20) % 6_000, session % SHARED_PREFIXES);
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

    /// Sends a request on a connection that is free or a new one. A connection that was closed between requests, before
    /// anything of an answer came, is tried once more on a new one, as clients do.
    async fn ask(&self, id: &str, text: &str) -> End {
        let idle = lock(&self.idle).pop();
        if let Some(stream) = idle {
            if let Some(end) = self.ask_on(stream, id, text).await {
                return end;
            }
        }
        let Ok(stream) = TcpStream::connect(self.to).await else { return End::Unanswered };
        let _ = stream.set_nodelay(true);
        self.ask_on(stream, id, text).await.unwrap_or(End::Unanswered)
    }

    /// The request's end on a connection; `None` if it closed before anything of an answer.
    async fn ask_on(&self, mut stream: TcpStream, id: &str, text: &str) -> Option<End> {
        stream.write_all(text.as_bytes()).await.ok()?;
        lock(&self.tally).sent.push((id.to_owned(), unix_us()));
        let mut answer = Answer::default();
        let mut piece = vec![0; 4 << 10];
        loop {
            let length = stream.read(&mut piece).await.unwrap_or(0);
            if length == 0 {
                return answer.status().map(|_| End::Cut);
            }
            self.events.fetch_add(count_events(&piece[..length]), Ordering::Relaxed);
            answer.take(&piece[..length]);
            if let Some(end) = answer.end() {
                if !answer.closes() {
                    lock(&self.idle).push(stream);
                }
                return Some(end);
            }
        }
    }
}

fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(6).filter(|window| window == b"data: ").count() as u64
}

impl Answer {
    fn take(&mut self, bytes: &[u8]) {
        self.head.extend_from_slice(bytes);
        if self.body.is_none() {
            let end = self.head.windows(4).position(|window| window == b"\r\n\r\n");
            self.body = end.map(|end| end + 4);
        }
        // Of a stream, the head and the last bytes are enough.
        let kept = self.body.unwrap_or(usize::MAX).saturating_add(2 * END.len());
        if self.status() == Some(200) && self.head.len() > kept {
            let over = self.head.len() - kept;
            let body = self.body.unwrap_or(0);
            self.head.drain(body..body + over);
        }
    }

    fn text(&self) -> &str {
        let head = self.body.and_then(|end| self.head.get(..end)).unwrap_or_default();
        std::str::from_utf8(head).unwrap_or("")
    }

    fn status(&self) -> Option<u16> {
        self.text().split(' ').nth(1)?.parse().ok()
    }

    fn closes(&self) -> bool {
        self.text().to_ascii_lowercase().contains("connection: close")
    }

    /// How it ended, once it is whole.
    fn end(&self) -> Option<End> {
        let status = self.status()?;
        let body = &self.head[self.body?..];
        if status == 200 {
            return body.ends_with(END).then_some(End::Served);
        }
        let length = dewladder_test_peers::field(self.text(), "content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let refused = status == 429 || status == 503;
        (body.len() >= length).then_some(if refused { End::Refused } else { End::Failed })
    }
}
