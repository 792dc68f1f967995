//! The rules of a plan: which call fails how, from when to when, and how often.
//!
//! A rule is `CALL:EFFECT@FROM-TO%PERMILLE`: times in milliseconds since the process started, `PERMILLE` of the calls
//! hit. `accept:ECONNABORTED@500-900%300`, `recv:short@0-60000%100`, `clock:3600000@2000-60000`. The last part may be left
//! out: then every call is hit.

use std::fmt;
use std::num::ParseIntError;
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
    pub from_ms: u64,
    /// Milliseconds since the process started; from then on it is not in force.
    pub to_ms: u64,
    /// So many of a thousand calls are hit.
    pub permille: u64,
}

impl Rule {
    /// Whether it is in force at a time since the start.
    #[must_use]
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms)
    }

    /// Whether a call with this random draw is hit.
    #[must_use]
    pub fn hits(&self, draw: u64) -> bool {
        draw % 1_000 < self.permille
    }
}

/// The share of calls that are hit where a rule does not say it.
const ALWAYS: &str = "1000";

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

/// Why a text is no rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleError {
    /// The part with this separator is missing.
    Missing(&'static str),
    /// A time or share that is no number.
    Number {
        /// What was given.
        text: String,
        /// Why it can't be read.
        source: ParseIntError,
    },
    /// The time of a hold that is no number.
    Hold(ParseIntError),
    /// No group of calls has this name.
    UnknownCall(String),
    /// No effect has this name.
    UnknownEffect(String),
}

impl fmt::Display for RuleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(part) => write!(formatter, "no {part}"),
            Self::Number { text, source } => write!(formatter, "'{text}': {source}"),
            Self::Hold(source) => write!(formatter, "{source}"),
            Self::UnknownCall(text) => write!(formatter, "'{text}' is no call"),
            Self::UnknownEffect(text) => write!(formatter, "'{text}' is no effect"),
        }
    }
}

impl std::error::Error for RuleError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Number { source, .. } | Self::Hold(source) => Some(source),
            Self::Missing(_) | Self::UnknownCall(_) | Self::UnknownEffect(_) => None,
        }
    }
}

impl FromStr for Effect {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<Self, RuleError> {
        if text == "short" {
            return Ok(Self::Short);
        }
        if let Some(milliseconds) = text.strip_prefix("hold") {
            return milliseconds.parse().map(Self::Hold).map_err(RuleError::Hold);
        }
        if let Some((_, errno)) = ERRNOS.iter().find(|(name, _)| *name == text) {
            return Ok(Self::Errno(*errno));
        }
        text.parse().map(Self::Step).map_err(|_| RuleError::UnknownEffect(text.to_owned()))
    }
}

impl FromStr for Rule {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<Self, RuleError> {
        let (call, rest) = text.split_once(':').ok_or(RuleError::Missing("':'"))?;
        let (effect, times) = rest.split_once('@').ok_or(RuleError::Missing("'@'"))?;
        let (times, permille) = times.split_once('%').unwrap_or((times, ALWAYS));
        let (from, to) = times.split_once('-').ok_or(RuleError::Missing("'-' between the times"))?;
        Ok(Self {
            call: call_named(call)?,
            effect: effect.parse()?,
            from_ms: number(from)?,
            to_ms: number(to)?,
            permille: number(permille)?,
        })
    }
}

fn call_named(text: &str) -> Result<Call, RuleError> {
    let named = CALLS.iter().find(|(name, _)| *name == text);
    named.map(|(_, call)| *call).ok_or_else(|| RuleError::UnknownCall(text.to_owned()))
}

fn number(text: &str) -> Result<u64, RuleError> {
    text.parse().map_err(|source| RuleError::Number { text: text.to_owned(), source })
}
