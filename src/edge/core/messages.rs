//! What goes into the reducer and what comes out of it: [`Input`] tells what has happened outside, [`Effect`] what is to be
//! done there. All times are in microseconds of the program's clock.

use crate::edge::shutdown_times::ShutdownTimes;
use crate::interface::{
    ListUpdateKind, Micros, Outcome, Report, RequestId, RequestInfo, ServerEntry, ServerId, Settings,
};
use dewladder_router::Handover;

/// What has happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// News of the list of servers.
    EndpointsUpdated {
        /// How to read the entries.
        how: ListUpdateKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client's request has arrived.
    RequestArrived(RequestInfo),
    /// The first event of an attempt's stream is here; it waits to be passed on.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// The last byte of an attempt has been handed to the system. That says nothing of the server.
    AttemptWritten {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The connection that it goes over.
        connection: ConnectionKind,
    },
    /// An attempt has ended by itself.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// An attempt has been stopped as asked for.
    AttemptStopped {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Whether its last byte may have been written.
        written: bool,
    },
    /// A release that was asked for has come to its end.
    ReleaseFinished {
        /// The request.
        id: RequestId,
        /// Which release, as its effect numbered it.
        number: u64,
        /// Whether a server answered it.
        answered: bool,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// A message of another dispatcher.
    GossipReceived(Vec<u8>),
    /// Settings that hold from now on; their classes are numbered by place, as they were read.
    SettingsReloaded(Box<Settings>),
    /// What the process whose place this one takes has learned.
    StateImported(Box<Handover>),
    /// Another process of this dispatcher runs beside this one, or has ended: the share of the limits that this one has.
    LimitShareChanged {
        /// Which share, of 1.
        part: f64,
        /// Requests that are open at once.
        max_open_requests: usize,
    },
    /// The process was told to end.
    Leaving(ShutdownTimes),
    /// Time has passed: what is due is dealt with.
    Tick,
}

/// The connection that an attempt goes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// It was opened for the attempt.
    New,
    /// It had been opened before.
    Kept,
}

impl ConnectionKind {
    /// Its name in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
        }
    }
}

/// How an attempt ended by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Prompt tokens that the server found in its cache.
    pub cached_tokens: u64,
    /// The load report, if one came along.
    pub report: Option<Report>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, cached_tokens: 0, report: None }
    }
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server; a stop comes at `until` at the latest.
    Send {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Whether it is to read only.
        reads: bool,
        /// When the attempt is given up.
        until: Micros,
        /// Nothing of it may be written from then on.
        begin_by: Micros,
        /// It may go over a new connection only: something is held, whose time runs until this arrives, and a connection
        /// that was open before may have fallen silent.
        new_connection: bool,
    },
    /// Cancel an attempt if nothing of it has been written yet; only then [`Input::AttemptStopped`] is to follow.
    CancelUnwritten {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Cancel an attempt; [`Input::AttemptStopped`] is to follow.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Pass an attempt's stream on to the client.
    Relay {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: rejected.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may come again.
        retry_in: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        id: RequestId,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
    /// Have servers release all state that they hold for the request.
    ReleaseHeldState {
        /// The request.
        id: RequestId,
        /// The number of this release; its end is told by it.
        number: u64,
        /// Servers that hold or may hold something.
        holders: Vec<ServerId>,
        /// Once more after [`CLOSE_SEEN`](super::CLOSE_SEEN): a read that has just been given up may end until its close is seen.
        again: bool,
        /// The prompt is read again next, which waits for this: it is given up early, as it would let go of what that read
        /// leaves.
        before_read: bool,
    },
    /// Send a message to all other dispatchers.
    PublishGossip(Vec<u8>),
    /// The request is completed and nothing of it is in flight: it can be forgotten.
    Evict {
        /// The request.
        id: RequestId,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
}
