//! The generation of a process that starts.

use crate::announcement::Announcement;
use crate::generation::Generation;

/// Steps between two numbers: the last bit tells the locks of two apart that start at the same moment.
const LOCKS: Generation = 2;
/// Above all numbers that a lock file which can't be read may hold: earlier versions took microseconds of Unix time.
const SURELY_LATER: Generation = 1 << 56;

/// The generation of a process that takes this lock (0 or 1): above those last announced in its own lock file and in the
/// other one. `unreadable`: a process holds the other lock and can't be read; it was there first.
#[must_use]
pub fn next_generation(lock: u64, announced: [Option<Announcement>; 2], unreadable: bool) -> Generation {
    let known = announced.iter().flatten().map(|last| last.generation.max(last.acknowledged_peer));
    let last = known.max().unwrap_or(0);
    let last = if unreadable { last.max(SURELY_LATER) } else { last };
    (last / LOCKS + 1) * LOCKS + lock % LOCKS
}
