//! Computes the generation of a starting process.

use crate::announcement::Announcement;
use crate::generation::Generation;

/// The number of locks. Generations are numbered in steps of this, plus the index of the lock, so that two processes
/// that start at the same moment have different generations.
const LOCK_COUNT: Generation = 2;
/// Higher than any generation in a lock file that can't be read. Earlier versions used microseconds of Unix time as
/// the generation.
const MIN_AFTER_UNREADABLE: Generation = 1 << 56;

/// The generation of a process that has taken the lock with index `lock` (0 or 1): higher than all generations in
/// `announced`, the last announcements in its own lock file and in the other one. `unreadable` means that a process
/// holds the other lock, but its announcement can't be read; that process started earlier.
#[must_use]
pub fn next_generation(lock: u64, announced: [Option<Announcement>; 2], unreadable: bool) -> Generation {
    let known = announced.iter().flatten().map(|last| last.generation.max(last.acknowledged_peer));
    let last = known.max().unwrap_or(0);
    let last = if unreadable { last.max(MIN_AFTER_UNREADABLE) } else { last };
    (last / LOCK_COUNT + 1) * LOCK_COUNT + lock % LOCK_COUNT
}
