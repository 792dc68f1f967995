//! The interface of the state machine: events that go in, effects that come out, and counters.

use std::collections::BTreeSet;

use dewladder_membership::MemberId;

use crate::message::Message;
use crate::notes::{Note, ServerStatus};
use crate::record::{RecordId, RequestStatus, Stage};
use crate::Micros;

/// An offer of this instance's own, by a number that its front gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(pub u64);

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every few hundredths of a second.
    Tick,
    /// A message has arrived.
    MessageReceived {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Message,
    },
    /// A front wants to run a request that must not run twice.
    Offer {
        /// The front's number for it.
        offer: OfferId,
        /// The request.
        id: RecordId,
        /// Without a quorum by then it is denied.
        deadline: Micros,
    },
    /// The result of an offer that was granted, or is no longer wanted.
    Finished {
        /// The offer.
        offer: OfferId,
        /// [`Stage::NeverExecuted`], [`Stage::MayHaveExecuted`] or [`Stage::Executed`].
        stage: Stage,
    },
    /// Which of the other instances are up.
    MembersUp(BTreeSet<MemberId>),
    /// Something was learnt about a server, to be noted at all instances.
    ServerStatusLearned {
        /// The server, by a stable hash of its id.
        server: u64,
        /// What was learnt.
        status: ServerStatus,
        /// For how long it holds.
        valid_for: Micros,
    },
}

/// Why a request must not be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Another attempt is known: it is open, may have executed, or executed.
    Conflict(RequestStatus),
    /// Too few holders answered in time. The request was never sent, and a later attempt may execute.
    NoQuorum,
    /// This instance has not caught up with the request's range. The request was never sent.
    NotCaughtUp,
    /// This instance, or so many holders that no quorum is left, have no room for more records.
    StoreFull,
}

/// An output of the state machine, to be carried out by its owner.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// The request may be sent on: a quorum holds its record.
    Granted(OfferId),
    /// The request must not be sent on.
    Denied(OfferId, Denial),
    /// This instance has caught up with a range.
    CaughtUp(usize),
    /// A note of another instance was taken over.
    NoteReceived(Note),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Offers granted.
    pub granted: u64,
    /// Offers denied because another attempt was known.
    pub conflicts: u64,
    /// Offers denied without a quorum.
    pub no_quorum: u64,
    /// Offers denied for want of room.
    pub store_full: u64,
    /// Hints that were dropped for want of room.
    pub hints_dropped: u64,
}

impl Counters {
    /// Counts an offer that was denied on the holders' answers or for want of them.
    pub(crate) fn count_denial(&mut self, denial: Denial) {
        match denial {
            Denial::Conflict(_) => self.conflicts += 1,
            Denial::NoQuorum | Denial::NotCaughtUp => self.no_quorum += 1,
            Denial::StoreFull => self.store_full += 1,
        }
    }
}
