//! Dispatcher processes: their start, readiness, signals, end and resource usage.

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

/// A process that is not ready within this time counts as one that never becomes ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a process is asked whether it is ready.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of connecting to the admin address, and of a call to it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the processes of a dispatcher are started with.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The dispatcher's executable, started as `run` of the deploy file does.
    pub program: PathBuf,
    /// The fault shim; `None` loads none, so that its rules have no effect.
    pub shim: Option<PathBuf>,
    /// The configuration file.
    pub config: PathBuf,
    /// The file that turns on the chat front; `None` leaves it off.
    pub fronts: Option<PathBuf>,
    /// `$TMPDIR` and working directory, shared by all processes of the dispatcher and kept between them.
    pub folder: PathBuf,
    /// Additional environment variables; the process inherits none.
    pub environment: Vec<(String, String)>,
}

/// Resources that a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Number of open file descriptors.
    pub descriptors: usize,
    /// Number of threads.
    pub threads: usize,
    /// Peak resident memory since the start of the process (KiB).
    pub peak_kib: u64,
}

/// A dispatcher process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// The process id.
    pub id: u32,
    child: Child,
    admin: watch::Receiver<Option<SocketAddr>>,
}

impl Launch {
    /// Starts a process with the given rules of the fault shim, if any. Its standard error is copied to `log_file`.
    ///
    /// # Errors
    /// The system's error if the process can't be started.
    pub fn start(&self, shim_rules: &str, log_file: &Path) -> std::io::Result<Process> {
        let mut child = self.command(shim_rules, log_file).spawn()?;
        let (sender, admin) = watch::channel(None);
        let id = child.id().unwrap_or(0);
        if let Some(stderr) = child.stderr.take() {
            tokio::spawn(copy_log(BufReader::new(stderr).lines(), log_file.to_owned(), sender));
        }
        Ok(Process { id, child, admin })
    }

    fn command(&self, shim_rules: &str, log_file: &Path) -> Command {
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&self.config).env_clear();
        if let Some(fronts) = &self.fronts {
            command.arg("--fronts").arg(fronts);
        }
        command.env("TMPDIR", &self.folder).envs(self.environment.iter().cloned());
        command.current_dir(&self.folder).stdin(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        if let Some(shim) = self.shim.as_ref().filter(|_| !shim_rules.is_empty()) {
            command.env("LD_PRELOAD", shim).env("FAULT_SHIM_PLAN", shim_rules);
            command.env("FAULT_SHIM_TRACE", log_file.with_extension("faults"));
        }
        command
    }
}

/// Copies a process's log to a file, and publishes the admin address that the process logs as `second address`.
async fn copy_log(
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
    // Losing the end of the log changes no result: the oracle does not read it.
    drop(file.flush().await);
}

/// Why a process that was told to end did not exit successfully.
#[derive(Debug, Error)]
pub enum ExitError {
    /// It exited with an error or was ended by a signal.
    #[error("told to end, it ended with {0}")]
    Status(ExitStatus),
    /// The system could not wait for its end.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// It did not exit within the given time.
    #[error("told to end, it ran on for {0:?}")]
    Timeout(Duration),
}

impl Process {
    /// Waits until the process is ready. Returns false if it ends before, or is not ready within [`READY_TIMEOUT`].
    pub async fn ready(&mut self) -> bool {
        let ready = async {
            let mut admin = self.admin.clone();
            let Ok(Some(address)) = admin.wait_for(Option::is_some).await.map(|address| *address) else {
                return std::future::pending().await;
            };
            loop {
                if call_admin(address, "READY\n").await.is_some_and(|response| response.starts_with("OK")) {
                    return;
                }
                sleep(READY_INTERVAL).await;
            }
        };
        tokio::select! {
            ready = timeout(READY_TIMEOUT, ready) => ready.is_ok(),
            _ = self.child.wait() => false,
        }
    }

    /// The response of the admin address to `STATS`; `None` if the process has not logged the address or does not
    /// respond.
    pub async fn stats(&self) -> Option<String> {
        let address = *self.admin.borrow();
        call_admin(address?, "STATS\n").await
    }

    /// Sends a signal, named as the `kill` command takes it (`-TERM`). Has no effect if the process has ended.
    pub fn signal(&self, signal: &str) {
        send_signal(self.id, signal);
    }

    /// The exit status of the process, as text; `None` while it runs.
    pub fn exited(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits for the process to exit successfully within a time.
    ///
    /// # Errors
    /// How it ended instead, or that it still runs.
    pub async fn exits_within(&mut self, time: Duration) -> Result<(), ExitError> {
        let Ok(status) = timeout(time, self.child.wait()).await else { return Err(ExitError::Timeout(time)) };
        match status? {
            status if status.success() => Ok(()),
            status => Err(ExitError::Status(status)),
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        // Fails only where the process has ended already.
        drop(self.child.kill().await);
    }

    /// The resources that the process holds now; `None` if `/proc` can't be read, for example as it has ended.
    #[must_use]
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let proc_dir = Path::new("/proc").join(self.id.to_string());
        let descriptors = std::fs::read_dir(proc_dir.join("fd")).ok()?.count();
        let status = std::fs::read_to_string(proc_dir.join("status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().split(' ').next()?.parse::<u64>().ok()
        };
        let threads = usize::try_from(field("Threads:")?).ok()?;
        Some(ResourceUsage { descriptors, threads, peak_kib: field("VmHWM:")? })
    }
}

/// Sends a signal to a process by its id, with the `kill` command.
pub fn send_signal(id: u32, signal: &str) {
    let result =
        std::process::Command::new("kill").args([signal, &id.to_string()]).stderr(Stdio::null()).status();
    drop(result); // fails where the process has ended already, which is no error
}

/// Sends a line to an admin address and returns the whole response. The first connection only tests the address:
/// [`until_close`] panics if it can't connect.
async fn call_admin(address: SocketAddr, line: &str) -> Option<String> {
    let connected = timeout(CALL_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
    drop(connected.ok()?.ok()?);
    timeout(CALL_TIMEOUT, until_close(address, line)).await.ok()
}
