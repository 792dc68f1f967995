//! The dispatcher put together: its parts, their start and their end.

use std::net::SocketAddr;
use std::time::Duration;

use log::{error, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::edge::admin::Admin;
use crate::edge::balancers::{self, Health};
use crate::edge::clients::connection_limits::ConnectionLimits;
use crate::edge::clients::listener;
use crate::edge::clients::{chat, platform};
use crate::edge::clock::Clock;
use crate::edge::cluster::Cluster;
use crate::edge::driver::{Driver, DriverHandle, Message};
use crate::edge::kin::{Companion, Seen};
use crate::edge::peers::Peers;
use crate::edge::phase::Phase;
use crate::edge::settings::{Config, ConfigError, Fronts, Retuned};
use crate::edge::stats::Figures;
use crate::edge::transient::{self, is_transient, outlast};
use crate::edge::{list, listing};
use crate::interface::ListUpdateKind;
use dewladder_hot_restart::{replaced, Stage};

/// After SIGTERM new connections go on coming for up to 0.4 s; only then are idle ones closed.
const LEAVE: Duration = Duration::from_millis(600);
const LOOK: Duration = Duration::from_millis(20);
/// A configuration that can't be read is read again for so long.
const REREAD: Duration = Duration::from_secs(1);
/// What is a help and not a need is waited for at a start for so long.
const HELP: Duration = Duration::from_millis(500);

/// Takes over new settings while the dispatcher runs.
pub struct Retuning {
    config: Config,
    to: DriverHandle,
    figures: Figures,
    discovery: watch::Sender<SocketAddr>,
}

impl Retuning {
    /// Reads the file at `path` again and takes it over in one step; one that is broken changes nothing.
    pub fn read_again(&mut self, path: &str, environment: impl Fn(&str) -> Option<String>) {
        let read = self.config.read_again(path, environment);
        self.take(read);
    }

    /// The same, and a file that the system can't read just now is asked for again for a second: clients go by it soon.
    pub async fn read_again_soon(&mut self, path: &str, environment: impl Fn(&str) -> Option<String>) {
        let until = Instant::now() + REREAD;
        loop {
            match self.config.read_again(path, &environment) {
                Err(error) if error.is_transient() && Instant::now() < until => {
                    tokio::time::sleep(transient::PAUSE).await;
                }
                read => return self.take(read),
            }
        }
    }

    fn take(&mut self, read: Result<Retuned, ConfigError>) {
        match read {
            Ok(retuned) => {
                let classes: Vec<&str> =
                    retuned.settings.current().map(|class| class.name.as_str()).collect();
                let (discovery, classes) = (retuned.discovery, classes.join(", "));
                info!("configuration taken over: discovery at {discovery}, classes {classes}");
                if !retuned.takes_restart.is_empty() {
                    warn!(
                        "configuration: taken over at a restart only: {}",
                        retuned.takes_restart.join("; ")
                    );
                }
                self.config.take(&retuned);
                self.to.send(Message::SettingsReloaded(Box::new(retuned.settings)));
                self.discovery.send_replace(discovery);
                self.figures.record().reloads += 1;
            }
            Err(error) => {
                warn!("configuration not taken over, the old one stands: {error}");
                self.figures.record().reload_errors += 1;
            }
        }
    }
}

/// A dispatcher that listens and is ready to run.
pub struct Dispatcher {
    config: Config,
    driver: Driver,
    to_driver: DriverHandle,
    figures: Figures,
    phase: watch::Sender<Phase>,
    /// Addresses, their listeners, what is served there; listeners come later where another process still serves.
    fronts: Vec<(SocketAddr, Option<TcpListener>, axum::Router)>,
    agent: Option<TcpListener>,
    peers: Option<Peers>,
    health: Health,
    admin: Option<Admin>,
    companion: Option<Companion>,
    cluster: Option<Cluster>,
}

impl Dispatcher {
    /// Binds all addresses.
    ///
    /// # Errors
    /// One plain line that says what can't be.
    pub fn bind(config: Config, settings: &Fronts) -> Result<Self, String> {
        let clock = Clock::start();
        // Where there is a second address, another process may take over while this one serves.
        let shared = config.admin.is_some();
        let (mut driver, to_driver) = Driver::new(&config, clock);
        let peers = config.peers.and_then(|(at, all)| match bind_peers(at, all, shared) {
            Ok(peers) => Some(peers),
            // What others know is a help, not a need: without it, each learns by itself.
            Err(error) => {
                warn!("peers: can't listen on {at}: {error}; messages of other dispatchers are not heard");
                None
            }
        });
        driver.set_peers(peers.clone().unwrap_or_default());
        let figures = driver.figures();
        // Only where there is a second address can another process be told to take over.
        let folder = std::env::var("TMPDIR").ok().filter(|_| shared);
        let companion = folder.map(|folder| Companion::start(&config, &folder, clock));
        let joins = companion.as_ref().is_some_and(|companion| companion.seen().0.stage == Stage::Joining);
        let (phase, phases) = watch::channel(if joins { Phase::Joining } else { Phase::Serving });
        let health = Health::new(figures.clone(), phases, config.max_open_requests());
        let listen = |address: SocketAddr| if joins { Ok(None) } else { listen(address, shared).map(Some) };
        let platform = platform::front(clock, to_driver.clone(), figures.clone());
        let platform = platform.merge(balancers::routes(health.clone()));
        let cluster = settings.cluster.as_ref().filter(|cluster| cluster.enabled);
        let cluster = cluster.map(|table| Cluster::bind(table, &config.name, shared, clock, config.seed));
        let cluster = cluster.transpose().map_err(|error| error.to_string())?;
        let mut fronts = vec![(config.listen, listen(config.listen)?, platform)];
        if let Some(chat) = settings.chat.as_ref().filter(|chat| chat.enabled) {
            let front = chat::front(
                chat,
                &config,
                clock,
                to_driver.clone(),
                cluster.as_ref().and_then(Cluster::quorum),
            )?;
            fronts.push((chat.listen, listen(chat.listen)?, front.merge(balancers::routes(health.clone()))));
        }
        let agent = settings.agent_check.as_ref().filter(|agent| agent.enabled);
        let agent = agent.map(|agent| crate::edge::dispatcher::listen(agent.listen, shared)).transpose()?;
        let admin = config.admin.map(|at| {
            let cluster = cluster.as_ref().map(Cluster::view);
            let start = || Admin::start(at, health.clone(), cluster.clone());
            outlast("second address", transient::START, is_transient, start)
                .map_err(|error| format!("can't listen on {at}: {error}"))
        });
        let admin = admin.transpose()?;
        Ok(Self {
            config,
            driver,
            to_driver,
            figures,
            phase,
            fronts,
            agent,
            peers,
            health,
            admin,
            companion,
            cluster,
        })
    }

    /// Where the fronts listen: the platform's, then the chat front, if it is on; last the agent check.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let fronts = self.fronts.iter().filter_map(|(_, listener, _)| listener.as_ref());
        let listeners = fronts.chain(&self.agent);
        listeners.filter_map(|listener| listener.local_addr().ok()).collect()
    }

    /// What takes over new settings while it runs; `discovery` is told where the list is to be watched.
    #[must_use]
    pub fn retuning(&self, discovery: watch::Sender<SocketAddr>) -> Retuning {
        let (config, to, figures) = (self.config.clone(), self.to_driver.clone(), self.figures.clone());
        Retuning { config, to, figures, discovery }
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

    /// Serves until `end` comes, then finishes what is held. The list is watched at the address that
    /// `discovery` holds.
    ///
    /// # Errors
    /// One plain line that says which part ended by itself.
    pub async fn run(
        self,
        discovery: watch::Receiver<SocketAddr>,
        end: impl std::future::Future<Output = ()>,
    ) -> Result<(), String> {
        let Self {
            config,
            driver,
            to_driver,
            figures,
            phase,
            fronts,
            agent,
            peers,
            health,
            admin,
            companion,
            cluster,
        } = self;
        let known = listing::entries(&config.known, &config.names);
        if let Some(admin) = &admin {
            info!("second address: {}", admin.address());
        }
        to_driver.send(Message::EndpointsUpdated { how: ListUpdateKind::StaleCopy, entries: known.clone() });
        let hearing = peers.map(|peers| tokio::spawn(peers.hear(to_driver.clone())));
        let mut driver = tokio::spawn(driver.run());
        let mut watching = tokio::spawn(list::watch(config.clone(), discovery, to_driver.clone()));
        let room = ConnectionLimits::new(config.max_client_connections());
        let agent = agent.map(|listener| tokio::spawn(balancers::agent_check(listener, health)));
        let (leave, left) = oneshot::channel();
        let cluster = cluster.map(|cluster| tokio::spawn(cluster.run(left)));
        let (tell, mut seen) = watch::channel(companion.as_ref().map(Companion::seen));
        let companion = companion.map(|companion| {
            let (room, to, figures) = (room.clone(), to_driver.clone(), figures.clone());
            tokio::spawn(companion.run(config.clone(), room, to, figures, phase.subscribe(), tell))
        });
        let mut end = std::pin::pin!(end);
        if *phase.borrow() == Phase::Joining {
            info!(
                "{}: another process serves on {}; waiting for a part of its limits",
                config.name, config.listen
            );
            tokio::select! {
                () = &mut end => return Ok(()),
                _ = seen.wait_for(|seen| seen.is_some_and(|(me, _)| me.stage != Stage::Joining)) => {}
            }
        }
        let mut serving = Vec::new();
        for (address, listener, front) in fronts {
            let listener = match listener {
                Some(listener) => listener,
                None => tokio::select! {
                    () = &mut end => return Ok(()),
                    listener = listen_soon(address) => listener?,
                },
            };
            let phases = phase.subscribe();
            let front = listener::serve(listener, front, room.clone(), figures.clone(), phases);
            serving.push(tokio::spawn(front));
        }
        phase.send_replace(Phase::Serving);
        info!("{}: serving on {}, {} servers known", config.name, config.listen, known.len());
        tokio::select! {
            () = &mut end => {}
            ended = &mut driver => return Err(format!("the driver ended: {ended:?}")),
            ended = &mut watching => return Err(format!("the watch of the list ended: {ended:?}")),
        }
        phase.send_replace(Phase::Leaving);
        // The platform tells this one to end as soon as the other says yes: its word is looked at once more.
        let left = |seen: &Option<Seen>| seen.is_some_and(|(me, _)| me.stage == Stage::Leaving);
        let is_replaced = match &companion {
            Some(_) => seen
                .wait_for(left)
                .await
                .is_ok_and(|seen| seen.is_some_and(|(me, other)| replaced(me, other))),
            None => false,
        };
        if is_replaced {
            info!("told to end: another process takes new clients");
            phase.send_replace(Phase::Yielding);
        } else {
            info!("told to end: clients are asked to leave");
        }
        tokio::time::sleep(LEAVE).await;
        phase.send_replace(Phase::Closing);
        for front in serving {
            if let Err(panic) = front.await {
                error!("a front ended badly: {panic}");
            }
        }
        while !figures.nothing_held() {
            tokio::time::sleep(LOOK).await;
        }
        for task in [agent, hearing, companion].into_iter().flatten() {
            task.abort();
        }
        watching.abort();
        // Told last: to the end this instance may hold something at servers.
        if let Some(cluster) = cluster {
            let _ = leave.send(());
            if let Err(panic) = cluster.await {
                error!("the cluster's part ended badly: {panic}");
            }
        }
        drop(admin); // it answers to the end
        info!("nothing is held any more: ending");
        Ok(())
    }
}

fn bind_peers(at: SocketAddr, all: SocketAddr, shared: bool) -> std::io::Result<Peers> {
    outlast("peers", HELP, is_transient, || Peers::bind(at, all, shared))
}

fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, String> {
    let listen = || listener::listen(address, shared);
    let listening = outlast("listener", transient::START, is_transient, listen);
    listening.map_err(|error| format!("can't listen on {address}: {error}"))
}

/// The same while the program does other things already.
async fn listen_soon(address: SocketAddr) -> Result<TcpListener, String> {
    let until = Instant::now() + transient::START;
    loop {
        match listener::listen(address, true) {
            Err(error) if is_transient(&error) && Instant::now() < until => {
                tokio::time::sleep(transient::PAUSE).await;
            }
            listening => return listening.map_err(|error| format!("can't listen on {address}: {error}")),
        }
    }
}
