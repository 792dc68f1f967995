//! The harness: runs a plan. It starts the servers, agents, dispatchers and clients, injects the faults, and shuts the
//! dispatchers down at the end.

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

/// Time between the end of the load and the comparison of resources.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);

/// What a run needs besides its plan.
#[derive(Clone, Debug)]
pub struct Options {
    /// The dispatcher's executable.
    pub program: PathBuf,
    /// The fault shim; with `None` the shim rules of plans have no effect.
    pub shim: Option<PathBuf>,
    /// Output directory: each run replaces the subdirectory `seed-N` with its plan, configurations, logs and traces.
    pub folder: PathBuf,
    /// Additional environment variables of the dispatcher processes.
    pub environment: Vec<(String, String)>,
}

/// Why a plan could not be run, so that there is no result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A system call of the harness itself failed.
    #[error("the harness failed: {0}")]
    System(#[from] std::io::Error),
}

/// Runs a plan. Returns everything that was observed, ordered by time.
///
/// # Errors
/// See [`RunError`].
pub async fn run_plan(plan: &Plan, options: &Options) -> Result<Vec<LogEntry>, RunError> {
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
    tokio::time::sleep(SETTLE_TIME).await;
    compare_all_resources(&dispatchers, usage_before).await;
    shut_down_all(dispatchers).await;
    Ok(event_log.entries())
}

/// Creates an empty directory for the run, with its plan. The directory of an earlier run of the same seed is removed.
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

/// Unix time (ms).
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
    let server_list = registry.list(0);
    let mut dispatchers = Vec::new();
    for index in 0..plan.processes {
        let agent: SocketAddr = registry.start(index).await?;
        let dispatcher = Dispatcher::new(index, plan, event_log, options, folder, agent, &server_list)?;
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

/// Runs clients and faults until the run's length is over and all of them have finished.
async fn run_all(plan: &Arc<Plan>, event_log: &EventLog, dispatchers: &[Arc<Dispatcher>]) {
    let mut tasks = JoinSet::new();
    let next_request = Arc::new(AtomicU64::new(0));
    for dispatcher in dispatchers {
        let clients = Clients::new(
            plan.clone(),
            event_log.clone(),
            dispatcher.index,
            dispatcher.address,
            dispatcher.chat_address,
            next_request.clone(),
        );
        tasks.spawn(clients.run(plan.length_ms));
        tasks.spawn(dispatcher.clone().watch_processes(plan.length_ms));
    }
    for fault in plan.faults.clone() {
        if let Some(dispatcher) = fault.kind.dispatcher().and_then(|index| dispatchers.get(index)) {
            tasks.spawn(dispatcher.clone().inject(fault));
        }
    }
    while tasks.join_next().await.is_some() {}
}

async fn compare_all_resources(dispatchers: &[Arc<Dispatcher>], usage_before: Vec<Option<ResourceUsage>>) {
    for (dispatcher, before) in dispatchers.iter().zip(usage_before) {
        dispatcher.compare_resources(before).await;
    }
}

async fn shut_down_all(dispatchers: Vec<Arc<Dispatcher>>) {
    let mut ending = JoinSet::new();
    for dispatcher in dispatchers {
        ending.spawn(async move { dispatcher.shut_down_all().await });
    }
    while ending.join_next().await.is_some() {}
}
