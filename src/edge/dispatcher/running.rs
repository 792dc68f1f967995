//! Runs a dispatcher: starts its tasks, serves, and shuts down after the last request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use log::{error, info};
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::edge::admin::Admin;
use crate::edge::balancers;
use crate::edge::clients::connection_limits::ConnectionLimits;
use crate::edge::clients::listener;
use crate::edge::clock::Clock;
use crate::edge::cluster::Cluster;
use crate::edge::core::Input;
use crate::edge::discovery;
use crate::edge::discovery::listing;
use crate::edge::dispatcher::listeners::listen_while_running;
use crate::edge::dispatcher::{Dispatcher, Front};
use crate::edge::driver::{DriverHandle, Message};
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::heartbeat::Heartbeat;
use crate::edge::hot_restart::HotRestartTask;
use crate::edge::phase::Phase;
use crate::edge::settings::Config;
use crate::edge::shutdown_times::ShutdownTimes;
use crate::edge::stats::Figures;
use crate::interface::ListUpdateKind;
use dewladder_hot_restart::{RestartStatus, Stage};

/// Time between two checks, during shutdown, of whether requests are still open or releases in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why a dispatcher stopped without being told to shut down. The message is a single line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RunError {
    /// The driver task ended, which it should never do.
    #[error("the driver task ended unexpectedly: {0}")]
    DriverEnded(String),
    /// The task that follows the server list ended, which it should never do.
    #[error("the task that follows the server list ended unexpectedly: {0}")]
    WatchEnded(String),
    /// Listening on the address of a front failed after waiting for another process of this dispatcher.
    #[error("{0}")]
    Listen(String),
}

impl Dispatcher {
    /// Serves until `shutdown` completes, then finishes the open requests and releases. The server list is followed
    /// at the address in `discovery`.
    ///
    /// # Errors
    /// A task ended that should not, or listening on a front's address failed.
    pub async fn run(
        self,
        discovery: watch::Receiver<SocketAddr>,
        shutdown: impl Future<Output = ()>,
    ) -> Result<(), RunError> {
        let Self { config, driver, to_driver, figures, phase, clock, .. } = self;
        let known = listing::entries(&config.known, &config.names);
        let servers_known = known.len();
        if let Some(admin) = &self.admin {
            info!("second address: {}", admin.address());
        }
        let kind = ListUpdateKind::StaleCopy;
        to_driver.send(Message::EndpointsUpdated { kind, entries: known });
        let gossip = self.gossip.map(|gossip| receive_gossip(gossip, to_driver.clone()));
        let mut driver = tokio::spawn(driver.run());
        let mut list_task = tokio::spawn(discovery::watch(config.clone(), discovery, to_driver.clone()));
        let limits = ConnectionLimits::new(config.max_client_connections(), self.client_memory);
        let health = self.health;
        let agent = self.agent.map(|listener| tokio::spawn(balancers::agent_check(listener, health)));
        let cluster = self.cluster.map(ClusterTask::spawn);
        let heartbeat = Heartbeat::new(clock);
        let heartbeat_task = tokio::spawn(heartbeat.clone().run());
        let shared = Shared { config, limits, to_driver, figures, phase, clock, heartbeat };
        let mut hot_restart = self.hot_restart.map(|task| RestartFollower::spawn(task, &shared));

        let mut shutdown = std::pin::pin!(shutdown);
        if !wait_for_limit_share(&shared, hot_restart.as_mut(), shutdown.as_mut()).await {
            return Ok(());
        }
        let Some(tasks) = serve_fronts(self.fronts, &shared, shutdown.as_mut()).await? else { return Ok(()) };
        shared.phase.send_replace(Phase::Serving);
        let Config { name, listen, .. } = &shared.config;
        info!("{name}: serving on {listen}, {servers_known} servers known");
        tokio::select! {
            () = &mut shutdown => {}
            ended = &mut driver => return Err(RunError::DriverEnded(format!("{ended:?}"))),
            ended = &mut list_task => return Err(RunError::WatchEnded(format!("{ended:?}"))),
        }

        shut_down(&shared, hot_restart.as_mut(), tasks).await;
        let hot_restart = hot_restart.map(|follower| follower.task);
        for task in [agent, gossip, hot_restart].into_iter().flatten() {
            task.abort();
        }
        list_task.abort();
        heartbeat_task.abort();
        // The instance leaves the cluster last: until now, servers may have held state for its requests.
        if let Some(cluster) = cluster {
            cluster.leave().await;
        }
        drop::<Option<Admin>>(self.admin); // the admin address answers until shutdown is complete
        info!("dispatcher: shutdown complete; no request is open and no release is in flight");
        Ok(())
    }
}

/// Spawns a task that passes gossip messages of other dispatchers to the driver.
fn receive_gossip(gossip: GossipTransport, driver: DriverHandle) -> JoinHandle<()> {
    let deliver = move |bytes| driver.send(Message::Input(Input::GossipReceived(bytes)));
    tokio::spawn(gossip.receive(deliver))
}

/// The state that the tasks of a dispatcher share.
struct Shared {
    config: Config,
    limits: ConnectionLimits,
    to_driver: DriverHandle,
    figures: Figures,
    phase: watch::Sender<Phase>,
    clock: Clock,
    heartbeat: Heartbeat,
}

/// The hot restart task, and a receiver of the status of both processes, which the task publishes.
struct RestartFollower {
    task: JoinHandle<()>,
    status: watch::Receiver<Option<RestartStatus>>,
}

impl RestartFollower {
    fn spawn(task: HotRestartTask, shared: &Shared) -> Self {
        let (sender, status) = watch::channel(Some(task.status()));
        let Shared { config, limits, to_driver, figures, phase, .. } = shared;
        let (limits, to_driver, figures) = (limits.clone(), to_driver.clone(), figures.clone());
        let run = task.run(config.clone(), limits, to_driver, figures, phase.subscribe(), sender);
        Self { task: tokio::spawn(run), status }
    }

    /// Waits until this process has announced a stage for which `is_reached` returns true. `None` if the task ended
    /// before.
    async fn wait_for(&mut self, is_reached: impl Fn(Stage) -> bool) -> Option<RestartStatus> {
        let has_reached =
            |status: &Option<RestartStatus>| status.is_some_and(|status| is_reached(status.own.stage));
        let status = self.status.wait_for(has_reached).await.ok()?;
        *status
    }
}

/// Waits while another process serves and has no share of the limits to spare. Returns false if `shutdown` completed
/// first.
async fn wait_for_limit_share(
    shared: &Shared,
    follower: Option<&mut RestartFollower>,
    shutdown: Pin<&mut impl Future<Output = ()>>,
) -> bool {
    if *shared.phase.borrow() != Phase::Joining {
        return true;
    }
    let Config { name, listen, .. } = &shared.config;
    info!(name = name.as_str(), address:% = listen;
        "dispatcher: another process serves; waiting for a share of its limits");
    let Some(follower) = follower else { return true };
    tokio::select! {
        () = shutdown => false,
        _ = follower.wait_for(|stage| stage != Stage::Joining) => true,
    }
}

/// Spawns a task for each front, after opening the listeners that are not open yet. Returns `None` if `shutdown`
/// completed before all listeners were open.
async fn serve_fronts(
    fronts: Vec<Front>,
    shared: &Shared,
    mut shutdown: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<Vec<JoinHandle<()>>>, RunError> {
    let mut tasks = Vec::new();
    for front in fronts {
        let listener = match front.listener {
            Some(listener) => listener,
            None => tokio::select! {
                () = shutdown.as_mut() => return Ok(None),
                listener = listen_while_running(front.address) => {
                    listener.map_err(|error| RunError::Listen(error.to_string()))?
                }
            },
        };
        let (limits, figures) = (shared.limits.clone(), shared.figures.clone());
        let phases = shared.phase.subscribe();
        tasks.push(tokio::spawn(listener::serve(listener, front.routes, limits, figures, phases)));
    }
    Ok(Some(tasks))
}

/// Shuts down after the last request, by the schedule that follows from the signal to end.
async fn shut_down(shared: &Shared, follower: Option<&mut RestartFollower>, fronts: Vec<JoinHandle<()>>) {
    let times = ShutdownTimes::new(&shared.to_driver.settings(), shared.heartbeat.noticed());
    leave(shared, times, follower).await;
    let ending = shared.clock.instant(times.stop_receiving_at);
    tokio::select! {
        () = wait_until_drained(fronts, &shared.figures) => {}
        () = enter_phase_at(&shared.phase, Phase::Ending, ending) => {}
    }
}

/// Starts the shutdown: asks clients to close their connections, or stops accepting new ones if another process
/// replaces this one. Then waits until it is time to close the listeners and idle connections.
async fn leave(shared: &Shared, times: ShutdownTimes, follower: Option<&mut RestartFollower>) {
    let Shared { clock, to_driver, phase, .. } = shared;
    let close_at = clock.instant(times.close_at);
    to_driver.send(Message::Input(Input::Leaving(times)));
    phase.send_replace(Phase::Leaving);
    // The platform sends SIGTERM as soon as the new process reports ready. The status from before may be older than
    // that, so wait for one that was published after the peer's announcement was read again.
    let status = match follower {
        Some(follower) => {
            let announced = follower.wait_for(|stage| stage == Stage::Leaving);
            timeout_at(close_at, announced).await.ok().flatten()
        }
        None => None,
    };
    if status.is_some_and(|status| status.is_replaced()) {
        info!("dispatcher: shutdown begins; another process accepts new clients");
        phase.send_replace(Phase::Yielding);
    } else {
        info!("dispatcher: shutdown begins; clients are asked to close their connections");
    }
    sleep_until(close_at).await;
    phase.send_replace(Phase::Closing);
}

/// Enters a later phase of the shutdown when it is due; never returns.
async fn enter_phase_at(phase: &watch::Sender<Phase>, next: Phase, due: Instant) {
    sleep_until(due).await;
    phase.send_replace(next);
    std::future::pending::<()>().await;
}

/// Waits until all fronts have ended, no request is open and no release is in flight.
async fn wait_until_drained(tasks: Vec<JoinHandle<()>>, figures: &Figures) {
    for front in tasks {
        report_panic("front", front.await);
    }
    while !figures.is_idle() {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// The running task of the cluster.
struct ClusterTask {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl ClusterTask {
    fn spawn(cluster: Cluster) -> Self {
        let (leave, leave_requested) = oneshot::channel();
        Self { leave, task: tokio::spawn(cluster.run(leave_requested)) }
    }

    /// Has the task tell the other instances that this one leaves, and waits until it has ended.
    async fn leave(self) {
        let _ = self.leave.send(()); // the task may have ended already
        report_panic("cluster", self.task.await);
    }
}

/// Logs a panic of a task. `part` names the part of the dispatcher that the task belonged to.
fn report_panic(part: &str, ended: Result<(), JoinError>) {
    if let Err(join_error) = ended {
        error!(part, reason:% = join_error; "dispatcher: a task panicked");
    }
}
