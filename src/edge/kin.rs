//! Another process of this dispatcher, while a new version takes over: how the two know of each other. Each holds a
//! lock on a file of its own in `$TMPDIR` for as long as it lives, and says there what it is; a file that nobody holds
//! a lock on means nothing, whatever it says. What follows from it is `crates/kin`'s.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dewladder_kin::{Kin, Other, Part, Said, Stage, WHOLE};
use dewladder_router::Handover;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::edge::clients::listener::Phase;
use crate::edge::clients::room::Room;
use crate::edge::clock::Clock;
use crate::edge::driver::{Message, Sender};
use crate::edge::settings::Config;
use crate::edge::stats::Figures;

/// A line is written and read in one go, so it is always this long.
const LINE: usize = 64;
/// Time between two looks while nobody else is there, and while somebody is.
const SELDOM: Duration = Duration::from_millis(150);
const OFTEN: Duration = Duration::from_millis(40);

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

impl Seats {
    /// Takes a free seat and its number; `None` where two processes have both.
    fn take(folder: &Path, listen: std::net::SocketAddr) -> io::Result<Option<(Self, u64)>> {
        let name = format!("dewladder-{}-{}", listen.ip(), listen.port());
        let at = |what: &str| folder.join(format!("{name}.{what}"));
        for (number, [own, other]) in [["seat0", "seat1"], ["seat1", "seat0"]].into_iter().enumerate() {
            let own = open(&at(own))?;
            match own.try_lock() {
                Ok(()) => {
                    let (other, handover) = (open(&at(other))?, at("handover"));
                    return Ok(Some((Self { own, other, handover }, number as u64)));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(None)
    }

    fn say(&self, said: Said) -> io::Result<()> {
        let line = format!("{:<width$}\n", said.to_line().trim_end(), width = LINE - 1);
        self.own.write_all_at(line.as_bytes(), 0)
    }

    fn look(&self) -> Other {
        match self.other.try_lock_shared() {
            Ok(()) => {
                let _ = self.other.unlock(); // nobody has it; nor do we
                Other::None
            }
            Err(_) => {
                let mut bytes = [0; LINE];
                let read = self.other.read_exact_at(&mut bytes, 0).ok();
                let line = read.and_then(|()| std::str::from_utf8(&bytes).ok());
                let said = line.and_then(|line| Said::from_line(&format!("{}\n", line.trim_end())));
                said.map_or(Other::Unclear, Other::Says)
            }
        }
    }
}

/// What is handed over, and by whom.
#[derive(Serialize, Deserialize)]
struct Handed {
    born: u64,
    learnt: Handover,
}

/// What the rest of the program is told: what this process says of itself, and what the other one says.
pub type Seen = (Said, Option<Said>);

/// This process's side. See the [module](self).
#[derive(Debug)]
pub struct Companion {
    seats: Option<Seats>,
    folder: PathBuf,
    listen: std::net::SocketAddr,
    kin: Kin,
    clock: Clock,
    /// Started when the other one that it was written for started.
    handed_to: u64,
}

impl Companion {
    /// Takes a seat. Without a folder there is nobody to know of.
    ///
    /// # Errors
    /// What the system says of the files.
    pub fn start(config: &Config, folder: &str, clock: Clock) -> io::Result<Self> {
        let (folder, listen, kin) = (PathBuf::from(folder), config.listen, Kin::start(clock.now()));
        let mut companion = Self { seats: None, folder, listen, kin, clock, handed_to: 0 };
        companion.sit()?;
        companion.look(0);
        Ok(companion)
    }

    /// Takes a seat, if one is free, and says so there: a third process waits for one of the two to end.
    fn sit(&mut self) -> io::Result<()> {
        if let Some((seats, number)) = Seats::take(&self.folder, self.listen)? {
            // No two start at the same time, as far as they can tell: their seats differ.
            self.kin = Kin::start((self.clock.now() & !1) | number);
            seats.say(self.kin.says())?;
            self.seats = Some(seats);
        }
        Ok(())
    }

    /// Looks at the other one and says what has changed here; `in_use` is the part of the limits in use.
    fn look(&mut self, in_use: Part) {
        if self.seats.is_none() {
            if let Err(error) = self.sit() {
                warn!("kin: no seat: {error}");
            }
        }
        let Some(seats) = &self.seats else { return };
        let before = self.kin.other();
        // What is read is acted on and said in one go.
        if self.kin.sees(self.clock.now(), seats.look(), in_use) {
            if let Err(error) = seats.say(self.kin.says()) {
                warn!("kin: another process could not be told: {error}");
            }
        }
        let [before, now] = [before, self.kin.other()].map(|other| other.map(|other| other.stage));
        if before != now {
            match now {
                None => info!("kin: this process is alone"),
                Some(stage) => info!("kin: another process of this dispatcher is {stage:?}"),
            }
        }
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
        room: Room,
        driver: Sender,
        figures: Figures,
        mut phase: watch::Receiver<Phase>,
        tell: watch::Sender<Option<Seen>>,
    ) {
        let mut applied = 0;
        loop {
            let leaving = *phase.borrow_and_update() > Phase::Serving;
            if leaving && self.kin.says().stage != Stage::Leaving {
                self.kin.told_to_end();
                if let Some(Err(error)) = self.seats.as_ref().map(|seats| seats.say(self.kin.says())) {
                    warn!("kin: another process could not be told: {error}");
                }
                self.handed_to = 0;
            }
            // The one that comes after is told before it can count on what is given up for it.
            if let Some(other) = self.kin.other().filter(|other| other.born > self.kin.says().born) {
                if self.handed_to != other.born {
                    self.handed_to = other.born;
                    self.hand_over(&driver).await;
                }
            }
            self.look(dewladder_kin::part_of(room.held() + figures.open(), config.limits.sockets));
            self.take_over(&driver);
            let part = self.kin.says().part;
            if part != applied {
                applied = part;
                room.holds(dewladder_kin::of(config.most_connections(), part));
                let most_open = dewladder_kin::of(config.most_open(), part);
                driver.send(Message::Part { part: f64::from(part) / f64::from(WHOLE), most_open });
            }
            room.shrink(Instant::now());
            tell.send_replace(Some(self.seen()));
            let pause = if self.kin.other().is_some() || leaving { OFTEN } else { SELDOM };
            let _ = tokio::time::timeout_at(Instant::now() + pause, phase.changed()).await;
        }
    }

    async fn hand_over(&self, driver: &Sender) {
        let Some(seats) = &self.seats else { return };
        let (learnt, answer) = oneshot::channel();
        driver.send(Message::Learnt(learnt));
        let Ok(learnt) = answer.await else { return };
        let handed = Handed { born: self.kin.says().born, learnt: *learnt };
        let written = serde_json::to_vec(&handed).map_err(io::Error::other).and_then(|text| {
            let new = seats.handover.with_extension("new");
            std::fs::write(&new, text)?;
            std::fs::rename(&new, &seats.handover) // whole or not at all
        });
        match written {
            Ok(()) => info!("kin: what was learnt is handed over"),
            Err(error) => warn!("kin: what was learnt can't be handed over: {error}"),
        }
    }

    /// Takes what the other one has handed over, if it is of the one that lives: what lies there otherwise means
    /// nothing. It is removed, as it counts as memory.
    fn take_over(&self, driver: &Sender) {
        let (Some(seats), Some(other)) = (&self.seats, self.kin.other()) else { return };
        if other.born > self.kin.says().born {
            return;
        }
        let Ok(text) = std::fs::read(&seats.handover) else { return };
        let _ = std::fs::remove_file(&seats.handover);
        match serde_json::from_slice::<Handed>(&text) {
            Ok(handed) if handed.born == other.born => {
                info!("kin: what the other process has learnt is taken over");
                driver.send(Message::TakenOver(Box::new(handed.learnt)));
            }
            Ok(_) => {}
            Err(error) => warn!("kin: what was handed over can't be read: {error}"),
        }
    }
}
