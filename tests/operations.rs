//! Daily service, with the program as it is started: the second address, the figures, and two processes on one port.

mod stand_in;

use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder::edge::clients::listener::{self, Phase};
use dewladder::edge::clients::room::Room;
use dewladder::edge::stats::Figures;
use dewladder_stand_in::{Fault, Fleet, Shape};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use stand_in::{field, platform, talk, until_close};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// An address that two processes may listen at; it stays taken while this lives.
struct Port(Socket);

impl Port {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_port(true).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        Self(socket)
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
}

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
        ("READY NOW\n", "ERR not known; READY and STATS are\n"),
        ("ready\n", "ERR not known; READY and STATS are\n"),
        ("\0\u{1}\n", "ERR not known; READY and STATS are\n"),
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
    assert_eq!(process.figure("upstream_requests").await, site.fleet.whole() as u64);
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
    assert_eq!(site.fleet.begun().len() as u64, asked, "and has run once");
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
    let serving = listener::serve(listener, front, Room::new(500), Figures::default(), phases);
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
