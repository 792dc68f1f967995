//! Hot restart: a newer process takes over from this one, or this one from an older process, on the same addresses.
//!
//! Hot restart is on if there is an admin address and `$TMPDIR` is set. The two processes find each other by locked
//! files ([`lock_files`]), and the older one exports the state that its router has learned to a file for the newer
//! one ([`state_file`]). While both serve, each knows the ids of the other's open requests ([`request_claims`]) and of those
//! that must not be repeated ([`executed_ids`], [`run_records`]). `crates/hot-restart` decides which share of the limits each
//! process has and when the newer one may serve; this module reads and writes the files and applies those decisions.

pub mod executed_ids;
mod lock_files;
pub mod request_claims;
pub mod run_records;
mod state_file;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dewladder_hot_restart::{
    share_of, share_used, Generation, HotRestart, LimitShare, Peer, RestartStatus, Stage, FULL_SHARE,
};
use log::{debug, info, warn};
use socket2::{Domain, Socket, Type};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::edge::clients::connection_limits::ConnectionLimits;
use crate::edge::clock::Clock;
use crate::edge::driver::{DriverHandle, Message};
use crate::edge::hot_restart::lock_files::LockFiles;
use crate::edge::hot_restart::state_file::{ReadError, StateFile};
use crate::edge::phase::Phase;
use crate::edge::settings::Config;
use crate::edge::stats::Figures;

/// Poll interval while there is no peer process and nothing is left to be written.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Poll interval while there is a peer process, this one is shutting down, or an announcement is still to be written.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time between a failed export of the learned state and the next attempt.
const EXPORT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The task of this process for hot restarts. See the [module](self).
#[derive(Debug)]
pub struct HotRestartTask {
    /// `None` while two other processes hold both locks, or while the folder can't be used.
    files: Option<LockFiles>,
    folder: PathBuf,
    listen: SocketAddr,
    restart: HotRestart,
    clock: Clock,
    /// Whether the current announcement is still to be written, because writing it failed.
    announcement_pending: bool,
    export: Export,
    /// The generation of the peer whose learned state was imported; 0 if none was.
    imported_from: Generation,
}

/// The progress of exporting the learned state.
#[derive(Debug)]
struct Export {
    /// The generation of the peer for which the state was exported; 0 if it is still to be exported.
    exported_for: Generation,
    /// After a failure, the state is not exported again before this time.
    retry_at: Instant,
}

impl HotRestartTask {
    /// Creates the task, tries to take a lock and polls the peer process once. If no lock is free, each later poll
    /// tries again.
    #[must_use]
    pub fn start(config: &Config, folder: &str, clock: Clock) -> Self {
        let mut task = Self {
            files: None,
            folder: PathBuf::from(folder),
            listen: config.listen,
            restart: HotRestart::start(0, clock.now()),
            clock,
            announcement_pending: false,
            export: Export { exported_for: 0, retry_at: Instant::now() },
            imported_from: 0,
        };
        task.poll_peer(0);
        task
    }

    /// The state of both processes, as this one sees it now.
    #[must_use]
    pub fn status(&self) -> RestartStatus {
        self.restart.status()
    }

    /// Polls the peer process, and adjusts the limits to the share of this process; never returns. Publishes the
    /// status of both processes on `status` after each poll.
    pub async fn run(
        mut self,
        config: Config,
        limits: ConnectionLimits,
        driver: DriverHandle,
        figures: Figures,
        mut phase: watch::Receiver<Phase>,
        status: watch::Sender<Option<RestartStatus>>,
    ) {
        let mut applied = None;
        loop {
            let is_leaving = *phase.borrow_and_update() > Phase::Serving;
            if is_leaving {
                self.begin_leaving();
            }
            // Export before the poll that may give up a share: the newer process has the state before it can serve.
            self.export_if_due(&driver).await;
            self.poll_peer(share_used(limits.held() + figures.open(), config.limits.sockets));
            self.import_if_available(&driver);
            let (share, has_peer) = (self.status().own.share, self.status().peer.is_some());
            if applied.replace((share, has_peer)) != Some((share, has_peer)) {
                apply_share(share, has_peer, &config, &limits, &driver);
            }
            limits.evict_excess(Instant::now());
            status.send_replace(Some(self.status()));
            let is_settled = self.status().peer.is_none() && !is_leaving && !self.announcement_pending;
            let pause = if is_settled { IDLE_POLL_INTERVAL } else { POLL_INTERVAL };
            let _ = tokio::time::timeout_at(Instant::now() + pause, phase.changed()).await;
        }
    }

    /// At the shutdown of this process: announces that it is leaving, and has its learned state exported once more.
    fn begin_leaving(&mut self) {
        if self.status().own.stage == Stage::Leaving {
            return;
        }
        self.restart.begin_leaving();
        self.announce();
        self.export.exported_for = 0;
    }

    /// Takes a lock if one is free, and announces this process in its file. A third process has to wait until one of
    /// the two others ends.
    fn acquire_lock(&mut self) -> io::Result<()> {
        if let Some(files) = LockFiles::acquire(&self.folder, self.listen)? {
            self.restart.set_generation(files.next_generation());
            self.files = Some(files);
            self.announce();
        }
        Ok(())
    }

    /// Writes the announcement. If that fails, the next poll tries again.
    fn announce(&mut self) {
        let Some(files) = &self.files else { return };
        let written = files.announce(self.restart.announcement());
        if let (Err(error), false) = (&written, self.announcement_pending) {
            warn!(reason:% = error; "hot restart: announcement not written");
        }
        self.announcement_pending = written.is_err();
    }

    /// Reads the state of the peer process, and announces what changes here as a result. `in_use` is the share of the
    /// limits that this process uses now.
    fn poll_peer(&mut self, in_use: LimitShare) {
        let before = self.restart.peer().map(|peer| peer.stage);
        let peer_state = match self.read_peer() {
            Ok(peer_state) => peer_state,
            Err(error) => {
                debug!(reason:% = error; "hot restart: lock files not readable");
                None
            }
        };
        // The announcement follows at once, so that the peer sees what this process concluded from the state just
        // read.
        let changed = peer_state.is_some_and(|peer| self.restart.observe(self.clock.now(), peer, in_use));
        if changed || self.announcement_pending {
            self.announce();
        }
        let now = self.restart.peer().map(|peer| peer.stage);
        if before != now {
            match now {
                None => info!("hot restart: this process is alone"),
                Some(stage) => info!(stage = stage.name(); "hot restart: peer process"),
            }
        }
    }

    /// Reads the state of the peer process; `None` if it is unknown because two other processes hold both locks.
    fn read_peer(&mut self) -> io::Result<Option<Peer>> {
        if self.files.is_none() {
            if let Err(error) = self.acquire_lock() {
                // A process that is alone must be able to serve even if the folder can't be used.
                let peer = if is_address_in_use(self.listen) { Peer::Unreadable } else { Peer::Absent };
                debug!(reason:% = error, peer:? = peer; "hot restart: no lock file");
                return Ok(Some(peer));
            }
        }
        self.files.as_ref().map(LockFiles::peer).transpose()
    }

    /// Exports the learned state if there is a newer process: once for each one, and again after a failure.
    async fn export_if_due(&mut self, driver: &DriverHandle) {
        let RestartStatus { own, peer } = self.status();
        let Some(peer) = peer.filter(|peer| peer.generation > own.generation) else { return };
        if self.export.exported_for == peer.generation || Instant::now() < self.export.retry_at {
            return;
        }
        if self.export(driver).await {
            self.export.exported_for = peer.generation;
        } else {
            self.export.retry_at = Instant::now() + EXPORT_RETRY_PAUSE;
        }
    }

    /// Exports the state learned so far. Returns whether the file was written.
    async fn export(&self, driver: &DriverHandle) -> bool {
        let Some(files) = &self.files else { return false };
        let (reply, learned) = oneshot::channel();
        driver.send(Message::ExportState(reply));
        let Ok(learned) = learned.await else { return false };
        let generation = self.status().own.generation;
        let state = StateFile { generation, clock: self.clock.now(), learned: *learned };
        match state.write(files.state_file()) {
            Ok(()) => {
                info!("hot restart: learned state exported");
                true
            }
            Err(error) => {
                warn!(reason:% = error; "hot restart: learned state not exported");
                false
            }
        }
    }

    /// Imports the state that an older process has exported. State from any other process than the current peer is
    /// discarded: it is out of date. The file is removed either way, because it counts as memory of the program.
    fn import_if_available(&mut self, driver: &DriverHandle) {
        let RestartStatus { own, peer } = self.status();
        let (Some(files), Some(peer)) = (&self.files, peer) else { return };
        if peer.generation > own.generation || self.imported_from == peer.generation {
            return;
        }
        match StateFile::read(files.state_file()) {
            Ok(state) if state.generation == peer.generation => {
                info!("hot restart: learned state imported");
                self.imported_from = peer.generation;
                driver.send(Message::StateImported(Box::new(state.with_clock(self.clock.now()))));
            }
            Ok(_) => {}
            Err(ReadError::Absent) => return,
            Err(ReadError::Io(error)) => {
                return debug!(reason:% = error; "hot restart: learned state not readable yet");
            }
            Err(ReadError::Malformed(error)) => {
                warn!(reason:% = error; "hot restart: learned state not imported");
            }
        }
        if let Err(error) = std::fs::remove_file(files.state_file()) {
            warn!(reason:% = error; "hot restart: file of learned state not removed");
        }
    }
}

/// Limits the client connections, their memory and the open requests to a share of the configured limits.
/// `has_peer` says whether there is another process.
fn apply_share(
    share: LimitShare,
    has_peer: bool,
    config: &Config,
    limits: &ConnectionLimits,
    driver: &DriverHandle,
) {
    limits.set_max_connections(share_of(config.max_client_connections(), share));
    limits.memory.set_limit(share_of(config.client_memory(), share));
    let max_open_requests = share_of(config.max_open_requests(), share);
    let share = f64::from(share) / f64::from(FULL_SHARE);
    driver.send(Message::LimitShareChanged { share, max_open_requests, has_peer });
}

/// Whether any process listens on the address. Stands in for the lock files where they can't be used.
fn is_address_in_use(at: SocketAddr) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?; // so that connections in TIME_WAIT don't count
        socket.bind(&at.into())
    };
    bind().is_err_and(|error: io::Error| error.kind() == io::ErrorKind::AddrInUse)
}
