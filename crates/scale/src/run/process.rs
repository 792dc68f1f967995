//! A real dispatcher's process: started by the command of the deploy file, polled until it is ready, and observed
//! through `/proc`.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

use super::{io_error, Programs, RunError};

/// A dispatcher that is not ready after this time fails the run.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks whether a dispatcher is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks a second in which the system counts processor time (`getconf CLK_TCK`, the same on all Linux machines).
const TICKS_PER_SECOND: f64 = 100.0;

/// Listen addresses of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    /// For clients.
    pub(super) listen: SocketAddr,
    /// For load gossip.
    pub(super) peers: SocketAddr,
}

/// Number of runs that this process has started; each run gets addresses of its own.
static RUNS: AtomicU32 = AtomicU32::new(0);
/// First octet of the real dispatchers' addresses.
const FIRST_OCTET: u8 = 127;
/// Range of the second octet, as its start and its length; consecutive runs of this process use consecutive
/// values.
const SECOND_OCTETS: (u8, u32) = (100, 100);

/// Picks listen addresses on IP addresses that no other run and no connection uses, so that a port that is free
/// stays free until the dispatcher binds it. The process id is the third octet, to part concurrent processes.
pub(super) fn reserve_addresses(count: u32) -> std::io::Result<Vec<Addresses>> {
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let (first_second_octet, second_octet_count) = SECOND_OCTETS;
    let second = first_second_octet + (run % second_octet_count) as u8;
    let third = (std::process::id() % 251) as u8;
    let reserve = |number: u32| {
        let ip = Ipv4Addr::new(FIRST_OCTET, second, third, 1 + number as u8);
        let stream = std::net::TcpListener::bind((ip, 0))?;
        let datagrams = std::net::UdpSocket::bind((ip, 0))?;
        Ok(Addresses { listen: stream.local_addr()?, peers: datagrams.local_addr()? })
    };
    (0..count).map(reserve).collect()
}

/// Processor time that a process had used at a point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    at: Instant,
    cpu_s: f64,
}

impl Usage {
    /// Share of one core that the process used since `before`.
    pub(super) fn core_share_since(&self, before: &Self) -> f64 {
        (self.cpu_s - before.cpu_s) / (self.at - before.at).as_secs_f64().max(1e-3)
    }
}

/// A running dispatcher, which is killed when this is dropped.
#[derive(Debug)]
pub(super) struct RealDispatcher {
    pub(super) number: u32,
    pub(super) addresses: Addresses,
    child: Child,
    /// Highest resident memory among the samples.
    pub(super) max_memory_bytes: u64,
    /// Highest number of open descriptors among the samples.
    pub(super) max_descriptors: u64,
}

impl RealDispatcher {
    /// Writes the configuration, starts the dispatcher, and waits until it is ready.
    pub(super) async fn start(
        programs: &Programs,
        number: u32,
        addresses: Addresses,
        config: &Value,
    ) -> Result<Self, RunError> {
        let path = programs.scratch.join(format!("dispatcher-{}.json", addresses.listen));
        std::fs::write(&path, config.to_string()).map_err(io_error(path.display().to_string()))?;
        let child = Command::new("sh")
            .args(["-c", &programs.dispatcher])
            .current_dir(&programs.folder)
            .env("ROUTER_CONFIG", &path)
            .env("RUST_LOG", "error")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(io_error(programs.dispatcher.clone()))?;
        let mut dispatcher = Self { number, addresses, child, max_memory_bytes: 0, max_descriptors: 0 };
        dispatcher.wait_until_ready().await?;
        Ok(dispatcher)
    }

    async fn wait_until_ready(&mut self) -> Result<(), RunError> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            self.sample_resources()?;
            if matches!(
                timeout(READY_POLL_INTERVAL * 10, is_ready(self.addresses.listen)).await,
                Ok(Ok(true))
            ) {
                return Ok(());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Err(self.failure("not ready in 30 s"))
    }

    fn failure(&self, detail: &str) -> RunError {
        RunError::Dispatcher { number: self.number, detail: detail.to_owned() }
    }

    /// Samples memory and descriptors; an error if the process has ended.
    pub(super) fn sample_resources(&mut self) -> Result<(), RunError> {
        if let Ok(Some(status)) = self.child.try_wait() {
            return Err(self.failure(&format!("ended: {status}")));
        }
        let folder = self.folder()?;
        let status = std::fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        self.max_memory_bytes = self.max_memory_bytes.max(kilobytes.unwrap_or(0) * 1_024);
        let descriptors =
            std::fs::read_dir(format!("{folder}/fd")).map_or(0, |entries| entries.count() as u64);
        self.max_descriptors = self.max_descriptors.max(descriptors);
        Ok(())
    }

    /// The directory of the process in `/proc`.
    fn folder(&self) -> Result<String, RunError> {
        let id = self.child.id().ok_or_else(|| self.failure("ended"))?;
        Ok(format!("/proc/{id}"))
    }

    /// Processor time that the process has used so far.
    pub(super) fn usage(&self) -> Result<Usage, RunError> {
        let path = format!("{}/stat", self.folder()?);
        let text = std::fs::read_to_string(&path).map_err(io_error(path))?;
        // The process name, in parentheses, may contain spaces. User and system time are the 12th and 13th field
        // after it.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        Ok(Usage { at: Instant::now(), cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_SECOND })
    }
}

async fn is_ready(at: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}
