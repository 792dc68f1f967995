//! A dispatcher that runs: its tasks from the start to the last request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use log::{error, info};
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{sleep_until, timeout_at};

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
use crate::edge::hot_restart::HotRestartTask;
use crate::edge::phase::Phase;
use crate::edge::settings::Config;
use crate::edge::shutdown_times::ShutdownTimes;
use crate::edge::stats::Figures;
use crate::interface::ListUpdateKind;
use dewladder_hot_restart::{RestartStatus, Stage};

/// Time between two looks at whether anything is still held.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why a dispatcher ended by itself; one plain line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RunError {
    /// The driver ended.
    #[error("the driver ended: {0}")]
    DriverEnded(String),
    /// The watch of the list ended.
    #[error("the watch of the list ended: {0}")]
    WatchEnded(String),
    /// An address that another process has left can't be listened on.
    #[error("{0}")]
    Listen(String),
}

impl Dispatcher {
    /// Serves until `end` comes, then finishes what is held. The list is watched at the address that `discovery` holds.
    ///
    /// # Errors
    /// Which part ended by itself.
    pub async fn run(
        self,
        discovery: watch::Receiver<SocketAddr>,
        end: impl Future<Output = ()>,
    ) -> Result<(), RunError> {
        let Self { config, driver, to_driver, figures, phase, clock, .. } = self;
        let known = listing::entries(&config.known, &config.names);
        let servers_known = known.len();
        if let Some(admin) = &self.admin {
            info!("second address: {}", admin.address());
        }
        let how = ListUpdateKind::StaleCopy;
        to_driver.send(Message::EndpointsUpdated { how, entries: known });
        let gossip = self.gossip.map(|gossip| receive_gossip(gossip, to_driver.clone()));
        let mut driver = tokio::spawn(driver.run());
        let mut watching = tokio::spawn(discovery::watch(config.clone(), discovery, to_driver.clone()));
        let limits = ConnectionLimits::new(config.max_client_connections());
        let health = self.health;
        let agent = self.agent.map(|listener| tokio::spawn(balancers::agent_check(listener, health)));
        let cluster = self.cluster.map(ClusterTask::spawn);
        let shared = Shared { config, limits, to_driver, figures, phase, clock };
        let mut hot_restart = self.hot_restart.map(|task| RestartFollower::spawn(task, &shared));

        let mut end = std::pin::pin!(end);
        if !wait_for_turn(&shared, hot_restart.as_mut(), end.as_mut()).await {
            return Ok(());
        }
        let Some(serving) = serve_fronts(self.fronts, &shared, end.as_mut()).await? else { return Ok(()) };
        shared.phase.send_replace(Phase::Serving);
        let Config { name, listen, .. } = &shared.config;
        info!("{name}: serving on {listen}, {servers_known} servers known");
        tokio::select! {
            () = &mut end => {}
            ended = &mut driver => return Err(RunError::DriverEnded(format!("{ended:?}"))),
            ended = &mut watching => return Err(RunError::WatchEnded(format!("{ended:?}"))),
        }

        leave(&shared, hot_restart.as_mut()).await;
        finish(serving, &shared.figures).await;
        let hot_restart = hot_restart.map(|follower| follower.task);
        for task in [agent, gossip, hot_restart].into_iter().flatten() {
            task.abort();
        }
        watching.abort();
        // Told last: to the end this instance may hold something at servers.
        if let Some(cluster) = cluster {
            cluster.leave().await;
        }
        drop::<Option<Admin>>(self.admin); // it answers to the end
        info!("nothing is held any more: ending");
        Ok(())
    }
}

/// Hands what other dispatchers say to the driver, for ever.
fn receive_gossip(gossip: GossipTransport, driver: DriverHandle) -> JoinHandle<()> {
    let deliver = move |bytes| driver.send(Message::Input(Input::GossipReceived(bytes)));
    tokio::spawn(gossip.receive(deliver))
}

/// What the tasks of a dispatcher go by.
struct Shared {
    config: Config,
    limits: ConnectionLimits,
    to_driver: DriverHandle,
    figures: Figures,
    phase: watch::Sender<Phase>,
    clock: Clock,
}

/// The hot restart's task, and both processes as it sees them.
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

    /// Waits until this process announces that it has left a stage, or reached one; `None` where that is never known.
    async fn wait_for(&mut self, reached: impl Fn(Stage) -> bool) -> Option<RestartStatus> {
        let has_reached =
            |status: &Option<RestartStatus>| status.is_some_and(|status| reached(status.own.stage));
        let status = self.status.wait_for(has_reached).await.ok()?;
        *status
    }
}

/// Waits while another process serves and has no share of the limits to spare; `false` where the end comes before.
async fn wait_for_turn(
    shared: &Shared,
    follower: Option<&mut RestartFollower>,
    end: Pin<&mut impl Future<Output = ()>>,
) -> bool {
    if *shared.phase.borrow() != Phase::Joining {
        return true;
    }
    let Config { name, listen, .. } = &shared.config;
    info!(name = name.as_str(), address:% = listen;
        "dispatcher: another process serves; waiting for a share of its limits");
    let Some(follower) = follower else { return true };
    tokio::select! {
        () = end => false,
        _ = follower.wait_for(|stage| stage != Stage::Joining) => true,
    }
}

/// Serves all fronts; `None` where the end comes before another process has left their addresses.
async fn serve_fronts(
    fronts: Vec<Front>,
    shared: &Shared,
    mut end: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<Vec<JoinHandle<()>>>, RunError> {
    let mut serving = Vec::new();
    for front in fronts {
        let listener = match front.listener {
            Some(listener) => listener,
            None => tokio::select! {
                () = end.as_mut() => return Ok(None),
                listener = listen_while_running(front.address) => {
                    listener.map_err(|error| RunError::Listen(error.to_string()))?
                }
            },
        };
        let (limits, figures) = (shared.limits.clone(), shared.figures.clone());
        let phases = shared.phase.subscribe();
        serving.push(tokio::spawn(listener::serve(listener, front.routes, limits, figures, phases)));
    }
    Ok(Some(serving))
}

/// Has clients leave, or leaves new ones to the process that has replaced this one; then listeners close.
async fn leave(shared: &Shared, follower: Option<&mut RestartFollower>) {
    let Shared { clock, to_driver, phase, .. } = shared;
    let times = ShutdownTimes::new(&to_driver.settings(), clock.now());
    let close_at = clock.instant(times.close_at);
    to_driver.send(Message::Input(Input::Leaving(times)));
    phase.send_replace(Phase::Leaving);
    // The platform tells this one to end as soon as the other says yes: its announcement is looked at once more.
    let status = match follower {
        Some(follower) => {
            let announced = follower.wait_for(|stage| stage == Stage::Leaving);
            timeout_at(close_at, announced).await.ok().flatten()
        }
        None => None,
    };
    if status.is_some_and(|status| status.is_replaced()) {
        info!("told to end: another process takes new clients");
        phase.send_replace(Phase::Yielding);
    } else {
        info!("told to end: clients are asked to leave");
    }
    sleep_until(close_at).await;
    phase.send_replace(Phase::Closing);
}

/// Waits until all fronts have ended and nothing is held for requests.
async fn finish(serving: Vec<JoinHandle<()>>, figures: &Figures) {
    for front in serving {
        report_panic("front", front.await);
    }
    while !figures.nothing_held() {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// The cluster's part, while it runs.
struct ClusterTask {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl ClusterTask {
    fn spawn(cluster: Cluster) -> Self {
        let (leave, left) = oneshot::channel();
        Self { leave, task: tokio::spawn(cluster.run(left)) }
    }

    /// Tells the other instances that this one leaves, and waits until that is done.
    async fn leave(self) {
        let _ = self.leave.send(()); // it may have ended
        report_panic("cluster", self.task.await);
    }
}

fn report_panic(part: &str, ended: Result<(), JoinError>) {
    if let Err(panic) = ended {
        error!(part, reason:% = panic; "dispatcher: a task panicked");
    }
}
