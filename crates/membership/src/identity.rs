//! How a member is named and reached.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A member, by a stable hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name: the same at every instance.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Where a member receives messages: an IPv4 address and a UDP port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// The IPv4 address.
    pub ip: [u8; 4],
    /// The UDP port.
    pub port: u16,
}

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.ip;
        write!(formatter, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}
