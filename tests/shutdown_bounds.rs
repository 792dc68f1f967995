//! The bounds of a shutdown, at each deadline that classes may have. What is received until 0.7 s after the signal is
//! owed an answer; what is received later must not be begun, as the kill could cut its stream.

mod deployment;
mod processes;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{Deployment, Process};
use dewladder::edge::clock::Clock;
use dewladder::edge::core::{Core, IdClaim, Input};
use dewladder::edge::discovery::listing::entries;
use dewladder::edge::heartbeat::{Heartbeat, MAX_HOLD_UP};
use dewladder::edge::settings::Config;
use dewladder::edge::shutdown_times::ShutdownTimes;
use dewladder::interface::{ListUpdateKind, RequestId, RequestInfo};
use dewladder_test_peers::{member, platform, Shape};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const MS: u64 = 1_000;
/// When the platform's signal comes in tests of the schedule alone, on the dispatcher's clock (us).
const SIGNAL: u64 = 1_000_000 * MS;
/// The platform's grace period (us).
const GRACE_PERIOD: u64 = 700 * MS;
/// The tolerance of the platform's time limits (us).
const TOLERANCE: u64 = 50 * MS;

/// A configuration whose classes all have this deadline.
fn config_with_deadline(deadline_s: f64) -> Config {
    let address = "127.0.0.1:1".parse().unwrap();
    let members = [member(address, 1, "prefill", "up"), member(address, 2, "decode", "up")];
    let list = json!({"revision": 1, "complete": true, "members": members});
    let text = dewladder_test_peers::config(address, &list);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["give_up_s"] = json!(deadline_s);
        class["aim_s"] = json!(deadline_s / 4.0);
    }
    Config::parse("config", &config.to_string(), |_| None).unwrap()
}

fn request(id: u64, not_after: u64) -> RequestInfo {
    RequestInfo {
        id: RequestId(id),
        class: 0,
        session: None,
        shared: None,
        shared_tokens: 0,
        prompt_tokens: 100,
        max_tokens: 8,
        hint: None,
        not_after,
    }
}

/// Whether the reducer refuses a request because the process shuts down. For other reasons, such as too little time, it
/// may refuse it at any time.
fn is_refused(core: &mut Core, id: u64, received_at: u64, now: u64) -> bool {
    let refused =
        |core: &Core| core.transitions().counts().find(|(name, _)| name == "answered.leaving").unwrap().1;
    let before = refused(core);
    let info = request(id, received_at + 10_000 * MS);
    core.step(now, Input::RequestArrived { info, received_at, id_claim: IdClaim::Exclusive });
    refused(core) > before
}

/// Requests of the 0.15 s after the grace period were begun, and the kill cut their streams. Requests of the grace period
/// are still admitted, and one that waits for its admission is judged by the time at which it was received.
#[test]
fn requests_are_refused_from_the_end_of_the_grace_period_at_every_deadline() {
    for deadline_s in [0.05, 0.3, 0.5, 1.0, 3.0, 15.0] {
        let config = config_with_deadline(deadline_s);
        let mut core = Core::new(config.settings.clone(), 7, SIGNAL, 100);
        let entries = entries(&config.known, &config.names).into_iter().map(|(entry, _)| entry).collect();
        core.step(SIGNAL, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        let times = ShutdownTimes::new(&config.settings, SIGNAL);
        core.step(SIGNAL, Input::Leaving(times));
        let earliest_kill = SIGNAL + (deadline_s.min(3.0) * 1e6) as u64 + GRACE_PERIOD;
        assert!(times.answer_by < earliest_kill && times.stop_receiving_at < earliest_kill, "{times:?}");
        let before = SIGNAL + GRACE_PERIOD - MS;
        assert!(!times.refuses(before) && times.refuses(SIGNAL + GRACE_PERIOD), "{times:?}");
        for (id, age, wants_refusal) in
            [(1, 0, false), (2, 600, false), (3, 699, false), (4, 700, true), (5, 780, true)]
        {
            let received_at = SIGNAL + age * MS;
            let refused = is_refused(&mut core, id, received_at, received_at);
            assert_eq!(refused, wants_refusal, "deadline {deadline_s} s, received {age} ms after the signal");
        }
        let refused = is_refused(&mut core, 6, before, SIGNAL + 800 * MS);
        assert!(!refused, "received in time, admitted after a hold-up: deadline {deadline_s} s");
    }
}

/// A process that was held up when the signal came notices it late. The schedule counts from the last time at which the
/// signal can't have come yet, within the platform's tolerance; one that was not held up loses none of its time.
#[tokio::test(start_paused = true)]
async fn the_schedule_counts_from_the_signal_even_if_the_process_was_held_up() {
    let clock = Clock::start();
    let heartbeat = Heartbeat::new(clock);
    let beating = tokio::spawn(heartbeat.clone().run());
    for _ in 0..20 {
        sleep(Duration::from_millis(10)).await;
        assert_eq!(heartbeat.noticed(), clock.now(), "not held up");
    }
    for hold_up in [10 * MS, 60 * MS, 100 * MS, MAX_HOLD_UP] {
        let signalled_at = clock.now();
        tokio::time::advance(Duration::from_micros(hold_up)).await;
        let noticed = heartbeat.noticed();
        assert!(noticed <= signalled_at + TOLERANCE, "{hold_up}: {} us late", noticed - signalled_at);
        // The late beat itself must not hide the hold-up from whoever looks in the same turn.
        tokio::task::yield_now().await;
        let noticed = heartbeat.noticed();
        assert!(
            noticed <= signalled_at + TOLERANCE,
            "{hold_up}: {} us late after a beat",
            noticed - signalled_at
        );
        sleep(Duration::from_millis(200)).await;
    }
    beating.abort();
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The last chunk of a stream has come.
    Whole,
    /// A whole answer with this status that is no stream.
    Answered(u16),
    /// The connection ended before.
    Cut,
}

/// Writes a request in pieces until `ends_at`, and reads its answer.
async fn slow_client(at: SocketAddr, id: u64, ends_at: Instant) -> End {
    let text = platform(&format!("{id:016x}"), "ask", "3.000");
    let mut stream = TcpStream::connect(at).await.unwrap();
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len().div_ceil(5)).collect();
    for (index, piece) in pieces.iter().enumerate() {
        let left = (pieces.len() - 1 - index) as u32;
        sleep_until(ends_at - Duration::from_millis(60) * left).await;
        if stream.write_all(piece).await.is_err() {
            return End::Cut;
        }
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    match status {
        0 => End::Cut,
        200 if text.ends_with("0\r\n\r\n") => End::Whole,
        200 => End::Cut,
        status => End::Answered(status),
    }
}

/// Streams outlast the kill, clients write slowly, and the kill comes as early as it may.
async fn shut_down(deadline_s: f64) {
    let name = format!("bounds-{deadline_s}");
    let shape = Shape { events: 200, pause: Duration::from_millis(40), ..Shape::default() };
    let site = Deployment::new(&name, shape).await;
    let mut config = site.config();
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["give_up_s"] = json!(deadline_s);
    }
    site.write(&config);
    let mut process: Process = site.start().await;
    process.until_ready().await;
    let signal_at = Instant::now() + Duration::from_millis(500);
    let mut clients = JoinSet::new();
    for age_ms in [300, 450, 600, 650, 760, 800, 840, 900, 1_000, 1_200] {
        let (at, ends_at) = (site.port.address(), signal_at + Duration::from_millis(age_ms));
        clients.spawn(async move { (age_ms, slow_client(at, age_ms, ends_at).await) });
    }
    sleep_until(signal_at).await;
    process.send_signal("-TERM");
    let sent_after = signal_at.elapsed();
    sleep_until(
        signal_at + Duration::from_secs_f64(deadline_s.min(3.0)) + Duration::from_micros(GRACE_PERIOD),
    )
    .await;
    process.child.kill().await.unwrap();
    while let Some(client) = clients.join_next().await {
        let (age_ms, end) = client.unwrap();
        let was_begun = site.fleet.started().iter().any(|request| request.id == format!("{age_ms:016x}"));
        let age_us = age_ms * MS;
        // A process that is held up on a busy machine finds requests late, and may refuse those.
        if age_us + MAX_HOLD_UP + TOLERANCE < GRACE_PERIOD {
            assert!(
                was_begun,
                "{name}: a request that was received {age_ms} ms after the signal was not begun: {end:?}"
            );
        }
        if age_us > GRACE_PERIOD + TOLERANCE + sent_after.as_micros() as u64 {
            assert!(!was_begun, "{name}: begun {age_ms} ms after the signal, {end:?}");
        }
    }
}

/// 1 of 7 clients that wrote slowly during a restart had its stream cut: its request was whole 0.78 s after SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_is_begun_that_the_kill_may_cut() {
    let mut running = JoinSet::new();
    for deadline_s in [0.6, 1.0, 3.0, 6.0] {
        running.spawn(shut_down(deadline_s));
    }
    while let Some(finished) = timeout(Duration::from_secs(30), running.join_next()).await.unwrap() {
        finished.unwrap();
    }
}
