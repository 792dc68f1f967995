//! The lock files of the two processes of one dispatcher, in `$TMPDIR`.
//!
//! Each process holds an exclusive lock on one of the two files for as long as it lives, and writes its announcement
//! there. The content of a file that no process has locked says nothing about a living process.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

use dewladder_hot_restart::{next_generation, Announcement, Generation, Peer};

/// The length of an announcement with its line feed, padded with spaces: a fixed length, so that it is written and
/// read by one system call.
const LINE_BYTES: usize = 64;
/// The suffixes of the lock files' names. Earlier versions use the same names.
const LOCK_SUFFIXES: [&str; 2] = ["seat0", "seat1"];
/// The suffix of the name of the file with the exported state.
const STATE_SUFFIX: &str = "handover";

/// Both lock files. This process holds the lock on `own`; a peer process, if there is one, the lock on `peer`.
#[derive(Debug)]
pub(super) struct LockFiles {
    own: File,
    peer: File,
    /// The index of the lock that this process holds: 0 or 1.
    index: u64,
    state_file: PathBuf,
}

impl LockFiles {
    /// Takes a free lock for the dispatcher that listens on `listen`. Returns `None` if other processes hold both.
    ///
    /// # Errors
    /// A file can't be opened, created or locked.
    pub(super) fn acquire(folder: &Path, listen: SocketAddr) -> io::Result<Option<Self>> {
        let name = format!("dewladder-{}-{}", listen.ip(), listen.port());
        let path = |suffix: &str| folder.join(format!("{name}.{suffix}"));
        for index in 0..LOCK_SUFFIXES.len() {
            let own = open(&path(LOCK_SUFFIXES[index]))?;
            match own.try_lock() {
                Ok(()) => {
                    let peer = open(&path(LOCK_SUFFIXES[1 - index]))?;
                    let state_file = path(STATE_SUFFIX);
                    return Ok(Some(Self { own, peer, index: index as u64, state_file }));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(None)
    }

    /// The path of the file with the state that the older process exports.
    pub(super) fn state_file(&self) -> &Path {
        &self.state_file
    }

    /// Writes an announcement to this process's file.
    ///
    /// # Errors
    /// The file can't be written.
    pub(super) fn announce(&self, announcement: Announcement) -> io::Result<()> {
        let line = format!("{:<width$}\n", announcement.to_line().trim_end(), width = LINE_BYTES - 1);
        self.own.write_all_at(line.as_bytes(), 0)
    }

    /// The state of the process that holds the other lock.
    ///
    /// # Errors
    /// The operating system failed to tell whether the other lock is held.
    pub(super) fn peer(&self) -> io::Result<Peer> {
        match self.peer.try_lock_shared() {
            Ok(()) => {
                self.peer.unlock()?; // only taken to see whether it was free
                Ok(Peer::Absent)
            }
            Err(TryLockError::WouldBlock) => {
                Ok(last_announcement(&self.peer).map_or(Peer::Unreadable, Peer::Announced))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// The generation for this process, which has just taken its lock: higher than all generations known from the
    /// files.
    pub(super) fn next_generation(&self) -> Generation {
        let unreadable = matches!(self.peer(), Ok(Peer::Unreadable) | Err(_));
        let announced = [last_announcement(&self.own), last_announcement(&self.peer)];
        next_generation(self.index, announced, unreadable)
    }
}

/// Opens a file for reading and writing; creates it if it does not exist.
fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// The announcement last written to a file. `None` if the file is new, the line is incomplete, or reading fails.
fn last_announcement(file: &File) -> Option<Announcement> {
    let mut bytes = [0; LINE_BYTES];
    file.read_exact_at(&mut bytes, 0).ok()?;
    let line = std::str::from_utf8(&bytes).ok()?;
    Announcement::from_line(&format!("{}\n", line.trim_end()))
}
