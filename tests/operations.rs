//! Daily service, with the program as it is started: the second address, the figures, and two processes on one port.

mod processes;
mod stand_in;

use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder::edge::clients::connection_limits::ConnectionLimits;
use dewladder::edge::clients::listener;
use dewladder::edge::phase::Phase;
use dewladder::edge::stats::Figures;
use dewladder_test_peers::{Fault, Fleet, Shape};
use processes::Port;
use serde_json::{json, Value};
use stand_in::{field, platform, talk, until_close};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// A deployment: a fleet, an address for clients, and a folder for its files.
struct Deployment {
    fleet: Fleet,
    port: Port,
    folder: PathBuf,
}

impl Deployment {
    async fn new(name: &str, shape: Shape) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("operations-{name}"));
        std::fs::create_dir_all(folder.join("shared")).unwrap();
        Self { fleet: Fleet::start(shape).await.unwrap(), port: Port::new(), folder }
    }

    fn config(&self) -> Value {
        let text = stand_in::config(self.fleet.agent.address, &self.fleet.listing());
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["listen"] = json!(self.port.address());
        config["admin_addr"] = json!("127.0.0.1:0");
        config
    }

    fn write(&self, config: &Value) {
        std::fs::write(self.folder.join("config.json"), config.to_string()).unwrap();
    }

    /// Starts the program on the file that lies there.
    async fn start(&self) -> Process {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
        program.args(["serve", "--config"]).arg(self.folder.join("config.json"));
        program.env_clear().env("TMPDIR", self.folder.join("shared")).current_dir(&self.folder);
        let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let admin = loop {
            let line = lines.next_line().await.unwrap().expect("it starts");
            if let Some((_, address)) = line.split_once("second address: ") {
                break address.parse().unwrap();
            }
        };
        // Read on, so that the program never waits for somebody to read its log.
        let log = tokio::spawn(async move {
            let mut all = Vec::new();
            while let Ok(Some(line)) = lines.next_line().await {
                all.push(line);
            }
            all
        });
        Process { child, admin, log }
    }
}

struct Process {
    child: Child,
    admin: SocketAddr,
    log: tokio::task::JoinHandle<Vec<String>>,
}

impl Process {
    async fn call(&self, line: &str) -> String {
        until_close(self.admin, line).await
    }

    async fn until_ready(&self) {
        for _ in 0..1_000 {
            if self.call("READY\n").await.starts_with("OK") {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("never ready");
    }

    async fn figure(&self, name: &str) -> u64 {
        let text = self.call("STATS\n").await;
        assert!(text.ends_with("END\n"), "{text}");
        let prefix = format!("edge_router.{name}:");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        let value = line.unwrap_or_else(|| panic!("no {name} in {text}")).split('|').next().unwrap();
        value.parse().unwrap()
    }

    async fn eventually(&self, name: &str, value: u64) {
        for _ in 0..1_000 {
            if self.figure(name).await == value {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("{name} never became {value}: {}", self.call("STATS\n").await);
    }

    fn tell(&self, signal: &str) {
        let id = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for its end: its code, and its log.
    async fn ended(mut self) -> (Option<i32>, Vec<String>) {
        let code = self.child.wait().await.unwrap().code();
        (code, self.log.await.unwrap())
    }
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

#[tokio::test]
async fn the_second_address_answers_each_line_and_no_silent_caller_keeps_a_whole_call_waiting() {
    let site = Deployment::new("admin", Shape::default()).await;
    site.write(&site.config());
    let process = site.start().await;
    process.until_ready().await;
    assert_eq!(process.call("READY\r\n").await, "OK ready\n");
    for (line, says) in [
        ("\n", "ERR the line is empty\n"),
        ("\r\n", "ERR the line is empty\n"),
        ("READY NOW\n", "ERR not known; READY, STATS, HELD and REQUESTS are\n"),
        ("ready\n", "ERR not known; READY, STATS, HELD and REQUESTS are\n"),
        ("\0\u{1}\n", "ERR not known; READY, STATS, HELD and REQUESTS are\n"),
        (&"x".repeat(5_000), "ERR the line is too long\n"),
        ("READY\nSTATS\n", "OK ready\n"),
    ] {
        assert_eq!(process.call(line).await, says, "{line:?}");
    }
    // Callers that say nothing, or half a line, and hold on: more than there are places.
    let mut silent = Vec::new();
    for at in 0..40 {
        let mut stream = TcpStream::connect(process.admin).await.unwrap();
        stream.write_all(if at % 2 == 0 { b"" } else { b"STA" }).await.unwrap();
        silent.push(stream);
    }
    assert_eq!(process.call("READY\n").await, "OK ready\n");
    // Sixteen of them at most are still held, as each holds a descriptor; the others have been closed.
    let held = |stream: &TcpStream| matches!(stream.try_read(&mut [0; 8]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    stand_in::eventually("the oldest made room", || {
        silent.iter().filter(|stream| held(stream)).count() <= 16
    })
    .await;
    // One that ends its sending without the end of the line has said it all the same.
    let mut half = TcpStream::connect(process.admin).await.unwrap();
    half.write_all(b"READY").await.unwrap();
    half.shutdown().await.unwrap();
    let mut said = String::new();
    half.read_to_string(&mut said).await.unwrap();
    assert_eq!(said, "OK ready\n");
    drop(silent);
    process.tell("-TERM");
    assert_eq!(process.ended().await.0, Some(0));
}

/// Served, refused, failed, left, retried and unreadable requests, held against the fleet's own ledger: equal.
#[tokio::test]
async fn the_figures_are_what_the_peers_saw() {
    let site = Deployment::new("figures", Shape { events: 3, ..Shape::default() }).await;
    site.write(&site.config());
    let process = site.start().await;
    process.until_ready().await;
    for name in ["completed.ask", "rejected.book", "failed.book", "upstream_requests", "pending"] {
        assert_eq!(process.figure(name).await, 0, "{name}");
    }
    assert_eq!(process.figure("members").await, 4);
    let at = site.port.address();
    let mut seen = std::collections::BTreeMap::new();
    let mut count = |lane: &str, answer: &str| {
        let whole = answer.ends_with("0\r\n\r\n");
        let end = match status(answer) {
            200 if whole => "completed",
            429 | 503 => "rejected",
            _ => "failed",
        };
        *seen.entry(format!("{end}.{lane}")).or_insert(0) += 1;
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
        let lane = if number % 3 == 0 { "book" } else { "ask" };
        let answer = until_close(at, &platform(&format!("{number:016x}"), lane, "0.900")).await;
        count(lane, &answer);
    }
    // What the fronts answer by themselves is counted by the class that it names, if it came whole.
    let bad = platform("ff00", "ask", "soon");
    count("ask", &until_close(at, &bad).await);
    until_close(at, &platform("ff01", "cook", "1.0")).await;
    // One that leaves in mid-stream has ended, and is in no counter that is shown.
    site.fleet.script([Fault::Stalls(1)]);
    let begun = |text: &str| text.contains("data:");
    talk(at, &platform("ff02", "ask", "0.900"), begun).await;
    process.eventually("pending", 0).await;
    for (name, told) in &seen {
        assert_eq!(process.figure(name).await, *told, "{name} of {seen:?}");
    }
    for name in
        ["completed.ask", "completed.book", "rejected.ask", "rejected.book", "failed.ask", "failed.book"]
    {
        if !seen.contains_key(name) {
            assert_eq!(process.figure(name).await, 0, "{name}");
        }
    }
    assert!(["completed.ask", "failed.book"].iter().all(|name| seen.contains_key(*name)), "{seen:?}");
    assert_eq!(process.figure("upstream_requests").await, site.fleet.received() as u64);
    process.tell("-TERM");
    let (code, log) = process.ended().await;
    assert_eq!(code, Some(0), "{log:?}");
}

/// A second process takes over under load: each request is answered exactly once, whichever process has it, and the
/// figures of the two add up to what the fleet saw.
#[tokio::test]
async fn a_new_version_takes_over_under_load_and_nobody_is_lost_at_the_door() {
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
    assert_eq!(old.call("READY\n").await, "OK ready\n", "both serve");
    sleep(Duration::from_millis(200)).await;
    let taken_by_old = old.figure("completed.book").await;
    old.tell("-TERM");
    let log = old.ended().await;
    assert_eq!(log.0, Some(0), "{:?}", log.1);
    sleep(Duration::from_millis(200)).await;
    stop.send_replace(true);
    let (mut asked, mut served) = (0, 0);
    for client in clients {
        let (a, s) = client.await.unwrap();
        (asked, served) = (asked + a, served + s);
    }
    assert_eq!(asked, served, "each is answered");
    assert_eq!(site.fleet.started().len() as u64, asked, "and has run once");
    assert!(taken_by_old > 0 && new.figure("completed.book").await > 0, "both had some");
    assert_eq!(new.call("READY\n").await, "OK ready\n");
    assert_eq!(
        field(&until_close(at, &platform("ff", "ask", "0.9")).await, "content-type"),
        Some("text/event-stream".into())
    );
}

/// What waits in the accept queue as the listener closes would be reset: it is taken in before.
#[tokio::test]
async fn a_listener_that_closes_leaves_nobody_in_its_queue() {
    let listener = listener::listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let at = listener.local_addr().unwrap();
    let front = axum::Router::new().route("/", axum::routing::get(|| async { "here" }));
    let (phase, phases) = tokio::sync::watch::channel(Phase::Serving);
    let serving = listener::serve(listener, front, ConnectionLimits::new(500), Figures::default(), phases);
    // Nothing is accepted yet: all of these wait in the queue when the listener is told to close.
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

/// An open request keeps the rules of the class that it came with, in both directions; new ones have the new at once.
#[tokio::test]
async fn a_class_that_changes_under_a_request_does_not_change_the_request() {
    let site =
        Deployment::new("retune", Shape { read: Duration::from_millis(400), ..Shape::default() }).await;
    let mut config = site.config();
    // So long that no read is given up, and so many attempts that a repeat is seen whatever goes before it.
    (0..2).for_each(|lane| config["settings"]["lanes"][lane]["aim_s"] = json!(4.0));
    config["settings"]["limits"]["max_attempts"] = json!(9);
    site.write(&config);
    let process = site.start().await;
    process.until_ready().await;
    let at = site.port.address();
    let ask = |id: &str, lane: &str| {
        let text = platform(id, lane, "5.0");
        tokio::spawn(async move { until_close(at, &text).await })
    };
    // Once open: an `ask` that may repeat, and a `book` that may not.
    let (open_ask, open_book) = (ask("a1", "ask"), ask("b1", "book"));
    process.eventually("pending", 2).await;
    let lanes = &mut config["settings"]["lanes"];
    lanes[0]["effect"] = json!("at_most_once");
    lanes[1]["effect"] = json!("idempotent");
    let mut third = lanes[0].clone();
    (third["name"], third["effect"]) = (json!("ask_new"), json!("idempotent"));
    lanes.as_array_mut().unwrap().push(third);
    site.write(&config);
    process.tell("-HUP");
    process.eventually("config_reloads", 1).await;
    site.fleet.fail(1_000, &[Fault::Vanishes], 1);
    let (open_ask, open_book) = (open_ask.await.unwrap(), open_book.await.unwrap());
    let runs = |id: &str| site.fleet.started().iter().filter(|begun| begun.id == id).count();
    assert!(runs("a1") > 1, "it may still repeat: {open_ask}");
    assert_eq!((status(&open_book), runs("b1")), (502, 1), "it may still run once only");
    let (new_ask, new_book) = (ask("a2", "ask").await.unwrap(), ask("b2", "book").await.unwrap());
    assert_eq!((status(&new_ask), runs("a2")), (502, 1));
    assert!(runs("b2") > 1, "{new_book}");
    site.fleet.fail(0, &[], 1);
    assert_eq!(status(&ask("c1", "ask_new").await.unwrap()), 200);
    // The figure follows the last byte: read at once it may still lack it.
    process.eventually("completed.ask_new", 1).await;
    // Dropped: a client that still names it is told what it is told of any unknown class; the counter stays.
    let open = ask("c2", "ask_new");
    process.eventually("pending", 1).await;
    config["settings"]["lanes"].as_array_mut().unwrap().pop();
    site.write(&config);
    process.tell("-HUP");
    process.eventually("config_reloads", 2).await;
    assert_eq!(status(&ask("c3", "ask_new").await.unwrap()), 400);
    assert_eq!(status(&open.await.unwrap()), 200, "the one that was open ends as it would have");
    process.eventually("completed.ask_new", 2).await;
    // The same file once more is taken, and changes nothing.
    process.tell("-HUP");
    process.eventually("config_reloads", 3).await;
    assert_eq!(status(&ask("d1", "book").await.unwrap()), 200);
}

/// From a broken file nothing is taken: each kind is counted, named in the log, and leaves all as it was; the same
/// texts are turned down by `check-config`, but for those that only what is running can tell.
#[tokio::test]
async fn nothing_is_taken_from_a_broken_file_of_any_kind() {
    let site = Deployment::new("broken", Shape::default()).await;
    let good = site.config();
    site.write(&good);
    let process = site.start().await;
    process.until_ready().await;
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        // In all of them discovery has moved to where nobody is, and a class has come.
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
            config.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key).expect("it was there");
        }
    }
    fn put(path: &'static str, value: Value) -> impl Fn(&mut Value) {
        move |config| *config.pointer_mut(path).unwrap() = value.clone()
    }
    let whole = with(&|_| ());
    let mut broken: Vec<(String, &str, bool)> = vec![
        (String::new(), "EOF", true),
        (whole[..whole.len() / 2].to_owned(), "EOF", true),
        ("[]".to_owned(), "invalid", true),
        (whole.replace("\"give_up_s\":1.0", "\"give_up_s\":NaN"), "expected", true),
        (whole.replace("\"give_up_s\":1.0", "\"give_up_s\":1e999"), "out of range", true),
    ];
    let mut changed = |change: &dyn Fn(&mut Value), says, always| broken.push((with(change), says, always));
    for (path, says) in [
        ("/settings", "at least one class (lanes)"),
        ("/settings/lanes", "at least one class (lanes)"),
        ("/settings/limits/max_attempts", "max_attempts is missing"),
        ("/settings/lanes/0/give_up_s", "lanes.0.give_up_s is missing"),
        ("/settings/lanes/2/effect", "lanes.2.effect is missing"),
        ("/settings/lanes/1/name", "lanes.1.name is missing"),
        ("/discovery", "ROUTER_DISCOVERY"),
    ] {
        changed(&without(path), says, true);
    }
    for (path, says) in [
        ("/limits", "limits is missing"),
        ("/admin_addr", "admin_addr is missing"),
        ("/settings/domain/release_within_s", "settings.domain.release_within_s is missing"),
        ("/settings/lanes/1/worth", "settings.lanes.1.worth is missing"),
    ] {
        changed(&without(path), says, false);
    }
    for (path, value, says) in [
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
        changed(&put(path, value), says, true);
    }
    let at = site.port.address();
    let count = broken.len() as u64;
    for (turned_down, (text, says, always)) in broken.into_iter().enumerate() {
        std::fs::write(site.folder.join("config.json"), &text).unwrap();
        process.tell("-HUP");
        process.eventually("config_reload_errors", turned_down as u64 + 1).await;
        if always {
            let mut check = Command::new(env!("CARGO_BIN_EXE_dewladder"));
            check.args(["check-config", "--config"]).arg(site.folder.join("config.json")).env_clear();
            let output = check.output().await.unwrap();
            let said = String::from_utf8(output.stderr).unwrap();
            assert!(!output.status.success() && said.contains(says), "{says}: {said}");
        }
    }
    std::fs::remove_file(site.folder.join("config.json")).unwrap();
    process.tell("-HUP");
    process.eventually("config_reload_errors", count + 1).await;
    assert_eq!(process.figure("config_reloads").await, 0);
    let answer = until_close(at, &platform("f1", "ask_new", "0.9")).await;
    assert_eq!(status(&answer), 400, "no class was taken");
    assert_eq!(status(&until_close(at, &platform("f2", "book", "0.9")).await), 200);
    assert!(!site.fleet.agent.log().contains(&"closed".to_owned()), "the list is watched where it was");
    process.tell("-TERM");
    let (code, log) = process.ended().await;
    assert_eq!(code, Some(0));
    let said = |text: &str| log.iter().any(|line| line.contains("not taken over") && line.contains(text));
    for says in [
        "lanes.0.give_up_s: must be a positive number up to 1000000, got -6.0",
        "settings.lanes.1.worth is missing",
        "can't read",
    ] {
        assert!(said(says), "{says} in {log:?}");
    }
}

/// Whoever dies when, the other goes on: killed files mean nothing, a new one that never comes to serve leaves the old
/// one as it was, and upgrades follow one another.
#[tokio::test]
async fn a_process_that_is_killed_leaves_nothing_behind_that_counts() {
    let site = Deployment::new("killed", Shape::default()).await;
    let shared = site.folder.join("shared");
    // Files of a process that is long gone, and nonsense: none is held by a lock.
    let name = format!("dewladder-127.0.0.1-{}", site.port.address().port());
    std::fs::write(shared.join(format!("{name}.seat0")), format!("{:<63}\n", "7 serving 960 0")).unwrap();
    std::fs::write(shared.join(format!("{name}.seat1")), "not a line").unwrap();
    std::fs::write(shared.join(format!("{name}.handover")), "{\"born\":7,\"learnt\":5}").unwrap();
    site.write(&site.config());
    let at = site.port.address();
    let first = site.start().await;
    first.until_ready().await;
    assert_eq!(status(&until_close(at, &platform("a1", "book", "0.9")).await), 200);
    // A new one that is killed as it starts, before it can say yes: at any moment of its start.
    for wait in [0, 1, 3, 10, 30] {
        let mut new = site.start().await;
        sleep(Duration::from_millis(wait)).await;
        new.child.kill().await.unwrap();
        for turn in 0..8 {
            let id = format!("b{wait:02}{turn}");
            assert_eq!(status(&until_close(at, &platform(&id, "book", "0.9")).await), 200, "{id}");
        }
    }
    assert_eq!(first.call("READY\n").await, "OK ready\n");
    // The old one killed in the middle of handing over: the new one goes on alone.
    let second = site.start().await;
    second.until_ready().await;
    let mut first = first;
    first.tell("-TERM");
    first.child.kill().await.unwrap();
    assert_eq!(status(&until_close(at, &platform("c1", "book", "0.9")).await), 200);
    // And twice more, each in good order: what was learnt goes along.
    let mut serving = second;
    for turn in 0..2 {
        let next = site.start().await;
        next.until_ready().await;
        serving.tell("-TERM");
        let (code, log) = serving.ended().await;
        assert_eq!(code, Some(0), "{log:?}");
        let said = |text: &str| log.iter().any(|line| line.contains(text));
        assert!(said("dispatcher: shutdown begins; another process accepts new clients"), "{log:?}");
        assert!(said("hot restart: learned state exported"), "{log:?}");
        assert_eq!(status(&until_close(at, &platform(&format!("d{turn}"), "ask", "0.9")).await), 200);
        serving = next;
    }
    serving.tell("-TERM");
    let (code, log) = serving.ended().await;
    assert_eq!(code, Some(0));
    assert!(log.iter().any(|line| line.contains("hot restart: learned state imported")), "{log:?}");
    assert!(
        log.iter()
            .any(|line| line
                .contains("dispatcher: shutdown begins; clients are asked to close their connections")),
        "alone: {log:?}"
    );
}
