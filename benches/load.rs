//! 500 concurrent streams through one dispatcher, which is limited to 1,024 descriptors and 192 MB, while servers
//! fail a fifth of all requests. Reports the final answers, memory, descriptors and time to the first event.
//!
//! `cargo bench --bench load`. With `BASELINE=PROGRAM`, an earlier build of the program is measured in the same run.
//! `ONLY=TEXT` measures only the rows whose name starts with the text.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use dewladder_test_peers::{config, Fault, Fleet, Shape};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Clients in each round.
const STREAMS: usize = 500;
const ROUNDS: usize = 4;
/// The clients of a round start evenly spread over this time.
const ARRIVAL_TIME: Duration = Duration::from_millis(1_000);
/// How long a client waits for the end of its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of clients by the answer that they received.
#[derive(Default)]
struct AnswerCounts {
    /// A complete answer.
    whole: usize,
    /// A stream that ended with an error.
    errors: usize,
    /// Rejected, with the time after which to retry.
    refused: usize,
    /// Failed before the stream began.
    failed: usize,
    /// Anything else: no final answer, or more than one.
    unclear: usize,
}

/// An address with a free port.
fn free_address() -> SocketAddr {
    StdListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

/// Starts a build of the program; the addresses of its platform front and its chat front.
async fn start(program: &Path, fleet: &Fleet, fronts: &str) -> (Child, SocketAddr, SocketAddr) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut platform: Value =
        serde_json::from_str(&config(fleet.agent.address, &fleet.listing())).expect("JSON");
    let (listen, chat) = (free_address(), free_address());
    platform["listen"] = json!(listen);
    for class in platform["settings"]["lanes"].as_array_mut().expect("classes") {
        (class["aim_s"], class["give_up_s"]) = (json!(1.2), json!(6.0));
    }
    let (config, front) = (folder.join("load.json"), folder.join("load.toml"));
    std::fs::write(&config, platform.to_string()).expect("written");
    std::fs::write(&front, fronts.replace("CHAT", &chat.to_string())).expect("written");
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(config).arg("--fronts").arg(front).env("RUST_LOG", "error");
    let child = command.stderr(Stdio::null()).kill_on_drop(true).spawn().expect("the program starts");
    for _ in 0..200 {
        if TcpStream::connect(chat).await.is_ok() {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(300)).await;
    (child, listen, chat)
}

/// One client, which starts when it is due. The time to its first event, and the kind of its answer. The time
/// counts from when the client was due, so that a dispatcher that is slow to accept does not appear fast.
async fn client(
    to: SocketAddr,
    number: usize,
    due: Instant,
    platform: bool,
) -> (Option<Duration>, &'static str) {
    sleep_until(due).await;
    let model = if number.is_multiple_of(4) { "kiln-book" } else { "kiln-ask" };
    let body = json!({"model": model, "stream": true, "messages": [
        {"role": "system", "content": "You book kilns.".repeat(20)},
        {"role": "user", "content": format!("request {number}")}]})
    .to_string();
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nIdempotency-Key: load-{number}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let text = if platform {
        let (id, class) = (
            format!("{:016x}", 0x5eed_0000_0000 + number),
            if number.is_multiple_of(4) { "book" } else { "ask" },
        );
        dewladder_test_peers::platform(&id, class, "6.0")
            .replace("{\"stream\":true}", &body)
            .replace("Content-Length: 15", &format!("Content-Length: {}", body.len()))
    } else {
        text
    };
    let mut first_event = None;
    let exchange = async {
        let mut read = Vec::new();
        let Ok(mut stream) = TcpStream::connect(to).await else { return read };
        if stream.write_all(text.as_bytes()).await.is_ok() {
            while stream.read_buf(&mut read).await.is_ok_and(|count| count > 0) {
                if first_event.is_none() && read.windows(6).any(|window| window == b"data: ") {
                    first_event = Some(due.elapsed());
                }
            }
        }
        read
    };
    let read = timeout_at(due + CLIENT_TIMEOUT, exchange).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&read);
    let status = text.split(' ').nth(1).unwrap_or("");
    let (dones, errors) = (text.matches("data: [DONE]").count(), text.matches("\"error\"").count());
    let outcome = match (status, dones, errors) {
        // If a server breaks off a stream, the platform front closes the connection without the last chunk.
        ("200", 0, 0) if platform && !text.ends_with("0\r\n\r\n") => "error",
        ("503", 0, 0) if platform && text.contains("retry-after") => "refused",
        ("502", 0, 0) if platform => "failed",
        ("200", 1, 0) => "whole",
        ("200", 0, 1) => "error",
        ("429" | "503", 0, 1) if text.contains("retry-after") => "refused",
        ("502" | "504", 0, 1) => "failed",
        _ => "unclear",
    };
    (first_event, outcome)
}

/// A field of the process's `/proc/PID/status`; 0 if it can't be read.
fn status(child: &Child, name: &str) -> u64 {
    let id = child.id().unwrap_or(0);
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Number of open descriptors of the process.
fn descriptors(child: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", child.id().unwrap_or(0))).map_or(0, Iterator::count)
}

/// Measures one build with one configuration, through the platform front or the chat front, and prints a row.
async fn measure(row: &str, program: &Path, extra: &str, platform: bool) {
    if std::env::var("ONLY").is_ok_and(|only| !row.starts_with(&only)) {
        return;
    }
    let (read, pause) = (Duration::from_millis(3), Duration::from_millis(40));
    let shape = Shape { readers: 4, writers: 6, events: 60, read, pause };
    let fleet = Fleet::start(shape).await.expect("a fleet");
    fleet.fail(
        200,
        &[Fault::Fails, Fault::Vanishes, Fault::Cuts(20), Fault::Stalls(20), Fault::TurnsAway],
        7,
    );
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"CHAT\"\nmost_open = 1000\n[chat.models]\nkiln-ask = \"ask\"\nkiln-book = \"book\"\n{extra}"
    );
    let (mut child, listen, chat) = start(program, &fleet, &fronts).await;
    let front = if platform { listen } else { chat };
    let (mut outcome, mut max_descriptors) = (AnswerCounts::default(), 0);
    let mut first_events = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    for round in 0..ROUNDS {
        let start_time = Instant::now() + Duration::from_millis(50);
        let mut clients = JoinSet::new();
        for number in 0..STREAMS {
            let due = start_time + ARRIVAL_TIME * number as u32 / STREAMS as u32;
            clients.spawn(client(front, round * STREAMS + number, due, platform));
        }
        let mut sampling = tokio::time::interval(Duration::from_millis(50));
        loop {
            tokio::select! {
                joined = clients.join_next() => {
                    let Some(Ok((first_event, answer))) = joined else { break };
                    if let Some(first_event) = first_event {
                        first_events.saturating_record(first_event.as_micros() as u64);
                    }
                    match answer {
                        "whole" => outcome.whole += 1,
                        "error" => outcome.errors += 1,
                        "refused" => outcome.refused += 1,
                        "failed" => outcome.failed += 1,
                        _ => outcome.unclear += 1,
                    }
                }
                _ = sampling.tick() => max_descriptors = max_descriptors.max(descriptors(&child)),
            }
        }
    }
    let (memory, started) = (status(&child, "VmHWM") / 1_024, fleet.started());
    let ran_twice = |number: usize| {
        started.iter().filter(|request| request.body.contains(&format!("request {number}\""))).count() > 1
    };
    let doubled =
        (0..ROUNDS * STREAMS).filter(|number| number.is_multiple_of(4) && ran_twice(*number)).count();
    println!(
        "{row:<22} {:>6} {:>6} {:>8} {:>7} {:>8} {:>8} {:>9} {:>9} {:>7} {:>6} {:>8}",
        outcome.whole,
        outcome.errors,
        outcome.refused,
        outcome.failed,
        outcome.unclear,
        doubled,
        first_events.value_at_quantile(0.5) as f64 / 1e3,
        first_events.value_at_quantile(0.99) as f64 / 1e3,
        memory,
        max_descriptors,
        fleet.max_open()
    );
    child.start_kill().expect("the process can be killed");
    let _ = child.wait().await;
}

fn main() {
    // `cargo test` also runs benchmarks, without `--bench`: then it only has to build.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!(
        "{ROUNDS} times {STREAMS} streams within {ARRIVAL_TIME:?}, 60 events of 40 ms each; 4 readers, 6 writers"
    );
    println!(
        "{:<22} {:>6} {:>6} {:>8} {:>7} {:>8} {:>8} {:>9} {:>9} {:>7} {:>6} {:>8}",
        "",
        "whole",
        "error",
        "refused",
        "failed",
        "unclear",
        "doubled",
        "p50 ms",
        "p99 ms",
        "MB",
        "fds",
        "open"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    let now = Path::new(env!("CARGO_BIN_EXE_dewladder"));
    runtime.block_on(async {
        let baseline = std::env::var("BASELINE").ok();
        if let Some(baseline) = &baseline {
            measure("platform, baseline", Path::new(baseline), "", true).await;
        }
        measure("platform, current", now, "", true).await;
        if let Some(baseline) = &baseline {
            measure("chat, baseline", Path::new(baseline), "", false).await;
        }
        measure("chat, current", now, "", false).await;
        measure("chat, deduplication", now, "[chat.repeats]\nenabled = true\nafter_start_s = 0.0\n", false).await;
        let all_features = "[chat.repeats]\nenabled = true\nafter_start_s = 0.0\nlinger_s = 10.0\n[chat.resume]\nenabled = true\n";
        measure("chat, all on", now, all_features, false).await;
    });
}
