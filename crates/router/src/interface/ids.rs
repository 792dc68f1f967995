//! Numbers by which requests, servers and their places are known, and times.

/// A point on the dispatcher's clock, or a length of time, in microseconds.
pub type Micros = u64;

/// A request, as named by the client layer; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// As log lines name it: sixteen hexadecimal digits, as clients write ids.
impl std::fmt::Display for RequestId {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// A server. Says nothing of zone, kind or age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// As log lines name it: eight hexadecimal digits, as the list writes ids.
impl std::fmt::Display for ServerId {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{:08x}", self.0)
    }
}

/// A failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A rack of servers between which state moves cheaply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// A session or a shared prefix, as a stable hash of its text: all dispatchers get the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// Hashes a key's text (64-bit FNV-1a).
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }))
    }
}

/// A timer's token, picked by the router and handed back when the timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
