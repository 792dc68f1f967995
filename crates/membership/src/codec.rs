//! Datagram encoding: a header, an HMAC and a body, at most [`MAX_DATAGRAM_BYTES`] together.
//!
//! ```text
//! 'D' 'W' | version (1 byte) | channel (1) | cluster (8, little-endian) | HMAC-SHA-256 (32) | body (postcard)
//! ```
//!
//! The HMAC, keyed with the cluster's key, covers the header and the body. It does not detect replayed datagrams:
//! incarnations in updates and nonces in answers make those ineffective.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::identity::MemberId;
use crate::message::Message;

/// The maximum length of a datagram (header, HMAC and body), chosen to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The encoding version that is written, and the only one that is accepted.
pub const VERSION: u8 = 1;
/// The minimum length of a cluster's key.
pub const MIN_KEY_BYTES: usize = 16;

const MAGIC: [u8; 2] = *b"DW";
const VERSION_OFFSET: usize = 2;
const CHANNEL_OFFSET: usize = 3;
const CLUSTER_OFFSET: usize = 4;
const HEADER_BYTES: usize = CLUSTER_OFFSET + 8;
const HMAC_BYTES: usize = 32;
/// An upper bound on the encoded size of [`Message::sender`].
const MAX_SENDER_BYTES: usize = 100;
/// An upper bound on the encoded size of [`Message::body`] and of the number of updates.
const MAX_BODY_BYTES: usize = 60;
/// The space that is left for the updates of a message.
pub(crate) const MAX_UPDATES_BYTES: usize =
    MAX_DATAGRAM_BYTES - HEADER_BYTES - HMAC_BYTES - MAX_SENDER_BYTES - MAX_BODY_BYTES;

/// The protocol that a datagram belongs to. All protocols of an instance share one UDP socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// The membership protocol of this crate.
    #[default]
    Membership = 0,
    /// The replication protocol of the crate `dewladder-replica`.
    Replica = 1,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenError {
    /// The magic bytes are missing, the length is out of range, or the channel is a different one.
    #[error("not a datagram of this protocol")]
    NotThisProtocol,
    /// The version differs from [`VERSION`].
    #[error("unknown version {0}")]
    UnknownVersion(u8),
    /// The datagram names another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
    /// The HMAC does not match: the datagram was altered, or sealed with another key.
    #[error("wrong HMAC")]
    WrongHmac,
    /// The HMAC matches, but the body does not decode as the expected type.
    #[error("unreadable body")]
    UnreadableBody,
}

/// The key has fewer than [`MIN_KEY_BYTES`] bytes.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{length_bytes} bytes, at least {MIN_KEY_BYTES} are needed")]
pub struct ShortKey {
    /// The length of the rejected key.
    pub length_bytes: usize,
}

/// Encodes and authenticates (seals), and verifies and decodes (opens), the datagrams of one cluster on one channel.
#[derive(Clone)]
pub struct Codec {
    channel: Channel,
    cluster: [u8; 8],
    hmac: Hmac<Sha256>,
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Codec").finish_non_exhaustive() // omits the key
    }
}

impl Codec {
    /// Creates the membership channel's codec of the cluster with this name and key.
    ///
    /// # Errors
    /// The key has fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(cluster: &str, key: &[u8]) -> Result<Self, ShortKey> {
        let short_key = ShortKey { length_bytes: key.len() };
        if key.len() < MIN_KEY_BYTES {
            return Err(short_key);
        }
        let hmac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).map_err(|_| short_key)?;
        Ok(Self { channel: Channel::default(), cluster: MemberId::of(cluster).0.to_le_bytes(), hmac })
    }

    /// Returns the codec of another channel. A datagram sealed on one channel is rejected on every other.
    #[must_use]
    pub fn for_channel(&self, channel: Channel) -> Self {
        Self { channel, ..self.clone() }
    }

    /// Whether the channel byte of a datagram names this codec's channel. The byte is not authenticated here;
    /// [`Codec::open_body`] does that.
    #[must_use]
    pub fn matches_channel(&self, bytes: &[u8]) -> bool {
        bytes.get(CHANNEL_OFFSET) == Some(&(self.channel as u8))
    }

    /// Encodes and authenticates a body. `None` if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
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

    /// Verifies a datagram and decodes its body.
    ///
    /// # Errors
    /// The reason for which the datagram is rejected.
    pub fn open_body<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, OpenError> {
        self.check_header(bytes)?;
        let (header, rest) = bytes.split_at(HEADER_BYTES);
        let (received_hmac, body) = rest.split_at(HMAC_BYTES);
        let mut hmac = self.hmac.clone();
        hmac.update(header);
        hmac.update(body);
        hmac.verify_slice(received_hmac).map_err(|_| OpenError::WrongHmac)?;
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
        if bytes[VERSION_OFFSET] != VERSION {
            return Err(OpenError::UnknownVersion(bytes[VERSION_OFFSET]));
        }
        if bytes[CHANNEL_OFFSET] != self.channel as u8 {
            return Err(OpenError::NotThisProtocol);
        }
        if bytes[CLUSTER_OFFSET..HEADER_BYTES] != self.cluster {
            return Err(OpenError::OtherCluster);
        }
        Ok(())
    }

    /// Seals a membership message, as [`Codec::seal_body`] does.
    #[must_use]
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        self.seal_body(message)
    }

    /// Opens a membership message, as [`Codec::open_body`] does.
    ///
    /// # Errors
    /// The reason for which the datagram is rejected.
    pub fn open(&self, bytes: &[u8]) -> Result<Message, OpenError> {
        self.open_body(bytes)
    }
}
