//! Messages between instances. The order of fields and variants is the order of encoding: new ones go last.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, MemberId};
use crate::update::Update;

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's statement about itself.
    pub sender: Update,
    /// The purpose of the message.
    pub body: Body,
    /// Statements about members that travel along.
    pub updates: Vec<Update>,
}

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe: answered with [`Body::Ack`] and this number by `target`.
    Ping {
        /// Returned in the answer.
        nonce: u32,
        /// Whom it is meant for: another process may have its address by now.
        target: MemberId,
    },
    /// The probe with this number was answered.
    Ack {
        /// Of the ping, or of the request for an indirect probe.
        nonce: u32,
    },
    /// The requested indirect probe has had no answer so far; the relaying member itself is reachable.
    Nack {
        /// Of the request for an indirect probe.
        nonce: u32,
    },
    /// A request for an indirect probe (SWIM's `ping-req`), answered with [`Body::Ack`] or [`Body::Nack`].
    IndirectPing {
        /// Returned in the answer.
        nonce: u32,
        /// Whom to probe.
        target: MemberId,
        /// The target's address.
        address: Address,
    },
    /// A part of the sender's whole state, for anti-entropy.
    Sync {
        /// The sender wants the receiver's state in return.
        wants_reply: bool,
    },
    /// Updates only.
    Gossip,
}
