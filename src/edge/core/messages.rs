//! Inputs and outputs of the reducer: an [`Input`] reports what has happened outside, an [`Effect`] says what
//! the driver must do. All points in time are in microseconds on the dispatcher's clock.

use crate::edge::shutdown_times::ShutdownTimes;
use crate::interface::{
    ListUpdateKind, Micros, Outcome, Report, RequestId, RequestInfo, ServerEntry, ServerId, Settings,
};
use dewladder_router::Handover;

/// What is known of the id of a request that has arrived, and that is not a duplicate here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdClaim {
    /// It is not open in another process of this dispatcher, and if the request must not run twice, it is remembered that
    /// it may have run.
    Exclusive,
    /// Nothing is known of other processes.
    Unknown,
    /// The request must not run twice, and there is no room to remember its id.
    NoRoom,
}

/// Something that has happened outside the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The list of servers was updated.
    EndpointsUpdated {
        /// Whether the entries are a patch, the whole list or an old copy of it, or whether the update failed.
        kind: ListUpdateKind,
        /// The entries of the update.
        entries: Vec<ServerEntry>,
    },
    /// A client's request has arrived.
    RequestArrived {
        /// What the request is, as far as decisions depend on it.
        info: RequestInfo,
        /// When its last byte had been received (us). For the rest of a stream that broke off, this is the time of
        /// the client's own request.
        received_at: Micros,
        /// What is known of its id.
        id_claim: IdClaim,
    },
    /// The first event of an attempt's stream has arrived. The stream waits until [`Effect::Relay`] passes it on.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
    },
    /// The last byte of an attempt has been handed to the operating system. This does not show that the server
    /// received it.
    AttemptWritten {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
        /// Whether the attempt uses a new connection or one that was already open.
        connection: ConnectionKind,
    },
    /// An attempt has ended without being cancelled.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
        /// Outcome of the attempt, with what the server reported.
        result: AttemptResult,
    },
    /// An attempt has been stopped, as [`Effect::CancelAttempt`] or [`Effect::CancelUnwritten`] asked for.
    AttemptStopped {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
        /// Whether the last byte of the attempt may have been written.
        written: bool,
    },
    /// A release requested with [`Effect::ReleaseHeldState`] has ended.
    ReleaseFinished {
        /// The request.
        id: RequestId,
        /// The number that the effect gave this release.
        number: u64,
        /// Whether a server answered the release.
        answered: bool,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// A load gossip message has arrived from another dispatcher.
    GossipReceived(Vec<u8>),
    /// New settings apply from now on. Their classes are numbered by their position in the file.
    SettingsReloaded(Box<Settings>),
    /// State learned by the process that this one replaces in a hot restart.
    StateImported(Box<Handover>),
    /// During a hot restart, another process of this dispatcher has started or ended next to this one, and the
    /// share of the limits that this process may use has changed.
    LimitShareChanged {
        /// Share of the dispatcher's limits, from 0 to 1.
        share: f64,
        /// Limit on the number of requests open at once in this process.
        max_open_requests: usize,
        /// Whether there is another process of this dispatcher now.
        has_peer: bool,
    },
    /// The process was told to shut down.
    Leaving(ShutdownTimes),
    /// Time has passed: timers that are due fire.
    Tick,
}

/// Whether the connection of an attempt was opened for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Opened for this attempt.
    New,
    /// Already open before this attempt.
    Kept,
}

impl ConnectionKind {
    /// Name of the kind in log lines and histories.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
        }
    }
}

/// Result of an attempt, with what the server reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Prompt tokens that the server found in its cache; 0 if it reported none.
    pub cached_tokens: u64,
    /// Load report that came with the server's answer; `None` if there was none.
    pub report: Option<Report>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, cached_tokens: 0, report: None }
    }
}

/// Something that the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server. If the attempt has neither ended nor started its stream by
    /// `attempt_deadline`, the reducer cancels it.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
        /// The server to send to.
        server: ServerId,
        /// Whether the server only reads the prompt; otherwise it streams the answer.
        reads: bool,
        /// Time at which the attempt times out.
        attempt_deadline: Micros,
        /// Time from which on nothing of the attempt may be written any more.
        begin_by: Micros,
        /// Whether a new connection must be used: state is held whose deadline runs until the writer gets the
        /// attempt, and a connection that was already open may have become unresponsive.
        new_connection: bool,
    },
    /// Cancel an attempt of which nothing has been written yet. [`Input::AttemptStopped`] must follow only in
    /// that case; any other attempt goes on.
    CancelUnwritten {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
    },
    /// Cancel an attempt. [`Input::AttemptStopped`] must follow, unless the attempt has just ended by itself.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
    },
    /// Relay the stream of an attempt to the client.
    Relay {
        /// The request.
        id: RequestId,
        /// The attempt, by number.
        attempt: u32,
    },
    /// Give the final answer that the request is rejected.
    Reject {
        /// The request.
        id: RequestId,
        /// Delay after which the client may retry (us).
        retry_in: Micros,
    },
    /// Give the final answer that the request failed.
    Fail {
        /// The request.
        id: RequestId,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
    /// Request that servers release all state held for the request.
    ReleaseHeldState {
        /// The request.
        id: RequestId,
        /// Number of this release; [`Input::ReleaseFinished`] repeats it.
        number: u64,
        /// Servers that hold state or may hold it.
        holders: Vec<ServerId>,
        /// Whether to repeat the release after [`CLOSE_PROPAGATION_TIME`](super::CLOSE_PROPAGATION_TIME): a
        /// read that was just abandoned may complete until its server notices the closed connection.
        again: bool,
        /// Whether the prompt may be read again next; that read waits for this release. The release is then
        /// abandoned early, because a late one would release the state left by that read.
        before_read: bool,
    },
    /// Send a load gossip message to all other dispatchers.
    PublishGossip(Vec<u8>),
    /// The request is completed and none of its attempts is in flight: forget it.
    Evict {
        /// The request.
        id: RequestId,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
}
