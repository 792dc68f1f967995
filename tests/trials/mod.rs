//! Trials with forced disconnects: a client loses its connection at an event or in the head of its request, and
//! its library asks again.

use std::net::SocketAddr;
use std::time::Duration;

use dewladder_test_peers::{body, field, Fleet, Shape};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::stand_in::{booking, FleetSite};

pub const EVENTS: usize = 6;

/// What a number of trials came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    pub trials: usize,
    /// Bookings that began more than once, and never.
    pub doubled: usize,
    pub never_ran: usize,
    /// Retries with a whole answer, those told that it must not run again, and those asked to come back.
    pub answered: usize,
    pub refused_for_good: usize,
    pub asked_back: usize,
    /// Retries with anything else.
    pub unclear: usize,
}

/// Where the first connection is lost.
#[derive(Clone, Copy, Debug)]
enum Lost {
    /// After so many events.
    Event(usize),
    /// After so many bytes of the request.
    Byte(usize),
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Sends a request and gives up where that is said; the answer as far as it was read.
async fn ask(to: SocketAddr, text: &str, lost: Option<Lost>) -> String {
    let Ok(mut stream) = TcpStream::connect(to).await else { return String::new() };
    let sent = match lost {
        Some(Lost::Byte(at)) => &text.as_bytes()[..at.min(text.len())],
        _ => text.as_bytes(),
    };
    if stream.write_all(sent).await.is_err() {
        return String::new();
    }
    let mut read = Vec::new();
    loop {
        let events = read.windows(6).filter(|window| window == b"data: ").count();
        match lost {
            Some(Lost::Byte(_)) => break,
            Some(Lost::Event(at)) if events >= at => break,
            _ => {}
        }
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Whether an answer is the whole one.
fn whole(answer: &str, stream: bool) -> bool {
    let words: String = (0..EVENTS).map(|at| format!("w{at} ")).collect();
    if !stream {
        return status(answer) == 200 && answer.contains(&format!("\"content\":\"{words}\""));
    }
    let (events, ended) = body(answer);
    let said: String =
        (events.split("\"content\":\"").skip(1)).filter_map(|rest| rest.split('"').next()).collect();
    status(answer) == 200 && ended && said == words && events.contains("data: [DONE]")
}

/// Runs trials against a chat front before this fleet. Each books something of its own; every second has a key,
/// the others a library that counts its retries.
pub async fn run(chat: SocketAddr, fleet: &Fleet, trials: usize, seed: u64) -> Came {
    const AT_ONCE: usize = 24;
    let mut lots = Pcg64Mcg::seed_from_u64(seed);
    let (mut came, mut under_way, mut next) = (Came::default(), JoinSet::new(), 0);
    loop {
        while next < trials && under_way.len() < AT_ONCE {
            let what = format!("booking-{seed}-{next}-of-a-kiln");
            let (keyed, stream) = (next % 2 == 0, next % 4 < 3);
            let headers = |retry: usize| {
                let key = if keyed { format!("Idempotency-Key: {what}\r\n") } else { String::new() };
                format!("{key}x-stainless-retry-count: {retry}\r\n")
            };
            let (first, again) = (
                booking("kiln-book", &what, stream, &headers(0)),
                booking("kiln-book", &what, stream, &headers(1)),
            );
            // Each event boundary, and each byte of the request, in turn; the order of trials is drawn.
            let lost = match next % 3 {
                0 => Lost::Byte(next / 3 % first.len()),
                _ if stream => Lost::Event(lots.next_u32() as usize % (EVENTS + 3)),
                _ => Lost::Event(0),
            };
            let wait = Duration::from_micros(u64::from(lots.next_u32()) % 12_000);
            next += 1;
            under_way.spawn(async move {
                ask(chat, &first, Some(lost)).await;
                tokio::time::sleep(wait).await;
                (what, stream, ask(chat, &again, None).await)
            });
        }
        let Some(Ok((what, stream, answer))) = under_way.join_next().await else { break };
        came.trials += 1;
        let head = answer.split("\r\n\r\n").next().unwrap_or("");
        if whole(&answer, stream) {
            came.answered += 1;
        } else if field(head, "x-should-retry").as_deref() == Some("false") && answer.contains("\"error\"") {
            came.refused_for_good += 1;
        } else if matches!(status(&answer), 429 | 503) && field(head, "retry-after").is_some() {
            came.asked_back += 1;
        } else {
            eprintln!("{what}: {answer}");
            came.unclear += 1;
        }
        match fleet.runs_of(&format!("\"{what}\"")) {
            0 => came.never_ran += 1,
            1 => {}
            _ => came.doubled += 1,
        }
    }
    came
}

pub fn shape() -> Shape {
    Shape { readers: 2, writers: 2, events: EVENTS, ..Shape::default() }
}

/// A site for the trials: knowledge of repeats off, or on with a time to linger (seconds).
pub async fn site(linger: Option<f64>) -> FleetSite {
    let repeats = linger.map(|linger| {
        format!("enabled = true\nafter_start_s = 0.0\nlinger_s = {linger:?}\nbudget_most_saved = 100000\n")
    });
    FleetSite::start(shape(), &repeats.unwrap_or_default()).await
}
