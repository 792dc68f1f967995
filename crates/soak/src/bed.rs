//! Plays a plan: starts everything, brings the troubles about, and ends it all in good order.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use tokio::sync::Mutex;
use tokio::time::sleep_until;

use crate::agent::Registry;
use crate::clients::Clients;
use crate::ledger::{Entry, Ledger, Seen};
use crate::plan::{Kind, Plan, Trouble};
use crate::process::{signal_to, Held, Launch, Process};
use crate::servers::Servers;

/// A process that was told to end does so within the longest deadline (taken as 3 s), what a release may take, and a
/// second more.
const ENDS_WITHIN: Duration = Duration::from_secs(8);
/// Descriptors that a process may hold more after a play than when it was ready: connections kept to servers.
const MORE_DESCRIPTORS: usize = 40;
/// The memory that the configuration allows (MB).
const MEMORY_MB: u64 = 192;
/// After the play, before what is held is compared.
const QUIET: Duration = Duration::from_millis(3_500);

/// What a play needs from outside.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// The fault shim; without it its rules are not played.
    pub shim: Option<PathBuf>,
    /// Where files, logs and traces go.
    pub folder: PathBuf,
    /// What is added to the environment of processes.
    pub environment: Vec<(String, String)>,
}

/// Why a plan could not be played: no verdict.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The system refused something that the bed itself needs.
    #[error("the bed: {0}")]
    System(#[from] std::io::Error),
}

/// One dispatcher of a play, with its processes.
struct Dispatcher {
    number: usize,
    launch: Launch,
    plan: Arc<Plan>,
    ledger: Ledger,
    folder: PathBuf,
    /// What its configuration says.
    settings: Value,
    /// Keeps its address taken, whoever ends and starts.
    _reserved: Socket,
    address: SocketAddr,
    processes: Mutex<Vec<Process>>,
    /// Held while a start or a planned end is under way.
    lifecycle: Mutex<()>,
    /// Ids of all processes that run, for signals that must not wait.
    running: std::sync::Mutex<Vec<u32>>,
    starts: AtomicUsize,
}

/// Plays a plan; all that its peers saw.
///
/// # Errors
/// See [`PlayError`].
pub async fn play(plan: &Plan, options: &Options) -> Result<Vec<Entry>, PlayError> {
    let plan = Arc::new(plan.clone());
    let ledger = Ledger::default();
    let folder = options.folder.join(format!("seed-{}", plan.seed));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    std::fs::write(
        folder.join("plan.json"),
        serde_json::to_string_pretty(&*plan).map_err(std::io::Error::other)?,
    )?;
    let servers = Servers::start(&plan, &ledger)?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let up_since_ms = u64::try_from(unix.as_millis()).unwrap_or(0);
    let registry = Registry::new(plan.clone(), ledger.clone(), servers.addresses, up_since_ms);
    let mut dispatchers = Vec::new();
    for number in 0..plan.processes {
        let agent = registry.start(number).await?;
        let dispatcher = Dispatcher::new(number, &plan, &ledger, options, &folder, agent, registry.list(0))?;
        dispatchers.push(Arc::new(dispatcher));
    }
    let mut starting = tokio::task::JoinSet::new();
    for dispatcher in dispatchers.clone() {
        starting.spawn(async move { dispatcher.start().await });
    }
    while starting.join_next().await.is_some() {}
    let mut held = Vec::new();
    for dispatcher in &dispatchers {
        held.push(dispatcher.held().await);
    }
    let mut tasks = tokio::task::JoinSet::new();
    let next = Arc::new(AtomicU64::new(0));
    for dispatcher in dispatchers.clone() {
        let (plan, ledger, address) = (plan.clone(), ledger.clone(), dispatcher.address);
        let clients = Clients::new(plan.clone(), ledger, dispatcher.number, address, next.clone());
        tasks.spawn(clients.run(plan.length_ms));
        tasks.spawn(dispatcher.watch(plan.length_ms));
    }
    for trouble in plan.troubles.clone() {
        if let Some(dispatcher) = dispatcher_of(&trouble.kind).and_then(|at| dispatchers.get(at)) {
            tasks.spawn(dispatcher.clone().trouble(trouble));
        }
    }
    while tasks.join_next().await.is_some() {}
    tokio::time::sleep(QUIET).await;
    for (dispatcher, before) in dispatchers.iter().zip(held) {
        dispatcher.compare(before).await;
    }
    let mut ending = tokio::task::JoinSet::new();
    for dispatcher in dispatchers {
        ending.spawn(async move { dispatcher.end_all().await });
    }
    while ending.join_next().await.is_some() {}
    Ok(ledger.entries())
}

fn dispatcher_of(kind: &Kind) -> Option<usize> {
    match kind {
        Kind::Upgrade { dispatcher }
        | Kind::Restart { dispatcher }
        | Kind::Kill { dispatcher }
        | Kind::Stop { dispatcher }
        | Kind::Reload { dispatcher, .. } => Some(*dispatcher),
        _ => None,
    }
}

/// A dispatcher's configuration.
fn settings(agent: SocketAddr, listen: SocketAddr, number: usize, plan: &Plan, known: &Value) -> Value {
    let (of, aim) = (plan.processes, plan.aim_ms as f64 / 1e3);
    let lane = |name: &str, effect: &str| {
        json!({"name": name, "aim_s": aim, "give_up_s": 3.0, "effect": effect, "group": "all", "worth": 2.0,
            "dedup_window_s": 0.4})
    };
    json!({"name": format!("n{number}"), "listen": listen, "discovery": agent, "admin_addr": "127.0.0.1:0",
        "seed": format!("{:016x}", number + 1),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512}, "known": known,
        "settings": {"balancers": of, "locality": 0, "failure_domains": ["a"], "kinds": ["prefill", "decode"],
            "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [100_000, 100_000],
                "release_within_s": 0.5, "resume": false},
            "lanes": [lane("ask", "idempotent"), lane("book", "at_most_once"), lane("note", "deduplicated")],
            "rules": {"stop_sending_within_s": 1.0, "cold_from": 0.26, "cold_s": 14.0, "fall_multiple": 2.5,
                "fall_s": 1.5},
            "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 6.0, "max_attempts": 5,
                "max_retry_after_s": 1.0}, "resolution_s": 0.002}})
}

impl Dispatcher {
    fn new(
        number: usize,
        plan: &Arc<Plan>,
        ledger: &Ledger,
        options: &Options,
        folder: &Path,
        agent: SocketAddr,
        known: Value,
    ) -> std::io::Result<Self> {
        let folder = folder.join(format!("n{number}"));
        let shared = folder.join("shared");
        std::fs::create_dir_all(&shared)?;
        let reserved = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        reserved.set_reuse_port(true)?;
        reserved.set_reuse_address(true)?;
        reserved.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = reserved.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        let settings = settings(agent, address, number, plan, &known);
        let config = folder.join("config.json");
        std::fs::write(&config, settings.to_string())?;
        let launch = Launch {
            program: options.program.clone(),
            shim: options.shim.clone(),
            config,
            folder: shared,
            environment: options.environment.clone(),
        };
        Ok(Self {
            number,
            launch,
            plan: plan.clone(),
            ledger: ledger.clone(),
            folder,
            settings,
            _reserved: reserved,
            address,
            processes: Mutex::default(),
            lifecycle: Mutex::default(),
            running: std::sync::Mutex::default(),
            starts: AtomicUsize::new(0),
        })
    }

    fn bad(&self, what: impl Into<String>) {
        self.ledger.write(0, Seen::BadExit { dispatcher: self.number, what: what.into() });
    }

    fn ids(&self) -> Vec<u32> {
        self.running.lock().map(|ids| ids.clone()).unwrap_or_default()
    }

    fn forget(&self, id: u32) {
        if let Ok(mut ids) = self.running.lock() {
            ids.retain(|one| *one != id);
        }
    }

    /// Starts a process and waits until it is ready.
    async fn start(&self) {
        let count = self.starts.fetch_add(1, Ordering::Relaxed);
        let rules = self.plan.shim(self.number, count == 0);
        let log = self.folder.join(format!("log-{count}"));
        self.ledger.write(0, Seen::Started { dispatcher: self.number });
        let mut process = match self.launch.start(&rules, &log) {
            Ok(process) => process,
            Err(error) => return self.bad(format!("it could not be started: {error}")),
        };
        let id = process.id;
        if let Ok(mut ids) = self.running.lock() {
            ids.push(id);
        }
        let ready = process.ready().await;
        if ready {
            self.ledger.write(0, Seen::Ready { dispatcher: self.number });
        } else if self.ids().contains(&id) {
            // One that the plan killed or stopped meanwhile is none of its own doing.
            match process.ended() {
                Some(how) => self.bad(format!("not ready: it ended with {how}")),
                None => self.bad("not ready in 10 s"),
            }
        }
        if self.ids().contains(&id) && process.ended().is_none() {
            self.processes.lock().await.push(process);
        }
    }

    async fn held(&self) -> Option<Held> {
        self.processes.lock().await.last().and_then(Process::held)
    }

    /// Notes processes that end by themselves.
    async fn watch(self: Arc<Self>, until_ms: u64) {
        while self.ledger.now() / 1_000 < until_ms {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut ended = Vec::new();
            self.processes.lock().await.retain_mut(|process| match process.ended() {
                Some(how) => {
                    ended.push((process.id, how));
                    false
                }
                None => true,
            });
            for (id, how) in ended {
                if self.ids().contains(&id) {
                    self.forget(id);
                    self.bad(format!("it ended by itself with {how}"));
                }
            }
        }
    }

    async fn trouble(self: Arc<Self>, trouble: Trouble) {
        sleep_until(self.ledger.instant(trouble.from_ms)).await;
        match trouble.kind {
            Kind::Upgrade { .. } => {
                let _one = self.lifecycle.lock().await;
                let old = std::mem::take(&mut *self.processes.lock().await);
                self.start().await;
                self.end(old).await;
            }
            Kind::Restart { .. } => {
                let _one = self.lifecycle.lock().await;
                let old = std::mem::take(&mut *self.processes.lock().await);
                self.end(old).await;
                self.start().await;
            }
            Kind::Kill { .. } => self.kill().await,
            Kind::Stop { .. } => {
                let until = trouble.to_ms.min(trouble.from_ms + 2_000);
                self.excuse(until * 1_000, false);
                let ids = self.ids();
                ids.iter().for_each(|id| signal_to(*id, "-STOP"));
                sleep_until(self.ledger.instant(until)).await;
                ids.iter().for_each(|id| signal_to(*id, "-CONT"));
            }
            Kind::Reload { broken, .. } => self.reload(broken).await,
            _ => {}
        }
    }

    fn excuse(&self, until: u64, killed: bool) {
        self.ledger.write(0, Seen::Excused { dispatcher: self.number, until, killed });
    }

    async fn kill(&self) {
        self.excuse(self.ledger.now(), true);
        let ids = self.ids();
        for id in &ids {
            self.forget(*id);
            signal_to(*id, "-KILL");
        }
        let _one = self.lifecycle.lock().await;
        let mut all = self.processes.lock().await;
        for process in all.iter_mut().filter(|process| ids.contains(&process.id)) {
            process.kill().await;
        }
        all.retain(|process| !ids.contains(&process.id));
        let none_left = all.is_empty();
        drop(all);
        if none_left {
            self.start().await;
        }
    }

    /// SIGHUP twice in 10 ms.
    async fn reload(&self, broken: bool) {
        let ids = self.ids();
        let text = self.settings.to_string();
        let second = if broken { text[..text.len() / 2].to_owned() } else { text.clone() };
        for text in [&text, &second] {
            if std::fs::write(&self.launch.config, text).is_err() {
                return;
            }
            ids.iter().for_each(|id| signal_to(*id, "-HUP"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        if let Err(error) = std::fs::write(&self.launch.config, &text) {
            self.bad(format!("the bed could not write a configuration: {error}"));
        }
    }

    /// Tells processes to end, and waits for that.
    async fn end(&self, processes: Vec<Process>) {
        for process in &processes {
            process.signal("-TERM");
        }
        for mut process in processes {
            let ended = process.ends_within(ENDS_WITHIN).await;
            let asked = self.ids().contains(&process.id);
            self.forget(process.id);
            if let (Err(what), true) = (&ended, asked) {
                self.bad(what.clone());
            }
            if ended.is_err() {
                process.kill().await;
            }
        }
    }

    async fn compare(&self, before: Option<Held>) {
        let leak = |what| self.ledger.write(0, Seen::Leak { dispatcher: self.number, what });
        let first = self.starts.load(Ordering::Relaxed) == 1;
        let processes = self.processes.lock().await;
        // A process that was stopped is late for all that it had open; the ledger excuses that too.
        let stopped =
            self.plan.troubles.iter().any(
                |trouble| matches!(trouble.kind, Kind::Stop { dispatcher } if dispatcher == self.number),
            );
        if let Some(process) = processes.last().filter(|_| !stopped) {
            let stats = process.stats().await.unwrap_or_default();
            let broken =
                stats.lines().filter(|line| line.contains(".guard_broken.") && !line.contains(":0|"));
            broken.for_each(|line| leak(format!("by its own account {line}")));
        }
        let Some(after) = processes.last().and_then(Process::held) else { return };
        if after.peak_kib > MEMORY_MB * 1_024 {
            leak(format!("{} KiB of memory at its peak", after.peak_kib));
        }
        let Some(before) = before.filter(|_| first) else { return };
        if after.descriptors > before.descriptors + MORE_DESCRIPTORS {
            leak(format!("{} descriptors, {} at the start", after.descriptors, before.descriptors));
        }
        if after.threads != before.threads {
            leak(format!("{} threads, {} at the start", after.threads, before.threads));
        }
    }

    async fn end_all(&self) {
        let _one = self.lifecycle.lock().await;
        let all = std::mem::take(&mut *self.processes.lock().await);
        self.end(all).await;
    }
}
