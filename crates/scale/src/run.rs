//! A run of real dispatchers among hollow ones, in front of hollow replicas. It starts all processes, sends each
//! real dispatcher its share of the requests, and reports the resources that each used. All processes that a run
//! starts end with it.

mod client;
mod limits;
mod platform;
mod process;
mod report;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use dewladder_test_peers::Agent;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, Instant};

use crate::hollow::{DispatcherOptions, DispatchersHandle, HollowError, ReplicaOptions, ReplicasHandle};
use crate::results::RunEvent;
use client::Clients;
pub use limits::LimitError;
use process::{Addresses, RealDispatcher, Usage};
use report::Observed;
pub use report::Report;

/// The zone whose servers are lost in a run with [`RunEvent::Zone`].
const LOST_ZONE: u32 = 1;
/// Time from the loss of the zone to its return.
const ZONE_LOSS_DURATION: Duration = Duration::from_secs(5);
/// How often the resources of the real dispatchers are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Progress is reported after each group of this many samples.
const SAMPLES_PER_MESSAGE: u32 = 10;
/// Utilization of the readers at the target's peak load; the capacity of the replicas is computed from it.
const PEAK_UTILIZATION: f64 = 0.7;
/// How long a run waits for open requests after the end of load, beyond the duration of a stream.
const COMPLETION_GRACE: Duration = Duration::from_secs(8);

/// The size and the load of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOptions {
    /// Number of replicas.
    pub servers: u32,
    /// Number of dispatchers, real and hollow.
    pub dispatchers: u32,
    /// Number of real dispatchers.
    pub real: u32,
    /// Duration of the load (s).
    pub seconds: u64,
    /// Requests a second to each real dispatcher.
    pub requests: u32,
    /// Number of request classes.
    pub classes: u32,
    /// Events with a token in each answer.
    pub events: u32,
    /// Time between two events (ms).
    pub event_ms: u64,
    /// Descriptor limit in the configuration of each real dispatcher.
    pub descriptors: u32,
    /// Memory limit in the configuration of each real dispatcher (MB).
    pub memory_mb: u64,
    /// What happens to the servers during the run.
    pub event: RunEvent,
}

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Shell command that starts a real dispatcher, as in `run` of the deploy file.
    pub dispatcher: String,
    /// Working directory of that command.
    pub folder: PathBuf,
    /// Program with the sub-commands `hollow-replicas` and `hollow-dispatchers`.
    pub hollow: PathBuf,
    /// Directory for the configuration files of the real dispatchers.
    pub scratch: PathBuf,
}

/// Why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// The machine is too small for the run.
    #[error(transparent)]
    Limit(#[from] LimitError),
    /// A hollow process failed.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A call to the system failed.
    #[error("{detail}: {error}")]
    Io {
        /// The path, command or resource that it failed for.
        detail: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// A real dispatcher did not become ready, or ended early.
    #[error("dispatcher {number}: {detail}")]
    Dispatcher {
        /// Its number, from 0 on.
        number: u32,
        /// What happened to it.
        detail: String,
    },
    /// The run was interrupted by SIGINT.
    #[error("interrupted by SIGINT")]
    Interrupted,
}

impl RunOptions {
    /// Time from the first event of an answer to the last one with a token.
    fn stream(&self) -> Duration {
        Duration::from_millis(u64::from(self.events.saturating_sub(1)) * self.event_ms)
    }

    /// Options of the replicas, with the capacity at which the requests of all dispatchers reach the peak
    /// utilization.
    fn replicas(&self) -> ReplicaOptions {
        let readers = f64::from(self.servers) * f64::from(crate::shape::READERS_PER_CELL)
            / f64::from(crate::shape::SERVERS_PER_CELL);
        let total_requests = f64::from(self.dispatchers) * f64::from(self.requests);
        ReplicaOptions {
            servers: self.servers,
            read_ms: 150,
            first_token_ms: 60,
            events: self.events,
            event_ms: self.event_ms,
            capacity: total_requests / readers.max(1.0) / PEAK_UTILIZATION,
            real_share: f64::from(self.real) / f64::from(self.dispatchers),
            cold_from: platform::SLOW_START_MIN_SHARE,
            cold_ms: platform::SLOW_START_WINDOW_S * 1_000,
            fall_multiple: platform::OVERLOAD_MULTIPLE,
            fall_window_ms: platform::OVERLOAD_WINDOW_S * 1_000,
        }
    }
}

/// Runs the fleet under load until the run ends or is interrupted; `on_progress` is called with lines on its
/// progress.
///
/// # Errors
/// See [`RunError`]. All processes that the run started are killed.
pub async fn run(
    options: RunOptions,
    programs: &Programs,
    on_progress: impl Fn(&str),
) -> Result<Report, RunError> {
    limits::check(&options)?;
    tokio::select! {
        report = execute(options, programs, &on_progress) => report,
        _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
    }
}

/// Turns an I/O error into a [`RunError`] that names the path, command or resource.
fn io_error(detail: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
    let detail = detail.into();
    move |error| RunError::Io { detail, error }
}

/// Starts the fleet, puts it under load, and reports on it.
async fn execute(
    options: RunOptions,
    programs: &Programs,
    on_progress: &impl Fn(&str),
) -> Result<Report, RunError> {
    let mut run = Run::start(options, programs, on_progress).await?;
    let mut load = JoinSet::new();
    for clients in &run.clients {
        load.spawn(clients.clone().load());
    }
    let observed = run.observe(on_progress).await?;
    let grace = options.stream() + COMPLETION_GRACE;
    tokio::select! {
        () = async { while load.join_next().await.is_some() {} } => {}
        () = sleep(grace) => on_progress("some requests did not end in time"),
    }
    let ledger = run.replicas.ledger().await?;
    Ok(run.report(&observed, ledger))
}

/// Everything that a run has started; dropping it kills the processes.
struct Run {
    options: RunOptions,
    replicas: ReplicasHandle,
    list: platform::List,
    agent: Agent,
    dispatchers: DispatchersHandle,
    real: Vec<RealDispatcher>,
    /// The clients of each real dispatcher, in the order of `real`.
    clients: Vec<Arc<Clients>>,
}

/// Progress of the zone loss in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneLoss {
    /// The run has no zone loss, or the zone has returned.
    None,
    /// The zone is still to be lost.
    Pending,
    /// The zone is lost and still to return.
    Lost,
}

impl Run {
    /// Starts the replicas, the discovery agent and the dispatchers, and waits until all are ready.
    async fn start(
        options: RunOptions,
        programs: &Programs,
        on_progress: &impl Fn(&str),
    ) -> Result<Self, RunError> {
        let replicas = ReplicasHandle::start(&programs.hollow, &options.replicas()).await?;
        on_progress(&format!("{} hollow replicas listen", replicas.addresses.len()));
        let list = platform::List::new(replicas.addresses.clone());
        let agent = Agent::start(list.full()).await;
        let addresses = process::reserve_addresses(options.real).map_err(io_error("ports"))?;
        let hollow = DispatcherOptions {
            dispatchers: options.dispatchers - options.real,
            real: addresses.iter().map(|addresses| addresses.peers).collect(),
            servers: (0..options.servers).map(platform::server_id).collect(),
        };
        let dispatchers = DispatchersHandle::start(&programs.hollow, &hollow).await?;
        let mut real = Vec::new();
        for (number, own) in (0..).zip(addresses) {
            let config = platform::config(&options, number, &own, agent.address, dispatchers.address, &list);
            real.push(RealDispatcher::start(programs, number, own, &config).await?);
        }
        on_progress(&format!(
            "{} real dispatchers are ready among {} hollow ones",
            real.len(),
            hollow.dispatchers
        ));
        let clients = real
            .iter()
            .map(|real| Arc::new(Clients::new(options, real.number, real.addresses.listen)))
            .collect();
        Ok(Self { options, replicas, list, agent, dispatchers, real, clients })
    }

    /// Samples the resources of the real dispatchers while the load lasts, and has the run's event happen.
    async fn observe(&mut self, on_progress: &impl Fn(&str)) -> Result<Observed, RunError> {
        let gossip_before = self.dispatchers.ledger().await?;
        let start = Instant::now();
        let seconds = Duration::from_secs(self.options.seconds);
        let steady = start + self.options.stream().min(seconds / 2);
        let end = start + seconds;
        let lost_at = start + seconds / 3;
        let mut zone = match self.options.event {
            RunEvent::Zone => ZoneLoss::Pending,
            RunEvent::None => ZoneLoss::None,
        };
        let mut usage_before: Vec<Option<Usage>> = vec![None; self.real.len()];
        let mut samples_taken = 0;
        let mut ticks = interval(SAMPLE_INTERVAL);
        while Instant::now() < end {
            ticks.tick().await;
            let now = Instant::now();
            zone = self.advance_zone_loss(zone, lost_at, now, on_progress).await?;
            for (real, usage) in self.real.iter_mut().zip(&mut usage_before) {
                real.sample_resources()?;
                if now >= steady && usage.is_none() {
                    *usage = Some(real.usage()?);
                }
            }
            samples_taken += 1;
            if samples_taken % SAMPLES_PER_MESSAGE == 0 {
                let open_requests: u64 = self.clients.iter().map(|clients| clients.open_requests()).sum();
                on_progress(&format!("{} s: {open_requests} requests open", (now - start).as_secs()));
            }
        }
        let mut usage_after = Vec::new();
        for real in &self.real {
            usage_after.push(real.usage()?);
        }
        let gossip_after = self.dispatchers.ledger().await?;
        Ok(Observed { gossip_before, gossip_after, usage_before, usage_after, steady_for: end - steady })
    }

    /// Loses the zone or brings it back if that is due, and returns the new progress.
    async fn advance_zone_loss(
        &mut self,
        zone: ZoneLoss,
        lost_at: Instant,
        now: Instant,
        on_progress: &impl Fn(&str),
    ) -> Result<ZoneLoss, RunError> {
        match zone {
            ZoneLoss::Pending if now >= lost_at => {
                self.agent.tells(Some(self.list.without_zone(LOST_ZONE)));
                self.replicas.lose_zone(LOST_ZONE).await?;
                on_progress("a zone is lost");
                Ok(ZoneLoss::Lost)
            }
            ZoneLoss::Lost if now >= lost_at + ZONE_LOSS_DURATION => {
                self.replicas.restart_zone(LOST_ZONE).await?;
                self.agent.tells(Some(self.list.with_zone_restarted(LOST_ZONE)));
                on_progress("the zone is back, in slow start");
                Ok(ZoneLoss::None)
            }
            _ => Ok(zone),
        }
    }
}

/// Reads the shell command that starts a dispatcher from `run` in a deploy file.
///
/// # Errors
/// The file can't be read or has no `run`.
pub fn run_command(deploy: &Path) -> Result<String, RunError> {
    let text = std::fs::read_to_string(deploy).map_err(io_error(deploy.display().to_string()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|rest| rest.split('"').next()).map(str::to_owned);
    line.ok_or_else(|| io_error(deploy.display().to_string())(std::io::ErrorKind::InvalidData.into()))
}

/// The configuration of a dispatcher in a fleet of this size as text, with the whole list of servers as `known`.
#[must_use]
pub fn configuration_text(servers: u32, dispatchers: u32, classes: u32) -> String {
    let address = |server: u32| {
        let ip = std::net::Ipv4Addr::new(10, 77, (server / 250) as u8, (1 + server % 250) as u8);
        std::net::SocketAddr::from((ip, 8_080))
    };
    let list = platform::List::new((0..servers).map(address).collect());
    let options = RunOptions {
        servers,
        dispatchers,
        real: 1,
        seconds: 60,
        requests: 43,
        classes,
        events: 250,
        event_ms: 32,
        descriptors: 2_048,
        memory_mb: 256,
        event: RunEvent::None,
    };
    let own = Addresses { listen: address(0), peers: address(1) };
    platform::config(&options, 0, &own, address(2), address(3), &list).to_string()
}
