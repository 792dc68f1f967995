//! The ids of the open requests of all processes of one dispatcher: a request whose id is open in either process is a
//! duplicate in both. So is one whose id belongs to a request that has ended, may have run and must not run twice
//! ([`executed_ids`](super::executed_ids)).
//!
//! Each process holds a lock on one byte of a shared file for each of its open requests, at an offset that follows from the
//! id. The operating system grants a lock to one process only, and frees the locks of a process that ends, however it ends.
//! The file stays empty.

use std::collections::HashSet;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::warn;
use nix::errno::Errno;
use nix::fcntl::{fcntl, FcntlArg};

use crate::edge::hot_restart::executed_ids::{ExecutedIds, Recorded};
use crate::interface::{Micros, RequestId};

/// The suffix of the file's name.
const FILE_SUFFIX: &str = "requests";
/// The suffixes of the names of the files with the ids of requests that may have run.
const EXECUTED_SUFFIXES: [&str; 2] = ["executed0", "executed1"];

/// Whether an id is open in another process of this dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is not, and no other process can open it until it is released here.
    Exclusive,
    /// It is open here or in another process, or its request has run and must not run again.
    Taken,
    /// The files can't be used, so nothing is known of other processes.
    Unknown,
    /// There is no room to remember it, so its request must not run.
    NoRoom,
}

/// The claims of this process on the ids of its open requests. See the [module](self).
#[derive(Debug, Default)]
pub struct RequestClaims {
    /// `None` if there can't be another process.
    path: Option<PathBuf>,
    /// `None` until the file has been opened, and after a lock has failed.
    file: Option<File>,
    /// The offsets of the ids that are open here.
    offsets: HashSet<i64>,
    /// The ids of requests that must not run twice and that are open, or may have run.
    executed: ExecutedIds,
}

impl RequestClaims {
    /// The claims of a process of the dispatcher that listens on `listen`; `folder` is shared by its processes.
    #[must_use]
    pub fn shared(folder: &Path, listen: SocketAddr) -> Self {
        let path =
            |suffix: &str| folder.join(format!("dewladder-{}-{}.{suffix}", listen.ip(), listen.port()));
        let executed = ExecutedIds::shared(EXECUTED_SUFFIXES.map(path));
        Self { path: Some(path(FILE_SUFFIX)), executed, ..Self::default() }
    }

    /// Claims the id of a request that is to be opened. `is_repeatable` says whether the request may run twice. An id
    /// that is not taken must be [released](Self::release) when its request ends.
    pub fn claim(&mut self, id: RequestId, is_repeatable: bool, now: Micros) -> Claim {
        if self.executed.is_known_here(id) {
            return Claim::Taken;
        }
        let claim = self.lock(id);
        if claim == Claim::Taken {
            return claim;
        }
        // Looked up under the lock: the process that held it until now has recorded the id before.
        let is_known_elsewhere = self.executed.is_known_elsewhere(id, now);
        if is_known_elsewhere.as_ref().is_ok_and(|&is_known| is_known) {
            self.unlock(id);
            return Claim::Taken;
        }
        let recorded = if is_repeatable { Recorded::Shared } else { self.executed.insert(id, now) };
        match recorded {
            Recorded::NoRoom => Claim::NoRoom,
            Recorded::Shared if is_known_elsewhere.is_ok() => claim,
            Recorded::Shared | Recorded::Unshared => Claim::Unknown,
        }
    }

    fn lock(&mut self, id: RequestId) -> Claim {
        if self.path.is_none() {
            return Claim::Exclusive;
        }
        let offset = offset(id);
        if self.offsets.contains(&offset) {
            return Claim::Taken;
        }
        let locked = self.open_file().and_then(|file| lock(file, offset, libc::F_WRLCK));
        match locked {
            Ok(true) => {
                self.offsets.insert(offset);
                Claim::Exclusive
            }
            Ok(false) => Claim::Taken,
            Err(error) => {
                self.offsets.insert(offset);
                self.give_up_file(&error);
                Claim::Unknown
            }
        }
    }

    /// Releases the id of a request that has ended. It stays taken if the request may have run and must not run twice.
    pub fn release(&mut self, id: RequestId, may_have_run: bool, now: Micros) {
        if may_have_run {
            self.executed.ended(id, now);
        } else {
            self.executed.remove(id);
        }
        self.unlock(id);
    }

    fn unlock(&mut self, id: RequestId) {
        let offset = offset(id);
        if !self.offsets.remove(&offset) {
            return;
        }
        let Some(file) = &self.file else { return };
        if let Err(error) = lock(file, offset, libc::F_UNLCK) {
            self.give_up_file(&error);
        }
    }

    /// The file, which is opened if it is not open. The ids that are open here are then locked again: a lock that
    /// another process holds by now stays there.
    fn open_file(&mut self) -> io::Result<&File> {
        if self.file.is_none() {
            let path = self.path.as_ref().ok_or(io::ErrorKind::NotFound)?;
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            for &offset in &self.offsets {
                lock(&file, offset, libc::F_WRLCK)?;
            }
            self.file = Some(file);
        }
        self.file.as_ref().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Closes the file after an error, which frees all locks; the next claim opens it again.
    fn give_up_file(&mut self, error: &io::Error) {
        if self.file.take().is_some() || self.offsets.len() == 1 {
            warn!(reason:% = error; "hot restart: ids of open requests are not shared");
        }
    }
}

/// The offset that stands for an id. Two ids that differ in the highest bit only share one; then the second is taken
/// while the first is open.
fn offset(id: RequestId) -> i64 {
    (id.0 & i64::MAX as u64) as i64
}

/// Locks or unlocks one byte without waiting. Returns false if another process holds a lock on it.
fn lock(file: &File, offset: i64, kind: libc::c_int) -> io::Result<bool> {
    let range = libc::flock {
        l_type: kind as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: offset,
        l_len: 1,
        l_pid: 0,
    };
    loop {
        match fcntl(file, FcntlArg::F_OFD_SETLK(&range)) {
            Ok(_) => return Ok(true),
            Err(Errno::EAGAIN | Errno::EACCES) => return Ok(false),
            Err(Errno::EINTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}
