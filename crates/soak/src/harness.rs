//! The harness: plays a plan. It starts servers, agents, dispatchers and clients, brings the faults about, and ends all
//! of them in good order.

mod dispatcher;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::task::JoinSet;

use crate::agent::Registry;
use crate::clients::Clients;
use crate::event_log::{EventLog, LogEntry};
use crate::plan::Plan;
use crate::process::ResourceUsage;
use crate::servers::Servers;
use dispatcher::Dispatcher;

/// After the play, before resources are compared.
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

/// Why a plan could not be played: it has no result.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The system refused something that the harness itself needs.
    #[error("the bed: {0}")]
    System(#[from] std::io::Error),
}

/// Plays a plan; all that its peers saw.
///
/// # Errors
/// See [`PlayError`].
pub async fn play(plan: &Plan, options: &Options) -> Result<Vec<LogEntry>, PlayError> {
    let plan = Arc::new(plan.clone());
    let event_log = EventLog::default();
    let folder = prepare_folder(&plan, options)?;
    let servers = Servers::start(&plan, &event_log)?;
    let registry = Registry::new(plan.clone(), event_log.clone(), servers.addresses, unix_ms());
    let dispatchers = create_dispatchers(&plan, &event_log, options, &folder, &registry).await?;
    start_all(&dispatchers).await;
    let mut usage_before = Vec::new();
    for dispatcher in &dispatchers {
        usage_before.push(dispatcher.resource_usage().await);
    }
    run_all(&plan, &event_log, &dispatchers).await;
    tokio::time::sleep(QUIET).await;
    compare_all(&dispatchers, usage_before).await;
    end_all(dispatchers).await;
    Ok(event_log.entries())
}

/// A new folder for the play, with its plan.
fn prepare_folder(plan: &Plan, options: &Options) -> std::io::Result<PathBuf> {
    let folder = options.folder.join(format!("seed-{}", plan.seed));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let text = serde_json::to_string_pretty(plan).map_err(std::io::Error::other)?;
    std::fs::write(folder.join("plan.json"), text)?;
    Ok(folder)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

async fn create_dispatchers(
    plan: &Arc<Plan>,
    event_log: &EventLog,
    options: &Options,
    folder: &Path,
    registry: &Registry,
) -> std::io::Result<Vec<Arc<Dispatcher>>> {
    let known = registry.list(0);
    let mut dispatchers = Vec::new();
    for number in 0..plan.processes {
        let agent: SocketAddr = registry.start(number).await?;
        let dispatcher = Dispatcher::new(number, plan, event_log, options, folder, agent, &known)?;
        dispatchers.push(Arc::new(dispatcher));
    }
    Ok(dispatchers)
}

async fn start_all(dispatchers: &[Arc<Dispatcher>]) {
    let mut starting = JoinSet::new();
    for dispatcher in dispatchers {
        let dispatcher = dispatcher.clone();
        starting.spawn(async move { dispatcher.start().await });
    }
    while starting.join_next().await.is_some() {}
}

/// Runs clients and faults until the play is over.
async fn run_all(plan: &Arc<Plan>, event_log: &EventLog, dispatchers: &[Arc<Dispatcher>]) {
    let mut tasks = JoinSet::new();
    let next_request = Arc::new(AtomicU64::new(0));
    for dispatcher in dispatchers {
        let clients = Clients::new(
            plan.clone(),
            event_log.clone(),
            dispatcher.number,
            dispatcher.address,
            next_request.clone(),
        );
        tasks.spawn(clients.run(plan.length_ms));
        tasks.spawn(dispatcher.clone().watch(plan.length_ms));
    }
    for fault in plan.faults.clone() {
        if let Some(dispatcher) = fault.kind.dispatcher().and_then(|number| dispatchers.get(number)) {
            tasks.spawn(dispatcher.clone().inject(fault));
        }
    }
    while tasks.join_next().await.is_some() {}
}

async fn compare_all(dispatchers: &[Arc<Dispatcher>], usage_before: Vec<Option<ResourceUsage>>) {
    for (dispatcher, before) in dispatchers.iter().zip(usage_before) {
        dispatcher.compare_resources(before).await;
    }
}

async fn end_all(dispatchers: Vec<Arc<Dispatcher>>) {
    let mut ending = JoinSet::new();
    for dispatcher in dispatchers {
        ending.spawn(async move { dispatcher.end_all().await });
    }
    while ending.join_next().await.is_some() {}
}
