//! The handle through which other tasks talk to the driver.

use std::future::Future;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::edge::core::{AttemptResult, Input};
use crate::edge::driver::messages::{Message, Reply};
use crate::edge::servers::{Payload, StreamEndListener};
use crate::edge::shutdown_times::ShutdownTimes;
use crate::interface::{Class, Micros, RequestId, RequestInfo, Settings};

/// Sends messages to the driver, and reads the settings that the driver has published.
#[derive(Clone, Debug)]
pub struct DriverHandle {
    messages: mpsc::UnboundedSender<Message>,
    settings: watch::Receiver<Arc<Settings>>,
    /// The schedule of the shutdown, once the process has been told to end.
    shutdown: watch::Receiver<Option<ShutdownTimes>>,
}

impl DriverHandle {
    pub(super) fn new(
        messages: mpsc::UnboundedSender<Message>,
        settings: watch::Receiver<Arc<Settings>>,
        shutdown: watch::Receiver<Option<ShutdownTimes>>,
    ) -> Self {
        Self { messages, settings, shutdown }
    }

    /// The current settings. Their classes are those that new requests may have.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// The number and the settings of the class with this name, `None` if new requests can't have it.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<(u32, Class)> {
        let settings = self.settings();
        let mut matching = settings.classes.iter().filter(|(_, class)| class.name == name);
        matching.next().map(|(&number, class)| (number, class.clone()))
    }

    /// Sends a message to the driver. It is dropped if the driver has ended.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Whether a request that was received at `received_at` (us) must be refused, because the process shuts down.
    #[must_use]
    pub fn refuses(&self, received_at: Micros) -> bool {
        self.shutdown.borrow().is_some_and(|times| times.refuses(received_at))
    }

    /// Submits a request that was received at `received_at` (us), and waits for its reply. Dropping the future before
    /// the reply reports that the client has disconnected.
    pub async fn submit_and_wait(
        &self,
        info: RequestInfo,
        received_at: Micros,
        payload: Arc<Payload>,
    ) -> Reply {
        self.submit(info, received_at, payload).0.await
    }

    /// Submits a request that was received at `received_at` (us). The future resolves to its reply, as that of
    /// [`submit_and_wait`](Self::submit_and_wait) does. The receiver gets whether the request may have run,
    /// once none of its attempts is in flight any more, even if the client has disconnected before that.
    pub fn submit(
        &self,
        info: RequestInfo,
        received_at: Micros,
        payload: Arc<Payload>,
    ) -> (impl Future<Output = Reply> + use<>, oneshot::Receiver<bool>) {
        let (reply, replied) = oneshot::channel();
        let (completed, completion) = oneshot::channel();
        let guard = DisconnectGuard(Some((self.clone(), info.id)));
        self.send(Message::RequestArrived { info, received_at, payload, reply, completed });
        let reply = async move {
            let reply = replied.await;
            guard.disarm();
            reply.unwrap_or(Reply::Failed { may_have_run: true })
        };
        (reply, completion)
    }
}

impl StreamEndListener for DriverHandle {
    fn finished(&self, id: RequestId, attempt: u32, result: AttemptResult) {
        self.send(Message::Input(Input::AttemptFinished { id, attempt, result }));
    }

    fn client_disconnected(&self, id: RequestId) {
        self.send(Message::Input(Input::ClientDisconnected(id)));
    }
}

/// Reports that the client has disconnected if it is dropped before the reply has arrived: the handler of a
/// request is dropped when its connection closes, and nothing else reports that.
struct DisconnectGuard(Option<(DriverHandle, RequestId)>);

impl DisconnectGuard {
    /// Turns the guard off once the reply has arrived: from then on, the relay of the stream reports a
    /// disconnect.
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
