//! Another process of this dispatcher, while a new version takes over: how the two know of each other. Each holds a
//! lock on a file of its own in `$TMPDIR` for as long as it lives, and says there what it is; a file that nobody holds
//! a lock on means nothing, whatever it says. What follows from it is `crates/hot-restart`'s.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dewladder_hot_restart::{next_generation, Generation, Kin, Other, Part, Said, Stage, WHOLE};
use dewladder_router::Handover;
use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::edge::clients::connection_limits::ConnectionLimits;
use crate::edge::clock::Clock;
use crate::edge::driver::{DriverHandle, Message};
use crate::edge::phase::Phase;
use crate::edge::settings::Config;
use crate::edge::stats::Figures;
use crate::interface::Micros;

/// A line is written and read in one go, so it is always this long.
const LINE: usize = 64;
/// Time between two looks while nobody else is there, and while somebody is.
const SELDOM: Duration = Duration::from_millis(150);
const OFTEN: Duration = Duration::from_millis(40);
/// A hand-over that could not be written is tried again after this.
const HAND_OVER_AGAIN: Duration = Duration::from_millis(200);

/// A hand-over is taken this soon; what its clock is further off, the clocks differ by (us).
const CLOCKS_AGREE: Micros = 5_000_000;

/// The two processes' files.
#[derive(Debug)]
struct Seats {
    own: File,
    other: File,
    handover: PathBuf,
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// What came of looking for a free seat.
enum Taken {
    /// This process has it; its number.
    Seat(Seats, u64),
    /// Two processes have both.
    None,
}

impl Seats {
    /// Takes a free seat.
    fn take(folder: &Path, listen: SocketAddr) -> io::Result<Taken> {
        let name = format!("dewladder-{}-{}", listen.ip(), listen.port());
        let at = |what: &str| folder.join(format!("{name}.{what}"));
        for (number, [own, other]) in [["seat0", "seat1"], ["seat1", "seat0"]].into_iter().enumerate() {
            let own = open(&at(own))?;
            match own.try_lock() {
                Ok(()) => {
                    let (other, handover) = (open(&at(other))?, at("handover"));
                    return Ok(Taken::Seat(Self { own, other, handover }, number as u64));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(Taken::None)
    }

    fn say(&self, said: Said) -> io::Result<()> {
        let line = format!("{:<width$}\n", said.to_line().trim_end(), width = LINE - 1);
        self.own.write_all_at(line.as_bytes(), 0)
    }

    /// What was last said in a seat, if that can be read.
    fn said_in(seat: &File) -> Option<Said> {
        let mut bytes = [0; LINE];
        seat.read_exact_at(&mut bytes, 0).ok()?; // of a new file, a torn line or a failing disk nothing is known
        let line = std::str::from_utf8(&bytes).ok()?;
        Said::from_line(&format!("{}\n", line.trim_end()))
    }

    /// The process in the other seat.
    ///
    /// # Errors
    /// Where the system does not tell whether there is one.
    fn look(&self) -> io::Result<Other> {
        match self.other.try_lock_shared() {
            Ok(()) => {
                self.other.unlock()?; // nobody has it; nor do we
                Ok(Other::None)
            }
            Err(TryLockError::WouldBlock) => {
                Ok(Self::said_in(&self.other).map_or(Other::Unclear, Other::Says))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// The number of the process that has just taken this seat.
    fn next_generation(&self, number: u64) -> Generation {
        let unclear = matches!(self.look(), Ok(Other::Unclear) | Err(_));
        next_generation(number, [Self::said_in(&self.own), Self::said_in(&self.other)], unclear)
    }
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

/// What is handed over, and by whom.
#[derive(Serialize, Deserialize)]
struct Handed {
    born: Generation,
    /// What the clock of who hands over said as it did. Absent from versions that took all clocks of a machine for one.
    #[serde(default)]
    clock: Micros,
    learnt: Handover,
}

impl Handed {
    /// What was learnt, on the clock of who takes it over now. Both clocks are the machine's wall clock as it stood when
    /// their process started: it may have been stepped in between.
    fn on_clock(self, now: Micros) -> Handover {
        let apart = now.abs_diff(self.clock);
        if self.clock == 0 || apart <= CLOCKS_AGREE {
            return self.learnt;
        }
        self.learnt.shifted(now as i64 - self.clock as i64)
    }
}

/// What the rest of the program is told: what this process says of itself, and what the other one says.
pub type Seen = (Said, Option<Said>);

/// This process's side. See the [module](self).
#[derive(Debug)]
pub struct Companion {
    seats: Option<Seats>,
    folder: PathBuf,
    listen: SocketAddr,
    kin: Kin,
    clock: Clock,
    /// What it says of itself could not be written yet.
    unsaid: bool,
    /// The number of the other one that what is learnt was written for.
    handed_to: Generation,
    /// A hand-over that failed is tried again then.
    hand_over_at: Instant,
    /// The number of the other one whose hand-over was taken.
    taken_from: Generation,
}

impl Companion {
    /// Takes a seat, or tries again at each look.
    #[must_use]
    pub fn start(config: &Config, folder: &str, clock: Clock) -> Self {
        let mut companion = Self {
            seats: None,
            folder: PathBuf::from(folder),
            listen: config.listen,
            kin: Kin::start(0, clock.now()),
            clock,
            unsaid: false,
            handed_to: 0,
            hand_over_at: Instant::now(),
            taken_from: 0,
        };
        companion.look(0);
        companion
    }

    /// Takes a seat, if one is free, and says so there: a third process waits for one of the two to end.
    fn sit(&mut self) -> io::Result<()> {
        if let Taken::Seat(seats, number) = Seats::take(&self.folder, self.listen)? {
            self.kin.takes_seat(seats.next_generation(number));
            self.seats = Some(seats);
            self.say();
        }
        Ok(())
    }

    /// Writes what this process says of itself; at the next look again, where that fails.
    fn say(&mut self) {
        let Some(seats) = &self.seats else { return };
        let said = seats.say(self.kin.says());
        if let (Err(error), false) = (&said, self.unsaid) {
            warn!("kin: another process could not be told: {error}");
        }
        self.unsaid = said.is_err();
    }

    /// Looks at the other one and says what has changed here; `in_use` is the part of the limits in use.
    fn look(&mut self, in_use: Part) {
        let before = self.kin.other();
        let seen = match self.see() {
            Ok(seen) => seen,
            Err(error) => {
                debug!("kin: {error}");
                None
            }
        };
        // What is read is acted on and said in one go.
        let changed = seen.is_some_and(|other| self.kin.sees(self.clock.now(), other, in_use));
        if changed || self.unsaid {
            self.say();
        }
        let [before, now] = [before, self.kin.other()].map(|other| other.map(|other| other.stage));
        if before != now {
            match now {
                None => info!("kin: this process is alone"),
                Some(stage) => info!("kin: another process of this dispatcher is {stage:?}"),
            }
        }
    }

    /// What is seen of the other one; `None` where nothing has to be concluded from it.
    fn see(&mut self) -> io::Result<Option<Other>> {
        if self.seats.is_none() {
            if let Err(error) = self.sit() {
                // A folder that can't be used must not keep a lone process from serving.
                let other = if someone_listens(self.listen) { Other::Unclear } else { Other::None };
                debug!("kin: no seat: {error}; other: {other:?}");
                return Ok(Some(other));
            }
        }
        self.seats.as_ref().map(Seats::look).transpose()
    }

    /// What is told to the rest of the program.
    #[must_use]
    pub fn seen(&self) -> Seen {
        (self.kin.says(), self.kin.other())
    }

    /// Follows the other process for ever, and has the limits held to this one's part.
    pub async fn run(
        mut self,
        config: Config,
        room: ConnectionLimits,
        driver: DriverHandle,
        figures: Figures,
        mut phase: watch::Receiver<Phase>,
        tell: watch::Sender<Option<Seen>>,
    ) {
        let mut applied = 0;
        loop {
            let leaving = *phase.borrow_and_update() > Phase::Serving;
            if leaving && self.kin.says().stage != Stage::Leaving {
                self.kin.told_to_end();
                self.say();
                self.handed_to = 0;
            }
            // The one that comes after is told before it can count on what is given up for it.
            if let Some(other) = self.kin.other().filter(|other| other.born > self.kin.says().born) {
                if self.handed_to != other.born && Instant::now() >= self.hand_over_at {
                    if self.hand_over(&driver).await {
                        self.handed_to = other.born;
                    } else {
                        self.hand_over_at = Instant::now() + HAND_OVER_AGAIN;
                    }
                }
            }
            self.look(dewladder_hot_restart::part_of(room.held() + figures.open(), config.limits.sockets));
            self.take_over(&driver);
            let part = self.kin.says().part;
            if part != applied {
                applied = part;
                room.set_max_connections(dewladder_hot_restart::of(config.max_client_connections(), part));
                let max_open_requests = dewladder_hot_restart::of(config.max_open_requests(), part);
                driver.send(Message::LimitShareChanged {
                    part: f64::from(part) / f64::from(WHOLE),
                    max_open_requests,
                });
            }
            room.evict_excess(Instant::now());
            tell.send_replace(Some(self.seen()));
            let pause = if self.kin.other().is_some() || leaving || self.unsaid { OFTEN } else { SELDOM };
            let _ = tokio::time::timeout_at(Instant::now() + pause, phase.changed()).await;
        }
    }

    /// Writes what is learnt by now; whether it lies there whole.
    async fn hand_over(&self, driver: &DriverHandle) -> bool {
        let Some(seats) = &self.seats else { return false };
        let (learnt, answer) = oneshot::channel();
        driver.send(Message::ExportState(learnt));
        let Ok(learnt) = answer.await else { return false };
        let handed = Handed { born: self.kin.says().born, clock: self.clock.now(), learnt: *learnt };
        let written = serde_json::to_vec(&handed).map_err(io::Error::other).and_then(|text| {
            let new = seats.handover.with_extension("new");
            std::fs::write(&new, text)?;
            std::fs::rename(&new, &seats.handover) // whole or not at all
        });
        match &written {
            Ok(()) => info!("kin: what was learnt is handed over"),
            Err(error) => warn!("kin: what was learnt can't be handed over: {error}"),
        }
        written.is_ok()
    }

    /// Takes what the other one has handed over, if it is of the one that lives: what lies there otherwise means
    /// nothing. It is removed, as it counts as memory.
    fn take_over(&mut self, driver: &DriverHandle) {
        let (Some(seats), Some(other)) = (&self.seats, self.kin.other()) else { return };
        if other.born > self.kin.says().born || self.taken_from == other.born {
            return;
        }
        let text = match std::fs::read(&seats.handover) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return,
            Err(error) => return debug!("kin: what was handed over can't be read yet: {error}"),
        };
        match serde_json::from_slice::<Handed>(&text) {
            Ok(handed) if handed.born == other.born => {
                info!("kin: what the other process has learnt is taken over");
                self.taken_from = other.born;
                driver.send(Message::StateImported(Box::new(handed.on_clock(self.clock.now()))));
            }
            Ok(_) => {}
            Err(error) => warn!("kin: what was handed over can't be read: {error}"),
        }
        if let Err(error) = std::fs::remove_file(&seats.handover) {
            warn!("kin: what was handed over can't be removed: {error}");
        }
    }
}
