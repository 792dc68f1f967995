//! One dispatcher of a play: its processes, from start to end, and the faults that are brought about from outside.

mod shutdown;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use tokio::sync::Mutex;
use tokio::time::{sleep, sleep_until};

use super::Options;
use crate::event_log::{EventLog, Observation};
use crate::plan::{Fault, FaultKind, Plan};
use crate::process::{signal_to, Launch, Process, ResourceUsage};

/// A process that was told to end does so within the longest deadline (taken as 3 s), what a release may take, and a
/// second more.
const ENDS_WITHIN: Duration = Duration::from_secs(8);
/// Descriptors that a process may hold more after a play than when it was ready: connections kept to servers.
const MAX_MORE_DESCRIPTORS: usize = 40;
/// The memory that the configuration allows.
const MAX_MEMORY_MB: u64 = 192;
/// A pause lasts no longer (ms).
const MAX_PAUSE_MS: u64 = 2_000;
/// How often [`Dispatcher::watch`] looks.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Between the two signals of a reload.
const RELOAD_INTERVAL: Duration = Duration::from_millis(10);
/// A reload has read its file by then.
const RELOADED_AFTER: Duration = Duration::from_millis(200);

/// One dispatcher of a play, with its processes.
pub(super) struct Dispatcher {
    pub(super) number: usize,
    pub(super) address: SocketAddr,
    launch: Launch,
    plan: Arc<Plan>,
    event_log: EventLog,
    folder: PathBuf,
    /// What its configuration says.
    settings: Value,
    /// Keeps its address taken, whoever ends and starts.
    _reserved: Socket,
    processes: Mutex<Vec<Process>>,
    /// Held while a start or a planned end is under way.
    lifecycle: Mutex<()>,
    /// Ids of all processes that are to run, for signals that must not wait.
    running: std::sync::Mutex<Vec<u32>>,
    starts: AtomicUsize,
}

impl Dispatcher {
    /// A dispatcher with its folder, address and configuration, without a process. `known` is the list of servers.
    pub(super) fn new(
        number: usize,
        plan: &Arc<Plan>,
        event_log: &EventLog,
        options: &Options,
        folder: &Path,
        agent: SocketAddr,
        known: &Value,
    ) -> std::io::Result<Self> {
        let folder = folder.join(format!("n{number}"));
        let shared = folder.join("shared");
        std::fs::create_dir_all(&shared)?;
        let reserved = reserve_address()?;
        let address = reserved.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        let settings = settings(agent, address, number, plan, known);
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
            address,
            launch,
            plan: plan.clone(),
            event_log: event_log.clone(),
            folder,
            settings,
            _reserved: reserved,
            processes: Mutex::default(),
            lifecycle: Mutex::default(),
            running: std::sync::Mutex::default(),
            starts: AtomicUsize::new(0),
        })
    }

    fn log(&self, observation: Observation) {
        self.event_log.write(0, observation);
    }

    fn log_bad_exit(&self, what: impl Into<String>) {
        self.log(Observation::BadExit { dispatcher: self.number, what: what.into() });
    }

    fn log_outage(&self, until_us: u64, killed: bool) {
        self.log(Observation::Excused { dispatcher: self.number, until: until_us, killed });
    }

    fn running(&self) -> MutexGuard<'_, Vec<u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running_ids(&self) -> Vec<u32> {
        self.running().clone()
    }

    /// Whether a process is to run: one that the plan has ended or killed is not.
    fn is_to_run(&self, id: u32) -> bool {
        self.running().contains(&id)
    }

    fn forget(&self, id: u32) {
        self.running().retain(|one| *one != id);
    }

    fn signal_all(&self, signal: &str) -> Vec<u32> {
        let ids = self.running_ids();
        for id in &ids {
            signal_to(*id, signal);
        }
        ids
    }

    // ---- Starting and ending ----

    /// Starts a process and waits until it is ready.
    pub(super) async fn start(&self) {
        let count = self.starts.fetch_add(1, Ordering::Relaxed);
        let rules = self.plan.shim_rules(self.number, count == 0);
        let log_file = self.folder.join(format!("log-{count}"));
        self.log(Observation::Started { dispatcher: self.number });
        let mut process = match self.launch.start(&rules, &log_file) {
            Ok(process) => process,
            Err(error) => return self.log_bad_exit(format!("it could not be started: {error}")),
        };
        self.running().push(process.id);
        if process.ready().await {
            self.log(Observation::Ready { dispatcher: self.number });
        } else if self.is_to_run(process.id) {
            // One that the plan killed or paused meanwhile did nothing wrong itself.
            match process.ended() {
                Some(how) => self.log_bad_exit(format!("not ready: it ended with {how}")),
                None => self.log_bad_exit("not ready in 10 s"),
            }
        }
        if self.is_to_run(process.id) && process.ended().is_none() {
            self.processes.lock().await.push(process);
        }
    }

    /// Tells processes to end, and waits for that.
    async fn end(&self, processes: Vec<Process>) {
        for process in &processes {
            process.signal("-TERM");
        }
        self.await_end(processes).await;
    }

    /// Waits for the end of processes that have just been told to.
    async fn await_end(&self, processes: Vec<Process>) {
        if self.plan.kills_at_earliest {
            return self.kill_at_earliest(processes).await;
        }
        for mut process in processes {
            let ended = process.ends_within(ENDS_WITHIN).await;
            let was_to_run = self.is_to_run(process.id);
            self.forget(process.id);
            let Err(error) = ended else { continue };
            if was_to_run {
                self.log_bad_exit(error.to_string());
            }
            process.kill().await;
        }
    }

    async fn take_processes(&self) -> Vec<Process> {
        std::mem::take(&mut *self.processes.lock().await)
    }

    /// Ends all processes in good order.
    pub(super) async fn end_all(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        let all = self.take_processes().await;
        self.end(all).await;
    }

    /// Logs processes that end by themselves, until a time since the start of the play.
    pub(super) async fn watch(self: Arc<Self>, until_ms: u64) {
        while self.event_log.now() / 1_000 < until_ms {
            sleep(WATCH_INTERVAL).await;
            for (id, how) in self.remove_ended().await {
                if self.is_to_run(id) {
                    self.forget(id);
                    self.log_bad_exit(format!("it ended by itself with {how}"));
                }
            }
        }
    }

    /// Removes the processes that have ended: their ids, and how they ended.
    async fn remove_ended(&self) -> Vec<(u32, String)> {
        let mut ended = Vec::new();
        self.processes.lock().await.retain_mut(|process| match process.ended() {
            Some(how) => {
                ended.push((process.id, how));
                false
            }
            None => true,
        });
        ended
    }

    // ---- Faults ----

    /// Brings a fault about at its time, if it is one of processes.
    pub(super) async fn inject(self: Arc<Self>, fault: Fault) {
        sleep_until(self.event_log.instant(fault.from_ms)).await;
        match fault.kind {
            FaultKind::Upgrade { .. } => self.upgrade().await,
            FaultKind::Restart { .. } => self.restart().await,
            FaultKind::Kill { .. } => self.kill().await,
            FaultKind::Stop { .. } => self.pause(fault.to_ms.min(fault.from_ms + MAX_PAUSE_MS)).await,
            FaultKind::Reload { broken, .. } => self.reload(broken).await,
            FaultKind::Signals { series, .. } => self.signal_series(series).await,
            _ => {}
        }
    }

    async fn upgrade(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        let old = self.take_processes().await;
        self.start().await;
        self.end(old).await;
    }

    async fn restart(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        let old = self.take_processes().await;
        self.end(old).await;
        self.start().await;
    }

    async fn pause(&self, until_ms: u64) {
        self.log_outage(until_ms * 1_000, false);
        let paused = self.signal_all("-STOP");
        sleep_until(self.event_log.instant(until_ms)).await;
        for id in paused {
            signal_to(id, "-CONT");
        }
    }

    async fn kill(&self) {
        self.log_outage(self.event_log.now(), true);
        let ids = self.running_ids();
        for id in &ids {
            self.forget(*id);
            signal_to(*id, "-KILL");
        }
        let _lifecycle = self.lifecycle.lock().await;
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

    /// Sends SIGHUP twice, with the second file broken where that is said, and writes the right file afterwards.
    async fn reload(&self, is_second_broken: bool) {
        let ids = self.running_ids();
        let text = self.settings.to_string();
        let second = if is_second_broken { text[..text.len() / 2].to_owned() } else { text.clone() };
        for text in [&text, &second] {
            if std::fs::write(&self.launch.config, text).is_err() {
                return;
            }
            for id in &ids {
                signal_to(*id, "-HUP");
            }
            sleep(RELOAD_INTERVAL).await;
        }
        sleep(RELOADED_AFTER).await;
        if let Err(error) = std::fs::write(&self.launch.config, &text) {
            self.log_bad_exit(format!("the bed could not write a configuration: {error}"));
        }
    }

    // ---- Resources ----

    /// What the latest process holds.
    pub(super) async fn resource_usage(&self) -> Option<ResourceUsage> {
        self.processes.lock().await.last().and_then(Process::resource_usage)
    }

    /// Logs what the latest process holds more than it should, and guards that it reports as broken.
    pub(super) async fn compare_resources(&self, before: Option<ResourceUsage>) {
        let processes = self.processes.lock().await;
        let Some(process) = processes.last() else { return };
        if !self.is_paused_by_plan() {
            let stats = process.stats().await.unwrap_or_default();
            for line in stats.lines().filter(|line| line.contains(".guard_broken.") && !line.contains(":0|"))
            {
                self.log_leak(format!("by its own account {line}"));
            }
        }
        let Some(after) = process.resource_usage() else { return };
        if after.peak_kib > MAX_MEMORY_MB * 1_024 {
            self.log_leak(format!("{} KiB of memory at its peak", after.peak_kib));
        }
        let is_first_process = self.starts.load(Ordering::Relaxed) == 1;
        let Some(before) = before.filter(|_| is_first_process) else { return };
        if after.descriptors > before.descriptors + MAX_MORE_DESCRIPTORS {
            self.log_leak(format!("{} descriptors, {} at the start", after.descriptors, before.descriptors));
        }
        if after.threads != before.threads {
            self.log_leak(format!("{} threads, {} at the start", after.threads, before.threads));
        }
    }

    /// Whether the plan pauses a process: then it is late for all that it had open, and the oracle excuses that too.
    fn is_paused_by_plan(&self) -> bool {
        let is_pause =
            |fault: &Fault| matches!(fault.kind, FaultKind::Stop { dispatcher } if dispatcher == self.number);
        self.plan.faults.iter().any(is_pause)
    }

    fn log_leak(&self, what: String) {
        self.log(Observation::Leak { dispatcher: self.number, what });
    }
}

/// A socket that keeps an address taken, at which processes can listen.
fn reserve_address() -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// A dispatcher's configuration.
fn settings(agent: SocketAddr, listen: SocketAddr, number: usize, plan: &Plan, known: &Value) -> Value {
    let (dispatchers, objective_s) = (plan.processes, plan.objective_ms as f64 / 1e3);
    let deadline_s = plan.deadline_ms as f64 / 1e3;
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_s": objective_s, "give_up_s": deadline_s, "effect": effect, "group": "all",
            "worth": 2.0, "dedup_window_s": 0.4})
    };
    json!({"name": format!("n{number}"), "listen": listen, "discovery": agent, "admin_addr": "127.0.0.1:0",
        "seed": format!("{:016x}", number + 1),
        "limits": {"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": 512}, "known": known,
        "settings": {"balancers": dispatchers, "locality": 0, "failure_domains": ["a"],
            "kinds": ["prefill", "decode"],
            "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [100_000, 100_000],
                "release_within_s": 0.5, "resume": false},
            "lanes": [class("ask", "idempotent"), class("book", "at_most_once"),
                class("note", "deduplicated")],
            "rules": {"stop_sending_within_s": 1.0, "cold_from": 0.26, "cold_s": 14.0, "fall_multiple": 2.5,
                "fall_s": 1.5},
            "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 6.0, "max_attempts": 5,
                "max_retry_after_s": 1.0}, "resolution_s": 0.002}})
}
