//! The interface of the state machine: its input events, its output effects, and its counters.

use std::collections::BTreeSet;

use dewladder_membership::MemberId;

use crate::message::Message;
use crate::notes::{Note, ServerStatus};
use crate::record::{RecordId, RequestStatus, Stage};
use crate::Micros;

/// Identifies an offer of this instance, by a number that the caller chose and uses only once while the instance
/// runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(pub u64);

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Drives timeouts, retries and repair. The owner sends it every few hundredths of a second.
    Tick,
    /// A message from another instance has arrived.
    MessageReceived {
        /// The instance that sent it.
        from: MemberId,
        /// The message, as received.
        message: Message,
    },
    /// A front asks for permission to send an at-most-once request to a server. Decided by [`Effect::Granted`] or
    /// [`Effect::Denied`].
    Offer {
        /// Identifies the offer in its later events and effects.
        offer: OfferId,
        /// The id of the request's record.
        id: RecordId,
        /// The offer is denied if it has no quorum by this time, or after [`Settings::settle_time`] if that is
        /// earlier.
        ///
        /// [`Settings::settle_time`]: crate::Settings::settle_time
        deadline: Micros,
    },
    /// A granted offer's attempt has ended, or a front gives up an offer that is not decided yet; that offer is then
    /// denied.
    Finished {
        /// The offer that has ended.
        offer: OfferId,
        /// The attempt's final stage: [`Stage::NeverExecuted`], [`Stage::MayHaveExecuted`] or [`Stage::Executed`].
        /// Ignored for an offer that was not decided: its attempt never executed.
        stage: Stage,
    },
    /// The other instances that are up now. Hints are sent only to these, and so are the notes of each repair round.
    MembersUp(BTreeSet<MemberId>),
    /// This instance has learned the status of a server, which is to be noted at all instances.
    ServerStatusLearned {
        /// The server: a hash of its id in the server list, the same at all instances.
        server: u64,
        /// The status that was learned.
        status: ServerStatus,
        /// How long the note is kept from now on.
        valid_for: Micros,
    },
}

/// Why an offer was denied: its request must not be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// A holder refused the offer because of other attempts of the request. The status is that of the holder's copy,
    /// and at least [`RequestStatus::Open`].
    Conflict(RequestStatus),
    /// Too few holders accepted before the deadline, or the front gave the offer up. The request was never sent, and
    /// a later attempt may execute.
    NoQuorum,
    /// This instance is a holder of the request's range and has not caught up with it. The request was never sent.
    NotCaughtUp,
    /// The stores of so many holders are full that the others can't make up a quorum. The request was never sent.
    StoreFull,
}

/// An action that the owner of the state machine has to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another instance. The message may be lost.
    Send {
        /// The instance to send it to.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// The request of this offer may be sent to a server: a quorum of holders has stored the attempt.
    Granted(OfferId),
    /// The request of this offer must not be sent to a server.
    Denied(OfferId, Denial),
    /// This instance has caught up with this range, and accepts offers for it from now on.
    CaughtUp(usize),
    /// A note from another instance was stored, as it is later than the note known before.
    NoteReceived(Note),
}

/// Event counts since this instance started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Offers granted.
    pub granted: u64,
    /// Offers denied because of other attempts: [`Denial::Conflict`].
    pub conflicts: u64,
    /// Offers denied as [`Denial::NoQuorum`] or [`Denial::NotCaughtUp`], except those that their front gave up.
    pub no_quorum: u64,
    /// Offers denied because stores of holders were full: [`Denial::StoreFull`].
    pub store_full: u64,
    /// Hints dropped because [`Settings::max_hints`] was reached.
    ///
    /// [`Settings::max_hints`]: crate::Settings::max_hints
    pub hints_dropped: u64,
}

impl Counters {
    /// Counts a denied offer under its reason.
    pub(crate) fn count_denial(&mut self, denial: Denial) {
        match denial {
            Denial::Conflict(_) => self.conflicts += 1,
            Denial::NoQuorum | Denial::NotCaughtUp => self.no_quorum += 1,
            Denial::StoreFull => self.store_full += 1,
        }
    }
}
