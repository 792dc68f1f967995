//! The messages that the driver receives, and the replies that it sends to clients.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::edge::core::Input;
use crate::edge::servers::{OpenedStream, Payload, Relay};
use crate::interface::{ListUpdateKind, Micros, RequestId, RequestInfo, ServerEntry, Settings};
use dewladder_router::Handover;

/// A message to the driver.
#[derive(Debug)]
pub enum Message {
    /// A client's request has arrived.
    RequestArrived {
        /// The properties of the request that the reducer decides by.
        info: RequestInfo,
        /// When its last byte had been received (us).
        received_at: Micros,
        /// The request as it is sent to servers.
        payload: Arc<Payload>,
        /// Receives the reply to the client.
        reply: oneshot::Sender<Reply>,
        /// Receives whether the request may have run, once none of its attempts is in flight any more.
        completed: oneshot::Sender<bool>,
    },
    /// An update of the list of servers.
    EndpointsUpdated {
        /// How the entries change the list.
        kind: ListUpdateKind,
        /// The entries, each with the address of its server.
        entries: Vec<(ServerEntry, String)>,
    },
    /// The first event of the stream of an attempt has arrived.
    StreamOpened {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within its request.
        attempt: u32,
        /// The stream, from its first event on.
        opened: Box<OpenedStream>,
    },
    /// A client has disconnected before it got a reply.
    ClientDisconnected(RequestId),
    /// The settings were reloaded; these apply from now on.
    SettingsReloaded(Box<Settings>),
    /// Requests a description of the open requests: their histories, one per line.
    DescribeRequests(oneshot::Sender<String>),
    /// Requests the statistics of held state, as lines of text.
    DescribeHeldState(oneshot::Sender<String>),
    /// Requests that the histories of the open requests are written to the log.
    LogRequests,
    /// Requests the state that the router has learned so far, to hand it over to another process.
    ExportState(oneshot::Sender<Box<Handover>>),
    /// The state that the process replaced by this one had learned.
    StateImported(Box<Handover>),
    /// Another process of this dispatcher has started or ended beside this one, so the share of the limits that
    /// this process may use has changed.
    LimitShareChanged {
        /// The limit share of this process, 0 to 1.
        share: f64,
        /// Maximum number of open requests in this process.
        max_open_requests: usize,
        /// Whether there is another process now.
        has_peer: bool,
    },
    /// An input that is passed to the reducer unchanged.
    Input(Input),
}

/// The reply to a client.
#[derive(Debug)]
pub enum Reply {
    /// The stream of a server.
    Stream(Relay),
    /// The request was rejected: a retry is harmless.
    Rejected {
        /// When the client may retry, from now on (us).
        retry_in: Micros,
    },
    /// The request failed.
    Failed {
        /// Whether the request may have run.
        may_have_run: bool,
    },
    /// Another request with this id is open: this one was ignored, and the open one goes on.
    DuplicateId,
}
