//! The lock files of the two processes of one dispatcher, in `$TMPDIR`.
//!
//! Each process holds a lock on a file of its own for as long as it lives, and writes its announcement there. A file that
//! nobody holds a lock on means nothing, whatever it says.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

use dewladder_hot_restart::{next_generation, Announcement, Generation, Peer};

/// A line is written and read in one go, so it is always this long.
const LINE_BYTES: usize = 64;
/// The ends of the two files' names, which earlier versions go by too.
const LOCK_NAMES: [&str; 2] = ["seat0", "seat1"];
/// The end of the name of the file with the exported state.
const STATE_NAME: &str = "handover";

/// The lock files, with the lock on its own held by this process.
#[derive(Debug)]
pub(super) struct LockFiles {
    own: File,
    peer: File,
    /// Which of the two locks this process holds.
    number: u64,
    state_file: PathBuf,
}

impl LockFiles {
    /// Takes a free lock for the dispatcher that listens at `listen`; `None` where two processes hold both.
    ///
    /// # Errors
    /// What the system says of the folder or the files.
    pub(super) fn acquire(folder: &Path, listen: SocketAddr) -> io::Result<Option<Self>> {
        let name = format!("dewladder-{}-{}", listen.ip(), listen.port());
        let path = |end: &str| folder.join(format!("{name}.{end}"));
        for number in 0..LOCK_NAMES.len() {
            let own = open(&path(LOCK_NAMES[number]))?;
            match own.try_lock() {
                Ok(()) => {
                    let peer = open(&path(LOCK_NAMES[1 - number]))?;
                    let state_file = path(STATE_NAME);
                    return Ok(Some(Self { own, peer, number: number as u64, state_file }));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(None)
    }

    /// Where the exported state of the first process lies.
    pub(super) fn state_file(&self) -> &Path {
        &self.state_file
    }

    /// Writes an announcement to the own file.
    ///
    /// # Errors
    /// What the system says.
    pub(super) fn announce(&self, announcement: Announcement) -> io::Result<()> {
        let line = format!("{:<width$}\n", announcement.to_line().trim_end(), width = LINE_BYTES - 1);
        self.own.write_all_at(line.as_bytes(), 0)
    }

    /// The process that holds the other lock.
    ///
    /// # Errors
    /// Where the system does not tell whether there is one.
    pub(super) fn peer(&self) -> io::Result<Peer> {
        match self.peer.try_lock_shared() {
            Ok(()) => {
                self.peer.unlock()?; // nobody has it; nor does this process
                Ok(Peer::Absent)
            }
            Err(TryLockError::WouldBlock) => {
                Ok(last_announcement(&self.peer).map_or(Peer::Unreadable, Peer::Announced))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// The generation of the process that has just taken this lock.
    pub(super) fn next_generation(&self) -> Generation {
        let unreadable = matches!(self.peer(), Ok(Peer::Unreadable) | Err(_));
        let announced = [last_announcement(&self.own), last_announcement(&self.peer)];
        next_generation(self.number, announced, unreadable)
    }
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// What was last announced in a file, if that can be read: of a new file, a torn line or a failing disk nothing is known.
fn last_announcement(file: &File) -> Option<Announcement> {
    let mut bytes = [0; LINE_BYTES];
    file.read_exact_at(&mut bytes, 0).ok()?;
    let line = std::str::from_utf8(&bytes).ok()?;
    Announcement::from_line(&format!("{}\n", line.trim_end()))
}
