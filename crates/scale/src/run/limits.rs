//! What the machine allows, looked at before anything starts.

use thiserror::Error;

use super::RunOptions;

/// Processes of a run at the most.
const MAX_PROCESSES: u32 = 100;
/// A hollow replica takes about so much (bytes): a listener, and a task for each connection.
const REPLICA_BYTES: u64 = 40_000;
/// The process of the clients and that of the replicas, each without its load (bytes).
const PROCESS_BYTES: u64 = 200 << 20;
/// Descriptors that a process has besides those of its load.
const SPARE_DESCRIPTORS: u64 = 200;

/// Why the machine is too small for a run; one plain line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LimitError {
    /// Too many processes.
    #[error("--real: {wanted} processes, of {MAX_PROCESSES} at the most")]
    Processes {
        /// How many there would be.
        wanted: u32,
    },
    /// Too much memory.
    #[error("--servers, --real: about {wanted} MB, of {most} MB (half of the machine's memory)")]
    Memory {
        /// How much it would take.
        wanted: u64,
        /// How much it may take.
        most: u64,
    },
    /// Too few descriptors.
    #[error("--servers, --real: about {wanted} descriptors in one process, of {most} (ulimit -n)")]
    Descriptors {
        /// How many it would take.
        wanted: u64,
        /// How many there may be.
        most: u64,
    },
}

/// The number on the line of a file of the system that begins so.
fn number_of(path: &str, begins: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(begins))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Requests that are open at one real dispatcher, about.
fn open(options: &RunOptions) -> u64 {
    let seconds = options.stream().as_secs_f64() + 1.0;
    (f64::from(options.requests) * seconds).ceil() as u64
}

pub(super) fn check(options: &RunOptions) -> Result<(), LimitError> {
    let processes = options.real + 3;
    if processes > MAX_PROCESSES {
        return Err(LimitError::Processes { wanted: processes });
    }
    let real = u64::from(options.real);
    let wanted =
        real * (options.memory_mb << 20) + u64::from(options.servers) * REPLICA_BYTES + 2 * PROCESS_BYTES;
    let most = number_of("/proc/meminfo", "MemTotal:").map_or(u64::MAX, |kilobytes| kilobytes * 1_024 / 2);
    if wanted > most {
        return Err(LimitError::Memory { wanted: wanted >> 20, most: most >> 20 });
    }
    // Those that wait for a connection of its own are few beside the open ones; twice is ample.
    let wanted = u64::from(options.servers) + 2 * real * open(options) + SPARE_DESCRIPTORS;
    let wanted = wanted.max(u64::from(options.descriptors));
    match number_of("/proc/self/limits", "Max open files") {
        Some(most) if wanted > most => Err(LimitError::Descriptors { wanted, most }),
        _ => Ok(()),
    }
}
