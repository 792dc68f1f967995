//! A dispatcher: its parts are put together and bound to their addresses ([`Dispatcher::bind`]), and run until it is told
//! to end ([`Dispatcher::run`]).
//!
//! [`Phase`] tells all parts how far the program has come: it joins while another process still serves, serves, and on
//! SIGTERM leaves (or yields to the process that replaces it), closes its listeners, and ends once nothing is held.

mod listeners;
mod running;

use std::io;
use std::net::SocketAddr;

use log::warn;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::edge::admin::{Admin, Sources};
use crate::edge::balancers::{self, Health};
use crate::edge::clients::{chat, platform};
use crate::edge::clock::Clock;
use crate::edge::cluster::{BindError, Cluster};
use crate::edge::config_reload::ConfigReloader;
pub use crate::edge::dispatcher::listeners::ListenError;
use crate::edge::dispatcher::listeners::{bind_peers, listen};
pub use crate::edge::dispatcher::running::RunError;
use crate::edge::driver::{Driver, DriverHandle};
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::hot_restart::HotRestartTask;
use crate::edge::phase::Phase;
use crate::edge::settings::{Config, FieldError, Fronts};
use crate::edge::stats::Figures;
use crate::edge::transient::{self, is_transient, outlast};
use dewladder_hot_restart::Stage;

/// Why a dispatcher can't start; one plain line.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The settings of the chat front can't be used.
    #[error(transparent)]
    Chat(#[from] FieldError),
    /// The cluster table can't be used, or its address is taken.
    #[error(transparent)]
    Cluster(#[from] BindError),
}

/// A front: what is served at an address.
struct Front {
    address: SocketAddr,
    /// Comes later where another process still serves there.
    listener: Option<TcpListener>,
    routes: axum::Router,
}

/// A dispatcher that listens and is ready to run.
pub struct Dispatcher {
    config: Config,
    clock: Clock,
    driver: Driver,
    to_driver: DriverHandle,
    figures: Figures,
    phase: watch::Sender<Phase>,
    fronts: Vec<Front>,
    agent: Option<TcpListener>,
    gossip: Option<GossipTransport>,
    health: Health,
    admin: Option<Admin>,
    hot_restart: Option<HotRestartTask>,
    cluster: Option<Cluster>,
}

impl Dispatcher {
    /// Binds all addresses.
    ///
    /// # Errors
    /// Settings that can't be used, and addresses that can't be listened on.
    pub fn bind(config: Config, settings: &Fronts) -> Result<Self, StartError> {
        let clock = Clock::start();
        // Where there is a second address, another process may take over while this one serves.
        let shared = config.admin.is_some();
        let (mut driver, to_driver) = Driver::new(&config, clock);
        let gossip = open_gossip_transport(&config, shared);
        driver.set_gossip_transport(gossip.clone().unwrap_or_default());
        let figures = driver.figures();
        // Only where there is a second address can another process be told to take over.
        let folder = std::env::var("TMPDIR").ok().filter(|_| shared);
        let hot_restart = folder.map(|folder| HotRestartTask::start(&config, &folder, clock));
        let joins = hot_restart.as_ref().is_some_and(|task| task.status().own.stage == Stage::Joining);
        let (phase, phases) = watch::channel(if joins { Phase::Joining } else { Phase::Serving });
        let health = Health::new(figures.clone(), phases, config.max_open_requests());
        let table = settings.cluster.as_ref().filter(|cluster| cluster.enabled);
        let cluster = table.map(|table| Cluster::bind(table, &config.name, shared, clock, config.seed));
        let cluster = cluster.transpose()?;
        let open_front = |address, routes: axum::Router| -> Result<Front, ListenError> {
            let listener = if joins { None } else { Some(listen(address, shared)?) };
            Ok(Front { address, listener, routes: routes.merge(balancers::routes(health.clone())) })
        };
        let platform = platform::front(clock, to_driver.clone(), figures.clone());
        let mut fronts = vec![open_front(config.listen, platform)?];
        if let Some(chat) = settings.chat.as_ref().filter(|chat| chat.enabled) {
            let quorum = cluster.as_ref().and_then(Cluster::quorum);
            let routes = chat::front(chat, &config, clock, to_driver.clone(), quorum)?;
            fronts.push(open_front(chat.listen, routes)?);
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
            fronts,
            agent,
            gossip,
            health,
            admin,
            hot_restart,
            cluster,
        })
    }

    /// Where the fronts listen: the platform's, then the chat front, if it is on; last the agent check.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let fronts = self.fronts.iter().filter_map(|front| front.listener.as_ref());
        let listeners = fronts.chain(&self.agent);
        listeners.filter_map(|listener| listener.local_addr().ok()).collect()
    }

    /// What takes over new settings while it runs; `discovery` is told where the list is to be watched.
    #[must_use]
    pub fn config_reloader(&self, discovery: watch::Sender<SocketAddr>) -> ConfigReloader {
        let (config, driver, figures) = (self.config.clone(), self.to_driver.clone(), self.figures.clone());
        ConfigReloader::new(config, driver, figures, discovery)
    }

    /// The way to the driver.
    #[must_use]
    pub fn driver(&self) -> DriverHandle {
        self.to_driver.clone()
    }

    /// What health answers are told from.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health.clone()
    }

    /// Where the second address is, if there is one.
    #[must_use]
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(Admin::address)
    }
}

/// The socket for load gossip, where the settings allow it. What others know is a help, not a need: without it, each
/// dispatcher learns by itself.
fn open_gossip_transport(config: &Config, shared: bool) -> Option<GossipTransport> {
    let (address, all) = config.peers?;
    match bind_peers(address, all, shared) {
        Ok(peers) => Some(peers),
        Err(error) => {
            warn!(address:% = address, reason:% = error; "gossip: can't listen; load gossip is not received");
            None
        }
    }
}

fn start_admin(
    at: SocketAddr,
    health: &Health,
    cluster: Option<&Cluster>,
    driver: &DriverHandle,
) -> Result<Admin, ListenError> {
    let cluster = cluster.map(Cluster::view);
    let sources = Sources { health: health.clone(), cluster, driver: driver.clone() };
    let start = || Admin::start(at, sources.clone());
    outlast("second address", transient::START, is_transient, start)
        .map_err(|error: io::Error| ListenError { address: at, error })
}
