//! A real dispatcher's process: started as the deploy file says, asked whether it is ready, and looked at through the
//! system's own figures.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

use super::{failed, Programs, RunError};

/// A dispatcher is ready in this time.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Between two questions whether it is ready.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// The system tells processor time in ticks of this many a second (`getconf CLK_TCK`, the same on all Linux machines).
const TICKS_PER_SECOND: f64 = 100.0;

/// Where a dispatcher listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    /// For clients.
    pub(super) listen: SocketAddr,
    /// For load gossip.
    pub(super) peers: SocketAddr,
}

/// Runs of this process so far: each has addresses of its own.
static RUNS: AtomicU32 = AtomicU32::new(0);
/// Addresses of real dispatchers begin so, then comes one of so many octets for a run.
const FIRST_OCTET: u8 = 127;
const SECOND_OCTETS: (u8, u32) = (100, 100);

/// Addresses that no other run has, nor any connection: a port that is free there stays so.
pub(super) fn reserve_addresses(count: u32) -> std::io::Result<Vec<Addresses>> {
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let (first, several) = SECOND_OCTETS;
    let second = first + (run % several) as u8;
    let third = (std::process::id() % 251) as u8;
    let reserve = |number: u32| {
        let ip = Ipv4Addr::new(FIRST_OCTET, second, third, 1 + number as u8);
        let stream = std::net::TcpListener::bind((ip, 0))?;
        let datagrams = std::net::UdpSocket::bind((ip, 0))?;
        Ok(Addresses { listen: stream.local_addr()?, peers: datagrams.local_addr()? })
    };
    (0..count).map(reserve).collect()
}

/// Processor time that a process has used, as of a moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    at: Instant,
    processor_s: f64,
}

impl Usage {
    /// The share of a core that it used since then.
    pub(super) fn share_since(&self, before: &Self) -> f64 {
        (self.processor_s - before.processor_s) / (self.at - before.at).as_secs_f64().max(1e-3)
    }
}

/// A dispatcher that runs; it is killed as this is dropped.
#[derive(Debug)]
pub(super) struct RealDispatcher {
    pub(super) number: u32,
    pub(super) addresses: Addresses,
    child: Child,
    pub(super) max_memory_bytes: u64,
    pub(super) max_descriptors: u64,
}

impl RealDispatcher {
    pub(super) async fn start(
        programs: &Programs,
        number: u32,
        addresses: Addresses,
        config: &Value,
    ) -> Result<Self, RunError> {
        let path = programs.scratch.join(format!("dispatcher-{}.json", addresses.listen));
        std::fs::write(&path, config.to_string()).map_err(failed(path.display().to_string()))?;
        let child = Command::new("sh")
            .args(["-c", &programs.dispatcher])
            .current_dir(&programs.folder)
            .env("ROUTER_CONFIG", &path)
            .env("RUST_LOG", "error")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(failed(programs.dispatcher.clone()))?;
        let mut dispatcher = Self { number, addresses, child, max_memory_bytes: 0, max_descriptors: 0 };
        dispatcher.until_ready().await?;
        Ok(dispatcher)
    }

    async fn until_ready(&mut self) -> Result<(), RunError> {
        let end = Instant::now() + READY_WITHIN;
        while Instant::now() < end {
            self.look()?;
            if matches!(timeout(ASK_INTERVAL * 10, is_ready(self.addresses.listen)).await, Ok(Ok(true))) {
                return Ok(());
            }
            sleep(ASK_INTERVAL).await;
        }
        Err(self.problem("not ready in 30 s"))
    }

    fn problem(&self, what: &str) -> RunError {
        RunError::Dispatcher { number: self.number, what: what.to_owned() }
    }

    /// Looks at memory and descriptors; an error once it has ended.
    pub(super) fn look(&mut self) -> Result<(), RunError> {
        if let Ok(Some(status)) = self.child.try_wait() {
            return Err(self.problem(&format!("ended: {status}")));
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

    fn folder(&self) -> Result<String, RunError> {
        let id = self.child.id().ok_or_else(|| self.problem("ended"))?;
        Ok(format!("/proc/{id}"))
    }

    /// Processor time by now.
    pub(super) fn usage(&self) -> Result<Usage, RunError> {
        let path = format!("{}/stat", self.folder()?);
        let text = std::fs::read_to_string(&path).map_err(failed(path))?;
        // The name, in brackets, may hold blanks; user and system time are the 12th and 13th field behind it.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        Ok(Usage { at: Instant::now(), processor_s: (ticks(11) + ticks(12)) / TICKS_PER_SECOND })
    }
}

async fn is_ready(at: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}
