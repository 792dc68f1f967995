//! The ids of requests that must not run twice and that run, or may have run. They are known after their requests have
//! ended, in every process of one dispatcher: an id that comes again then is a duplicate.
//!
//! An id is recorded before its request can be sent to a server, and removed if the request provably never ran. So the ids of
//! a process that is killed are known as well. A recorded id is kept for [`RETENTION`] after its request has ended, and
//! longer while there is room. If a bucket of the table has no room for another id, the new request must not run: no id
//! is forgotten early, however many new ones come.
//!
//! Each process has its table in memory, and a copy in a file that it keeps locked. There are two files, as a dispatcher has
//! two processes at most. The process that takes over the file of one that has ended continues its table; in the other
//! file, a process reads the one bucket in which an id would be.

mod table;

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt as _;
use std::path::PathBuf;

use log::warn;

pub use crate::edge::hot_restart::executed_ids::table::RETENTION;
use crate::edge::hot_restart::executed_ids::table::{
    bucket_of, used_id, Position, Record, Table, BUCKETS, BUCKET_BYTES, RECORD_BYTES,
};
use crate::interface::{Micros, RequestId};

/// A process's view of the ids of a dispatcher. See the [module](self).
#[derive(Debug, Default)]
pub struct ExecutedIds {
    table: Table,
    /// `None` if there can't be another process.
    files: Option<Files>,
}

/// Whether an id was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It was, and other processes know it.
    Shared,
    /// It was, but the files can't be used: only this process knows it.
    Unshared,
    /// It was not, as there is no room for it: its request must not run.
    NoRoom,
}

/// The files of both processes of a dispatcher.
#[derive(Debug)]
struct Files {
    paths: [PathBuf; 2],
    /// The file that this process has locked; `None` until it could be locked.
    own: Option<OwnFile>,
    /// The other file; `None` until it has been opened.
    other: Option<File>,
    /// Whether an error has been logged since the files last worked.
    has_warned: bool,
}

#[derive(Debug)]
struct OwnFile {
    file: File,
    /// The index of the file in [`Files::paths`].
    index: usize,
    /// A write has failed since the whole table was last written.
    is_incomplete: bool,
}

impl ExecutedIds {
    /// The ids of a process that shares them with another one in two files.
    #[must_use]
    pub fn shared(paths: [PathBuf; 2]) -> Self {
        let files = Files { paths, own: None, other: None, has_warned: false };
        Self { table: Table::default(), files: Some(files) }
    }

    /// Whether this process knows the id: its request is open here, or may have run.
    #[must_use]
    pub fn is_known_here(&self, id: RequestId) -> bool {
        self.table.find(id).is_some()
    }

    /// Whether the other process, or one that has ended, has recorded the id.
    ///
    /// # Errors
    /// The files can't be used, so that nothing is known of other processes.
    pub fn is_known_elsewhere(&mut self, id: RequestId, now: Micros) -> io::Result<bool> {
        let Some(files) = &mut self.files else { return Ok(false) };
        let result = files.synchronize(&mut self.table, now).and_then(|index| {
            // The table may have just been continued from the file of a process that has ended.
            Ok(self.table.find(id).is_some() || files.other_has(1 - index, id)?)
        });
        files.log_error(&result);
        result
    }

    /// Records the id of a request that is about to be opened.
    pub fn insert(&mut self, id: RequestId, now: Micros) -> Recorded {
        let Some(position) = self.table.insert(id, now) else { return Recorded::NoRoom };
        let Some(files) = &mut self.files else { return Recorded::Shared };
        let result = files
            .synchronize(&mut self.table, now)
            .and_then(|_| files.write(position, self.table.record(position)));
        files.log_error(&result);
        if result.is_ok() {
            Recorded::Shared
        } else {
            Recorded::Unshared
        }
    }

    /// Removes the id of a request that never ran: it may come again.
    pub fn remove(&mut self, id: RequestId) {
        let Some(position) = self.table.find(id) else { return };
        self.table.free(position);
        if let Some(files) = &mut self.files {
            // If this fails, the whole table is written when the next id is claimed.
            let result = files.write(position, self.table.record(position));
            files.log_error(&result);
        }
    }

    /// Records that the request of an id has ended and may have run.
    pub fn ended(&mut self, id: RequestId, now: Micros) {
        self.table.end(id, now);
    }
}

impl Files {
    /// Makes the own file hold the whole table: locks a file first if none is locked, and continues the table that it holds.
    /// Returns the index of the own file.
    fn synchronize(&mut self, table: &mut Table, now: Micros) -> io::Result<usize> {
        if self.own.is_none() {
            let own = self.lock_free_file()?;
            table.merge(&read_all(&own.file)?, now);
            self.own = Some(own);
        }
        let own = self.own.as_mut().ok_or(io::ErrorKind::NotFound)?;
        if own.is_incomplete {
            table.write_to(&own.file)?;
            own.is_incomplete = false;
        }
        Ok(own.index)
    }

    /// Locks the first file that no process has locked.
    fn lock_free_file(&self) -> io::Result<OwnFile> {
        for (index, path) in self.paths.iter().enumerate() {
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            match file.try_lock() {
                Ok(()) => return Ok(OwnFile { file, index, is_incomplete: true }),
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn write(&mut self, position: Position, record: Record) -> io::Result<()> {
        let Some(own) = &mut self.own else { return Ok(()) }; // the whole table is written once a file is locked
        let written = own.file.write_all_at(&record.to_bytes(), position.offset());
        own.is_incomplete |= written.is_err();
        written
    }

    /// Whether the file with this index has an id.
    fn other_has(&mut self, index: usize, id: RequestId) -> io::Result<bool> {
        if self.other.is_none() {
            match File::open(&self.paths[index]) {
                Ok(file) => self.other = Some(file),
                Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        let Some(other) = &self.other else { return Ok(false) };
        let mut bucket = [0; BUCKET_BYTES];
        let offset = Position { bucket: bucket_of(id), place: 0 }.offset();
        let length = read_up_to(other, &mut bucket, offset)?;
        Ok(bucket[..length].chunks_exact(RECORD_BYTES).any(|record| used_id(record) == Some(id)))
    }

    /// Logs the first of several errors.
    fn log_error<T>(&mut self, result: &io::Result<T>) {
        if let (Err(error), false) = (result, self.has_warned) {
            warn!(reason:% = error; "hot restart: ids of requests that have run are not shared");
        }
        self.has_warned = result.is_err();
    }
}

/// The whole content of a file.
fn read_all(file: &File) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; BUCKETS * BUCKET_BYTES];
    let length = read_up_to(file, &mut bytes, 0)?;
    bytes.truncate(length);
    Ok(bytes)
}

/// Reads until the buffer is full or the file ends; returns the number of bytes.
fn read_up_to(file: &File, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
    let mut length = 0;
    while length < buffer.len() {
        match file.read_at(&mut buffer[length..], offset + length as u64) {
            Ok(0) => break,
            Ok(read) => length += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(length)
}
