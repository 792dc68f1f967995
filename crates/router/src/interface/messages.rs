//! Events, which tell the router what has happened, and actions, which say what is to be done.

use std::collections::BTreeMap;

use super::{
    AttemptFinished, ListUpdateKind, Micros, RequestId, RequestInfo, ServerEntry, ServerId, Settings,
    TimerToken,
};
use crate::handover::Handover;

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointsUpdated {
        /// How to read the entries.
        how: ListUpdateKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client asks.
    RequestArrived(RequestInfo),
    /// The answer has begun to stream.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Time since it was sent (us).
        taken: Micros,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// The client has left.
    ClientDisconnected(RequestId),
    /// A timer is due.
    TimerFired(TimerToken),
    /// A message of another dispatcher.
    GossipReceived(Vec<u8>),
    /// The settings have changed.
    SettingsReloaded {
        /// What holds from now on.
        settings: Box<Settings>,
        /// For classes with a new number, the one that they had before.
        class_renumbering: BTreeMap<u32, u32>,
    },
    /// What the process has learnt whose place this one takes.
    StateImported(Box<Handover>),
    /// The part of this dispatcher that this process is from now on, while another process takes over from
    /// it: of what both may send, it may send so much (0 to 1).
    LimitShareChanged(f64),
    /// Every open request has to be answered by then (us), whatever its client would wait.
    DeadlinesCapped(Micros),
    /// An event that changes nothing here, such as a probe's end; timers and gossip go on.
    Ignored,
}

/// What the dispatcher is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Assign {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long the attempt may take (us).
        attempt_timeout: Micros,
    },
    /// Reject the request: trying again does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// After which time the client may come again (us).
        retry_in: Micros,
    },
    /// Tell the client that the request failed.
    Fail(RequestId),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Release every state held for the request.
    ReleaseHeldState(RequestId),
    /// Ask for a timer.
    StartTimer {
        /// How long from now (us).
        delay: Micros,
        /// Handed back when due.
        token: TimerToken,
    },
    /// Ask for changes of the list.
    Subscribe,
    /// Send a message to all other dispatchers; it may be lost.
    PublishGossip(Vec<u8>),
}
