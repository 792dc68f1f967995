//! The file to which the older process of a hot restart exports its router's learned state for the newer one.

use std::io;
use std::path::Path;

use dewladder_hot_restart::Generation;
use dewladder_router::Handover;
use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// The file is read at most this long after it was written (us). If the writer's clock is further off, the clocks of
/// the two processes differ, and the difference is corrected.
const CLOCK_TOLERANCE: Micros = 5_000_000;

/// The content of the file. The serialized names are those that earlier versions read and write.
#[derive(Serialize, Deserialize)]
pub(super) struct StateFile {
    /// The generation of the process that exported it.
    #[serde(rename = "born")]
    pub(super) generation: Generation,
    /// The time of the export on the writer's clock (us). 0 if the file is from a version that did not write it,
    /// because it assumed that all processes of a machine have the same clock.
    #[serde(default)]
    pub(super) clock: Micros,
    /// The state that the router has learned.
    #[serde(rename = "learnt")]
    pub(super) learned: Handover,
}

/// Why a state file could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The file does not exist.
    #[error("the file does not exist")]
    Absent,
    /// Reading the file failed; a later attempt may succeed.
    #[error("{0}")]
    Io(io::Error),
    /// The content is not that of a state file.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

impl StateFile {
    /// Writes the file atomically: to a temporary file that is then renamed.
    ///
    /// # Errors
    /// The temporary file can't be written or renamed.
    pub(super) fn write(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self).map_err(io::Error::other)?;
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, text)?;
        std::fs::rename(&temporary, path)
    }

    /// Reads and parses the file.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub(super) fn read(path: &Path) -> Result<Self, ReadError> {
        match std::fs::read(path) {
            Ok(text) => Ok(serde_json::from_slice(&text)?),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Err(ReadError::Absent),
            Err(error) => Err(ReadError::Io(error)),
        }
    }

    /// The learned state, with its times converted to the clock of this process, which shows `now`. The clock of a
    /// process starts at the machine's wall-clock time and is not stepped with it: if the wall clock was stepped
    /// between the starts of the two processes, their clocks differ.
    pub(super) fn with_clock(self, now: Micros) -> Handover {
        let difference = now.abs_diff(self.clock);
        if self.clock == 0 || difference <= CLOCK_TOLERANCE {
            return self.learned;
        }
        self.learned.with_clock_shifted(now as i64 - self.clock as i64)
    }
}
