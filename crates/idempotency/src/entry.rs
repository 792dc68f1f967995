//! One remembered request: its state, its answer and its readers.

use crate::fingerprint::Fingerprint;
use crate::recording::Recording;
use crate::types::{Delivery, IncomingRequest, Outcome, RequestIdentity, RunInfo};
use crate::Micros;

/// Bytes that one entry takes in the index, the timing wheel and the eviction lists.
const INDEX_BYTES: usize = 24;
const WHEEL_BYTES: usize = 12;
const LIST_BYTES: usize = 12;

/// Memory that an entry takes in addition to its answer (bytes).
pub const ENTRY_BYTES: usize =
    size_of::<Entry>() + size_of::<Recording>() + INDEX_BYTES + WHEEL_BYTES + LIST_BYTES;

/// The state of a remembered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// The table slot is free.
    Free,
    /// The request runs; nothing of its answer has arrived.
    Waiting,
    /// The request runs, and its answer is arriving.
    Streaming,
    /// The last reader has left, and the run is being canceled.
    Canceling,
    /// The run has ended with `outcome`; the entry is forgotten at `expires_us`.
    Ended { outcome: Outcome, expires_us: Micros },
    /// The run ended with a complete answer, which has been dropped since.
    AnswerEvicted { expires_us: Micros },
}

/// A remembered request: its identity, the state of its run, its recorded answer and its readers.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The fingerprint of the request's key or body.
    pub(crate) identity: Fingerprint,
    /// Whether `identity` is the fingerprint of a key.
    pub(crate) is_keyed: bool,
    /// The [hash](Fingerprint::hash_bits) of who sent the request; 0 if `identity` is the fingerprint of a key.
    pub(crate) sender: u64,
    /// Another request had the same body while this one was remembered; always false with a key.
    pub(crate) shares_body: bool,
    /// Whether the latest client of the run got its answer.
    pub(crate) delivery: Delivery,
    pub(crate) body: Fingerprint,
    pub(crate) at_most_once: bool,
    pub(crate) tenant: u32,
    /// The account that the entry counts against: the tenant's own, or the one shared by all tenants above the limit
    /// on accounts.
    pub(crate) account: u32,
    pub(crate) state: EntryState,
    pub(crate) answer: Option<Box<Recording>>,
    /// Number of clients that read this run.
    pub(crate) readers: u32,
    /// The current run in this table slot; ids with another run number are stale.
    pub(crate) run: u32,
    /// Position of the run among all runs of the store: later runs have greater numbers.
    pub(crate) sequence: u32,
    pub(crate) run_info: RunInfo,
    /// Bytes that the table charges for this entry and its answer.
    pub(crate) charged_bytes: u32,
    /// The entry was removed from the index; its slot is freed when the last reader leaves.
    pub(crate) is_detached: bool,
}

impl Entry {
    /// Creates the entry of a request that is about to run, with its client as the first reader.
    pub(crate) fn new(request: &IncomingRequest, identity: RequestIdentity, account: u32) -> Self {
        Self {
            identity: identity.fingerprint(),
            is_keyed: identity.is_key(),
            sender: identity.sender().map_or(0, Fingerprint::hash_bits),
            shares_body: false,
            delivery: Delivery::Pending,
            body: request.body,
            at_most_once: request.at_most_once,
            tenant: request.tenant,
            account,
            state: EntryState::Waiting,
            answer: None,
            readers: 1,
            run: 0,
            sequence: 0,
            run_info: RunInfo::default(),
            charged_bytes: 0,
            is_detached: false,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, EntryState::Waiting | EntryState::Streaming | EntryState::Canceling)
    }

    /// When the entry is forgotten; `None` while the run has not ended.
    pub(crate) fn expires_us(&self) -> Option<Micros> {
        match self.state {
            EntryState::Ended { expires_us, .. } | EntryState::AnswerEvicted { expires_us } => {
                Some(expires_us)
            }
            _ => None,
        }
    }

    pub(crate) fn may_have_executed(&self) -> bool {
        match self.state {
            EntryState::Free => false,
            EntryState::Ended { outcome, .. } => outcome.may_have_executed(),
            _ => true,
        }
    }

    /// Whether the client of the run has left and is known to have lost its connection before it had the answer.
    pub(crate) fn is_undelivered(&self) -> bool {
        self.readers == 0 && self.delivery == Delivery::Lost
    }

    /// Whether a client of the run may still be getting its answer.
    pub(crate) fn may_be_delivered(&self) -> bool {
        !self.has_failed() && (self.readers > 0 || self.delivery == Delivery::Pending)
    }

    /// Whether the run has ended without an answer that could be given to another client.
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.state, EntryState::Ended { outcome, .. } if outcome != Outcome::Completed)
    }

    /// Whether the answer no longer keeps its first byte, so that no new reader can start on it.
    pub(crate) fn is_pass_through(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.is_pass_through())
    }

    /// Length of the answer so far (bytes).
    pub(crate) fn answer_end(&self) -> u64 {
        self.answer.as_ref().map_or(0, |answer| answer.end())
    }

    /// Memory that the recorded answer takes (bytes).
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer.as_ref().map_or(0, |answer| answer.held_bytes())
    }

    /// Whether forgetting the entry before it expires cannot make an at-most-once request run twice.
    pub(crate) fn is_disposable(&self) -> bool {
        !self.at_most_once || !self.may_have_executed()
    }
}

impl Outcome {
    /// Whether the request ran or may have run.
    #[must_use]
    pub fn may_have_executed(self) -> bool {
        match self {
            Self::Refused { .. } => false,
            Self::Failed { may_have_executed } | Self::Canceled { may_have_executed } => may_have_executed,
            Self::Completed | Self::Interrupted(_) => true,
        }
    }

    /// Whether readers may get the recorded part of the answer.
    pub(crate) fn has_answer(self) -> bool {
        matches!(self, Self::Completed | Self::Interrupted(_))
    }
}
