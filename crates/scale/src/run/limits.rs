//! Checks before a run starts that the machine has enough processes, memory and descriptors for it.

use thiserror::Error;

use super::RunOptions;

/// Maximum number of processes of a run, its own included.
const MAX_PROCESSES: u32 = 100;
/// Approximate memory of a hollow replica, for a listener and a task for each connection (bytes).
const REPLICA_BYTES: u64 = 40_000;
/// Approximate base memory of the process of the clients, and of that of the replicas, each without its load
/// (bytes).
const PROCESS_BYTES: u64 = 200 << 20;
/// Descriptors of a process besides those of its load.
const SPARE_DESCRIPTORS: u64 = 200;

/// Why the machine is too small for a run, as one line that begins with the options to change.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LimitError {
    /// The run would have too many processes.
    #[error("--real: {required} processes needed, at most {MAX_PROCESSES} allowed")]
    Processes {
        /// Number of processes of the run.
        required: u32,
    },
    /// The run would use too much memory.
    #[error("--servers, --real: about {required} MB needed, at most {limit} MB allowed (half of the machine's memory)")]
    Memory {
        /// Estimated memory of the run (MiB).
        required: u64,
        /// Half of the machine's memory (MiB).
        limit: u64,
    },
    /// One of the processes would need too many descriptors.
    #[error("--servers, --real: about {required} descriptors needed in one process, the limit is {limit} (ulimit -n)")]
    Descriptors {
        /// Estimated descriptors of the process that needs the most.
        required: u64,
        /// Descriptor limit of a process.
        limit: u64,
    },
}

/// The number after `prefix` on the first line that begins with it, in a file of the system; `None` if there is
/// none.
fn read_number(path: &str, prefix: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(prefix))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Estimated number of requests that are open at one real dispatcher.
fn estimated_open_requests(options: &RunOptions) -> u64 {
    let seconds = options.stream().as_secs_f64() + 1.0;
    (f64::from(options.requests) * seconds).ceil() as u64
}

/// Compares the estimated needs of a run with the limits. A limit that the system does not tell is not checked.
pub(super) fn check(options: &RunOptions) -> Result<(), LimitError> {
    let processes = options.real + 3;
    if processes > MAX_PROCESSES {
        return Err(LimitError::Processes { required: processes });
    }
    let real = u64::from(options.real);
    let required =
        real * (options.memory_mb << 20) + u64::from(options.servers) * REPLICA_BYTES + 2 * PROCESS_BYTES;
    let limit = read_number("/proc/meminfo", "MemTotal:").map_or(u64::MAX, |kilobytes| kilobytes * 1_024 / 2);
    if required > limit {
        return Err(LimitError::Memory { required: required >> 20, limit: limit >> 20 });
    }
    // Few connections are open besides those of the open requests, so twice the number of requests is ample.
    let required =
        u64::from(options.servers) + 2 * real * estimated_open_requests(options) + SPARE_DESCRIPTORS;
    let required = required.max(u64::from(options.descriptors));
    match read_number("/proc/self/limits", "Max open files") {
        Some(limit) if required > limit => Err(LimitError::Descriptors { required, limit }),
        _ => Ok(()),
    }
}
