//! Input and output of the store: requests, decisions, outcomes and effects.

use crate::fingerprint::Fingerprint;
use crate::Micros;

/// The fingerprint by which the store recognises a repeat of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdentity {
    /// Fingerprint of the idempotency key that the client sent.
    Key(Fingerprint),
    /// Fingerprint of the body, used where the client library marks its retries. Requests of different clients may have
    /// the same body, so it names a request only where nothing else can be meant.
    Body {
        /// The fingerprint of the body.
        body: Fingerprint,
        /// The fingerprint of what all tries of one client library have in common beside the body, such as its
        /// credentials. Requests that differ in it are of different clients.
        sender: Fingerprint,
    },
}

impl RequestIdentity {
    pub(crate) fn fingerprint(self) -> Fingerprint {
        let (Self::Key(fingerprint) | Self::Body { body: fingerprint, .. }) = self;
        fingerprint
    }

    pub(crate) fn is_key(self) -> bool {
        matches!(self, Self::Key(_))
    }

    pub(crate) fn sender(self) -> Option<Fingerprint> {
        match self {
            Self::Key(_) => None,
            Self::Body { sender, .. } => Some(sender),
        }
    }
}

/// A request as it arrives from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The tenant that sent the request.
    pub tenant: u32,
    /// The request must not run twice.
    pub at_most_once: bool,
    /// The identity by which a repeat is recognised; `None` if repeats of this request cannot be recognised.
    pub identity: Option<RequestIdentity>,
    /// Fingerprint of the body. A repeat must have the same one.
    pub body: Fingerprint,
    /// The client marked the request as a retry.
    pub is_retry: bool,
}

/// Identifies one run of a remembered request. When the request runs again, the id changes, so that readers of the
/// previous run cannot read the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    pub(crate) index: u32,
    pub(crate) run: u32,
}

impl EntryId {
    /// Index of the entry in the table. It is unique among current entries, and reused once the entry is freed.
    #[must_use]
    pub fn index(self) -> u32 {
        self.index
    }
}

/// The decision about a request. With [`Run`](Self::Run) and [`Join`](Self::Join) the client becomes a reader of
/// the entry, until the caller reports that it has [left](crate::IdempotencyStore::reader_left).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The caller runs the request and records its answer under this id.
    Run(EntryId),
    /// The request is a repeat: the client reads the answer of this entry from its first byte, while the answer
    /// streams or as a replay.
    Join(EntryId),
    /// The caller runs the request; the store remembers nothing of it.
    RunUnrecorded,
    /// The entry of this identity belongs to a request with another body, or with another `at_most_once`.
    KeyReused,
    /// The request has the body of another one whose client may still get its answer. The caller submits it again once
    /// that may have been decided; until then it must not run.
    AwaitDelivery,
    /// The request must not run, now or later.
    Reject(RejectReason),
    /// The request did not run, and the client may retry it later.
    Defer {
        /// The client may retry after this delay (us).
        retry_after_us: Micros,
        /// The limit that deferred the request.
        reason: DeferReason,
    },
}

/// Why a request must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The request ran and was answered, but its answer is no longer kept.
    AlreadyAnswered,
    /// An earlier attempt may have run; whether it did is unknown.
    MayHaveExecuted,
    /// A request with the same body may have run, and nothing proves whose it is.
    UnclearOwner,
    /// The store started so recently that an earlier attempt may predate it, so the store cannot know whether the
    /// request ran.
    RecentStart,
}

/// Why a request may only run later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferReason {
    /// The tenant has used up its retry budget, which grows with its fresh requests.
    RetryBudget,
    /// The store has no room for an entry, and the request must not run without one.
    Capacity,
    /// The entry already has the maximum number of readers.
    TooManyReaders,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Completed,
    /// The answer broke off; the number is a reason code that the caller defines.
    Interrupted(u8),
    /// The servers refused the request: it never ran.
    Refused {
        /// The client may retry after this delay (us).
        retry_after_us: Micros,
    },
    /// The run failed without an answer.
    Failed {
        /// Whether the request may have run.
        may_have_executed: bool,
    },
    /// The caller canceled the run after [`Effect::Cancel`].
    Canceled {
        /// Whether the request may have run.
        may_have_executed: bool,
    },
}

/// Whether the client of a run got its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The client may still be getting it.
    Pending,
    /// Its connection broke before it had all of it.
    Lost,
    /// All of it was written to its connection, which was not seen to break.
    Made,
}

/// What a reader finds at its offset in the answer.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult<'a> {
    /// The next bytes of the answer.
    Data(&'a [u8]),
    /// No data yet: [`Effect::Wake`] follows when there is some, or when the run ends.
    Pending,
    /// The reader has read the whole recorded answer, and the run ended with this outcome.
    Ended(Outcome),
    /// The bytes at this offset were dropped: the reader was too slow, and the answer had outgrown the kept size.
    Overrun,
    /// The run is no longer in the store: the caller must submit the request again.
    Gone,
}

/// An action that the caller must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Wake the readers of this entry and the task that records its answer.
    Wake(EntryId),
    /// The run has no reader left: cancel it, and report the outcome with
    /// [`finish`](crate::IdempotencyStore::finish).
    Cancel(EntryId),
}

/// Data of the caller that the store keeps with a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunInfo {
    /// The id under which the request is sent to servers.
    pub request_id: u64,
    /// When the run began (us).
    pub started_us: Micros,
}

/// Current size of the store, and counters since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests that are remembered now.
    pub entries: usize,
    /// Bytes that these entries are charged for, with their answers.
    pub bytes: usize,
    /// Repeats that joined a request in flight.
    pub joined: u64,
    /// Repeats that got a replay of a kept answer.
    pub replayed: u64,
    /// Repeats that ran again, because the first attempt never ran or the request may run twice.
    pub rerun: u64,
    /// Requests that got [`Admission::Reject`].
    pub rejected: u64,
    /// Requests that got [`Admission::Defer`].
    pub deferred: u64,
    /// Entries and answers that were evicted before they expired, to make room.
    pub evicted: u64,
}
