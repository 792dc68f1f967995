//! What goes into the store and what comes out of it: requests, decisions, outcomes and effects.

use crate::fingerprint::Fingerprint;
use crate::Micros;

/// By what a repeat of a request would be recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdentity {
    /// The idempotency key that its client gave it.
    Key(Fingerprint),
    /// Its body, where its library marks retries. Two different requests may have the same one.
    Body(Fingerprint),
}

impl RequestIdentity {
    pub(crate) fn fingerprint(self) -> Fingerprint {
        let (Self::Key(fingerprint) | Self::Body(fingerprint)) = self;
        fingerprint
    }

    pub(crate) fn is_key(self) -> bool {
        matches!(self, Self::Key(_))
    }
}

/// A request that a client makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Whose it is.
    pub tenant: u32,
    /// It must not run twice.
    pub at_most_once: bool,
    /// By what a repeat of it would be recognised; `None` if it would not be.
    pub identity: Option<RequestIdentity>,
    /// The body's fingerprint.
    pub body: Fingerprint,
    /// Its client says that it is a retry.
    pub is_retry: bool,
}

/// A remembered request, in one of its runs. One that runs again has another id to those who read the run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    pub(crate) index: u32,
    pub(crate) run: u32,
}

impl EntryId {
    /// Its place in the table, which no other entry has at the same time.
    #[must_use]
    pub fn index(self) -> u32 {
        self.index
    }
}

/// What is to be done with a request. With [`Run`](Self::Run) and [`Join`](Self::Join) the client becomes a reader of
/// the entry, until it is reported to have [left](crate::IdempotencyStore::reader_left).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is to run, and its answer to be recorded.
    Run(EntryId),
    /// It is a repeat: the entry's answer is read from its first byte, live or kept.
    Join(EntryId),
    /// It is to run, and nothing of it is remembered.
    RunUnrecorded,
    /// Its idempotency key came with another body before.
    KeyReused,
    /// It must not run, now or later.
    Reject(RejectReason),
    /// Not now. It did not run and may come back.
    Defer {
        /// After this (us).
        retry_after_us: Micros,
        /// Why.
        reason: DeferReason,
    },
}

/// Why a request must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It ran and was answered; the answer is not kept any more.
    AlreadyAnswered,
    /// It may have run; whether it did is not known.
    MayHaveExecuted,
    /// The program started after the first may have come, so it can't know.
    RecentStart,
}

/// Why a request may only run later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferReason {
    /// The tenant's retries are too many for its fresh requests.
    RetryBudget,
    /// There is no room to remember it, and it must not be forgotten.
    Capacity,
    /// Too many clients read the same answer.
    TooManyReaders,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Completed,
    /// With an answer that broke off; why, as a number of the caller's own.
    Interrupted(u8),
    /// Refused by the servers: it never ran.
    Refused {
        /// When the client may come again (us).
        retry_after_us: Micros,
    },
    /// Failed without an answer.
    Failed {
        /// Whether it may have run.
        may_have_executed: bool,
    },
    /// Canceled, as [`Effect::Cancel`] asked for.
    Canceled {
        /// Whether it may have run.
        may_have_executed: bool,
    },
}

/// What a reader finds at its place in the answer.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult<'a> {
    /// More of the answer.
    Data(&'a [u8]),
    /// Nothing yet: [`Effect::Wake`] will tell.
    Pending,
    /// The run ended so; there is no more of its answer.
    Ended(Outcome),
    /// The answer went on without this reader: it was too slow, and the answer had outgrown what is kept.
    Overrun,
    /// This run is gone and nothing is known of it: the request is to be submitted again.
    Gone,
}

/// What is to be done outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Readers of this entry, and the task that records it, have something to do.
    Wake(EntryId),
    /// Nobody reads this run any more: it is to be canceled, and how that ended to be reported.
    Cancel(EntryId),
}

/// Figures of the caller's own that are kept with a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Execution {
    /// The id under which it was sent to servers.
    pub request_id: u64,
    /// When it began to run (us).
    pub started_us: Micros,
}

/// What the store holds and has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests that are remembered.
    pub entries: usize,
    /// Bytes that are held for them.
    pub bytes: usize,
    /// Repeats that joined a request in flight.
    pub joined: u64,
    /// Repeats that were given a kept answer.
    pub replayed: u64,
    /// Repeats that ran again: the first never ran, or may run again.
    pub rerun: u64,
    /// Repeats that were rejected for good.
    pub rejected: u64,
    /// Requests that were deferred for want of room or budget.
    pub deferred: u64,
    /// Entries and answers that were evicted before their time, for want of room.
    pub evicted: u64,
}
