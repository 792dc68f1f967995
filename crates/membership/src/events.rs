//! The interface of the state machine: events that go in, effects that come out, and counters.

use crate::identity::{Address, MemberId};
use crate::message::Message;
use crate::update::{MemberState, Update};
use crate::Micros;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A periodic timer event, expected every [`Settings::tick_interval`](crate::Settings::tick_interval).
    Tick,
    /// A message was received and its HMAC verified.
    MessageReceived(Message),
    /// This instance is about to shut down: it notifies other members, and from then on ignores messages and ticks.
    Leave,
}

/// A change in the state that this instance records for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member whose state changed.
    pub id: MemberId,
    /// The member's name.
    pub name: String,
    /// The address at which the member receives messages.
    pub address: Address,
    /// The previous state; `None` if the member was not known before.
    pub previous: Option<MemberState>,
    /// The new state.
    pub state: MemberState,
    /// The member's incarnation to which the new state applies.
    pub incarnation: u64,
    /// The instance that detected the new state; the member itself if it announced the state.
    pub reported_by: MemberId,
}

impl MemberChange {
    /// The change to the state in `update`, for a member that was in the state `previous`.
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

/// An output of the state machine, to be carried out by the caller of
/// [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message without confirming delivery: the protocol tolerates its loss.
    Send {
        /// The receiver's address.
        to: Address,
        /// The message to seal and send.
        message: Message,
    },
    /// The recorded state of another member has changed.
    MemberChanged(MemberChange),
    /// Another instance claimed that this one is suspect, dead or has left; this instance refuted the claim by
    /// starting a new incarnation.
    Refuted {
        /// The state that was claimed.
        claimed: MemberState,
        /// The instance that claimed it.
        reported_by: MemberId,
        /// The new incarnation of this instance.
        incarnation: u64,
    },
    /// This process did not run for the given time. The time does not count towards any probe or suspicion timeout.
    Paused(Micros),
}

/// Counters since this instance started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes started by this instance for itself; those relayed for others are not counted.
    pub probes: u64,
    /// Probes that got neither a direct nor an indirect answer.
    pub failed_probes: u64,
    /// Suspected members that this instance itself declared dead because they did not refute in time.
    pub deaths: u64,
    /// Claims that this instance is suspect, dead or has left, which it refuted.
    pub refutations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Messages received from another address under this instance's name.
    pub name_conflicts: u64,
}
