//! The clients of open requests: what is sent on for each, and where its reply goes.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;

use crate::edge::driver::messages::Reply;
use crate::edge::servers::Payload;
use crate::interface::RequestId;

/// The client of an open request.
pub(super) struct Client {
    /// What is sent on for it.
    pub(super) payload: Arc<Payload>,
    /// Its class, by number.
    pub(super) class: u32,
    /// Taken once it has its reply.
    reply: Option<oneshot::Sender<Reply>>,
    /// Is told whether the request may have run, once it is completed.
    completed: oneshot::Sender<bool>,
    /// The attempt whose stream the client is given.
    streaming: Option<u32>,
    end_is_counted: bool,
}

impl Client {
    /// One that waits for its reply.
    pub(super) fn new(
        payload: Arc<Payload>,
        class: u32,
        reply: oneshot::Sender<Reply>,
        completed: oneshot::Sender<bool>,
    ) -> Self {
        Self { payload, class, reply: Some(reply), completed, streaming: None, end_is_counted: false }
    }
}

/// The clients of open requests, by request. See the [module](self).
#[derive(Default)]
pub(super) struct Clients(HashMap<RequestId, Client>);

impl Clients {
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, client: Client) {
        self.0.insert(id, client);
    }

    /// What is sent on for a request.
    pub(super) fn payload(&self, id: RequestId) -> Option<&Arc<Payload>> {
        self.0.get(&id).map(|client| &client.payload)
    }

    /// Whether a client has disconnected before its reply.
    pub(super) fn has_disconnected(&self, id: RequestId) -> bool {
        let reply = self.0.get(&id).and_then(|client| client.reply.as_ref());
        reply.is_some_and(oneshot::Sender::is_closed)
    }

    /// Whether a client is given the stream of this attempt.
    pub(super) fn is_streaming(&self, id: RequestId, attempt: u32) -> bool {
        self.0.get(&id).is_some_and(|client| client.streaming == Some(attempt))
    }

    /// A client is given the stream of this attempt. Its prompt is not sent again: held as long as streams last, prompts
    /// would add up.
    pub(super) fn start_streaming(&mut self, id: RequestId, attempt: u32) {
        if let Some(client) = self.0.get_mut(&id) {
            client.payload = Arc::new(client.payload.without_body());
            client.streaming = Some(attempt);
        }
    }

    /// Gives a client its reply. One that has just disconnected drops it; a stream that is dropped says so by itself.
    pub(super) fn reply(&mut self, id: RequestId, reply: Reply) {
        let waiting = self.0.get_mut(&id).and_then(|client| client.reply.take());
        if let Some(waiting) = waiting {
            let _ = waiting.send(reply);
        }
    }

    /// The class of a request whose end has not been counted yet; from now on it is.
    pub(super) fn take_uncounted_end(&mut self, id: RequestId) -> Option<u32> {
        let client = self.0.get_mut(&id)?;
        let was_counted = std::mem::replace(&mut client.end_is_counted, true);
        (!was_counted).then_some(client.class)
    }

    /// Forgets a request that is completed, and tells whether it may have run to who wants to know.
    pub(super) fn complete(&mut self, id: RequestId, may_have_run: bool) {
        if let Some(client) = self.0.remove(&id) {
            let _ = client.completed.send(may_have_run); // few want to know
        }
    }
}
