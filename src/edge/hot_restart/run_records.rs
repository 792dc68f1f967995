//! Records of requests that must not run twice and that clients may repeat, by a key or by their body, for other processes
//! of this dispatcher: the store that recognizes repeats is known to one process only, and a repeat may come to the other one, or
//! to one that was started after the first has ended.
//!
//! Each process writes the records of the requests that run, or may have run, to a file of its own, which it keeps locked.
//! Before it runs such a request, it writes its record and then looks into the files of the others: if two processes do
//! that at the same time, at least one of them finds the record of the other. The file of a process that has ended counts
//! for as long as requests are remembered, from when it was first seen to have ended.

use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dewladder_replica::RecordId;
use log::warn;
use tokio::time::Instant;

/// The length of a record (bytes).
const RECORD_BYTES: usize = 16;
/// The record of a slot that is not in use.
const NO_RECORD: RecordId = RecordId([0; RECORD_BYTES]);

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRecorded {
    /// Another process has run the request, or may run it now.
    RunsElsewhere,
    /// The files can't be read or written, so nothing is known of other processes.
    Unknown,
}

/// The records of this process, and its view of those of others. See the [module](self).
#[derive(Debug)]
pub struct RunRecords {
    folder: PathBuf,
    /// What the names of the files of all processes of this dispatcher begin with.
    prefix: String,
    own_name: String,
    own: Option<File>,
    /// How long requests are remembered.
    retention: Duration,
    /// When the process of a file was first seen to have ended, by the name of the file.
    ended_at: HashMap<String, Instant>,
}

impl RunRecords {
    /// The records of a process of the dispatcher that listens on `listen`; `folder` is shared by its processes.
    /// `started` makes the name of its file unique together with the id of the process.
    #[must_use]
    pub fn new(folder: &Path, listen: SocketAddr, started: u64, retention: Duration) -> Self {
        let prefix = format!("dewladder-{}-{}.runs-", listen.ip(), listen.port());
        let own_name = format!("{prefix}{}-{started}", std::process::id());
        Self { folder: folder.to_owned(), prefix, own_name, own: None, retention, ended_at: HashMap::new() }
    }

    /// Writes the record of a request that is to run into a slot.
    ///
    /// # Errors
    /// The request must not run; its record has been removed.
    pub fn begin(&mut self, slot: u32, record: RecordId, now: Instant) -> Result<(), NotRecorded> {
        let found = self.write(slot, record).and_then(|()| self.is_known_elsewhere(record, now));
        self.accept_unless_found(slot, found)
    }

    /// Writes the record of a request that is no repeat, whatever other processes have recorded.
    ///
    /// # Errors
    /// The request must not run; its record has been removed.
    pub fn begin_first(&mut self, slot: u32, record: RecordId) -> Result<(), NotRecorded> {
        let written = self.write(slot, record);
        self.accept_unless_found(slot, written.map(|()| false))
    }

    fn accept_unless_found(&mut self, slot: u32, found: io::Result<bool>) -> Result<(), NotRecorded> {
        let refusal = match found {
            Ok(false) => return Ok(()),
            Ok(true) => NotRecorded::RunsElsewhere,
            Err(error) => {
                warn!(reason:% = error; "hot restart: records of requests are not shared");
                NotRecorded::Unknown
            }
        };
        self.remove(slot);
        Err(refusal)
    }

    /// Whether another process has this record, or may have it because the files can't be read.
    pub fn may_be_known_elsewhere(&mut self, record: RecordId, now: Instant) -> bool {
        self.is_known_elsewhere(record, now).unwrap_or(true)
    }

    /// Looks which processes have ended, from when on their records count for as long as requests are remembered.
    pub fn refresh(&mut self, now: Instant) {
        // What can't be read now is looked at again later.
        let _ = self.is_known_elsewhere(NO_RECORD, now);
    }

    /// Removes the record of a slot: its request never ran, or is not remembered any more.
    pub fn remove(&mut self, slot: u32) {
        // A record that stays has requests refused that may run, which is harmless for a while.
        let _ = self.write(slot, NO_RECORD);
    }

    fn write(&mut self, slot: u32, record: RecordId) -> io::Result<()> {
        if self.own.is_none() {
            let path = self.folder.join(&self.own_name);
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            file.lock()?;
            self.own = Some(file);
        }
        let own = self.own.as_ref().ok_or(io::ErrorKind::NotFound)?;
        own.write_all_at(&record.0, u64::from(slot) * RECORD_BYTES as u64)
    }

    /// Whether the file of another process has this record. Removes files that count no longer.
    fn is_known_elsewhere(&mut self, record: RecordId, now: Instant) -> io::Result<bool> {
        let mut is_known = false;
        for entry in std::fs::read_dir(&self.folder)? {
            let Ok(name) = entry?.file_name().into_string() else { continue };
            if !name.starts_with(&self.prefix) || name == self.own_name {
                continue;
            }
            let path = self.folder.join(&name);
            let file = match File::open(&path) {
                Ok(file) => file,
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue, // removed by the other process
                Err(error) => return Err(error),
            };
            if is_locked(&file)? {
                self.ended_at.remove(&name);
            } else if now > *self.ended_at.entry(name.clone()).or_insert(now) + self.retention {
                self.ended_at.remove(&name);
                let _ = std::fs::remove_file(&path); // tried again at the next look
                continue;
            }
            is_known |= record != NO_RECORD && has_record(&path, record)?;
        }
        Ok(is_known)
    }
}

impl Drop for RunRecords {
    /// Gives the lock up, from which others see that the process has ended. The file stays.
    fn drop(&mut self) {
        self.own = None;
    }
}

/// Whether the process of this file lives.
fn is_locked(file: &File) -> io::Result<bool> {
    match file.try_lock_shared() {
        Ok(()) => {
            file.unlock()?; // only taken to see whether it was free
            Ok(false)
        }
        Err(TryLockError::WouldBlock) => Ok(true),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

fn has_record(path: &Path, record: RecordId) -> io::Result<bool> {
    let bytes = std::fs::read(path)?;
    Ok(bytes.chunks_exact(RECORD_BYTES).any(|other| other == record.0))
}
