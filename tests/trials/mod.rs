//! Trials with forced disconnects: a client loses its connection at an event or while it sends its request, and its
//! library retries.

use std::net::SocketAddr;
use std::time::Duration;

use dewladder_test_peers::{body, field, Fleet, Shape};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::stand_in::{chat_request, FleetSite};

/// The end of an answer in chunks.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
/// Content events of each answer.
pub const EVENTS: usize = 6;

/// Counts of the outcomes of a series of trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCounts {
    pub trials: usize,
    /// Requests that ran more than once.
    pub ran_more_than_once: usize,
    /// Requests that never ran.
    pub never_ran: usize,
    /// Retries that got the complete answer.
    pub answered: usize,
    /// Retries rejected with `x-should-retry: false`.
    pub retry_forbidden: usize,
    /// Those of them without a key whose client had read all of the first answer, before it closed its connection: nothing
    /// distinguishes such a retry from that of another client with the same words.
    pub forbidden_after_whole_answer: usize,
    /// Retries told by `retry-after` to come back later.
    pub retry_later: usize,
    /// Retries that got anything else.
    pub unexpected: usize,
}

/// When the client drops its first connection.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// After this number of events of the answer.
    AfterEvents(usize),
    /// After this number of bytes of the request.
    AfterBytes(usize),
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Sends a request and drops the connection at `disconnect`, if given; returns the part of the answer that was read.
async fn send_request(to: SocketAddr, text: &str, disconnect: Option<Disconnect>) -> String {
    let Ok(mut stream) = TcpStream::connect(to).await else { return String::new() };
    let sent = match disconnect {
        Some(Disconnect::AfterBytes(at)) => &text.as_bytes()[..at.min(text.len())],
        _ => text.as_bytes(),
    };
    if stream.write_all(sent).await.is_err() {
        return String::new();
    }
    let mut read = Vec::new();
    loop {
        let events = read.windows(6).filter(|window| window == b"data: ").count();
        match disconnect {
            Some(Disconnect::AfterBytes(_)) => break,
            Some(Disconnect::AfterEvents(at)) if events >= at => break,
            _ => {}
        }
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Whether an answer is complete: status 200 and the content of all events, for a stream also its end.
fn is_complete(answer: &str, stream: bool) -> bool {
    let words: String = (0..EVENTS).map(|at| format!("w{at} ")).collect();
    if !stream {
        return status(answer) == 200 && answer.contains(&format!("\"content\":\"{words}\""));
    }
    let (events, ended) = body(answer);
    let content: String =
        (events.split("\"content\":\"").skip(1)).filter_map(|rest| rest.split('"').next()).collect();
    status(answer) == 200 && ended && content == words && events.contains("data: [DONE]")
}

/// Runs trials against the chat front of a dispatcher before `fleet`. Each trial sends a `book` request with a body of
/// its own, loses its connection and retries; every second trial has an idempotency key, the others are known as
/// retries only by the client library's retry count.
pub async fn run(chat: SocketAddr, fleet: &Fleet, trials: usize, seed: u64) -> TrialCounts {
    const MAX_IN_FLIGHT: usize = 24;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut counts, mut in_flight, mut next) = (TrialCounts::default(), JoinSet::new(), 0);
    loop {
        while next < trials && in_flight.len() < MAX_IN_FLIGHT {
            let prompt = format!("booking-{seed}-{next}-of-a-kiln");
            let (keyed, stream) = (next % 2 == 0, next % 4 < 3);
            let headers = |retry: usize| {
                let key = if keyed { format!("Idempotency-Key: {prompt}\r\n") } else { String::new() };
                format!("{key}x-stainless-retry-count: {retry}\r\n")
            };
            let (first_request, retry_request) = (
                chat_request("kiln-book", &prompt, stream, &headers(0)),
                chat_request("kiln-book", &prompt, stream, &headers(1)),
            );
            // The byte at which a request is cut goes through all positions in turn; the event at which a stream is cut
            // is random.
            let disconnect = match next % 3 {
                0 => Disconnect::AfterBytes(next / 3 % first_request.len()),
                _ if stream => Disconnect::AfterEvents(rng.next_u32() as usize % (EVENTS + 3)),
                _ => Disconnect::AfterEvents(0),
            };
            let wait = Duration::from_micros(u64::from(rng.next_u32()) % 12_000);
            next += 1;
            in_flight.spawn(async move {
                let first_answer = send_request(chat, &first_request, Some(disconnect)).await;
                tokio::time::sleep(wait).await;
                let had_whole_answer = !keyed && first_answer.ends_with(LAST_CHUNK);
                (prompt, stream, had_whole_answer, send_request(chat, &retry_request, None).await)
            });
        }
        let Some(Ok((prompt, stream, had_whole_answer, answer))) = in_flight.join_next().await else { break };
        counts.trials += 1;
        let head = answer.split("\r\n\r\n").next().unwrap_or("");
        if is_complete(&answer, stream) {
            counts.answered += 1;
        } else if field(head, "x-should-retry").as_deref() == Some("false") && answer.contains("\"error\"") {
            counts.retry_forbidden += 1;
            counts.forbidden_after_whole_answer += usize::from(had_whole_answer);
        } else if matches!(status(&answer), 429 | 503) && field(head, "retry-after").is_some() {
            counts.retry_later += 1;
        } else {
            eprintln!("{prompt}: {answer}");
            counts.unexpected += 1;
        }
        match fleet.runs_of(&format!("\"{prompt}\"")) {
            0 => counts.never_ran += 1,
            1 => {}
            _ => counts.ran_more_than_once += 1,
        }
    }
    counts
}

/// The fleet of the trials.
pub fn shape() -> Shape {
    Shape { readers: 2, writers: 2, events: EVENTS, ..Shape::default() }
}

/// A dispatcher and a fleet for the trials. `linger` is the setting `linger_s` in seconds, with idempotency on; `None`
/// turns idempotency off.
pub async fn site(linger: Option<f64>) -> FleetSite {
    let repeats = linger.map(|linger| {
        format!("enabled = true\nafter_start_s = 0.0\nlinger_s = {linger:?}\nbudget_most_saved = 100000\n")
    });
    FleetSite::start(shape(), &repeats.unwrap_or_default()).await
}
