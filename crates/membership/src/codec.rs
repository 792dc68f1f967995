//! Messages as bytes, in datagrams under [`MOST_BYTES`].
//!
//! ```text
//! 'D' 'W' | version (1 byte) | channel (1) | cluster (8, little-endian) | HMAC-SHA-256 (32) | body (postcard)
//! ```
//!
//! The HMAC is over all that stands before and behind it, with the cluster's key. An old datagram that is sent once
//! more passes; incarnations, and the numbers that answers carry, make it say nothing new.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::member::{MemberId, Update};
use crate::membership::Message;

/// A datagram is no longer, so that it need not be cut into pieces on its way.
pub const MOST_BYTES: usize = 1_400;
/// The version of the form that this program writes, and the only one it reads.
pub const VERSION: u8 = 1;
/// A key holds so many bytes at least.
pub const LEAST_KEY: usize = 16;

const MAGIC: [u8; 2] = *b"DW";
const HEAD: usize = 2 + 1 + 1 + 8;
const MAC: usize = 32;

/// Whose messages a datagram holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// Of who is alive.
    #[default]
    Membership = 0,
    /// Of what is known together.
    Replica = 1,
}

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Not a message of this protocol, or too long.
    #[error("no message of this protocol")]
    Foreign,
    /// A version that this program does not know.
    #[error("unknown version {0}")]
    Version(u8),
    /// Another cluster's.
    #[error("another cluster's message")]
    Cluster,
    /// Not made with this cluster's key.
    #[error("wrong HMAC")]
    Mac,
    /// Made with the key, and yet unreadable.
    #[error("unreadable body")]
    Body,
}

/// A key that is too short.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{0} bytes, at least {LEAST_KEY} are needed")]
pub struct ShortKey(pub usize);

/// What seals and opens messages of one cluster.
#[derive(Clone)]
pub struct Codec {
    channel: Channel,
    cluster: [u8; 8],
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.debug_struct("Codec").finish_non_exhaustive() // the key is nobody's to read
    }
}

impl Codec {
    /// For the cluster of that name, with its key.
    ///
    /// # Errors
    /// A key that is too short.
    pub fn new(cluster: &str, key: &[u8]) -> Result<Self, ShortKey> {
        if key.len() < LEAST_KEY {
            return Err(ShortKey(key.len()));
        }
        let mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).map_err(|_| ShortKey(key.len()))?;
        Ok(Self { channel: Channel::default(), cluster: MemberId::of(cluster).0.to_le_bytes(), mac })
    }

    /// The same for another channel: what is sealed for one is not opened for another.
    #[must_use]
    pub fn on(&self, channel: Channel) -> Self {
        Self { channel, ..self.clone() }
    }

    /// Whether bytes claim to be of this codec's channel; only opening them shows that they are.
    #[must_use]
    pub fn is_addressed(&self, bytes: &[u8]) -> bool {
        bytes.get(3) == Some(&(self.channel as u8))
    }

    /// A body as a datagram. `None` where it would be too long.
    #[must_use]
    pub fn seal_body<T: Serialize>(&self, body: &T) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(body).ok()?;
        let mut bytes = Vec::with_capacity(HEAD + MAC + body.len());
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.push(self.channel as u8);
        bytes.extend(self.cluster);
        let mut mac = self.mac.clone();
        mac.update(&bytes);
        mac.update(&body);
        bytes.extend(mac.finalize().into_bytes());
        bytes.extend(body);
        (bytes.len() <= MOST_BYTES).then_some(bytes)
    }

    /// What a datagram says.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn open_body<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, Refused> {
        if bytes.len() < HEAD + MAC || bytes.len() > MOST_BYTES || !bytes.starts_with(&MAGIC) {
            return Err(Refused::Foreign);
        }
        if bytes[2] != VERSION {
            return Err(Refused::Version(bytes[2]));
        }
        if bytes[3] != self.channel as u8 {
            return Err(Refused::Foreign);
        }
        if bytes[4..HEAD] != self.cluster {
            return Err(Refused::Cluster);
        }
        let (head, rest) = bytes.split_at(HEAD);
        let (given, body) = rest.split_at(MAC);
        let mut mac = self.mac.clone();
        mac.update(head);
        mac.update(body);
        mac.verify_slice(given).map_err(|_| Refused::Mac)?;
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(message),
            _ => Err(Refused::Body),
        }
    }

    /// A message as a datagram. `None` where it would be too long.
    #[must_use]
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        self.seal_body(message)
    }

    /// The message in a datagram.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn open(&self, bytes: &[u8]) -> Result<Message, Refused> {
        self.open_body(bytes)
    }
}

/// The most bytes that an update takes, from above: varints at their longest.
pub(crate) fn most_bytes(update: &Update) -> usize {
    10 + 2 + update.name.len() + 4 + 3 + 10 + 1 + 10 + 5
}

/// Room for updates in a message, beside its head, its sender and its body.
pub(crate) const ROOM_FOR_UPDATES: usize = MOST_BYTES - HEAD - MAC - 100 - 60;
