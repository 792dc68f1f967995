//! A dispatcher: [`Dispatcher::bind`] creates its parts and binds their addresses, and [`Dispatcher::run`] serves
//! until shutdown.
//!
//! All parts follow the [`Phase`] of the process: joining while another process still serves, then serving; at
//! SIGTERM leaving, or yielding if another process replaces this one; then closing the listeners. The process ends
//! when no request is open and no release is in flight.

mod listeners;
mod running;

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use log::warn;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::edge::admin::{Admin, Sources};
use crate::edge::balancers::{self, Health};
use crate::edge::clients::memory_budget::MemoryBudget;
use crate::edge::clients::{chat, platform};
use crate::edge::clock::Clock;
use crate::edge::cluster::{BindError, Cluster};
use crate::edge::config_reload::ConfigReloader;
pub use crate::edge::dispatcher::listeners::ListenError;
use crate::edge::dispatcher::listeners::{bind_gossip, listen};
pub use crate::edge::dispatcher::running::RunError;
use crate::edge::driver::{Driver, DriverHandle};
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::hot_restart::request_claims::RequestClaims;
use crate::edge::hot_restart::HotRestartTask;
use crate::edge::phase::Phase;
use crate::edge::settings::{Config, FieldError, Fronts};
use crate::edge::stats::Figures;
use crate::edge::transient::{self, is_transient, retry_transient};
use dewladder_hot_restart::Stage;

/// Why a dispatcher can't start. The message is a single line.
#[derive(Debug, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A setting of the chat front is invalid.
    #[error(transparent)]
    Chat(#[from] FieldError),
    /// The settings in `[cluster]` are invalid, or its address is in use.
    #[error(transparent)]
    Cluster(#[from] BindError),
}

/// An HTTP front: an address and the routes served there.
struct Front {
    address: SocketAddr,
    /// `None` while another process still serves at the address; the listener is then opened by [`Dispatcher::run`].
    listener: Option<TcpListener>,
    routes: axum::Router,
}

/// A dispatcher whose addresses are bound and that is ready to run.
pub struct Dispatcher {
    config: Config,
    clock: Clock,
    driver: Driver,
    to_driver: DriverHandle,
    figures: Figures,
    phase: watch::Sender<Phase>,
    client_memory: MemoryBudget,
    fronts: Vec<Front>,
    agent: Option<TcpListener>,
    gossip: Option<GossipTransport>,
    health: Health,
    admin: Option<Admin>,
    hot_restart: Option<HotRestartTask>,
    cluster: Option<Cluster>,
}

impl Dispatcher {
    /// Creates all parts and binds their addresses. During a hot restart, the addresses of the fronts are bound
    /// later, when the other process has a share of the limits to spare.
    ///
    /// # Errors
    /// A setting of an optional front is invalid, or listening on an address failed.
    pub fn bind(config: Config, settings: &Fronts) -> Result<Self, StartError> {
        let clock = Clock::start();
        // With an admin address, a new process may be started on the same addresses while this one serves.
        let shared = config.admin.is_some();
        let (mut driver, to_driver) = Driver::new(&config, clock);
        let gossip = open_gossip_transport(&config, shared);
        driver.set_gossip_transport(gossip.clone().unwrap_or_default());
        let figures = driver.figures();
        let client_memory = MemoryBudget::new(config.client_memory());
        // Without an admin address, no new process can be started beside this one: hot restart is off.
        let folder = std::env::var("TMPDIR").ok().filter(|_| shared);
        if let Some(folder) = &folder {
            driver.set_request_claims(RequestClaims::shared(Path::new(folder), config.listen));
        }
        let hot_restart = folder.as_deref().map(|folder| HotRestartTask::start(&config, folder, clock));
        let starts_joining =
            hot_restart.as_ref().is_some_and(|task| task.status().own.stage == Stage::Joining);
        let (phase, phases) = watch::channel(if starts_joining { Phase::Joining } else { Phase::Serving });
        let health = Health::new(figures.clone(), phases, config.max_open_requests());
        let table = settings.cluster.as_ref().filter(|cluster| cluster.enabled);
        let cluster = table.map(|table| Cluster::bind(table, &config.name, shared, clock, config.seed));
        let cluster = cluster.transpose()?;
        let open_front = |address, routes: axum::Router| -> Result<Front, ListenError> {
            let listener = if starts_joining { None } else { Some(listen(address, shared)?) };
            Ok(Front { address, listener, routes: routes.merge(balancers::routes(health.clone())) })
        };
        let platform = platform::front(clock, to_driver.clone(), figures.clone());
        let mut fronts = vec![open_front(config.listen, platform)?];
        if let Some(chat) = settings.chat.as_ref().filter(|chat| chat.enabled) {
            let parts = chat::SharedParts {
                clock,
                driver: to_driver.clone(),
                memory: client_memory.clone(),
                quorum: cluster.as_ref().and_then(Cluster::quorum),
                folder: folder.as_deref().map(Path::new),
            };
            fronts.push(open_front(chat.listen, chat::router(chat, &config, parts)?)?);
        }
        let agent = settings.agent_check.as_ref().filter(|agent| agent.enabled);
        let agent = agent.map(|agent| listen(agent.listen, shared)).transpose()?;
        let admin =
            config.admin.map(|at| start_admin(at, &health, cluster.as_ref(), &to_driver)).transpose()?;
        Ok(Self {
            config,
            clock,
            driver,
            to_driver,
            figures,
            phase,
            client_memory,
            fronts,
            agent,
            gossip,
            health,
            admin,
            hot_restart,
            cluster,
        })
    }

    /// The addresses of the open listeners, in this order: the platform's front, the chat front and the agent check.
    /// Those that are off or not open yet are left out.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let fronts = self.fronts.iter().filter_map(|front| front.listener.as_ref());
        let listeners = fronts.chain(&self.agent);
        listeners.filter_map(|listener| listener.local_addr().ok()).collect()
    }

    /// Creates the reloader of this dispatcher's configuration. It publishes the address of the discovery agent on
    /// `discovery`.
    #[must_use]
    pub fn config_reloader(&self, discovery: watch::Sender<SocketAddr>) -> ConfigReloader {
        let (config, driver, figures) = (self.config.clone(), self.to_driver.clone(), self.figures.clone());
        ConfigReloader::new(config, driver, figures, discovery)
    }

    /// A handle that sends messages to the driver.
    #[must_use]
    pub fn driver(&self) -> DriverHandle {
        self.to_driver.clone()
    }

    /// The state from which health checks are answered.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health.clone()
    }

    /// The admin address as it was bound; `None` if there is none.
    #[must_use]
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(Admin::address)
    }
}

/// Opens the socket for load gossip; `None` if the settings don't allow gossip, or if the socket can't be opened.
/// Gossip is optional: without it, each dispatcher relies on its own observations.
fn open_gossip_transport(config: &Config, shared: bool) -> Option<GossipTransport> {
    let (address, all) = config.peers?;
    match bind_gossip(address, all, shared) {
        Ok(peers) => Some(peers),
        Err(error) => {
            warn!(address:% = address, reason:% = error; "gossip: can't listen; load gossip is not received");
            None
        }
    }
}

/// Starts answering on the admin address; retries for a while if listening fails with a transient error.
fn start_admin(
    at: SocketAddr,
    health: &Health,
    cluster: Option<&Cluster>,
    driver: &DriverHandle,
) -> Result<Admin, ListenError> {
    let cluster = cluster.map(Cluster::view);
    let sources = Sources { health: health.clone(), cluster, driver: driver.clone() };
    let start = || Admin::start(at, sources.clone());
    retry_transient("second address", transient::STARTUP_RETRY_TIME, is_transient, start)
        .map_err(|error: io::Error| ListenError { address: at, error })
}
