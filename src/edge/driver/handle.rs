//! The way to the driver, for everything that runs beside it.

use std::future::Future;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::edge::core::{AttemptResult, Input};
use crate::edge::driver::messages::{Message, Reply};
use crate::edge::servers::{Payload, StreamEnd};
use crate::interface::{Class, RequestId, RequestInfo, Settings};

/// Sends messages to the driver, and reads the settings that it has published.
#[derive(Clone, Debug)]
pub struct DriverHandle {
    messages: mpsc::UnboundedSender<Message>,
    settings: watch::Receiver<Arc<Settings>>,
}

impl DriverHandle {
    pub(super) fn new(
        messages: mpsc::UnboundedSender<Message>,
        settings: watch::Receiver<Arc<Settings>>,
    ) -> Self {
        Self { messages, settings }
    }

    /// The settings that hold now: their classes are those that new requests may have.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// A class by its name, with its number, if new requests may have it.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<(u32, Class)> {
        let settings = self.settings();
        let mut named = settings.classes.iter().filter(|(_, class)| class.name == name);
        named.next().map(|(&number, class)| (number, class.clone()))
    }

    /// Sends a message to the driver. One that has ended needs none.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Hands a request in and waits for its reply. Dropping the future tells that the client has disconnected.
    pub async fn ask(&self, info: RequestInfo, payload: Arc<Payload>) -> Reply {
        self.begin(info, payload).0.await
    }

    /// Hands a request in. Besides its reply, as of [`ask`](Self::ask), there is told whether it may have run:
    /// once nothing of it is in flight any more, also where the client has disconnected before.
    pub fn begin(
        &self,
        info: RequestInfo,
        payload: Arc<Payload>,
    ) -> (impl Future<Output = Reply> + use<>, oneshot::Receiver<bool>) {
        let (reply, replied) = oneshot::channel();
        let (completed, completion) = oneshot::channel();
        let guard = DisconnectGuard(Some((self.clone(), info.id)));
        self.send(Message::RequestArrived { info, payload, reply, completed });
        let reply = async move {
            let reply = replied.await;
            guard.disarm();
            reply.unwrap_or(Reply::Failed { may_have_run: true })
        };
        (reply, completion)
    }
}

impl StreamEnd for DriverHandle {
    fn finished(&self, id: RequestId, attempt: u32, result: AttemptResult) {
        self.send(Message::Input(Input::AttemptFinished { id, attempt, result }));
    }

    fn client_gone(&self, id: RequestId) {
        self.send(Message::Input(Input::ClientDisconnected(id)));
    }
}

/// Tells that the client has disconnected when it is dropped before the reply: the handler of a request is dropped when
/// its connection closes, and nothing else would say so.
struct DisconnectGuard(Option<(DriverHandle, RequestId)>);

impl DisconnectGuard {
    /// The client has its reply: what becomes of it from now on is told otherwise.
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some((driver, id)) = self.0.take() {
            driver.send(Message::ClientDisconnected(id));
        }
    }
}
