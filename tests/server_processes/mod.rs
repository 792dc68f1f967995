//! The program before servers that are processes of their own, which a test stops, lets go on and kills. A ledger has what
//! the servers did, in order.
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

/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(10);
/// Servers drop repeats of a note for so long.
pub const REPEATS_DROPPED_FOR: Duration = Duration::from_secs(1);
/// A read takes so long.
const READ_TIME: Duration = Duration::from_millis(10);
/// `domain.release_within_s`, the 300 ms that sockets have more, and the 50 ms that each time limit has.
pub const HELD_AT_MOST: Duration = Duration::from_millis(850);

/// Something that a server did for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A reader that runs has the whole request.
    ReaderHas,
    /// A writer that runs has the whole request.
    WriterHas,
    /// A read has ended well: its state is held.
    Read,
    /// A writer has taken the state.
    Taken,
    /// A writer wanted a state that was not there.
    NoState,
    /// A release has come.
    Released,
    /// An attempt is not out any more at a reader.
    ReaderOver,
    /// The same at a writer.
    WriterOver,
}

/// What the servers did, and the states that they hold.
#[derive(Debug, Default)]
pub struct Ledger {
    steps: BTreeMap<String, Vec<(Instant, Step)>>,
    held: BTreeSet<String>,
}

impl Ledger {
    fn report(&mut self, step: &str, id: &str) -> bool {
        let step = match step {
            "reader_has" => Step::ReaderHas,
            "writer_has" => Step::WriterHas,
            "read" => Step::Read,
            "take" if self.held.contains(id) => Step::Taken,
            "take" => Step::NoState,
            "release" => Step::Released,
            "reader_over" => Step::ReaderOver,
            _ => Step::WriterOver,
        };
        match step {
            Step::Read => drop(self.held.insert(id.to_owned())),
            Step::Taken => drop(self.held.remove(id)),
            // A state that an attempt waits for stays.
            Step::Released if !self.has_waiting_writer(id) => drop(self.held.remove(id)),
            _ => {}
        }
        self.steps.entry(id.to_owned()).or_default().push((Instant::now(), step));
        step != Step::NoState
    }

    fn has_waiting_writer(&self, id: &str) -> bool {
        let mut waiting = false;
        for (_, step) in self.steps.get(id).into_iter().flatten() {
            match step {
                Step::WriterHas => waiting = true,
                Step::WriterOver | Step::Taken => waiting = false,
                _ => {}
            }
        }
        waiting
    }

    /// The time between the first and the last time that a step was done for a request.
    pub fn time_between(&self, id: &str, step: Step) -> Duration {
        let steps = self.steps.get(id).into_iter().flatten();
        let mut done = steps.filter(|(_, done)| *done == step).map(|(at, _)| *at);
        let Some(first) = done.next() else { return Duration::ZERO };
        done.next_back().map_or(Duration::ZERO, |last| last.duration_since(first))
    }

    /// Whether any server had a request.
    pub fn is_known(&self, id: &str) -> bool {
        self.steps.contains_key(id)
    }

    /// Requests of which a state is held.
    pub fn held(&self) -> Vec<String> {
        self.held.iter().cloned().collect()
    }

    /// How often a step was done for a request.
    pub fn count(&self, id: &str, step: Step) -> usize {
        self.steps.get(id).into_iter().flatten().filter(|(_, done)| *done == step).count()
    }

    /// The longest time for which a state of a request was held while no attempt of it was with a server that runs.
    pub fn longest_held(&self, id: &str, now: Instant) -> Duration {
        let (mut out, mut is_held, mut idle_since, mut longest) = (0usize, false, None, Duration::ZERO);
        let end = (now, None);
        let steps = self.steps.get(id).into_iter().flatten().map(|&(at, step)| (at, Some(step)));
        for (at, step) in steps.chain([end]) {
            if let Some(since) = idle_since {
                longest = longest.max(at.duration_since(since));
            }
            match step {
                Some(Step::ReaderHas | Step::WriterHas) => out += 1,
                Some(Step::ReaderOver | Step::WriterOver) => out = out.saturating_sub(1),
                Some(Step::Read) => is_held = true,
                Some(Step::Taken | Step::Released) => is_held = false,
                _ => {}
            }
            let is_idle = is_held && out == 0;
            idle_since = if is_idle { idle_since.or(Some(at)) } else { None };
        }
        longest
    }
}

/// A server's process.
pub struct ServerProcess {
    child: Child,
    pub address: SocketAddr,
}

impl ServerProcess {
    async fn start(role: &str, ledger: SocketAddr, work: Duration, stop: Option<&str>) -> Self {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder-test-server"));
        program.arg(role).arg(ledger.to_string()).arg(work.as_millis().to_string()).args(stop);
        let mut child = program.stdout(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let line = timeout(LONG, lines.next_line()).await.expect("a line").unwrap().expect("an address");
        Self { child, address: line.parse().unwrap() }
    }

    /// Sends a signal, such as `-STOP`, and waits until a process that was stopped has come to stand.
    pub async fn signal(&self, signal: &str) {
        let id = self.child.id().expect("it runs");
        tell(id, signal);
        let wants_stopped = signal == "-STOP";
        for _ in 0..200 {
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            let is_stopped = stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'));
            if !wants_stopped || is_stopped {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("process {id} was not stopped");
    }
}

fn tell(id: u32, signal: &str) {
    assert!(std::process::Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
}

/// What a site is like.
pub struct Layout {
    pub readers: usize,
    pub writers: usize,
    /// The moment at which the readers stop themselves.
    pub readers_stop: Option<&'static str>,
    /// The moment at which the writers stop themselves.
    pub writers_stop: Option<&'static str>,
    /// So many of the writers do; the others never stop.
    pub stopping_writers: usize,
    /// The time until a writer's first event.
    pub write_time: Duration,
    /// The latency objective of all classes (s).
    pub objective_s: f64,
    /// The longest that clients wait (s).
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

/// The program, its servers and their ledger.
pub struct Site {
    pub readers: Vec<ServerProcess>,
    pub writers: Vec<ServerProcess>,
    ledger: Arc<Mutex<Ledger>>,
    program: Program,
    _agent: Agent,
}

/// The program as it is started.
struct Program {
    child: Child,
    /// Where clients connect.
    front: SocketAddr,
    /// Its second address.
    admin: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _port: Socket,
}

impl Site {
    pub async fn start(name: &str, layout: &Layout) -> Self {
        let ledger = Arc::<Mutex<Ledger>>::default();
        let books = keep_ledger(ledger.clone()).await;
        let (mut readers, mut writers, mut members) = (Vec::new(), Vec::new(), Vec::new());
        for at in 0..layout.readers {
            readers.push(ServerProcess::start("reader", books, READ_TIME, layout.readers_stop).await);
            members.push(member(readers[at].address, at as u32 + 1, "prefill", "up"));
        }
        for at in 0..layout.writers {
            let stop = layout.writers_stop.filter(|_| at < layout.stopping_writers);
            writers.push(ServerProcess::start("writer", books, layout.write_time, stop).await);
            members.push(member(writers[at].address, at as u32 + 101, "decode", "up"));
        }
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let settings = settings(&agent, &list, layout);
        let program = start_program(name, &settings).await;
        Self { readers, writers, ledger, program, _agent: agent }
    }

    /// Sends a request; its answer.
    pub async fn asks(&self, id: &str, lane: &str, remaining: &str) -> String {
        timeout(LONG, until_close(self.program.front, &platform(id, lane, remaining)))
            .await
            .expect("an answer")
    }

    /// Where clients connect.
    pub fn front(&self) -> SocketAddr {
        self.program.front
    }

    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap()
    }

    /// The program's log so far.
    pub fn log(&self) -> Vec<String> {
        self.program.log.lock().unwrap().clone()
    }

    /// Waits for a line of the program's log that has these words.
    pub async fn logs(&self, words: &[&str]) -> String {
        for _ in 0..2_000 {
            let has = |line: &&String| words.iter().all(|word| line.contains(word));
            if let Some(line) = self.program.log.lock().unwrap().iter().find(has) {
                return line.clone();
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("no line with {words:?} in {:#?}", self.log());
    }

    /// What its second address answers to a line.
    pub async fn admin(&self, line: &str) -> String {
        timeout(LONG, until_close(self.program.admin, line)).await.expect("an answer")
    }

    /// Sends a signal to the program.
    pub fn signal(&self, signal: &str) {
        tell(self.program.child.id().expect("it runs"), signal);
    }

    /// Waits until the program has ended by itself, for so long at most; whether it has.
    pub async fn ends_within(&mut self, time: Duration) -> bool {
        timeout(time, self.program.child.wait()).await.is_ok()
    }

    pub async fn kill(&mut self) {
        self.program.child.kill().await.unwrap();
    }

    /// Stops all processes of these servers.
    pub async fn stop(servers: &[ServerProcess]) {
        for server in servers {
            server.signal("-STOP").await;
        }
    }
}

/// Takes down what servers report, from now on; where.
async fn keep_ledger(ledger: Arc<Mutex<Ledger>>) -> SocketAddr {
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
                let _ = stream.write_all(word.as_bytes()).await; // a server that was killed asks no more
            });
        }
    });
    address
}

fn settings(agent: &Agent, list: &Value, layout: &Layout) -> Value {
    let mut settings: Value = serde_json::from_str(&config(agent.address, list)).unwrap();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_s": layout.objective_s, "give_up_s": layout.deadline_s, "effect": effect,
            "group": "all", "worth": 2.0, "dedup_window_s": REPEATS_DROPPED_FOR.as_secs_f64()})
    };
    let lanes = [class("ask", "idempotent"), class("book", "at_most_once"), class("note", "deduplicated")];
    settings["settings"]["lanes"] = json!(lanes);
    settings["admin_addr"] = json!("127.0.0.1:0");
    settings
}

/// Starts the program at its default log level.
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
        let line = timeout(LONG, lines.next_line()).await.expect("a line").unwrap();
        let line = line.unwrap_or_else(|| panic!("it starts: {all:?}"));
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
    let kept = log.clone();
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            kept.lock().unwrap().push(line);
        }
    });
    Program { child, front, admin: admin.expect("a second address"), log, _port: port }
}

/// A socket that keeps an address for the program, which shares it where it has a second address.
fn reserve_port() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket
}
