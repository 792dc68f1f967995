//! The interface of the state machine: events that go in, effects that come out, and counters.

use crate::identity::{Address, MemberId};
use crate::message::Message;
use crate::update::{MemberState, Update};
use crate::Micros;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every [`Settings::tick_interval`](crate::Settings::tick_interval).
    Tick,
    /// A message has arrived.
    MessageReceived(Message),
    /// This instance is about to end.
    Leave,
}

/// A change of the state in which this instance holds another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub id: MemberId,
    /// Its name.
    pub name: String,
    /// Where it receives messages.
    pub address: Address,
    /// Its state before; `None` for one that was not known.
    pub previous: Option<MemberState>,
    /// Its state now.
    pub state: MemberState,
    /// The incarnation that the state holds for.
    pub incarnation: u64,
    /// Who found that state.
    pub reported_by: MemberId,
}

impl Change {
    /// The change that an update made to a member that was in the previous state.
    pub(crate) fn new(update: &Update, previous: Option<MemberState>) -> Self {
        Self {
            id: update.id,
            name: update.name.clone(),
            address: update.address,
            previous,
            state: update.state,
            incarnation: update.incarnation,
            reported_by: update.reported_by,
        }
    }
}

/// An output of the state machine, to be carried out by its owner.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The receiver's address.
        to: Address,
        /// What to send.
        message: Message,
    },
    /// The state of a member has changed: log it and act on it.
    MemberChanged(Change),
    /// Others held this instance for suspect or dead; it refutes that in a new incarnation.
    Refuted {
        /// The state that was claimed.
        claimed: MemberState,
        /// Who claimed it.
        reported_by: MemberId,
        /// The new incarnation.
        incarnation: u64,
    },
    /// This instance was paused for so long; nobody is suspected for that time.
    Paused(Micros),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes begun.
    pub probes: u64,
    /// Probes that were answered neither directly nor through others.
    pub failed_probes: u64,
    /// Members that this instance itself declared dead.
    pub deaths: u64,
    /// Claims about this instance that it refuted.
    pub refutations: u64,
    /// Pauses of this instance.
    pub pauses: u64,
    /// Messages of another instance under this one's name.
    pub name_conflicts: u64,
}
