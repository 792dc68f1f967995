//! The built program with test servers that run in separate processes, so that a test can stop (SIGSTOP), resume
//! (SIGCONT) and kill them. A ledger records the steps that the servers take, in order.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use dewladder_test_peers::{config, member, platform, until_close, Agent};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Limit for each operation of the fixture; far longer than any of them takes.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Deduplication window of class `note`.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(1);
/// Duration of a read.
const READ_TIME: Duration = Duration::from_millis(10);
/// The longest time for which a state may be held with no attempt at a running server: `domain.release_within_s`, plus
/// 300 ms that are allowed for sockets, plus the tolerance of 50 ms of each time limit.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(850);

/// A step that a server took for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A running reader has received the whole request.
    ReaderReceived,
    /// A running writer has received the whole request.
    WriterReceived,
    /// A read has succeeded; its state is held from now on.
    Read,
    /// A writer has fetched the state.
    Fetched,
    /// A writer tried to fetch a state that is not held.
    NoState,
    /// A server has received the release of a state.
    ReleaseReceived,
    /// An attempt at a reader has ended.
    ReaderEnded,
    /// An attempt at a writer has ended.
    WriterEnded,
}

/// The steps that servers took for each request, and the requests whose state is held.
#[derive(Debug, Default)]
pub struct Ledger {
    steps: BTreeMap<String, Vec<(Instant, Step)>>,
    held: BTreeSet<String>,
}

impl Ledger {
    /// Records a step by its name on the wire. Returns false only for a fetch of a state that is not held.
    fn report(&mut self, step: &str, id: &str) -> bool {
        let step = match step {
            "reader_has" => Step::ReaderReceived,
            "writer_has" => Step::WriterReceived,
            "read" => Step::Read,
            "take" if self.held.contains(id) => Step::Fetched,
            "take" => Step::NoState,
            "release" => Step::ReleaseReceived,
            "reader_over" => Step::ReaderEnded,
            _ => Step::WriterEnded,
        };
        match step {
            Step::Read => drop(self.held.insert(id.to_owned())),
            Step::Fetched => drop(self.held.remove(id)),
            // A release doesn't remove a state while an attempt at a writer is waiting for it.
            Step::ReleaseReceived if !self.has_waiting_writer(id) => drop(self.held.remove(id)),
            _ => {}
        }
        self.steps.entry(id.to_owned()).or_default().push((Instant::now(), step));
        step != Step::NoState
    }

    /// Whether an attempt is at a running writer that has not fetched the state yet.
    fn has_waiting_writer(&self, id: &str) -> bool {
        let mut waiting = false;
        for (_, step) in self.steps.get(id).into_iter().flatten() {
            match step {
                Step::WriterReceived => waiting = true,
                Step::WriterEnded | Step::Fetched => waiting = false,
                _ => {}
            }
        }
        waiting
    }

    /// Returns the time between the first and the last occurrence of a step for a request; zero if there are fewer than
    /// two occurrences.
    pub fn time_between(&self, id: &str, step: Step) -> Duration {
        let steps = self.steps.get(id).into_iter().flatten();
        let mut done = steps.filter(|(_, done)| *done == step).map(|(at, _)| *at);
        let Some(first) = done.next() else { return Duration::ZERO };
        done.next_back().map_or(Duration::ZERO, |last| last.duration_since(first))
    }

    /// Whether any server took a step for a request.
    pub fn is_known(&self, id: &str) -> bool {
        self.steps.contains_key(id)
    }

    /// Returns the ids of requests whose state is held.
    pub fn held(&self) -> Vec<String> {
        self.held.iter().cloned().collect()
    }

    /// Returns how often a step was taken for a request.
    pub fn count(&self, id: &str, step: Step) -> usize {
        self.steps.get(id).into_iter().flatten().filter(|(_, done)| *done == step).count()
    }

    /// Returns the longest time, up to `now`, for which a state of a request was held while no attempt of the request
    /// was at a running server.
    pub fn longest_held(&self, id: &str, now: Instant) -> Duration {
        let (mut in_flight, mut is_held, mut idle_since, mut longest) = (0usize, false, None, Duration::ZERO);
        let end = (now, None);
        let steps = self.steps.get(id).into_iter().flatten().map(|&(at, step)| (at, Some(step)));
        for (at, step) in steps.chain([end]) {
            if let Some(since) = idle_since {
                longest = longest.max(at.duration_since(since));
            }
            match step {
                Some(Step::ReaderReceived | Step::WriterReceived) => in_flight += 1,
                Some(Step::ReaderEnded | Step::WriterEnded) => in_flight = in_flight.saturating_sub(1),
                Some(Step::Read) => is_held = true,
                Some(Step::Fetched | Step::ReleaseReceived) => is_held = false,
                _ => {}
            }
            let is_idle = is_held && in_flight == 0;
            idle_since = if is_idle { idle_since.or(Some(at)) } else { None };
        }
        longest
    }
}

/// A test server that runs in a process of its own.
pub struct ServerProcess {
    child: Child,
    pub address: SocketAddr,
}

impl ServerProcess {
    /// Starts a server with a role of `reader` or `writer`; `work` is the duration of a read, or the time until a
    /// writer's first event. The process stops itself at the moment `stop`, if there is one.
    async fn start(role: &str, ledger: SocketAddr, work: Duration, stop: Option<&str>) -> Self {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder-test-server"));
        program.arg(role).arg(ledger.to_string()).arg(work.as_millis().to_string()).args(stop);
        let mut child = program.stdout(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let line = timeout(TIMEOUT, lines.next_line())
            .await
            .expect("no line in time")
            .unwrap()
            .expect("the server ended without printing its address");
        Self { child, address: line.parse().unwrap() }
    }

    /// Sends a signal in the notation of `kill`. After `-STOP` it waits until the process is in the stopped state.
    pub async fn signal(&self, signal: &str) {
        let id = self.child.id().expect("the server has exited");
        send_signal(id, signal);
        let waits_until_stopped = signal == "-STOP";
        for _ in 0..200 {
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            let is_stopped = stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'));
            if !waits_until_stopped || is_stopped {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("process {id} was not stopped");
    }
}

/// Sends a signal, such as `-TERM`, to a process.
fn send_signal(id: u32, signal: &str) {
    assert!(std::process::Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
}

/// Numbers, delays and stops of a site's servers, and the time limits of its classes.
pub struct Layout {
    pub readers: usize,
    pub writers: usize,
    /// The moment at which each reader stops itself (SIGSTOP): `accepted`, `received`, `answering` or `answered`;
    /// `None` for never.
    pub readers_stop: Option<&'static str>,
    /// The same for the writers.
    pub writers_stop: Option<&'static str>,
    /// How many of the writers stop themselves; the others never do.
    pub stopping_writers: usize,
    /// Time from a request to the writer's first event.
    pub write_time: Duration,
    /// Latency objective of all classes, in seconds.
    pub objective_s: f64,
    /// Deadline of all classes, in seconds.
    pub deadline_s: f64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            readers: 1,
            writers: 3,
            readers_stop: None,
            writers_stop: None,
            stopping_writers: usize::MAX,
            write_time: READ_TIME,
            objective_s: 2.0,
            deadline_s: 3.0,
        }
    }
}

/// The program, its servers and the servers' ledger.
pub struct Site {
    pub readers: Vec<ServerProcess>,
    pub writers: Vec<ServerProcess>,
    ledger: Arc<Mutex<Ledger>>,
    program: Program,
    _agent: Agent,
}

/// The running program.
struct Program {
    child: Child,
    /// Address of the front, to which clients connect.
    front: SocketAddr,
    /// Admin address.
    admin: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _port: Socket,
}

impl Site {
    /// Starts the servers, the agent and the program; `name` is part of the name of the program's folder.
    pub async fn start(name: &str, layout: &Layout) -> Self {
        let ledger = Arc::<Mutex<Ledger>>::default();
        let ledger_address = serve_ledger(ledger.clone()).await;
        let (mut readers, mut writers, mut members) = (Vec::new(), Vec::new(), Vec::new());
        for at in 0..layout.readers {
            readers
                .push(ServerProcess::start("reader", ledger_address, READ_TIME, layout.readers_stop).await);
            members.push(member(readers[at].address, at as u32 + 1, "prefill", "up"));
        }
        for at in 0..layout.writers {
            let stop = layout.writers_stop.filter(|_| at < layout.stopping_writers);
            writers.push(ServerProcess::start("writer", ledger_address, layout.write_time, stop).await);
            members.push(member(writers[at].address, at as u32 + 101, "decode", "up"));
        }
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let settings = settings(&agent, &list, layout);
        let program = start_program(name, &settings).await;
        Self { readers, writers, ledger, program, _agent: agent }
    }

    /// Sends a request of a class with `remaining` seconds until its deadline, and returns the answer.
    pub async fn request(&self, id: &str, class: &str, remaining: &str) -> String {
        timeout(TIMEOUT, until_close(self.program.front, &platform(id, class, remaining)))
            .await
            .expect("no answer in time")
    }

    /// Returns the address of the front, to which clients connect.
    pub fn front(&self) -> SocketAddr {
        self.program.front
    }

    /// Locks the ledger: servers can't report a step while the guard exists.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap()
    }

    /// Returns the lines that the program has logged so far.
    pub fn log(&self) -> Vec<String> {
        self.program.log.lock().unwrap().clone()
    }

    /// Waits for a line of the program's log that contains all of `words`, for about 10 s at most, and returns it.
    pub async fn wait_for_log(&self, words: &[&str]) -> String {
        for _ in 0..2_000 {
            let has = |line: &&String| words.iter().all(|word| line.contains(word));
            if let Some(line) = self.program.log.lock().unwrap().iter().find(has) {
                return line.clone();
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("no line with {words:?} in {:#?}", self.log());
    }

    /// Sends a line to the admin address and returns the answer.
    pub async fn admin(&self, line: &str) -> String {
        timeout(TIMEOUT, until_close(self.program.admin, line)).await.expect("no answer in time")
    }

    /// Sends a signal to the program.
    pub fn signal(&self, signal: &str) {
        send_signal(self.program.child.id().expect("the program has exited"), signal);
    }

    /// Waits for at most `time` until the program has exited by itself, and returns whether it has.
    pub async fn exits_within(&mut self, time: Duration) -> bool {
        timeout(time, self.program.child.wait()).await.is_ok()
    }

    /// Kills the program (SIGKILL).
    pub async fn kill(&mut self) {
        self.program.child.kill().await.unwrap();
    }

    /// Stops the processes of these servers (SIGSTOP).
    pub async fn stop(servers: &[ServerProcess]) {
        for server in servers {
            server.signal("-STOP").await;
        }
    }
}

/// Records the steps that servers report, and returns the address to which they report.
async fn serve_ledger(ledger: Arc<Mutex<Ledger>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let ledger = ledger.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                if stream.read_line(&mut line).await.is_err() {
                    return;
                }
                let (step, id) = line.trim().split_once(' ').unwrap_or_default();
                let word = if ledger.lock().unwrap().report(step, id) { "yes" } else { "no" };
                let _ = stream.write_all(word.as_bytes()).await; // a killed server doesn't read the reply
            });
        }
    });
    address
}

/// Returns the program's configuration, with an idempotent class `ask`, an at-most-once class `book` and a deduplicated
/// class `note`.
fn settings(agent: &Agent, list: &Value, layout: &Layout) -> Value {
    let mut settings: Value = serde_json::from_str(&config(agent.address, list)).unwrap();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_s": layout.objective_s, "give_up_s": layout.deadline_s, "effect": effect,
            "group": "all", "worth": 2.0, "dedup_window_s": DEDUP_WINDOW.as_secs_f64()})
    };
    let classes = [class("ask", "idempotent"), class("book", "at_most_once"), class("note", "deduplicated")];
    settings["settings"]["lanes"] = json!(classes);
    settings["admin_addr"] = json!("127.0.0.1:0");
    settings
}

/// Starts the program at its default log level and waits until it serves.
async fn start_program(name: &str, settings: &Value) -> Program {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("silent-{name}"));
    std::fs::create_dir_all(folder.join("shared")).unwrap();
    let mut settings = settings.clone();
    let port = reserve_port();
    let front = port.local_addr().unwrap().as_socket().unwrap();
    settings["listen"] = json!(front);
    std::fs::write(folder.join("config.json"), settings.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["serve", "--config", "config.json"]).env_clear();
    program.env("TMPDIR", folder.join("shared")).current_dir(&folder);
    let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let (mut admin, mut all) = (None, Vec::new());
    loop {
        let line = timeout(TIMEOUT, lines.next_line()).await.expect("no line in time").unwrap();
        let line = line.unwrap_or_else(|| panic!("the program ended before it served: {all:?}"));
        if let Some((_, address)) = line.split_once("second address: ") {
            admin = address.parse().ok();
        }
        let is_serving = line.contains("serving on");
        all.push(line);
        if is_serving {
            break;
        }
    }
    let log = Arc::new(Mutex::new(all));
    let lines_read = log.clone();
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            lines_read.lock().unwrap().push(line);
        }
    });
    Program { child, front, admin: admin.expect("no admin address logged"), log, _port: port }
}

/// Binds a socket to a free port to reserve the port for the program. The program can listen on it, because it sets
/// SO_REUSEPORT if an admin address is configured.
fn reserve_port() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket
}
