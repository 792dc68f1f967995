//! What the driver is sent, and what it replies to clients.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::edge::core::Input;
use crate::edge::servers::{Opened, Payload, Relay};
use crate::interface::{ListUpdateKind, Micros, RequestId, RequestInfo, ServerEntry, Settings};
use dewladder_router::Handover;

/// What the driver is told.
#[derive(Debug)]
pub enum Message {
    /// A client's request has arrived.
    RequestArrived {
        /// What it asks for.
        info: RequestInfo,
        /// What is sent on for it.
        payload: Arc<Payload>,
        /// Where its reply goes.
        reply: oneshot::Sender<Reply>,
        /// Is told whether it may have run, once nothing of it is in flight any more.
        completed: oneshot::Sender<bool>,
    },
    /// An update of the list: entries with their addresses.
    EndpointsUpdated {
        /// How to read the entries.
        how: ListUpdateKind,
        /// The entries.
        entries: Vec<(ServerEntry, String)>,
    },
    /// An attempt's stream has begun.
    StreamOpened {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The stream.
        opened: Box<Opened>,
    },
    /// A client has disconnected before its reply.
    ClientDisconnected(RequestId),
    /// Settings that hold from now on.
    SettingsReloaded(Box<Settings>),
    /// Asks for the histories of open requests, a line each.
    DescribeRequests(oneshot::Sender<String>),
    /// Asks for the figures of held state, in lines.
    DescribeHeldState(oneshot::Sender<String>),
    /// Has the histories of open requests written to the log.
    LogRequests,
    /// Asks for what has been learned by now.
    ExportState(oneshot::Sender<Box<Handover>>),
    /// What the process whose place this one takes has learned.
    StateImported(Box<Handover>),
    /// Another process of this dispatcher runs beside this one, or has ended: the share of the limits that this one has.
    LimitShareChanged {
        /// Which share, of 1.
        part: f64,
        /// Requests that are open at once.
        max_open_requests: usize,
    },
    /// Something that the reducer takes as it is.
    Input(Input),
}

/// What a client gets.
#[derive(Debug)]
pub enum Reply {
    /// A server's stream.
    Stream(Relay),
    /// Rejected: trying again is harmless.
    Rejected {
        /// After this (us).
        retry_in: Micros,
    },
    /// Failed.
    Failed {
        /// Whether it may have run.
        may_have_run: bool,
    },
    /// Another request with this id is open: nothing was done, and that one goes on.
    DuplicateId,
}
