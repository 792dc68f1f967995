//! Clients of a dispatcher: they ask, read their answers, leave, and behave badly as the plan says.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::ledger::{Class, Final, Ledger, Micros, Seen};
use crate::plan::{Kind, Plan};

/// A client waits so much longer than it says for a final answer, before it gives up for good.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// And so long for the rest of a stream.
const STREAM: Duration = Duration::from_secs(10);
/// A piece of a request has so many bytes, and the next one comes so long after it.
const PIECE: usize = 7;
const BETWEEN_PIECES: Duration = Duration::from_millis(2);
/// A stream's last event.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// The clients of one dispatcher.
pub struct Clients {
    plan: Arc<Plan>,
    ledger: Ledger,
    dispatcher: usize,
    address: SocketAddr,
    next: Arc<AtomicU64>,
    /// Connections that wait for their next request.
    kept: Arc<Mutex<Vec<TcpStream>>>,
}

/// One request as it is to be made.
struct Asks {
    id: u64,
    class: Class,
    waits: Micros,
    leaves_after: Option<Duration>,
    keeps: bool,
    /// It is sent in small pieces.
    in_pieces: bool,
}

impl Clients {
    /// Clients of the dispatcher at an address; `next` numbers the requests of all.
    #[must_use]
    pub fn new(
        plan: Arc<Plan>,
        ledger: Ledger,
        dispatcher: usize,
        address: SocketAddr,
        next: Arc<AtomicU64>,
    ) -> Self {
        Self { plan, ledger, dispatcher, address, next, kept: Arc::default() }
    }

    fn has(&self, is: impl Fn(&Kind) -> bool) -> bool {
        self.plan.holds(self.ledger.now() / 1_000, is)
    }

    /// Asks until so many milliseconds after the start, then waits for what is open.
    pub async fn run(self, until_ms: u64) {
        let seed = self.plan.seed ^ (self.dispatcher as u64 + 1).wrapping_mul(0x9e37_79b9);
        let mut lots = Pcg64Mcg::seed_from_u64(seed);
        let pause = 1_000_000 / u64::from(self.plan.rate.max(1));
        let mut open = tokio::task::JoinSet::new();
        let idlers =
            tokio::spawn(idle(self.plan.clone(), self.ledger.clone(), self.dispatcher, self.address));
        while self.ledger.now() / 1_000 < until_ms {
            sleep(Duration::from_micros(pause / 2 + lots.next_u64() % pause)).await;
            let asks = self.draw(&mut lots);
            let fresh = lots.next_u64().is_multiple_of(3);
            let kept = || self.kept.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let stream = if fresh { None } else { kept() };
            open.spawn(exchange(
                asks,
                stream,
                self.ledger.clone(),
                self.dispatcher,
                self.address,
                self.kept.clone(),
            ));
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
        // Those that wait for the end of their half requests say what they saw.
        drop(idlers.await);
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn draw(&self, lots: &mut Pcg64Mcg) -> Asks {
        let mine = |of: usize| of == self.dispatcher;
        let class = match lots.next_u64() % 10 {
            0..=4 => Class::Ask,
            5..=7 => Class::Book,
            _ => Class::Note,
        };
        let short = self.has(|kind| matches!(kind, Kind::ShortTime { dispatcher } if mine(*dispatcher)));
        let waits =
            if short { 1_000 + lots.next_u64() % 49_000 } else { 500_000 + lots.next_u64() % 1_500_000 };
        let leaving = self.has(|kind| matches!(kind, Kind::ClientsLeave { dispatcher } if mine(*dispatcher)));
        let leaves = lots.next_u64() % 10 < if leaving { 8 } else { 1 };
        let leaves_after = leaves.then(|| Duration::from_micros(lots.next_u64() % 120_000));
        let id = (self.plan.seed << 24) + self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let keeps = !lots.next_u64().is_multiple_of(4);
        let in_pieces = self.has(|kind| matches!(kind, Kind::Pieces { dispatcher } if mine(*dispatcher)));
        Asks { id, class, waits, leaves_after, keeps, in_pieces }
    }
}

fn request(asks: &Asks) -> String {
    let body = "{\"stream\":true}";
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {:016x}\r\nX-Lane: {}\r\nX-Org: acme\r\n\
         X-Entity: e{}\r\nX-Remaining: {:.6}\r\nX-Labels: prompt_len=100,max_out=8\r\nContent-Length: {}\r\n\r\n{body}",
        asks.id,
        asks.class.name(),
        asks.id % 50,
        asks.waits as f64 / 1e6,
        body.len()
    )
}

/// Writes a request, whole or in pieces.
async fn sends(stream: &mut TcpStream, asks: &Asks) -> std::io::Result<()> {
    let text = request(asks);
    if !asks.in_pieces {
        return stream.write_all(text.as_bytes()).await;
    }
    for piece in text.as_bytes().chunks(PIECE) {
        stream.write_all(piece).await?;
        sleep(BETWEEN_PIECES).await;
    }
    Ok(())
}

async fn exchange(
    asks: Asks,
    kept: Option<TcpStream>,
    ledger: Ledger,
    dispatcher: usize,
    address: SocketAddr,
    pool: Arc<Mutex<Vec<TcpStream>>>,
) {
    let fresh = kept.is_none();
    let mut stream = match kept {
        Some(stream) => stream,
        None => match tokio::time::timeout(PATIENCE, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => return, // nobody listens: nothing was asked
        },
    };
    if sends(&mut stream, &asks).await.is_err() {
        return;
    }
    let Asks { id, class, waits, leaves_after, keeps, .. } = asks;
    ledger.write(id, Seen::Asked { dispatcher, class, waits, fresh });
    let until = Instant::now() + Duration::from_micros(waits) + PATIENCE;
    let leaves = async {
        match leaves_after {
            Some(after) => sleep(after).await,
            None => std::future::pending().await,
        }
    };
    let ended = tokio::select! {
        ended = answer(&mut stream, id, &ledger, until) => ended,
        () = leaves => None,
    };
    match ended {
        Some(ended) => {
            ledger.write(id, Seen::Ended(ended));
            if keeps && ended == Final::Served {
                pool.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
            }
        }
        None => {
            drop(stream);
            ledger.write(id, Seen::Left);
        }
    }
}

/// Reads an answer; `None` where none came and the client has waited long enough.
async fn answer(stream: &mut TcpStream, id: u64, ledger: &Ledger, until: Instant) -> Option<Final> {
    let mut read = Vec::new();
    let (mut until, mut events) = (until, 0);
    loop {
        let head = read.windows(4).position(|window| window == END_OF_HEAD);
        if let Some(head) = head {
            let status: u16 = String::from_utf8_lossy(&read[..head])
                .split(' ')
                .nth(1)
                .and_then(|text| text.parse().ok())?;
            if status != 200 {
                return Some(if matches!(status, 429 | 503) { Final::Refused } else { Final::Failed });
            }
            if events == 0 {
                until = Instant::now() + STREAM;
            }
            let came = read.windows(6).filter(|window| window == b"data: ").count();
            for event in events..came {
                ledger.write(id, Seen::EventCame(event));
            }
            events = came;
            if read.ends_with(LAST_CHUNK) {
                return Some(Final::Served);
            }
        }
        match timeout_at(until, stream.read_buf(&mut read)).await {
            Ok(Ok(0) | Err(_)) => return Some(if head.is_some() { Final::Cut } else { Final::Closed }),
            Ok(Ok(_)) => {}
            Err(_) => return None,
        }
    }
}

/// Idle and half-written connections, as the plan has them.
async fn idle(plan: Arc<Plan>, ledger: Ledger, of: usize, address: SocketAddr) {
    for trouble in &plan.troubles {
        let Kind::Idlers { dispatcher, count } = trouble.kind else { continue };
        if dispatcher != of {
            continue;
        }
        sleep_until(ledger.instant(trouble.from_ms)).await;
        let (mut open, mut halves) = (Vec::new(), tokio::task::JoinSet::new());
        for at in 0..count {
            let Ok(stream) = TcpStream::connect(address).await else { continue };
            match HALF_REQUESTS.get(at % (2 * HALF_REQUESTS.len())) {
                Some(half) => {
                    halves.spawn(stops_and_stays(stream, half, ledger.clone(), of));
                }
                None => open.push(stream),
            }
        }
        sleep_until(ledger.instant(trouble.to_ms)).await;
        drop(open);
        while halves.join_next().await.is_some() {}
    }
}

/// A client that stops in the middle of its request is owed an error or a close within this, and some time to see it.
const ENDS_HALF_REQUESTS: Duration = Duration::from_millis(3_200);
/// Requests that stop: in a head, behind it, in a body, in a chunk.
const HALF_REQUESTS: [&str; 4] = [
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn: 01\r\nX-Lane: ask\r\nContent-Length: 9\r\n\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn: 02\r\nX-Lane: ask\r\nContent-Length: 9\r\n\r\n{\"a",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn: 03\r\nX-Lane: ask\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"",
];

/// Writes a part of a request and waits for what becomes of it.
async fn stops_and_stays(mut stream: TcpStream, half: &str, ledger: Ledger, dispatcher: usize) {
    let began = ledger.now();
    if stream.write_all(half.as_bytes()).await.is_err() {
        return;
    }
    // Any byte is the start of an error; no byte, or a failed read, is the end.
    if tokio::time::timeout(ENDS_HALF_REQUESTS, stream.read_u8()).await.is_err() {
        ledger.write(0, Seen::HalfRequestIgnored { dispatcher, began });
    }
}
