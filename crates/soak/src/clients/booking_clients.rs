//! Clients that book at the chat front without a key, by a library that counts its retries. Several of them use the same words.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dewladder_test_peers::field;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{count, decoded, status_of, END_OF_HEAD, EVENT_START, LAST_CHUNK};
use crate::event_log::{EventLog, Observation};
use crate::plan::{FaultKind, Plan};
use crate::servers::{parse_id, WORDS_PREFIX};

/// Mean time between two new clients.
const INTERVAL_US: u64 = 60_000;
/// Retries of a library at most, and the least time before one.
const MAX_RETRIES: u32 = 3;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);
/// Longest time that a client waits before a retry, whatever it is told.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(800);
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// New clients with the same words come within this time (ms).
const WORDS_PERIOD_MS: u64 = 500;

/// What happens to the first try of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstTry {
    /// Its answer is read to the end.
    Arrives,
    /// Its link dies after this number of events.
    LosesLink { after_events: usize },
    /// Its link dies before it has been sent.
    NeverComes,
}

/// How a try ended.
enum TryEnd {
    /// The library does not try again.
    Final,
    /// It tries again after this time.
    Again(Duration),
}

/// The clients of one dispatcher's chat front.
#[derive(Clone)]
pub(super) struct BookingClients {
    pub(super) plan: Arc<Plan>,
    pub(super) event_log: EventLog,
    pub(super) dispatcher: usize,
    pub(super) address: SocketAddr,
}

impl BookingClients {
    /// Starts clients while the plan says so, and waits for all of them.
    pub(super) async fn run(self) {
        let seed = self.plan.seed ^ (self.dispatcher as u64 + 1).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut clients = JoinSet::new();
        for number in 0u64.. {
            sleep(Duration::from_micros(INTERVAL_US / 2 + rng.next_u64() % INTERVAL_US)).await;
            let now_ms = self.event_log.now() / 1_000;
            if now_ms >= self.plan.length_ms {
                break;
            }
            let is_wanted = |kind: &FaultKind| matches!(kind, FaultKind::SharedWords { dispatcher } if *dispatcher == self.dispatcher);
            if self.plan.has(now_ms, is_wanted) {
                let (first_try, words) = self.draw_booking(&mut rng, number, now_ms);
                let client = ((self.dispatcher as u64) << 32) + number;
                clients.spawn(self.clone().book(client, first_try, words));
            }
        }
        while clients.join_next().await.is_some() {}
    }

    /// Draws what happens to a first try, and its words. Words whose clients lose links are not those of first tries that
    /// never come: nothing on the wire tells two such clients apart.
    fn draw_booking(&self, rng: &mut Pcg64Mcg, number: u64, now_ms: u64) -> (FirstTry, String) {
        let kind = rng.next_u64() % 10;
        let after_events = 1 + rng.next_u64() as usize % 8;
        let first_try = match rng.next_u64() % 3 {
            0 => FirstTry::Arrives,
            _ if kind < 6 => FirstTry::LosesLink { after_events },
            _ => FirstTry::NeverComes,
        };
        let shared = now_ms / WORDS_PERIOD_MS;
        let name = match kind {
            0..=2 => format!("own-{number}"),
            3..=5 => format!("links-{shared}"),
            _ => format!("firsts-{shared}"),
        };
        (first_try, format!("{WORDS_PREFIX}{}-{name}", self.dispatcher))
    }

    async fn book(self, client: u64, first_try: FirstTry, words: String) {
        for retry in 0..=MAX_RETRIES {
            let first_try = if retry == 0 { first_try } else { FirstTry::Arrives };
            if first_try == FirstTry::NeverComes {
                sleep(MIN_RETRY_AFTER).await;
                continue;
            }
            let tried = timeout(ANSWER_TIMEOUT, self.send(client, &words, retry, first_try)).await;
            let Ok(Some(TryEnd::Again(after))) = tried else { return };
            sleep(after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)).await;
        }
    }

    /// Sends a booking, and reads its answer until the link dies. `None` if the connection ended before any answer: the
    /// client gives up, as it can't be told whether the booking came.
    async fn send(&self, client: u64, words: &str, retry: u32, first_try: FirstTry) -> Option<TryEnd> {
        let mut stream = TcpStream::connect(self.address).await.ok()?;
        stream.write_all(booking(words, retry).as_bytes()).await.ok()?;
        self.event_log.write(0, Observation::BookingSent { client, words: words.to_owned() });
        let (mut read, mut has_head) = (Vec::new(), false);
        loop {
            let head_end = read.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD);
            if let Some(head_end) = head_end {
                let head = String::from_utf8_lossy(&read[..head_end]).into_owned();
                if status_of(head.as_bytes())? != 200 {
                    return Some(after_error(&head));
                }
                if !std::mem::replace(&mut has_head, true) {
                    let run = parse_id(&field(&head, "x-request-id").unwrap_or_default());
                    self.event_log.write(0, Observation::BookingAnswered { client, run });
                }
                if read.ends_with(LAST_CHUNK) {
                    return Some(TryEnd::Final);
                }
                let events = count(&decoded(&read[head_end + END_OF_HEAD.len()..]), EVENT_START);
                if matches!(first_try, FirstTry::LosesLink { after_events } if events >= after_events) {
                    return Some(TryEnd::Again(MIN_RETRY_AFTER));
                }
            }
            match stream.read_buf(&mut read).await {
                Ok(0) | Err(_) if has_head => return Some(TryEnd::Again(MIN_RETRY_AFTER)),
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }
}

/// What a library does after an answer with an error.
fn after_error(head: &str) -> TryEnd {
    if field(head, "x-should-retry").as_deref() == Some("false") {
        return TryEnd::Final;
    }
    let told_ms = field(head, "retry-after-ms").and_then(|text| text.parse().ok());
    TryEnd::Again(told_ms.map_or(MIN_RETRY_AFTER, Duration::from_millis))
}

fn booking(words: &str, retry: u32) -> String {
    let body = format!(
        "{{\"model\":\"kiln-book\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"{words}\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: chat.local\r\nX-Stainless-Retry-Count: {retry}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
