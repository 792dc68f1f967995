//! Operation of the built program: the admin address, metrics, configuration reloads, and hot restarts with two
//! processes on one port.

mod deployment;
mod processes;
mod stand_in;

use std::io::{Read as _, Write as _};
use std::time::Duration;

use deployment::Deployment;
use dewladder::edge::clients::connection_limits::ConnectionLimits;
use dewladder::edge::clients::listener;
use dewladder::edge::clients::memory_budget::MemoryBudget;
use dewladder::edge::phase::Phase;
use dewladder::edge::stats::Figures;
use dewladder_test_peers::{Fault, Shape};
use serde_json::{json, Value};
use stand_in::{field, platform, talk, until_close};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::sleep;

/// Memory for what clients make the process hold (bytes).
const CLIENT_MEMORY: usize = 4 << 20;

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Each line on the admin address gets its answer, also while more connections than the address keeps open send
/// nothing or half a line.
#[tokio::test]
async fn the_admin_address_answers_each_line_despite_silent_connections() {
    let site = Deployment::new("admin", Shape::default()).await;
    site.write(&site.config());
    let process = site.start().await;
    process.until_ready().await;
    assert_eq!(process.query("READY\r\n").await, "OK ready\n");
    for (line, expected) in [
        ("\n", "ERR the line is empty\n"),
        ("\r\n", "ERR the line is empty\n"),
        ("READY NOW\n", "ERR not known; READY, STATS, HELD and REQUESTS are\n"),
        ("ready\n", "ERR not known; READY, STATS, HELD and REQUESTS are\n"),
        ("\0\u{1}\n", "ERR not known; READY, STATS, HELD and REQUESTS are\n"),
        (&"x".repeat(5_000), "ERR the line is too long\n"),
        ("READY\nSTATS\n", "OK ready\n"),
    ] {
        assert_eq!(process.query(line).await, expected, "{line:?}");
    }
    // Open connections that send nothing or half a line.
    let mut silent = Vec::new();
    for at in 0..40 {
        let mut stream = TcpStream::connect(process.admin).await.unwrap();
        stream.write_all(if at % 2 == 0 { b"" } else { b"STA" }).await.unwrap();
        silent.push(stream);
    }
    assert_eq!(process.query("READY\n").await, "OK ready\n");
    // At most sixteen of them stay open, as each takes a file descriptor; the others have been closed.
    let held = |stream: &TcpStream| matches!(stream.try_read(&mut [0; 8]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    stand_in::eventually("the oldest connections were closed", || {
        silent.iter().filter(|stream| held(stream)).count() <= 16
    })
    .await;
    // A line that ends with the end of the stream instead of a newline is answered too.
    let mut half = TcpStream::connect(process.admin).await.unwrap();
    half.write_all(b"READY").await.unwrap();
    half.shutdown().await.unwrap();
    let mut reported = String::new();
    half.read_to_string(&mut reported).await.unwrap();
    assert_eq!(reported, "OK ready\n");
    drop(silent);
    process.send_signal("-TERM");
    assert_eq!(process.wait_for_exit().await.0, Some(0));
}

/// The counters equal what the clients and the fleet saw, for requests that are served, rejected, failed, cancelled by
/// their client, retried or malformed.
#[tokio::test]
async fn the_metrics_match_what_the_peers_saw() {
    let site = Deployment::new("figures", Shape { events: 3, ..Shape::default() }).await;
    site.write(&site.config());
    let process = site.start().await;
    process.until_ready().await;
    for name in ["completed.ask", "rejected.book", "failed.book", "upstream_requests", "pending"] {
        assert_eq!(process.metric(name).await, 0, "{name}");
    }
    assert_eq!(process.metric("members").await, 4);
    let at = site.port.address();
    let mut seen = std::collections::BTreeMap::new();
    let mut count = |class: &str, answer: &str| {
        let whole = answer.ends_with("0\r\n\r\n");
        let end = match status(answer) {
            200 if whole => "completed",
            429 | 503 => "rejected",
            _ => "failed",
        };
        *seen.entry(format!("{end}.{class}")).or_insert(0) += 1;
    };
    let script = [
        Fault::None,
        Fault::Fails,
        Fault::None,
        Fault::TurnsAway,
        Fault::Vanishes,
        Fault::Cuts(1),
        Fault::None,
        Fault::Forgets,
    ];
    for (number, fault) in script.into_iter().cycle().take(48).enumerate() {
        site.fleet.script([fault]);
        let class = if number % 3 == 0 { "book" } else { "ask" };
        let answer = until_close(at, &platform(&format!("{number:016x}"), class, "0.900")).await;
        count(class, &answer);
    }
    // A request that the front rejects as malformed is counted for the class that it names, if it was received whole.
    let bad = platform("ff00", "ask", "soon");
    count("ask", &until_close(at, &bad).await);
    until_close(at, &platform("ff01", "cook", "1.0")).await;
    // A request whose client disconnects in mid-stream has ended, and is in none of the counters that are compared.
    site.fleet.script([Fault::Stalls(1)]);
    let begun = |text: &str| text.contains("data:");
    talk(at, &platform("ff02", "ask", "0.900"), begun).await;
    process.eventually("pending", 0).await;
    for (name, expected) in &seen {
        assert_eq!(process.metric(name).await, *expected, "{name} of {seen:?}");
    }
    for name in
        ["completed.ask", "completed.book", "rejected.ask", "rejected.book", "failed.ask", "failed.book"]
    {
        if !seen.contains_key(name) {
            assert_eq!(process.metric(name).await, 0, "{name}");
        }
    }
    assert!(["completed.ask", "failed.book"].iter().all(|name| seen.contains_key(*name)), "{seen:?}");
    assert_eq!(process.metric("upstream_requests").await, site.fleet.received() as u64);
    process.send_signal("-TERM");
    let (code, log) = process.wait_for_exit().await;
    assert_eq!(code, Some(0), "{log:?}");
}

/// A second process takes over under load: each request runs once and is answered, whichever process has it, and both
/// processes complete requests.
#[tokio::test]
async fn a_hot_restart_under_load_loses_no_request() {
    let site = Deployment::new("upgrade", Shape::default()).await;
    site.write(&site.config());
    let old = site.start().await;
    old.until_ready().await;
    let at = site.port.address();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let clients: Vec<_> = (0..8u64)
        .map(|client| {
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let (mut asked, mut served) = (0, 0);
                while !*stopped.borrow() {
                    let id = format!("{client:04x}{asked:012x}");
                    let answer = until_close(at, &platform(&id, "book", "0.900")).await;
                    asked += 1;
                    served += u64::from(status(&answer) == 200 && answer.ends_with("0\r\n\r\n"));
                }
                (asked, served)
            })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    let new = site.start().await;
    new.until_ready().await;
    assert_eq!(old.query("READY\n").await, "OK ready\n", "the old process is not ready beside the new one");
    sleep(Duration::from_millis(200)).await;
    let completed_by_old = old.metric("completed.book").await;
    old.send_signal("-TERM");
    let log = old.wait_for_exit().await;
    assert_eq!(log.0, Some(0), "{:?}", log.1);
    sleep(Duration::from_millis(200)).await;
    stop.send_replace(true);
    let (mut asked, mut served) = (0, 0);
    for client in clients {
        let (a, s) = client.await.unwrap();
        (asked, served) = (asked + a, served + s);
    }
    assert_eq!(asked, served, "a request was not served");
    assert_eq!(site.fleet.started().len() as u64, asked, "a request ran more than once");
    assert!(
        completed_by_old > 0 && new.metric("completed.book").await > 0,
        "one of the processes completed no request"
    );
    assert_eq!(new.query("READY\n").await, "OK ready\n");
    assert_eq!(
        field(&until_close(at, &platform("ff", "ask", "0.9")).await, "content-type"),
        Some("text/event-stream".into())
    );
}

/// The kernel resets connections that are in the accept queue when a listener closes, so the listener accepts and
/// serves them first.
#[tokio::test]
async fn a_closing_listener_serves_the_connections_in_its_accept_queue() {
    let listener = listener::listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let at = listener.local_addr().unwrap();
    let front = axum::Router::new().route("/", axum::routing::get(|| async { "here" }));
    let (phase, phases) = tokio::sync::watch::channel(Phase::Serving);
    let serving = listener::serve(
        listener,
        front,
        ConnectionLimits::new(500, MemoryBudget::new(CLIENT_MEMORY)),
        Figures::default(),
        phases,
    );
    // Nothing is accepted yet: all of these connections are in the accept queue when the listener has to close.
    let mut waiting: Vec<std::net::TcpStream> = (0..200)
        .map(|_| {
            let mut stream = std::net::TcpStream::connect(at).unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
            stream
        })
        .collect();
    phase.send_replace(Phase::Closing);
    serving.await;
    for stream in &mut waiting {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer:?}");
    }
}

/// The time from the connect within which a request has to be written, well before the minimum age of a connection at its
/// close (60 ms): the answer to a later one says nothing.
const WRITTEN_WITHIN: Duration = Duration::from_millis(40);

/// Holds the process up as a connection reaches its minimum age in a shutdown, with a request in its socket, and returns
/// the answer; `None` if this test was itself held up before the request was written.
async fn answer_after_hold_up() -> Option<String> {
    let listener = listener::listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let at = listener.local_addr().unwrap();
    let front = axum::Router::new().route("/", axum::routing::get(|| async { "here" }));
    let (phase, phases) = tokio::sync::watch::channel(Phase::Serving);
    let limits = ConnectionLimits::new(500, MemoryBudget::new(CLIENT_MEMORY));
    let serving = tokio::spawn(listener::serve(listener, front, limits.clone(), Figures::default(), phases));
    let connected_at = std::time::Instant::now();
    let mut client = std::net::TcpStream::connect(at).unwrap();
    while limits.held() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(Duration::from_millis(5)).await; // the task of the connection has run
    phase.send_replace(Phase::Closing);
    sleep(Duration::from_millis(5)).await; // and waits for the minimum age of the connection now
    client.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    let is_written_in_time = connected_at.elapsed() < WRITTEN_WITHIN;
    std::thread::sleep(Duration::from_millis(150)); // blocks the only thread of the runtime
    serving.await.unwrap();
    if !is_written_in_time {
        return None;
    }
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    Some(answer)
}

/// A process that was held up finds the minimum age of a connection over and a request in its socket in the same turn. The
/// connection was closed unread then, by chance on a busy machine and always after a hold-up at this moment.
#[tokio::test]
async fn a_connection_is_read_before_it_is_closed_after_a_hold_up() {
    let answer = loop {
        if let Some(answer) = answer_after_hold_up().await {
            break answer;
        }
    };
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer:?}");
}

/// After a reload that changes the effect of a class, open requests keep the effect that they arrived with, whether it
/// became stricter or laxer; new requests have the new effect at once.
#[tokio::test]
async fn a_class_change_does_not_affect_open_requests() {
    let site =
        Deployment::new("retune", Shape { read: Duration::from_millis(400), ..Shape::default() }).await;
    let mut config = site.config();
    // The objective is so long that no read times out, and there are enough attempts for a retry after any failures
    // before it.
    (0..2).for_each(|class| config["settings"]["lanes"][class]["aim_s"] = json!(4.0));
    config["settings"]["limits"]["max_attempts"] = json!(9);
    site.write(&config);
    let process = site.start().await;
    process.until_ready().await;
    let at = site.port.address();
    let ask = |id: &str, class: &str| {
        let text = platform(id, class, "5.0");
        tokio::spawn(async move { until_close(at, &text).await })
    };
    // One open request each of the idempotent class `ask` and of the at-most-once class `book`.
    let (open_ask, open_book) = (ask("a1", "ask"), ask("b1", "book"));
    process.eventually("pending", 2).await;
    let classes = &mut config["settings"]["lanes"];
    classes[0]["effect"] = json!("at_most_once");
    classes[1]["effect"] = json!("idempotent");
    let mut third = classes[0].clone();
    (third["name"], third["effect"]) = (json!("ask_new"), json!("idempotent"));
    classes.as_array_mut().unwrap().push(third);
    site.write(&config);
    process.send_signal("-HUP");
    process.eventually("config_reloads", 1).await;
    site.fleet.fail(1_000, &[Fault::Vanishes], 1);
    let (open_ask, open_book) = (open_ask.await.unwrap(), open_book.await.unwrap());
    let runs = |id: &str| site.fleet.started().iter().filter(|begun| begun.id == id).count();
    assert!(runs("a1") > 1, "the open idempotent request was not retried: {open_ask}");
    assert_eq!((status(&open_book), runs("b1")), (502, 1), "the open at-most-once request was retried");
    let (new_ask, new_book) = (ask("a2", "ask").await.unwrap(), ask("b2", "book").await.unwrap());
    assert_eq!((status(&new_ask), runs("a2")), (502, 1));
    assert!(runs("b2") > 1, "{new_book}");
    site.fleet.fail(0, &[], 1);
    assert_eq!(status(&ask("c1", "ask_new").await.unwrap()), 200);
    // The counter is increased after the last byte is sent, so it may lag behind the answer.
    process.eventually("completed.ask_new", 1).await;
    // The class is removed: new requests that name it are rejected as for any unknown class, and its counter stays.
    let open = ask("c2", "ask_new");
    process.eventually("pending", 1).await;
    config["settings"]["lanes"].as_array_mut().unwrap().pop();
    site.write(&config);
    process.send_signal("-HUP");
    process.eventually("config_reloads", 2).await;
    assert_eq!(status(&ask("c3", "ask_new").await.unwrap()), 400);
    assert_eq!(status(&open.await.unwrap()), 200, "the open request of the removed class was not served");
    process.eventually("completed.ask_new", 2).await;
    // A reload of an unchanged file succeeds and changes nothing.
    process.send_signal("-HUP");
    process.eventually("config_reloads", 3).await;
    assert_eq!(status(&ask("d1", "book").await.unwrap()), 200);
}

/// The class of a request was looked up before its body was read: one that was whole 1.5 s after the class had become
/// at-most-once was sent to two writers.
#[tokio::test]
async fn a_request_that_becomes_whole_after_a_reload_has_the_new_effect() {
    let site = Deployment::new("half", Shape { read: Duration::from_millis(100), ..Shape::default() }).await;
    let mut config = site.config();
    (0..2).for_each(|class| config["settings"]["lanes"][class]["aim_s"] = json!(4.0));
    config["settings"]["limits"]["max_attempts"] = json!(9);
    site.write(&config);
    let process = site.start().await;
    process.until_ready().await;
    let at = site.port.address();
    let text = platform("a1", "ask", "5.0");
    let mut half = TcpStream::connect(at).await.unwrap();
    half.write_all(&text.as_bytes()[..text.len() - 1]).await.unwrap();
    // Another open request of the class, without which the old class would be gone after the reload.
    let slow = platform("a2", "ask", "5.0");
    site.fleet.fail(1_000, &[Fault::Vanishes], 1);
    let open = tokio::spawn(async move { until_close(at, &slow).await });
    process.eventually("pending", 1).await;
    config["settings"]["lanes"][0]["effect"] = json!("at_most_once");
    site.write(&config);
    process.send_signal("-HUP");
    process.eventually("config_reloads", 1).await;
    half.write_all(&text.as_bytes()[text.len() - 1..]).await.unwrap();
    let mut answer = String::new();
    half.read_to_string(&mut answer).await.unwrap();
    let runs = site.fleet.started().iter().filter(|begun| begun.id == "a1").count();
    assert_eq!((status(&answer), runs), (502, 1), "{answer}");
    drop(open.await);
}

/// A reload of an invalid file is counted and logged, and leaves the running configuration as it was. `check-config`
/// rejects the same files, except for those that are invalid only in comparison with the running configuration.
#[tokio::test]
async fn an_invalid_configuration_file_changes_nothing() {
    let site = Deployment::new("broken", Shape::default()).await;
    let good = site.config();
    site.write(&good);
    let process = site.start().await;
    process.until_ready().await;
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        // Each invalid file also moves discovery to an address without a listener and adds a class.
        config["discovery"] = json!("127.0.0.1:9");
        let mut third = config["settings"]["lanes"][0].clone();
        third["name"] = json!("ask_new");
        config["settings"]["lanes"].as_array_mut().unwrap().push(third);
        change(&mut config);
        config.to_string()
    };
    fn without(path: &'static str) -> impl Fn(&mut Value) {
        move |config| {
            let (parent, key) = path.rsplit_once('/').unwrap();
            config
                .pointer_mut(parent)
                .unwrap()
                .as_object_mut()
                .unwrap()
                .remove(key)
                .expect("the key to remove is missing");
        }
    }
    fn put(path: &'static str, value: Value) -> impl Fn(&mut Value) {
        move |config| *config.pointer_mut(path).unwrap() = value.clone()
    }
    let whole = with(&|_| ());
    // The file's text, a part of the error, and whether `check-config` rejects the file as well.
    let mut broken: Vec<(String, &str, bool)> = vec![
        (String::new(), "EOF", true),
        (whole[..whole.len() / 2].to_owned(), "EOF", true),
        ("[]".to_owned(), "invalid", true),
        (whole.replace("\"give_up_s\":1.0", "\"give_up_s\":NaN"), "expected", true),
        (whole.replace("\"give_up_s\":1.0", "\"give_up_s\":1e999"), "out of range", true),
    ];
    let mut add =
        |change: &dyn Fn(&mut Value), expected, always| broken.push((with(change), expected, always));
    for (path, expected) in [
        ("/settings", "at least one class (lanes)"),
        ("/settings/lanes", "at least one class (lanes)"),
        ("/settings/limits/max_attempts", "max_attempts is missing"),
        ("/settings/lanes/0/give_up_s", "lanes.0.give_up_s is missing"),
        ("/settings/lanes/2/effect", "lanes.2.effect is missing"),
        ("/settings/lanes/1/name", "lanes.1.name is missing"),
        ("/discovery", "ROUTER_DISCOVERY"),
    ] {
        add(&without(path), expected, true);
    }
    for (path, expected) in [
        ("/limits", "limits is missing"),
        ("/admin_addr", "admin_addr is missing"),
        ("/settings/domain/release_within_s", "settings.domain.release_within_s is missing"),
        ("/settings/lanes/1/worth", "settings.lanes.1.worth is missing"),
    ] {
        add(&without(path), expected, false);
    }
    for (path, value, expected) in [
        ("/settings/lanes", json!([]), "at least one class (lanes)"),
        (
            "/settings/lanes/0/give_up_s",
            json!(0),
            "lanes.0.give_up_s: must be a positive number up to 1000000, got 0",
        ),
        (
            "/settings/lanes/0/give_up_s",
            json!(-6.0),
            "lanes.0.give_up_s: must be a positive number up to 1000000, got -6.0",
        ),
        (
            "/settings/lanes/0/give_up_s",
            json!("6.0"),
            "lanes.0.give_up_s: must be a positive number up to 1000000, got \"6.0\"",
        ),
        ("/settings/lanes/0/give_up_s", json!(1e300), "lanes.0.give_up_s: '1e"),
        (
            "/settings/lanes/0/give_up_s",
            Value::Null,
            "lanes.0.give_up_s: must be a positive number up to 1000000, got null",
        ),
        (
            "/settings/lanes/1/aim_s",
            json!([1]),
            "lanes.1.aim_s: must be a positive number up to 1000000, got [1]",
        ),
        (
            "/settings/limits/max_attempts",
            json!(0),
            "max_attempts: must be a positive number up to 1000000, got 0",
        ),
        ("/settings/limits/max_attempts", json!(-1), "max_attempts"),
        ("/settings/limits/max_attempts", json!(2.5), "max_attempts"),
        ("/settings/limits/max_attempts", json!(5_000_000_000u64), "max_attempts"),
        ("/settings/limits/max_attempts", json!(true), "max_attempts"),
        (
            "/settings/lanes/0/effect",
            json!("at_a_guess"),
            "lanes.0.effect: 'at_a_guess' is not a valid effect",
        ),
        ("/settings/lanes/0/group", json!("rack"), "lanes.0.group: 'rack' is not a valid group"),
        (
            "/settings/domain/role_by_kind",
            json!(["read", "scribe"]),
            "role_by_kind: 'scribe' is not a valid role",
        ),
        (
            "/settings/domain/kind_memory_tokens",
            json!([0, 9]),
            "kind_memory_tokens: must be a positive number, got 0 for kind 0",
        ),
        (
            "/settings/domain/kind_memory_tokens",
            json!([9, -2]),
            "kind_memory_tokens: must be a positive number, got -2 for kind 1",
        ),
        ("/limits/memory_mb", json!(0), "limits.memory_mb: must be at least 1, got 0"),
        ("/limits/memory_mb", json!(-64), "invalid value"),
        ("/limits/sockets", json!(0), "limits.sockets: must be at least 1, got 0"),
        ("/settings/lanes/2/name", json!("ask"), "lanes.2.name: another class is already named \"ask\""),
        ("/settings/lanes/2/name", json!(""), "lanes.2.name"),
    ] {
        add(&put(path, value), expected, true);
    }
    let at = site.port.address();
    let count = broken.len() as u64;
    for (rejected_count, (text, expected, always)) in broken.into_iter().enumerate() {
        std::fs::write(site.folder.join("config.json"), &text).unwrap();
        process.send_signal("-HUP");
        process.eventually("config_reload_errors", rejected_count as u64 + 1).await;
        if always {
            let mut check = Command::new(env!("CARGO_BIN_EXE_dewladder"));
            check.args(["check-config", "--config"]).arg(site.folder.join("config.json")).env_clear();
            let output = check.output().await.unwrap();
            let reported = String::from_utf8(output.stderr).unwrap();
            assert!(!output.status.success() && reported.contains(expected), "{expected}: {reported}");
        }
    }
    std::fs::remove_file(site.folder.join("config.json")).unwrap();
    process.send_signal("-HUP");
    process.eventually("config_reload_errors", count + 1).await;
    assert_eq!(process.metric("config_reloads").await, 0);
    let answer = until_close(at, &platform("f1", "ask_new", "0.9")).await;
    assert_eq!(status(&answer), 400, "a class of an invalid file is served");
    assert_eq!(status(&until_close(at, &platform("f2", "book", "0.9")).await), 200);
    assert!(
        !site.fleet.agent.log().contains(&"closed".to_owned()),
        "the watch of the server list was closed"
    );
    process.send_signal("-TERM");
    let (code, log) = process.wait_for_exit().await;
    assert_eq!(code, Some(0));
    let reported = |text: &str| log.iter().any(|line| line.contains("not taken over") && line.contains(text));
    for expected in [
        "lanes.0.give_up_s: must be a positive number up to 1000000, got -6.0",
        "settings.lanes.1.worth is missing",
        "can't read",
    ] {
        assert!(reported(expected), "{expected} in {log:?}");
    }
}

/// When one of two processes is killed at any time, the other one continues: files that a dead process left are
/// ignored, a new process that is killed before it serves doesn't affect the old one, and hot restarts can follow one
/// another.
#[tokio::test]
async fn a_killed_process_does_not_affect_its_successors() {
    let site = Deployment::new("killed", Shape::default()).await;
    let shared = site.folder.join("shared");
    // Files of a process that has ended, and files with invalid content: no process holds a lock on them.
    let name = format!("dewladder-127.0.0.1-{}", site.port.address().port());
    std::fs::write(shared.join(format!("{name}.seat0")), format!("{:<63}\n", "7 serving 960 0")).unwrap();
    std::fs::write(shared.join(format!("{name}.seat1")), "not a line").unwrap();
    std::fs::write(shared.join(format!("{name}.handover")), "{\"born\":7,\"learnt\":5}").unwrap();
    site.write(&site.config());
    let at = site.port.address();
    let first = site.start().await;
    first.until_ready().await;
    assert_eq!(status(&until_close(at, &platform("a1", "book", "0.9")).await), 200);
    // A new process is killed at several times of its start, before it has taken over.
    for wait in [0, 1, 3, 10, 30] {
        let mut new = site.start().await;
        sleep(Duration::from_millis(wait)).await;
        new.child.kill().await.unwrap();
        for turn in 0..8 {
            let id = format!("b{wait:02}{turn}");
            assert_eq!(status(&until_close(at, &platform(&id, "book", "0.9")).await), 200, "{id}");
        }
    }
    assert_eq!(first.query("READY\n").await, "OK ready\n");
    // The old process is killed during the handover: the new one continues alone.
    let second = site.start().await;
    second.until_ready().await;
    let mut first = first;
    first.send_signal("-TERM");
    first.child.kill().await.unwrap();
    assert_eq!(status(&until_close(at, &platform("c1", "book", "0.9")).await), 200);
    // Two more hot restarts with an orderly shutdown: the learned state is handed over.
    let mut serving = second;
    for turn in 0..2 {
        let next = site.start().await;
        next.until_ready().await;
        serving.send_signal("-TERM");
        let (code, log) = serving.wait_for_exit().await;
        assert_eq!(code, Some(0), "{log:?}");
        let reported = |text: &str| log.iter().any(|line| line.contains(text));
        assert!(reported("dispatcher: shutdown begins; another process accepts new clients"), "{log:?}");
        assert!(reported("hot restart: learned state exported"), "{log:?}");
        assert_eq!(status(&until_close(at, &platform(&format!("d{turn}"), "ask", "0.9")).await), 200);
        serving = next;
    }
    serving.send_signal("-TERM");
    let (code, log) = serving.wait_for_exit().await;
    assert_eq!(code, Some(0));
    assert!(log.iter().any(|line| line.contains("hot restart: learned state imported")), "{log:?}");
    assert!(
        log.iter()
            .any(|line| line
                .contains("dispatcher: shutdown begins; clients are asked to close their connections")),
        "alone: {log:?}"
    );
}
