//! The clients of open requests: the payload to send for each, and the channel for its reply.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;

use crate::edge::driver::messages::Reply;
use crate::edge::servers::Payload;
use crate::interface::RequestId;

/// The client of an open request.
pub(super) struct Client {
    /// The request as it is sent to servers.
    pub(super) payload: Arc<Payload>,
    /// The number of the class of the request.
    pub(super) class: u32,
    /// `None` once the client has got its reply.
    reply: Option<oneshot::Sender<Reply>>,
    /// Receives whether the request may have run, once it is completed.
    completed: oneshot::Sender<bool>,
    /// The attempt whose stream is relayed to the client, if one is.
    streaming: Option<u32>,
    end_is_counted: bool,
}

impl Client {
    /// A client that waits for its reply.
    pub(super) fn new(
        payload: Arc<Payload>,
        class: u32,
        reply: oneshot::Sender<Reply>,
        completed: oneshot::Sender<bool>,
    ) -> Self {
        Self { payload, class, reply: Some(reply), completed, streaming: None, end_is_counted: false }
    }

    /// Sends the client its reply, if it still waits for one. A client that has just disconnected drops the
    /// reply; a [`Reply::Stream`] that is dropped reports the disconnect by itself.
    pub(super) fn reply(&mut self, reply: Reply) {
        if let Some(reply_sender) = self.reply.take() {
            let _ = reply_sender.send(reply);
        }
    }
}

/// The clients of open requests, by request id. See the [module](self).
#[derive(Default)]
pub(super) struct Clients(HashMap<RequestId, Client>);

impl Clients {
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, client: Client) {
        self.0.insert(id, client);
    }

    /// The payload of an open request.
    pub(super) fn payload(&self, id: RequestId) -> Option<&Arc<Payload>> {
        self.0.get(&id).map(|client| &client.payload)
    }

    /// Whether the client of an open request has disconnected before it got its reply.
    pub(super) fn has_disconnected(&self, id: RequestId) -> bool {
        let reply = self.0.get(&id).and_then(|client| client.reply.as_ref());
        reply.is_some_and(oneshot::Sender::is_closed)
    }

    /// Whether the stream of this attempt is relayed to the client.
    pub(super) fn is_streaming(&self, id: RequestId, attempt: u32) -> bool {
        self.0.get(&id).is_some_and(|client| client.streaming == Some(attempt))
    }

    /// Records that the stream of this attempt is relayed to the client. The body of the request is dropped, as
    /// it is not sent again: bodies kept for as long as streams last would accumulate in memory.
    pub(super) fn start_streaming(&mut self, id: RequestId, attempt: u32) {
        if let Some(client) = self.0.get_mut(&id) {
            client.payload = Arc::new(client.payload.without_body());
            client.streaming = Some(attempt);
        }
    }

    /// Sends the client of an open request its [reply](Client::reply).
    pub(super) fn reply(&mut self, id: RequestId, reply: Reply) {
        if let Some(client) = self.0.get_mut(&id) {
            client.reply(reply);
        }
    }

    /// Marks the end of a request as counted; returns its class if the end had not been counted before.
    pub(super) fn take_uncounted_end(&mut self, id: RequestId) -> Option<u32> {
        let client = self.0.get_mut(&id)?;
        let was_counted = std::mem::replace(&mut client.end_is_counted, true);
        (!was_counted).then_some(client.class)
    }

    /// Removes a completed request, and reports whether it may have run to the receiver of its completion.
    pub(super) fn complete(&mut self, id: RequestId, may_have_run: bool) {
        if let Some(client) = self.0.remove(&id) {
            let _ = client.completed.send(may_have_run); // most receivers are dropped early
        }
    }
}
