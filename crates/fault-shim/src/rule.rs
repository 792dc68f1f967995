//! The rules of a plan: which call fails how, from when to when, and how often.
//!
//! A rule is `CALL:EFFECT@FROM-TO%PERMILLE`: times in milliseconds since the process started, `PERMILLE` of the calls
//! hit. `accept:ECONNABORTED@500-900%300`, `recv:short@0-60000%100`, `clock:3600000@2000-60000`. The last part may be left
//! out: then every call is hit.

use std::str::FromStr;

/// A group of system calls that fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `connect` of a stream.
    Connect,
    /// `recv` and `recvfrom` of a stream.
    Receive,
    /// `send`, `sendmsg` and `writev` to a stream.
    Send,
    /// `open` of a file for reading or writing.
    Open,
    /// `read` and `pread` of a regular file.
    ReadFile,
    /// `write` and `pwrite` to a regular file.
    WriteFile,
    /// `rename`.
    Rename,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `flock`.
    Lock,
    /// `clock_gettime` of the wall clock.
    WallClock,
    /// A hold between a look at the monotonic clock and what follows it.
    MonotonicClock,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It fails with this errno and does nothing.
    Errno(i32),
    /// It does its work for a part of the bytes only.
    Short,
    /// The clock differs from the machine's by so many milliseconds.
    Step(i64),
    /// It returns so many milliseconds late.
    Hold(u64),
}

/// One rule of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The calls that it is about.
    pub call: Call,
    /// What becomes of them.
    pub effect: Effect,
    /// Milliseconds since the process started.
    pub from: u64,
    /// Milliseconds since the process started; from then on it holds no more.
    pub to: u64,
    /// So many of a thousand calls are hit.
    pub permille: u64,
}

impl Rule {
    /// Whether it holds at that time (ms since the start).
    #[must_use]
    pub fn holds(&self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }

    /// Whether a call with this lot is hit.
    #[must_use]
    pub fn hits(&self, lot: u64) -> bool {
        lot % 1_000 < self.permille
    }
}

const CALLS: [(&str, Call); 15] = [
    ("accept", Call::Accept),
    ("socket", Call::Socket),
    ("bind", Call::Bind),
    ("listen", Call::Listen),
    ("connect", Call::Connect),
    ("recv", Call::Receive),
    ("send", Call::Send),
    ("open", Call::Open),
    ("readfile", Call::ReadFile),
    ("writefile", Call::WriteFile),
    ("rename", Call::Rename),
    ("fsync", Call::Sync),
    ("flock", Call::Lock),
    ("clock", Call::WallClock),
    ("monotonic", Call::MonotonicClock),
];

const ERRNOS: [(&str, i32); 21] = [
    ("EACCES", libc::EACCES),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOLCK", libc::ENOLCK),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

impl FromStr for Effect {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text == "short" {
            return Ok(Self::Short);
        }
        if let Some(milliseconds) = text.strip_prefix("hold") {
            return milliseconds.parse().map(Self::Hold).map_err(|error| error.to_string());
        }
        if let Some((_, errno)) = ERRNOS.iter().find(|(name, _)| *name == text) {
            return Ok(Self::Errno(*errno));
        }
        text.parse().map(Self::Step).map_err(|_| format!("'{text}' is no effect"))
    }
}

impl FromStr for Rule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (call, rest) = text.split_once(':').ok_or("no ':'")?;
        let (effect, times) = rest.split_once('@').ok_or("no '@'")?;
        let (times, permille) = times.split_once('%').unwrap_or((times, "1000"));
        let (from, to) = times.split_once('-').ok_or("no '-' between the times")?;
        let number = |text: &str| text.parse::<u64>().map_err(|error| format!("'{text}': {error}"));
        let named = CALLS.iter().find(|(name, _)| *name == call);
        Ok(Self {
            call: named.ok_or_else(|| format!("'{call}' is no call"))?.1,
            effect: effect.parse()?,
            from: number(from)?,
            to: number(to)?,
            permille: number(permille)?,
        })
    }
}
