//! Failures of system calls that pass by themselves, by the errnos of the man pages: the system lacks descriptors, memory
//! or ports for a moment, an address is about to be free, a disk is full or fails. What must be done all the same is
//! done again after a short wait.

use std::fmt::Display;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::warn;

/// What a start needs is asked for again for so long; the platform waits 10 s for a process to be ready.
pub const START: Duration = Duration::from_secs(6);
/// Time between two tries.
pub const PAUSE: Duration = Duration::from_millis(20);

/// Errnos of `socket(2)`, `bind(2)`, `listen(2)`, `accept(2)`, `connect(2)`, `open(2)`, `write(2)` and `flock(2)` that say
/// nothing of the other side, and that may be gone a moment later.
const TRANSIENT: [i32; 13] = [
    libc::EINTR,
    libc::EAGAIN,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EADDRINUSE,
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENETDOWN,
    libc::EIO,
    libc::ENOSPC,
    libc::ENOLCK,
];

/// Whether a failed call may do its work a moment later.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| TRANSIENT.contains(&errno))
}

/// Makes a call that a start can't do without, again and again while it fails for a moment, for so long at most. Blocks
/// the thread: nothing is served yet.
///
/// # Errors
/// What it says last, or at once where that does not pass.
pub fn outlast<T, E: Display>(
    what: &str,
    time: Duration,
    passes: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let until = Instant::now() + time;
    let mut told = false;
    loop {
        match call() {
            Err(error) if passes(&error) && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    warn!(part = what, reason:% = error; "start: tried again");
                }
                thread::sleep(PAUSE);
            }
            other => return other,
        }
    }
}
