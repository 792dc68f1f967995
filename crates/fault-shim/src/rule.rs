//! The rules of a plan: which calls are affected, how, in which period, and how often.
//!
//! A rule is written `CALL:EFFECT@FROM-TO%PERMILLE`. `FROM` and `TO` are milliseconds since the process started,
//! and `PERMILLE` is the rate of affected calls per mille; without `%PERMILLE`, every call is affected. Examples:
//! `accept:ECONNABORTED@500-900%300`, `recv:short@0-60000%100`, `clock:3600000@2000-60000`,
//! `monotonic:hold60@0-9000%10`.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A group of system calls that the same rules apply to.
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
    /// `connect` of a TCP socket.
    Connect,
    /// `recv` on a TCP socket.
    Receive,
    /// `send`, `sendmsg` and `writev` on a TCP socket.
    Send,
    /// `open64`, for reading or writing.
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
    /// `close` of a TCP socket that listens. A hold delays it.
    CloseListener,
    /// `clock_gettime` of the wall clock (`CLOCK_REALTIME`).
    WallClock,
    /// `clock_gettime` of the monotonic clock. A hold delays the caller after the clock was read, so that the time
    /// it has read is already old.
    MonotonicClock,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this errno, without being executed.
    Errno(i32),
    /// The call transfers only a part of the bytes.
    Short,
    /// The wall clock differs from the system's by this offset (ms).
    Step(i64),
    /// The call is made, or returns, late by this time (ms).
    Hold(u64),
}

/// One rule of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The calls that the rule applies to.
    pub call: Call,
    /// The effect on these calls.
    pub effect: Effect,
    /// Start of the period in which the rule is in force, in milliseconds since the process started.
    pub from_ms: u64,
    /// End of the period (exclusive), in milliseconds since the process started.
    pub to_ms: u64,
    /// Rate of affected calls (per mille).
    pub permille: u64,
}

impl Rule {
    /// Whether the rule is in force at this time since the process started.
    #[must_use]
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms)
    }

    /// Whether the rule affects a call, given a random number drawn for that call.
    #[must_use]
    pub fn hits(&self, draw: u64) -> bool {
        draw % 1_000 < self.permille
    }
}

/// The rate of affected calls (per mille) of a rule without one.
const DEFAULT_PERMILLE: &str = "1000";

/// The names of calls in rules.
const CALLS: [(&str, Call); 16] = [
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
    ("closelistener", Call::CloseListener),
    ("clock", Call::WallClock),
    ("monotonic", Call::MonotonicClock),
];

/// The errno names that a rule can use.
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

/// Why a text is not a valid rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleError {
    /// This separator, and with it a part of the rule, is missing.
    Missing(&'static str),
    /// A time or rate is not a valid number.
    Number {
        /// The invalid text.
        text: String,
        /// Why it can't be parsed.
        source: ParseIntError,
    },
    /// The time of a hold is not a valid number.
    Hold(ParseIntError),
    /// The text is not the name of a call.
    UnknownCall(String),
    /// The text is neither an errno name, `short`, a hold nor a clock offset.
    UnknownEffect(String),
}

impl fmt::Display for RuleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(part) => write!(formatter, "missing {part}"),
            Self::Number { text, source } => write!(formatter, "invalid number '{text}': {source}"),
            Self::Hold(source) => write!(formatter, "invalid hold time: {source}"),
            Self::UnknownCall(text) => write!(formatter, "unknown call '{text}'"),
            Self::UnknownEffect(text) => write!(formatter, "unknown effect '{text}'"),
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
        let (times, permille) = times.split_once('%').unwrap_or((times, DEFAULT_PERMILLE));
        let (from, to) = times.split_once('-').ok_or(RuleError::Missing("'-' between the times"))?;
        Ok(Self {
            call: parse_call(call)?,
            effect: effect.parse()?,
            from_ms: parse_number(from)?,
            to_ms: parse_number(to)?,
            permille: parse_number(permille)?,
        })
    }
}

fn parse_call(text: &str) -> Result<Call, RuleError> {
    let entry = CALLS.iter().find(|(name, _)| *name == text);
    entry.map(|(_, call)| *call).ok_or_else(|| RuleError::UnknownCall(text.to_owned()))
}

fn parse_number(text: &str) -> Result<u64, RuleError> {
    text.parse().map_err(|source| RuleError::Number { text: text.to_owned(), source })
}
