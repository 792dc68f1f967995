//! Identifiers of requests, servers, zones, cells, keys and timers, and the time type.

/// A timestamp on the dispatcher's clock, or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a request. The client layer assigns ids and never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Formats the id as sixteen hexadecimal digits, the form used in log lines and by clients.
impl std::fmt::Display for RequestId {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// Identifies a server. The number itself carries no zone, kind or start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Formats the id as eight hexadecimal digits, the form used in log lines and in the list of servers.
impl std::fmt::Display for ServerId {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{:08x}", self.0)
    }
}

/// Identifies a zone: a failure domain that contains cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Identifies a cell: a rack of servers between which state is cheap to transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Identifies a session or a shared prefix by a stable hash of its text, so that all dispatchers compute the
/// same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// Hashes the text of a session or prefix key with 64-bit FNV-1a.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }))
    }
}

/// Identifies a timer. The router chooses the token, and the dispatcher returns it when the timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
