//! Retries of system calls that fail for a transient reason, as told by their errno: the system lacks descriptors,
//! memory or ports for a moment, an address is still in use, a disk is full or fails.

use std::fmt::Display;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::warn;

/// How long calls that are needed at startup are retried. The platform waits 10 s for a process to be ready.
pub const STARTUP_RETRY_TIME: Duration = Duration::from_secs(6);
/// Time between two tries of a call.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Errnos of `socket(2)`, `bind(2)`, `listen(2)`, `accept(2)`, `connect(2)`, `open(2)`, `write(2)` and `flock(2)`
/// whose cause is on this machine rather than at the peer, and may be gone a moment later.
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

/// Whether a call that failed with this error may succeed a moment later.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| TRANSIENT.contains(&errno))
}

/// Calls `call`, and retries it for `time` while it fails with errors for which `may_pass` holds. The first such
/// error is logged with `part`, the name of what is being started. Blocks the thread, so it is only for the startup,
/// before anything is served.
///
/// # Errors
/// The first error for which `may_pass` does not hold, or the last error once the time is over.
pub fn retry_transient<T, E: Display>(
    part: &str,
    time: Duration,
    may_pass: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let retry_until = Instant::now() + time;
    let mut is_logged = false;
    loop {
        match call() {
            Err(error) if may_pass(&error) && Instant::now() < retry_until => {
                if !std::mem::replace(&mut is_logged, true) {
                    warn!(part = part, reason:% = error; "start: failed for now, retrying");
                }
                thread::sleep(RETRY_INTERVAL);
            }
            other => return other,
        }
    }
}
