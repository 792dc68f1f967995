//! Hot restart: a new version takes over from this process, or this one from an older process, on the same addresses.
//!
//! Where there is a second address and `$TMPDIR`, the two processes know each other by locked files ([`lock_files`]), and
//! the first one leaves what it has learned for the other ([`state_file`]). Who holds which share of the limits, and when
//! the later one may serve, is decided by `crates/hot-restart`; here that is watched, written and applied.

mod lock_files;
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

/// Time between two looks while this process is alone.
const SLOW_POLL: Duration = Duration::from_millis(150);
/// Time between two looks while there is another process, or something is still to be written.
const FAST_POLL: Duration = Duration::from_millis(40);
/// An export that failed is tried again after this.
const EXPORT_RETRY: Duration = Duration::from_millis(200);

/// This process's side of a hot restart. See the [module](self).
#[derive(Debug)]
pub struct HotRestartTask {
    /// Absent while two other processes hold both locks, or the folder can't be used.
    files: Option<LockFiles>,
    folder: PathBuf,
    listen: SocketAddr,
    restart: HotRestart,
    clock: Clock,
    /// The announcement could not be written yet.
    is_unannounced: bool,
    export: Export,
    /// The generation of the peer whose state was imported; 0 for none.
    imported_from: Generation,
}

/// How far the export of what was learned has come.
#[derive(Debug)]
struct Export {
    /// The generation of the peer that it was written for; 0 for none.
    written_for: Generation,
    /// One that failed is tried again then.
    retry_at: Instant,
}

impl HotRestartTask {
    /// Takes a lock, or tries again at each look.
    #[must_use]
    pub fn start(config: &Config, folder: &str, clock: Clock) -> Self {
        let mut task = Self {
            files: None,
            folder: PathBuf::from(folder),
            listen: config.listen,
            restart: HotRestart::start(0, clock.now()),
            clock,
            is_unannounced: false,
            export: Export { written_for: 0, retry_at: Instant::now() },
            imported_from: 0,
        };
        task.look(0);
        task
    }

    /// Both processes, as this one sees them now.
    #[must_use]
    pub fn status(&self) -> RestartStatus {
        self.restart.status()
    }

    /// Follows the other process for ever, and has the limits held to this one's share.
    pub async fn run(
        mut self,
        config: Config,
        limits: ConnectionLimits,
        driver: DriverHandle,
        figures: Figures,
        mut phase: watch::Receiver<Phase>,
        status: watch::Sender<Option<RestartStatus>>,
    ) {
        let mut applied = 0;
        loop {
            let is_leaving = *phase.borrow_and_update() > Phase::Serving;
            if is_leaving {
                self.begin_leaving();
            }
            // The later process has the state before it can count on what is given up for it.
            self.export_if_due(&driver).await;
            self.look(share_used(limits.held() + figures.open(), config.limits.sockets));
            self.import_if_there(&driver);
            let share = self.status().own.share;
            if share != applied {
                applied = share;
                apply_share(share, &config, &limits, &driver);
            }
            limits.evict_excess(Instant::now());
            status.send_replace(Some(self.status()));
            let is_settled = self.status().peer.is_none() && !is_leaving && !self.is_unannounced;
            let pause = if is_settled { SLOW_POLL } else { FAST_POLL };
            let _ = tokio::time::timeout_at(Instant::now() + pause, phase.changed()).await;
        }
    }

    /// This process has been told to end: that is announced, and what it has learned is exported once more.
    fn begin_leaving(&mut self) {
        if self.status().own.stage == Stage::Leaving {
            return;
        }
        self.restart.begin_leaving();
        self.announce();
        self.export.written_for = 0;
    }

    /// Takes a lock, if one is free, and announces this process there: a third process waits for one of the two to end.
    fn acquire_lock(&mut self) -> io::Result<()> {
        if let Some(files) = LockFiles::acquire(&self.folder, self.listen)? {
            self.restart.set_generation(files.next_generation());
            self.files = Some(files);
            self.announce();
        }
        Ok(())
    }

    /// Writes the announcement; at the next look again, where that fails.
    fn announce(&mut self) {
        let Some(files) = &self.files else { return };
        let written = files.announce(self.restart.announcement());
        if let (Err(error), false) = (&written, self.is_unannounced) {
            warn!(reason:% = error; "hot restart: announcement not written");
        }
        self.is_unannounced = written.is_err();
    }

    /// Looks at the other process and announces what has changed here; `in_use` is the share of the limits in use.
    fn look(&mut self, in_use: LimitShare) {
        let before = self.restart.peer().map(|peer| peer.stage);
        let seen = match self.read_peer() {
            Ok(seen) => seen,
            Err(error) => {
                debug!(reason:% = error; "hot restart: lock files not readable");
                None
            }
        };
        // What is read is acted on and announced in one go.
        let changed = seen.is_some_and(|peer| self.restart.observe(self.clock.now(), peer, in_use));
        if changed || self.is_unannounced {
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

    /// What is seen of the other process; `None` where nothing has to be concluded from it.
    fn read_peer(&mut self) -> io::Result<Option<Peer>> {
        if self.files.is_none() {
            if let Err(error) = self.acquire_lock() {
                // A folder that can't be used must not keep a lone process from serving.
                let peer = if someone_listens(self.listen) { Peer::Unreadable } else { Peer::Absent };
                debug!(reason:% = error, peer:? = peer; "hot restart: no lock file");
                return Ok(Some(peer));
            }
        }
        self.files.as_ref().map(LockFiles::peer).transpose()
    }

    /// Writes what has been learned for a later process, once for each, and again where that failed.
    async fn export_if_due(&mut self, driver: &DriverHandle) {
        let RestartStatus { own, peer } = self.status();
        let Some(peer) = peer.filter(|peer| peer.generation > own.generation) else { return };
        if self.export.written_for == peer.generation || Instant::now() < self.export.retry_at {
            return;
        }
        if self.export(driver).await {
            self.export.written_for = peer.generation;
        } else {
            self.export.retry_at = Instant::now() + EXPORT_RETRY;
        }
    }

    /// Writes what has been learned by now; whether the file is complete.
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

    /// Imports the state that an earlier process has exported, if it is of the one that lives: what lies there otherwise
    /// means nothing. The file is removed, as it counts as memory.
    fn import_if_there(&mut self, driver: &DriverHandle) {
        let RestartStatus { own, peer } = self.status();
        let (Some(files), Some(peer)) = (&self.files, peer) else { return };
        if peer.generation > own.generation || self.imported_from == peer.generation {
            return;
        }
        match StateFile::read(files.state_file()) {
            Ok(state) if state.generation == peer.generation => {
                info!("hot restart: learned state imported");
                self.imported_from = peer.generation;
                driver.send(Message::StateImported(Box::new(state.on_clock(self.clock.now()))));
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

/// Holds connections and open requests to a share of the limits.
fn apply_share(share: LimitShare, config: &Config, limits: &ConnectionLimits, driver: &DriverHandle) {
    limits.set_max_connections(share_of(config.max_client_connections(), share));
    let max_open_requests = share_of(config.max_open_requests(), share);
    let share = f64::from(share) / f64::from(FULL_SHARE);
    driver.send(Message::LimitShareChanged { share, max_open_requests });
}

/// Whether any process listens there: tells whether this one is alone where no file can.
fn someone_listens(at: SocketAddr) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?; // connections that have ended do not count
        socket.bind(&at.into())
    };
    bind().is_err_and(|error: io::Error| error.kind() == io::ErrorKind::AddrInUse)
}
