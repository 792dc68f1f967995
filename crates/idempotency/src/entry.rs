//! One remembered request: its state, its answer and its readers.

use crate::fingerprint::Fingerprint;
use crate::recording::Recording;
use crate::types::{Execution, IncomingRequest, Outcome, RequestIdentity};
use crate::Micros;

/// Bytes of an entry's places in the index, the timing wheel and the eviction lists.
const INDEX_BYTES: usize = 24;
const WHEEL_BYTES: usize = 12;
const LIST_BYTES: usize = 12;

/// Memory that an entry takes beside its answer (bytes).
pub const ENTRY_BYTES: usize =
    size_of::<Entry>() + size_of::<Recording>() + INDEX_BYTES + WHEEL_BYTES + LIST_BYTES;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// The place is free.
    Free,
    /// It runs; nothing of its answer has come.
    Waiting,
    /// It runs, and its answer comes.
    Streaming,
    /// Its last reader has left; it is being canceled.
    Canceling,
    /// It has ended, and is forgotten when the time comes.
    Ended { outcome: Outcome, expires_us: Micros },
    /// It ended with a whole answer, which was evicted.
    AnswerEvicted { expires_us: Micros },
}

#[derive(Debug)]
pub(crate) struct Entry {
    /// The fingerprint of its key or body.
    pub(crate) identity: Fingerprint,
    /// Whether that is of a key.
    pub(crate) is_keyed: bool,
    pub(crate) body: Fingerprint,
    pub(crate) at_most_once: bool,
    pub(crate) tenant: u32,
    /// The account that its place is counted on: its tenant's, or that of all tenants beyond the bound.
    pub(crate) account: u32,
    pub(crate) state: EntryState,
    pub(crate) answer: Option<Box<Recording>>,
    /// Clients that read this run.
    pub(crate) readers: u32,
    /// Counts the runs at this place: ids of earlier ones are stale.
    pub(crate) run: u32,
    /// The number of its run among all runs: later ones have greater ones.
    pub(crate) sequence: u32,
    pub(crate) execution: Execution,
    /// Bytes that are counted for it.
    pub(crate) charged_bytes: u32,
    /// It is out of the index already, and goes with its last reader.
    pub(crate) is_detached: bool,
}

impl Entry {
    /// A request that is about to run, with its client as the first reader.
    pub(crate) fn new(request: &IncomingRequest, identity: RequestIdentity, account: u32) -> Self {
        Self {
            identity: identity.fingerprint(),
            is_keyed: identity.is_key(),
            body: request.body,
            at_most_once: request.at_most_once,
            tenant: request.tenant,
            account,
            state: EntryState::Waiting,
            answer: None,
            readers: 1,
            run: 0,
            sequence: 0,
            execution: Execution::default(),
            charged_bytes: 0,
            is_detached: false,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, EntryState::Waiting | EntryState::Streaming | EntryState::Canceling)
    }

    /// When it is forgotten, once it has ended.
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

    /// Whether the first byte of its answer is not held any more, so that nobody can begin to read it.
    pub(crate) fn lost_beginning(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.is_passing())
    }

    /// Bytes of its answer that have come.
    pub(crate) fn answer_end(&self) -> u64 {
        self.answer.as_ref().map_or(0, |answer| answer.end())
    }

    /// Bytes that its answer holds.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer.as_ref().map_or(0, |answer| answer.held_bytes())
    }

    /// Whether it can be forgotten at once without harm.
    pub(crate) fn is_disposable(&self) -> bool {
        !self.at_most_once || !self.may_have_executed()
    }
}

impl Outcome {
    pub(crate) fn may_have_executed(self) -> bool {
        match self {
            Self::Refused { .. } => false,
            Self::Failed { may_have_executed } | Self::Canceled { may_have_executed } => may_have_executed,
            Self::Completed | Self::Interrupted(_) => true,
        }
    }

    /// Whether what was recorded of its answer can be given to readers.
    pub(crate) fn has_answer(self) -> bool {
        matches!(self, Self::Completed | Self::Interrupted(_))
    }
}
