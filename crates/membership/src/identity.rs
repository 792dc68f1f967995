//! Member ids and addresses.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a member: the XXH3 hash of its name, which is the same in every process and version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the member with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// The IPv4 address and UDP port at which a member receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// The IPv4 address in network byte order.
    pub ip: [u8; 4],
    /// The UDP port in host byte order.
    pub port: u16,
}

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.ip;
        write!(formatter, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}
