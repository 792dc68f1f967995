//! Messages between instances. Fields and variants are encoded by position, in declaration order: add new ones at the
//! end.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, MemberId};
use crate::update::Update;

/// One datagram's content: a protocol message with gossiped updates piggybacked on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own state and address. Every message carries it, so a new member becomes known by sending one.
    pub sender: Update,
    /// What the message asks for or answers.
    pub body: Body,
    /// Piggybacked updates about members; in a [`Body::Sync`], a part of the sender's member table.
    pub updates: Vec<Update>,
}

/// The kind of a message, with the fields that only this kind has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A direct probe. `target` answers with [`Body::Ack`] and the same nonce.
    Ping {
        /// Returned in the answer.
        nonce: u32,
        /// The member that is probed. Any other process that now has its address does not answer.
        target: MemberId,
    },
    /// The answer to a [`Body::Ping`], or to a [`Body::IndirectPing`] whose target answered.
    Ack {
        /// The nonce of the [`Body::Ping`] or [`Body::IndirectPing`] that this answers.
        nonce: u32,
    },
    /// The target of an indirect probe has not answered so far. This also shows the requester that the relaying
    /// member is reachable.
    Nack {
        /// The nonce of the [`Body::IndirectPing`] that this answers.
        nonce: u32,
    },
    /// A request for an indirect probe (SWIM's `ping-req`), answered with [`Body::Ack`] or [`Body::Nack`].
    IndirectPing {
        /// Returned in the answer.
        nonce: u32,
        /// The member to probe.
        target: MemberId,
        /// The target's address.
        address: Address,
    },
    /// A part of the sender's member table, for anti-entropy.
    Sync {
        /// Whether the receiver sends its own member table in return.
        wants_reply: bool,
    },
    /// Carries updates only, and needs no answer.
    Gossip,
}
