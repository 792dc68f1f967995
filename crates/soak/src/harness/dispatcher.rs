//! One dispatcher of a run: starts and ends its processes, injects the faults that affect processes, and compares the
//! resources that they hold.

mod resources;
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
use crate::process::{send_signal, Launch, Process};

/// A process that was told to end exits within this time: the longest deadline (taken as 3 s), the time that a release
/// may take, and one second of slack.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum time for which a process is paused (ms).
const MAX_PAUSE_MS: u64 = 2_000;
/// Interval at which [`Dispatcher::watch_processes`] checks for exited processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the two SIGHUPs of a reload, and between SIGTERM and a SIGHUP during the shutdown.
const RELOAD_INTERVAL: Duration = Duration::from_millis(10);
/// A process has read its configuration file this long after the SIGHUP.
const RELOADED_AFTER: Duration = Duration::from_millis(200);

/// One dispatcher of a run, with its processes.
pub(super) struct Dispatcher {
    pub(super) index: usize,
    pub(super) address: SocketAddr,
    /// The address of its chat front; `None` if it is off.
    pub(super) chat_address: Option<SocketAddr>,
    launch: Launch,
    plan: Arc<Plan>,
    event_log: EventLog,
    folder: PathBuf,
    /// The valid content of its configuration file.
    settings: Value,
    /// Bound to the dispatcher's addresses but not listening: they reserve the addresses while processes start and end.
    _reserved: Vec<Socket>,
    processes: Mutex<Vec<Process>>,
    /// Held during each planned end or replacement of processes, so that only one is in progress.
    lifecycle: Mutex<()>,
    /// Ids of all processes that are expected to run. It has a lock of its own, so that signals need not wait for
    /// a start or an end in progress.
    expected_running: std::sync::Mutex<Vec<u32>>,
    start_count: AtomicUsize,
}

impl Dispatcher {
    /// Creates the dispatcher's directory, address and configuration, but starts no process. `server_list` is the list
    /// of servers that the configuration contains.
    pub(super) fn new(
        index: usize,
        plan: &Arc<Plan>,
        event_log: &EventLog,
        options: &Options,
        folder: &Path,
        agent: SocketAddr,
        server_list: &Value,
    ) -> std::io::Result<Self> {
        let folder = folder.join(format!("n{index}"));
        let shared = folder.join("shared");
        std::fs::create_dir_all(&shared)?;
        let (reserved, address) = reserve_address()?;
        let mut reserved = vec![reserved];
        let (mut chat_address, mut fronts) = (None, None);
        if plan.has_chat_clients() {
            let (reserved_for_chat, address) = reserve_address()?;
            reserved.push(reserved_for_chat);
            chat_address = Some(address);
            let path = folder.join("fronts.toml");
            std::fs::write(&path, chat_front(address))?;
            fronts = Some(path);
        }
        let settings = settings(agent, address, index, plan, server_list);
        let config = folder.join("config.json");
        std::fs::write(&config, settings.to_string())?;
        let launch = Launch {
            program: options.program.clone(),
            shim: options.shim.clone(),
            config,
            fronts,
            folder: shared,
            environment: options.environment.clone(),
        };
        Ok(Self {
            index,
            address,
            chat_address,
            launch,
            plan: plan.clone(),
            event_log: event_log.clone(),
            folder,
            settings,
            _reserved: reserved,
            processes: Mutex::default(),
            lifecycle: Mutex::default(),
            expected_running: std::sync::Mutex::default(),
            start_count: AtomicUsize::new(0),
        })
    }

    fn log(&self, observation: Observation) {
        self.event_log.write(0, observation);
    }

    fn log_bad_exit(&self, what: impl Into<String>) {
        self.log(Observation::BadExit { dispatcher: self.index, what: what.into() });
    }

    fn log_outage(&self, until_us: u64, killed: bool) {
        self.log(Observation::PlannedOutage { dispatcher: self.index, until: until_us, killed });
    }

    fn expected_running(&self) -> MutexGuard<'_, Vec<u32>> {
        self.expected_running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expected_ids(&self) -> Vec<u32> {
        self.expected_running().clone()
    }

    /// Whether a process is expected to run: it is not once the plan has ended or killed it, or once its unplanned exit
    /// has been logged.
    fn is_expected_to_run(&self, id: u32) -> bool {
        self.expected_running().contains(&id)
    }

    /// Marks a process as no longer expected to run.
    fn expect_exit(&self, id: u32) {
        self.expected_running().retain(|one| *one != id);
    }

    /// Sends a signal to all processes that are expected to run, and returns their ids.
    fn signal_all(&self, signal: &str) -> Vec<u32> {
        let ids = self.expected_ids();
        for id in &ids {
            send_signal(*id, signal);
        }
        ids
    }

    // ---- Starting and ending ----

    /// Starts a process and waits until it is ready.
    pub(super) async fn start(&self) {
        let start_number = self.start_count.fetch_add(1, Ordering::Relaxed);
        let rules = self.plan.shim_rules(self.index, start_number == 0);
        let log_file = self.folder.join(format!("log-{start_number}"));
        self.log(Observation::Started { dispatcher: self.index });
        let mut process = match self.launch.start(&rules, &log_file) {
            Ok(process) => process,
            Err(error) => return self.log_bad_exit(format!("could not be started: {error}")),
        };
        self.expected_running().push(process.id);
        if process.ready().await {
            self.log(Observation::Ready { dispatcher: self.index });
        } else if self.is_expected_to_run(process.id) {
            // A process that the plan killed meanwhile is not at fault.
            match process.exited() {
                Some(status) => self.log_bad_exit(format!("not ready: it ended with {status}")),
                None => self.log_bad_exit("not ready in 10 s"),
            }
        }
        if self.is_expected_to_run(process.id) && process.exited().is_none() {
            self.processes.lock().await.push(process);
        }
    }

    /// Sends SIGTERM to processes and waits for their end.
    async fn shut_down(&self, processes: Vec<Process>) {
        for process in &processes {
            process.signal("-TERM");
        }
        self.await_exit(processes).await;
    }

    /// Waits for the end of processes that were just sent SIGTERM, and kills those that do not exit in time.
    async fn await_exit(&self, processes: Vec<Process>) {
        if self.plan.kills_at_earliest {
            return self.kill_at_earliest(processes).await;
        }
        for mut process in processes {
            let exited = process.exits_within(SHUTDOWN_TIMEOUT).await;
            let was_expected_to_run = self.is_expected_to_run(process.id);
            self.expect_exit(process.id);
            let Err(error) = exited else { continue };
            if was_expected_to_run {
                self.log_bad_exit(error.to_string());
            }
            process.kill().await;
        }
    }

    async fn take_processes(&self) -> Vec<Process> {
        std::mem::take(&mut *self.processes.lock().await)
    }

    /// Shuts down all processes, once no other planned end is in progress.
    pub(super) async fn shut_down_all(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        let all = self.take_processes().await;
        self.shut_down(all).await;
    }

    /// Logs processes that end by themselves, until a time (ms since the start of the run).
    pub(super) async fn watch_processes(self: Arc<Self>, until_ms: u64) {
        while self.event_log.now() / 1_000 < until_ms {
            sleep(WATCH_INTERVAL).await;
            for (id, status) in self.remove_exited().await {
                if self.is_expected_to_run(id) {
                    self.expect_exit(id);
                    self.log_bad_exit(format!("ended by itself with {status}"));
                }
            }
        }
    }

    /// Removes the processes that have exited, and returns their ids and exit statuses.
    async fn remove_exited(&self) -> Vec<(u32, String)> {
        let mut exited = Vec::new();
        self.processes.lock().await.retain_mut(|process| match process.exited() {
            Some(status) => {
                exited.push((process.id, status));
                false
            }
            None => true,
        });
        exited
    }

    // ---- Faults ----

    /// Waits for a fault's time and injects it, if it affects processes. Clients, servers and agents apply the others
    /// themselves.
    pub(super) async fn inject(self: Arc<Self>, fault: Fault) {
        sleep_until(self.event_log.instant(fault.from_ms)).await;
        match fault.kind {
            FaultKind::Upgrade { .. } => self.upgrade().await,
            FaultKind::Restart { .. } => self.restart().await,
            FaultKind::Kill { .. } => self.kill().await,
            FaultKind::Stop { .. } => self.pause(fault.to_ms.min(fault.from_ms + MAX_PAUSE_MS)).await,
            FaultKind::Reload { broken, .. } => self.reload(broken).await,
            FaultKind::Signals { series, .. } => self.signal_series(series).await,
            FaultKind::LargeBodies { .. } | FaultKind::Pipelining { .. } => {
                self.check_memory_at(fault.to_ms).await;
            }
            _ => {}
        }
    }

    async fn upgrade(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        let old = self.take_processes().await;
        self.start().await;
        self.shut_down(old).await;
    }

    async fn restart(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        let old = self.take_processes().await;
        self.shut_down(old).await;
        self.start().await;
    }

    async fn pause(&self, until_ms: u64) {
        self.log_outage(until_ms * 1_000, false);
        let paused = self.signal_all("-STOP");
        sleep_until(self.event_log.instant(until_ms)).await;
        for id in paused {
            send_signal(id, "-CONT");
        }
    }

    async fn kill(&self) {
        self.log_outage(self.event_log.now(), true);
        let ids = self.expected_ids();
        for id in &ids {
            self.expect_exit(*id);
            send_signal(*id, "-KILL");
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

    /// Sends SIGHUP twice, each after writing the configuration file; the second file may be truncated, and so invalid.
    /// Restores the valid file afterwards.
    async fn reload(&self, is_second_broken: bool) {
        let ids = self.expected_ids();
        let text = self.settings.to_string();
        let second = if is_second_broken { text[..text.len() / 2].to_owned() } else { text.clone() };
        for text in [&text, &second] {
            if std::fs::write(&self.launch.config, text).is_err() {
                return;
            }
            for id in &ids {
                send_signal(*id, "-HUP");
            }
            sleep(RELOAD_INTERVAL).await;
        }
        sleep(RELOADED_AFTER).await;
        if let Err(error) = std::fs::write(&self.launch.config, &text) {
            self.log_bad_exit(format!("the harness could not write a configuration: {error}"));
        }
    }
}

/// Binds a socket to a free port without listening, so that nothing else takes the port. Processes can listen on the
/// port, as `SO_REUSEPORT` is set.
fn reserve_address() -> std::io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

/// The settings of a chat front that recognizes repeats, and lets bookings go on for a while whose clients have left.
fn chat_front(address: SocketAddr) -> String {
    format!(
        "[chat]\nenabled = true\nlisten = \"{address}\"\nmost_open = 1000\n[chat.models]\nkiln-book = \"book\"\n\
         [chat.repeats]\nenabled = true\nafter_start_s = 0.0\nlinger_s = 5.0\nbudget_most_saved = 100000\n"
    )
}

/// The content of a dispatcher's configuration file.
fn settings(agent: SocketAddr, listen: SocketAddr, index: usize, plan: &Plan, server_list: &Value) -> Value {
    let (dispatchers, objective_s) = (plan.processes, plan.objective_ms as f64 / 1e3);
    let deadline_s = plan.deadline_ms as f64 / 1e3;
    let rules = slow_start_rules(plan);
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_s": objective_s, "give_up_s": deadline_s, "effect": effect, "group": "all",
            "worth": 2.0, "dedup_window_s": 0.4})
    };
    json!({"name": format!("n{index}"), "listen": listen, "discovery": agent, "admin_addr": "127.0.0.1:0",
        "seed": format!("{:016x}", index + 1),
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets}, "known": server_list,
        "settings": {"balancers": dispatchers, "locality": 0, "failure_domains": ["a"],
            "kinds": ["prefill", "decode"],
            "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [100_000, 100_000],
                "release_within_s": 0.5, "resume": false},
            "lanes": [class("ask", "idempotent"), class("book", "at_most_once"),
                class("note", "deduplicated")],
            "weights": "nominal", "rules": rules,
            "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 6.0, "max_attempts": 5,
                "max_retry_after_s": 1.0}, "resolution_s": 0.002}})
}

/// The rules in a dispatcher's settings, with the figures of the plan's slow start.
fn slow_start_rules(plan: &Plan) -> Value {
    match plan.slow_start {
        Some(slow_start) => json!({"stop_sending_within_s": 1.0, "cold_from": slow_start.min_share,
            "cold_s": slow_start.warm_after_ms as f64 / 1e3, "fall_multiple": slow_start.overload_multiple,
            "fall_s": slow_start.window_ms as f64 / 1e3}),
        None => json!({"stop_sending_within_s": 1.0, "cold_from": 0.26, "cold_s": 14.0, "fall_multiple": 2.5,
            "fall_s": 1.5}),
    }
}
