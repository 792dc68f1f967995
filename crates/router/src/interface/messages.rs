//! Events, which are the router's input, and actions, which are its output.

use std::collections::BTreeMap;

use super::{
    AttemptFinished, ListUpdateKind, Micros, RequestId, RequestInfo, ServerEntry, ServerId, Settings,
    TimerToken,
};
use crate::handover::Handover;

/// Something that happened, reported to the router by the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers was updated, or a call for it failed.
    EndpointsUpdated {
        /// Whether the entries are a patch or a whole list, or the call failed.
        kind: ListUpdateKind,
        /// The listed servers; empty after a failed call.
        entries: Vec<ServerEntry>,
    },
    /// A client sent a request.
    RequestArrived(RequestInfo),
    /// The first token of an answer arrived.
    FirstToken {
        /// The request that is being answered.
        id: RequestId,
        /// The number of the attempt that streams, counted from 0 for each request.
        attempt: u32,
        /// Time from sending the attempt to its first token (us).
        elapsed: Micros,
    },
    /// The last byte of a request's attempt in flight was written to its server, so that it counts as work of
    /// the server from now on. Until then it may still arrive. Who can't tell when it was written reports it at
    /// once.
    AttemptWritten(RequestId),
    /// An attempt ended, with any outcome.
    AttemptFinished(AttemptFinished),
    /// The client disconnected before its request was completed.
    ClientDisconnected(RequestId),
    /// A timer that was started with [`Action::StartTimer`] expired.
    TimerFired(TimerToken),
    /// A gossip message from another dispatcher, as raw bytes; invalid ones are dropped.
    GossipReceived(Vec<u8>),
    /// The settings were reloaded while running.
    SettingsReloaded {
        /// The settings that apply from now on.
        settings: Box<Settings>,
        /// Maps the new number of each renumbered class to its previous number.
        class_renumbering: BTreeMap<u32, u32>,
    },
    /// State exported by the process that this one replaces.
    StateImported(Box<Handover>),
    /// This process's share, from 0 to 1, of the limits on what this dispatcher may send. Below 1 while two
    /// processes of the dispatcher run side by side during a hot restart.
    LimitShareChanged(f64),
    /// Every open request must be answered by this time (us), even if its own deadline is later.
    DeadlinesCapped(Micros),
    /// An event without effect on routing, such as the end of a probe. It still advances the router's clock
    /// and publishes pending gossip.
    Ignored,
}

/// Something that the dispatcher must do, as decided by the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server as a new attempt.
    Assign {
        /// The request to send.
        id: RequestId,
        /// The server that receives it.
        server: ServerId,
        /// Attempt timeout, counted from the send (us).
        attempt_timeout: Micros,
    },
    /// Reject the request. The client may safely retry it.
    Reject {
        /// The request to reject.
        id: RequestId,
        /// How long the client should wait before it retries (us).
        retry_in: Micros,
    },
    /// Fail the request: it must not be retried, or its deadline has passed.
    Fail(RequestId),
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt's number, counted from 0 for each request.
        attempt: u32,
    },
    /// Release all state that servers hold for the request.
    ReleaseHeldState(RequestId),
    /// Start a one-shot timer.
    StartTimer {
        /// Time from now until it expires (us).
        delay: Micros,
        /// The token to return in [`Event::TimerFired`].
        token: TimerToken,
    },
    /// Subscribe to updates of the list of servers.
    Subscribe,
    /// Send a gossip message to all other dispatchers. Delivery is best effort.
    PublishGossip(Vec<u8>),
}
