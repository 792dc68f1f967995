//! A run of real dispatchers among hollow ones, before hollow replicas: starts all, sends each real one its share of
//! requests, and reports what each used. Whatever it has started ends with it.

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

/// The zone that is lost in [`RunEvent::Zone`].
const LOST_ZONE: u32 = 1;
/// How long it is lost.
const LOST_FOR: Duration = Duration::from_secs(5);
/// How often the resources of processes are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Progress is reported after so many looks.
const LOOKS_PER_MESSAGE: u32 = 10;
/// Load at the target's peak, as a part of what servers bear.
const PEAK_LOAD: f64 = 0.7;
/// Clients are waited for so long beyond the longest answer.
const GRACE: Duration = Duration::from_secs(8);

/// What is run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOptions {
    /// Replicas.
    pub servers: u32,
    /// Dispatchers in all.
    pub dispatchers: u32,
    /// Those of them that are real.
    pub real: u32,
    /// How long load lasts (s).
    pub seconds: u64,
    /// Requests a second to each real one.
    pub requests: u32,
    /// Classes of requests.
    pub classes: u32,
    /// Events of an answer.
    pub events: u32,
    /// Time between two events (ms).
    pub event_ms: u64,
    /// Descriptors of each real one.
    pub descriptors: u32,
    /// Memory of each real one (MB).
    pub memory_mb: u64,
    /// What happens.
    pub event: RunEvent,
}

/// The programs that are started.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The real dispatcher, as a line for the shell, as `run` of the deploy file has it.
    pub dispatcher: String,
    /// Where that line is run.
    pub folder: PathBuf,
    /// The program with the sub-commands `hollow-replicas` and `hollow-dispatchers`.
    pub hollow: PathBuf,
    /// Where configurations are written.
    pub scratch: PathBuf,
}

/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum RunError {
    /// The machine is too small for it.
    #[error(transparent)]
    Limit(#[from] LimitError),
    /// A hollow process failed.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// The system failed.
    #[error("{what}: {error}")]
    Io {
        /// At what.
        what: String,
        /// What it says.
        error: std::io::Error,
    },
    /// A real dispatcher did not come up, or ended.
    #[error("dispatcher {number}: {what}")]
    Dispatcher {
        /// Which.
        number: u32,
        /// What happened.
        what: String,
    },
    /// It was told to end.
    #[error("ended by a signal")]
    Interrupted,
}

impl RunOptions {
    /// How long an answer streams.
    fn stream(&self) -> Duration {
        Duration::from_millis(u64::from(self.events.saturating_sub(1)) * self.event_ms)
    }

    fn replicas(&self) -> ReplicaOptions {
        let readers = f64::from(self.servers) * f64::from(crate::shape::READERS_OF_CELL)
            / f64::from(crate::shape::CELL);
        let all = f64::from(self.dispatchers) * f64::from(self.requests);
        ReplicaOptions {
            servers: self.servers,
            read_ms: 150,
            first_token_ms: 60,
            events: self.events,
            event_ms: self.event_ms,
            capacity: all / readers.max(1.0) / PEAK_LOAD,
            part: f64::from(self.real) / f64::from(self.dispatchers),
            cold_from: platform::COLD_FROM,
            cold_ms: platform::COLD_S * 1_000,
            fall_multiple: platform::FALL_MULTIPLE,
            fall_window_ms: platform::FALL_WINDOW_S * 1_000,
        }
    }
}

/// Runs it; `say` is told how it goes.
///
/// # Errors
/// See [`RunError`]. Whatever was started has ended then.
pub async fn run(options: RunOptions, programs: &Programs, say: impl Fn(&str)) -> Result<Report, RunError> {
    limits::check(&options)?;
    tokio::select! {
        report = play(options, programs, &say) => report,
        _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
    }
}

fn failed(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
    let what = what.into();
    move |error| RunError::Io { what, error }
}

async fn play(options: RunOptions, programs: &Programs, say: &impl Fn(&str)) -> Result<Report, RunError> {
    let mut run = Run::start(options, programs, say).await?;
    let mut load = JoinSet::new();
    for clients in &run.clients {
        load.spawn(clients.clone().load());
    }
    let observed = run.observe(say).await?;
    let grace = options.stream() + GRACE;
    tokio::select! {
        () = async { while load.join_next().await.is_some() {} } => {}
        () = sleep(grace) => say("some requests had no end in time"),
    }
    let ledger = run.replicas.ledger().await?;
    Ok(run.report(&observed, ledger))
}

/// All that a run has started.
struct Run {
    options: RunOptions,
    replicas: ReplicasHandle,
    list: platform::List,
    agent: Agent,
    dispatchers: DispatchersHandle,
    real: Vec<RealDispatcher>,
    /// Of each real dispatcher.
    clients: Vec<Arc<Clients>>,
}

/// The loss of a zone in a run, and its return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneLoss {
    /// None is played, or it is over.
    None,
    /// The zone will be lost.
    Ahead,
    /// The zone is lost.
    Lost,
}

impl Run {
    /// Starts replicas, agent and dispatchers, and waits until all are ready.
    async fn start(options: RunOptions, programs: &Programs, say: &impl Fn(&str)) -> Result<Self, RunError> {
        let replicas = ReplicasHandle::start(&programs.hollow, &options.replicas()).await?;
        say(&format!("{} hollow replicas listen", replicas.addresses.len()));
        let list = platform::List::new(replicas.addresses.clone());
        let agent = Agent::start(list.whole()).await;
        let addresses = process::reserve_addresses(options.real).map_err(failed("ports"))?;
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
        say(&format!("{} real dispatchers are ready among {} hollow ones", real.len(), hollow.dispatchers));
        let clients = real
            .iter()
            .map(|real| Arc::new(Clients::new(options, real.number, real.addresses.listen)))
            .collect();
        Ok(Self { options, replicas, list, agent, dispatchers, real, clients })
    }

    /// Looks at the real dispatchers while load lasts, and plays the run's event.
    async fn observe(&mut self, say: &impl Fn(&str)) -> Result<Observed, RunError> {
        let gossip_before = self.dispatchers.ledger().await?;
        let start = Instant::now();
        let seconds = Duration::from_secs(self.options.seconds);
        let steady = start + self.options.stream().min(seconds / 2);
        let end = start + seconds;
        let lost_at = start + seconds / 3;
        let mut zone = match self.options.event {
            RunEvent::Zone => ZoneLoss::Ahead,
            RunEvent::None => ZoneLoss::None,
        };
        let mut usage_before: Vec<Option<Usage>> = vec![None; self.real.len()];
        let mut looks = 0;
        let mut ticks = interval(LOOK_INTERVAL);
        while Instant::now() < end {
            ticks.tick().await;
            let now = Instant::now();
            zone = self.advance_zone_loss(zone, lost_at, now, say).await?;
            for (real, usage) in self.real.iter_mut().zip(&mut usage_before) {
                real.look()?;
                if now >= steady && usage.is_none() {
                    *usage = Some(real.usage()?);
                }
            }
            looks += 1;
            if looks % LOOKS_PER_MESSAGE == 0 {
                let open: u64 = self.clients.iter().map(|clients| clients.open()).sum();
                say(&format!("{} s: {open} requests open", (now - start).as_secs()));
            }
        }
        let mut usage_after = Vec::new();
        for real in &self.real {
            usage_after.push(real.usage()?);
        }
        let gossip_after = self.dispatchers.ledger().await?;
        Ok(Observed { gossip_before, gossip_after, usage_before, usage_after, steady_for: end - steady })
    }

    /// Has the zone lost, or come back, where that is due; how it stands then.
    async fn advance_zone_loss(
        &mut self,
        zone: ZoneLoss,
        lost_at: Instant,
        now: Instant,
        say: &impl Fn(&str),
    ) -> Result<ZoneLoss, RunError> {
        match zone {
            ZoneLoss::Ahead if now >= lost_at => {
                self.agent.tells(Some(self.list.without(LOST_ZONE)));
                self.replicas.lose(LOST_ZONE).await?;
                say("a zone is lost");
                Ok(ZoneLoss::Lost)
            }
            ZoneLoss::Lost if now >= lost_at + LOST_FOR => {
                self.replicas.return_cold(LOST_ZONE).await?;
                self.agent.tells(Some(self.list.restarted(LOST_ZONE)));
                say("the zone is back, in slow start");
                Ok(ZoneLoss::None)
            }
            _ => Ok(zone),
        }
    }
}

/// The line by which a deploy file starts a dispatcher.
///
/// # Errors
/// A file that can't be read or has none.
pub fn run_line(deploy: &Path) -> Result<String, RunError> {
    let text = std::fs::read_to_string(deploy).map_err(failed(deploy.display().to_string()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|rest| rest.split('"').next()).map(str::to_owned);
    line.ok_or_else(|| failed(deploy.display().to_string())(std::io::ErrorKind::InvalidData.into()))
}

/// The text of a configuration for a dispatcher of a fleet of this size, with the list in it.
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
