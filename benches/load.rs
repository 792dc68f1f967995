//! 500 streams at once before the program under 1,024 descriptors and 192 MB, with a fifth of all requests failing
//! at servers: final answers, memory, descriptors and time to the first event. With `BASELINE=PROGRAM` an earlier
//! build of the program is played in the same run; `ONLY=TEXT` plays rows that begin so. `cargo bench --bench load`.

use std::net::{SocketAddr, TcpListener as Plain};
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

const STREAMS: usize = 500;
const ROUNDS: usize = 4;
/// All clients of a round come within this.
const WITHIN: Duration = Duration::from_millis(1_000);
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Came {
    whole: usize,
    errors: usize,
    refused: usize,
    failed: usize,
    /// Anything else: no final answer, or more than one.
    unclear: usize,
}

/// An address that is free now.
fn free() -> SocketAddr {
    Plain::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

async fn start(program: &Path, fleet: &Fleet, fronts: &str) -> (Child, SocketAddr, SocketAddr) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut platform: Value =
        serde_json::from_str(&config(fleet.agent.address, &fleet.listing())).expect("JSON");
    let (listen, chat) = (free(), free());
    platform["listen"] = json!(listen);
    for lane in platform["settings"]["lanes"].as_array_mut().expect("lanes") {
        (lane["aim_s"], lane["give_up_s"]) = (json!(1.2), json!(6.0));
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

/// One client; the time from when it was due to its first event, so that a program that holds up its clients
/// does not look fast.
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
        let (id, lane) = (
            format!("{:016x}", 0x5eed_0000_0000 + number),
            if number.is_multiple_of(4) { "book" } else { "ask" },
        );
        dewladder_test_peers::platform(&id, lane, "6.0")
            .replace("{\"stream\":true}", &body)
            .replace("Content-Length: 15", &format!("Content-Length: {}", body.len()))
    } else {
        text
    };
    let mut first = None;
    let talk = async {
        let mut read = Vec::new();
        let Ok(mut stream) = TcpStream::connect(to).await else { return read };
        if stream.write_all(text.as_bytes()).await.is_ok() {
            while stream.read_buf(&mut read).await.is_ok_and(|count| count > 0) {
                if first.is_none() && read.windows(6).any(|window| window == b"data: ") {
                    first = Some(due.elapsed());
                }
            }
        }
        read
    };
    let read = timeout_at(due + PATIENCE, talk).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&read);
    let status = text.split(' ').nth(1).unwrap_or("");
    let (dones, errors) = (text.matches("data: [DONE]").count(), text.matches("\"error\"").count());
    let came = match (status, dones, errors) {
        // The platform's front cuts a stream that broke off, without the last chunk.
        ("200", 0, 0) if platform && !text.ends_with("0\r\n\r\n") => "error",
        ("503", 0, 0) if platform && text.contains("retry-after") => "refused",
        ("502", 0, 0) if platform => "failed",
        ("200", 1, 0) => "whole",
        ("200", 0, 1) => "error",
        ("429" | "503", 0, 1) if text.contains("retry-after") => "refused",
        ("502" | "504", 0, 1) => "failed",
        _ => "unclear",
    };
    (first, came)
}

fn status(child: &Child, name: &str) -> u64 {
    let id = child.id().unwrap_or(0);
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn descriptors(child: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", child.id().unwrap_or(0))).map_or(0, Iterator::count)
}

async fn play(what: &str, program: &Path, extra: &str, platform: bool) {
    if std::env::var("ONLY").is_ok_and(|only| !what.starts_with(&only)) {
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
    let (mut came, mut most) = (Came::default(), 0);
    let mut firsts = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    for round in 0..ROUNDS {
        let begin = Instant::now() + Duration::from_millis(50);
        let mut clients = JoinSet::new();
        for number in 0..STREAMS {
            let due = begin + WITHIN * number as u32 / STREAMS as u32;
            clients.spawn(client(front, round * STREAMS + number, due, platform));
        }
        let mut look = tokio::time::interval(Duration::from_millis(50));
        loop {
            tokio::select! {
                joined = clients.join_next() => {
                    let Some(Ok((first, how))) = joined else { break };
                    if let Some(first) = first {
                        firsts.saturating_record(first.as_micros() as u64);
                    }
                    match how {
                        "whole" => came.whole += 1,
                        "error" => came.errors += 1,
                        "refused" => came.refused += 1,
                        "failed" => came.failed += 1,
                        _ => came.unclear += 1,
                    }
                }
                _ = look.tick() => most = most.max(descriptors(&child)),
            }
        }
    }
    let (memory, begun) = (status(&child, "VmHWM") / 1_024, fleet.started());
    let book =
        |number: usize| begun.iter().filter(|b| b.body.contains(&format!("request {number}\""))).count() > 1;
    let doubled = (0..ROUNDS * STREAMS).filter(|number| number.is_multiple_of(4) && book(*number)).count();
    println!(
        "{what:<22} {:>6} {:>6} {:>8} {:>7} {:>8} {:>8} {:>9} {:>9} {:>7} {:>6} {:>8}",
        came.whole,
        came.errors,
        came.refused,
        came.failed,
        came.unclear,
        doubled,
        firsts.value_at_quantile(0.5) as f64 / 1e3,
        firsts.value_at_quantile(0.99) as f64 / 1e3,
        memory,
        most,
        fleet.max_open()
    );
    child.start_kill().expect("it can be ended");
    let _ = child.wait().await;
}

fn main() {
    // Under `cargo test` a benchmark is only to show that it builds.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!(
        "{ROUNDS} times {STREAMS} streams within {WITHIN:?}, 60 events of 40 ms each; 4 readers, 6 writers"
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
            play("platform, as it stood", Path::new(baseline), "", true).await;
        }
        play("platform, now", now, "", true).await;
        if let Some(baseline) = &baseline {
            play("chat, as it stood", Path::new(baseline), "", false).await;
        }
        play("chat, now", now, "", false).await;
        play("chat, with the ledger", now, "[chat.repeats]\nenabled = true\nafter_start_s = 0.0\n", false).await;
        let all = "[chat.repeats]\nenabled = true\nafter_start_s = 0.0\nlinger_s = 10.0\n[chat.resume]\nenabled = true\n";
        play("chat, all on", now, all, false).await;
    });
}
