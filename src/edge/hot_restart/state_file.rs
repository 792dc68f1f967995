//! The file in which the first process leaves what it has learned for the one that takes its place.

use std::io;
use std::path::Path;

use dewladder_hot_restart::Generation;
use dewladder_router::Handover;
use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// The file is read this soon after it was written; what the writer's clock is further off, the clocks differ by (us).
const CLOCK_TOLERANCE: Micros = 5_000_000;

/// What is exported, and by whom. The written names are those that earlier versions read.
#[derive(Serialize, Deserialize)]
pub(super) struct StateFile {
    /// The generation of the process that exported it.
    #[serde(rename = "born")]
    pub(super) generation: Generation,
    /// What the writer's clock said (us). Absent from versions that took all clocks of a machine for one.
    #[serde(default)]
    pub(super) clock: Micros,
    #[serde(rename = "learnt")]
    pub(super) learned: Handover,
}

/// Why a state file could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// There is none.
    #[error("there is none")]
    Absent,
    /// The system can't read it just now.
    #[error("{0}")]
    Io(io::Error),
    /// It is not in the form of a state file.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

impl StateFile {
    /// Writes the file, whole or not at all.
    ///
    /// # Errors
    /// What the system says.
    pub(super) fn write(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self).map_err(io::Error::other)?;
        let new = path.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, path)
    }

    /// Reads the file.
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

    /// What was learned, on the clock of the process that takes it over now. Both clocks are the machine's wall clock as
    /// it stood when their process started: it may have been stepped in between.
    pub(super) fn on_clock(self, now: Micros) -> Handover {
        let apart = now.abs_diff(self.clock);
        if self.clock == 0 || apart <= CLOCK_TOLERANCE {
            return self.learned;
        }
        self.learned.with_clock_shifted(now as i64 - self.clock as i64)
    }
}
