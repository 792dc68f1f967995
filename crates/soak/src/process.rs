//! Processes of a dispatcher: their start, signals, and what they hold.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use dewladder_test_peers::until_close;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A process is ready by then, or it counts as one that never was.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// How often a process is asked whether it is ready.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// A call of the second address ends within this.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program, as `run` of the deploy file starts it.
    pub program: PathBuf,
    /// The fault shim, where one is loaded.
    pub shim: Option<PathBuf>,
    /// Its configuration.
    pub config: PathBuf,
    /// `$TMPDIR`, which lasts.
    pub folder: PathBuf,
    /// What is added to its environment.
    pub environment: Vec<(String, String)>,
}

/// The resources that a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Open descriptors.
    pub descriptors: usize,
    /// Threads.
    pub threads: usize,
    /// The most memory so far (KiB).
    pub peak_kib: u64,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    /// Its system id.
    pub id: u32,
    child: Child,
    admin: watch::Receiver<Option<SocketAddr>>,
}

impl Launch {
    /// Starts a process with these rules of the fault shim; its log goes to a file.
    ///
    /// # Errors
    /// What the system says.
    pub fn start(&self, shim_rules: &str, log_file: &Path) -> std::io::Result<Process> {
        let mut child = self.command(shim_rules, log_file).spawn()?;
        let (sender, admin) = watch::channel(None);
        let id = child.id().unwrap_or(0);
        if let Some(stderr) = child.stderr.take() {
            tokio::spawn(keep_log(BufReader::new(stderr).lines(), log_file.to_owned(), sender));
        }
        Ok(Process { id, child, admin })
    }

    fn command(&self, shim_rules: &str, log_file: &Path) -> Command {
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&self.config).env_clear();
        command.env("TMPDIR", &self.folder).envs(self.environment.iter().cloned());
        command.current_dir(&self.folder).stdin(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        if let Some(shim) = self.shim.as_ref().filter(|_| !shim_rules.is_empty()) {
            command.env("LD_PRELOAD", shim).env("FAULT_SHIM_PLAN", shim_rules);
            command.env("FAULT_SHIM_TRACE", log_file.with_extension("faults"));
        }
        command
    }
}

/// Writes a process's log to a file, and tells the second address that it names.
async fn keep_log(
    mut lines: Lines<BufReader<ChildStderr>>,
    log_file: PathBuf,
    admin: watch::Sender<Option<SocketAddr>>,
) {
    let Ok(mut file) = tokio::fs::File::create(&log_file).await else { return };
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some((_, address)) = line.split_once("second address: ") {
            admin.send_replace(address.parse().ok());
        }
        if file.write_all(format!("{line}\n").as_bytes()).await.is_err() {
            return;
        }
    }
    // A log that is lost at its end changes no result.
    drop(file.flush().await);
}

/// Why a process did not end in good order.
#[derive(Debug, Error)]
pub enum EndError {
    /// It ended with an error or by a signal.
    #[error("told to end, it ended with {0}")]
    Status(ExitStatus),
    /// Its end could not be waited for.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// It did not end in time.
    #[error("told to end, it ran on for {0:?}")]
    Timeout(Duration),
}

impl Process {
    /// Waits until it is ready; whether it is in time.
    pub async fn ready(&mut self) -> bool {
        let ready = async {
            let mut admin = self.admin.clone();
            let Ok(Some(address)) = admin.wait_for(Option::is_some).await.map(|address| *address) else {
                return std::future::pending().await;
            };
            loop {
                if call(address, "READY\n").await.is_some_and(|said| said.starts_with("OK")) {
                    return;
                }
                sleep(READY_INTERVAL).await;
            }
        };
        tokio::select! {
            ready = timeout(READY_WITHIN, ready) => ready.is_ok(),
            _ = self.child.wait() => false,
        }
    }

    /// What its second address says to `STATS`.
    pub async fn stats(&self) -> Option<String> {
        let address = *self.admin.borrow();
        call(address?, "STATS\n").await
    }

    /// Sends a signal by the `kill` command; one that has ended gets none.
    pub fn signal(&self, signal: &str) {
        signal_to(self.id, signal);
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits for its end in good order, for so long.
    ///
    /// # Errors
    /// How it ended instead, or that it did not.
    pub async fn ends_within(&mut self, time: Duration) -> Result<(), EndError> {
        let Ok(status) = timeout(time, self.child.wait()).await else { return Err(EndError::Timeout(time)) };
        match status? {
            status if status.success() => Ok(()),
            status => Err(EndError::Status(status)),
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        // One that has ended by itself needs no kill.
        drop(self.child.kill().await);
    }

    /// The resources that it holds now.
    #[must_use]
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let of = Path::new("/proc").join(self.id.to_string());
        let descriptors = std::fs::read_dir(of.join("fd")).ok()?.count();
        let status = std::fs::read_to_string(of.join("status")).ok()?;
        let number = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().split(' ').next()?.parse::<u64>().ok()
        };
        let threads = usize::try_from(number("Threads:")?).ok()?;
        Some(ResourceUsage { descriptors, threads, peak_kib: number("VmHWM:")? })
    }
}

/// Sends a signal to a process by its id.
pub fn signal_to(id: u32, signal: &str) {
    let told =
        std::process::Command::new("kill").args([signal, &id.to_string()]).stderr(Stdio::null()).status();
    drop(told); // one that has ended gets none
}

async fn call(address: SocketAddr, line: &str) -> Option<String> {
    let connected = timeout(CALL_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
    drop(connected.ok()?.ok()?);
    timeout(CALL_TIMEOUT, until_close(address, line)).await.ok()
}
