//! Messages as bytes, in datagrams of at most [`MAX_DATAGRAM_BYTES`].
//!
//! ```text
//! 'D' 'W' | version (1 byte) | channel (1) | cluster (8, little-endian) | HMAC-SHA-256 (32) | body (postcard)
//! ```
//!
//! The HMAC covers everything before and behind it, with the cluster's key. A replayed datagram passes; incarnations,
//! and the nonces of answers, make it without effect.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::identity::MemberId;
use crate::message::Message;

/// The longest datagram, so that it need not be fragmented on its way.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The version of the encoding that this program writes, and the only one that it reads.
pub const VERSION: u8 = 1;
/// The shortest key.
pub const MIN_KEY_BYTES: usize = 16;

const MAGIC: [u8; 2] = *b"DW";
const VERSION_AT: usize = 2;
const CHANNEL_AT: usize = 3;
const CLUSTER_AT: usize = 4;
const HEADER_BYTES: usize = CLUSTER_AT + 8;
const HMAC_BYTES: usize = 32;
/// An upper bound of a message's sender, beside its updates.
const MAX_SENDER_BYTES: usize = 100;
/// An upper bound of a message's body and the count of its updates.
const MAX_BODY_BYTES: usize = 60;
/// Space for updates in a message.
pub(crate) const MAX_UPDATES_BYTES: usize =
    MAX_DATAGRAM_BYTES - HEADER_BYTES - HMAC_BYTES - MAX_SENDER_BYTES - MAX_BODY_BYTES;

/// Which part of the program a datagram is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// Membership: which instances are alive.
    #[default]
    Membership = 0,
    /// Replicated records.
    Replica = 1,
}

/// Why a datagram was not opened.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenError {
    /// Not a message of this protocol, or too long.
    #[error("no message of this protocol")]
    NotThisProtocol,
    /// A version that this program does not know.
    #[error("unknown version {0}")]
    UnknownVersion(u8),
    /// A message of another cluster.
    #[error("another cluster's message")]
    OtherCluster,
    /// Not made with this cluster's key.
    #[error("wrong HMAC")]
    WrongHmac,
    /// Made with the key, and yet unreadable.
    #[error("unreadable body")]
    UnreadableBody,
}

/// A key that is too short.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{length_bytes} bytes, at least {MIN_KEY_BYTES} are needed")]
pub struct ShortKey {
    /// The key's length.
    pub length_bytes: usize,
}

/// Seals and opens the messages of one cluster on one channel.
#[derive(Clone)]
pub struct Codec {
    channel: Channel,
    cluster: [u8; 8],
    hmac: Hmac<Sha256>,
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Codec").finish_non_exhaustive() // never shows the key
    }
}

impl Codec {
    /// The codec of a cluster, by its name and key, on the membership channel.
    ///
    /// # Errors
    /// A key that is too short.
    pub fn new(cluster: &str, key: &[u8]) -> Result<Self, ShortKey> {
        let short_key = ShortKey { length_bytes: key.len() };
        if key.len() < MIN_KEY_BYTES {
            return Err(short_key);
        }
        let hmac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).map_err(|_| short_key)?;
        Ok(Self { channel: Channel::default(), cluster: MemberId::of(cluster).0.to_le_bytes(), hmac })
    }

    /// The same codec for another channel: what is sealed for one is not opened for another.
    #[must_use]
    pub fn on(&self, channel: Channel) -> Self {
        Self { channel, ..self.clone() }
    }

    /// Whether bytes claim to be of this codec's channel; only opening them proves it.
    #[must_use]
    pub fn is_addressed(&self, bytes: &[u8]) -> bool {
        bytes.get(CHANNEL_AT) == Some(&(self.channel as u8))
    }

    /// A body as a datagram. `None` where it would be too long.
    #[must_use]
    pub fn seal_body<T: Serialize>(&self, body: &T) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(body).ok()?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + HMAC_BYTES + body.len());
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.push(self.channel as u8);
        bytes.extend(self.cluster);
        let mut hmac = self.hmac.clone();
        hmac.update(&bytes);
        hmac.update(&body);
        bytes.extend(hmac.finalize().into_bytes());
        bytes.extend(body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// The body of a datagram.
    ///
    /// # Errors
    /// Why it was not opened.
    pub fn open_body<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, OpenError> {
        self.check_header(bytes)?;
        let (header, rest) = bytes.split_at(HEADER_BYTES);
        let (given, body) = rest.split_at(HMAC_BYTES);
        let mut hmac = self.hmac.clone();
        hmac.update(header);
        hmac.update(body);
        hmac.verify_slice(given).map_err(|_| OpenError::WrongHmac)?;
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(message),
            _ => Err(OpenError::UnreadableBody),
        }
    }

    fn check_header(&self, bytes: &[u8]) -> Result<(), OpenError> {
        let lengths = HEADER_BYTES + HMAC_BYTES..=MAX_DATAGRAM_BYTES;
        if !lengths.contains(&bytes.len()) || !bytes.starts_with(&MAGIC) {
            return Err(OpenError::NotThisProtocol);
        }
        if bytes[VERSION_AT] != VERSION {
            return Err(OpenError::UnknownVersion(bytes[VERSION_AT]));
        }
        if bytes[CHANNEL_AT] != self.channel as u8 {
            return Err(OpenError::NotThisProtocol);
        }
        if bytes[CLUSTER_AT..HEADER_BYTES] != self.cluster {
            return Err(OpenError::OtherCluster);
        }
        Ok(())
    }

    /// A message as a datagram. `None` where it would be too long.
    #[must_use]
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        self.seal_body(message)
    }

    /// The message in a datagram.
    ///
    /// # Errors
    /// Why it was not opened.
    pub fn open(&self, bytes: &[u8]) -> Result<Message, OpenError> {
        self.open_body(bytes)
    }
}
