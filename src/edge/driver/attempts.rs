//! Attempts in flight: each runs in its own task, can be cancelled, and reports its outcome to the driver.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;

use crate::edge::core::Input;
use crate::edge::driver::handle::DriverHandle;
use crate::edge::driver::messages::Message;
use crate::edge::servers::{
    Attempt, AttemptOutcome, OpenedStream, Progress, Servers, StreamEndListener as _,
};
use crate::interface::RequestId;

struct InFlight {
    progress: Arc<Progress>,
    /// Stops the task of the attempt; `None` once it has been told to stop.
    stop: Option<oneshot::Sender<()>>,
    /// The stream that has begun, until it is relayed to the client.
    opened: Option<Box<OpenedStream>>,
}

/// The attempts in flight, by request id and attempt number. See the [module](self).
pub(super) struct Attempts {
    servers: Servers,
    driver: DriverHandle,
    in_flight: HashMap<(RequestId, u32), InFlight>,
}

impl Attempts {
    pub(super) fn new(servers: Servers, driver: DriverHandle) -> Self {
        Self { servers, driver, in_flight: HashMap::new() }
    }

    /// Starts an attempt: spawns the task that sends the request to a server.
    pub(super) fn send(&mut self, id: RequestId, number: u32, attempt: Attempt) {
        let written = self.driver.clone();
        let progress = Arc::new(Progress::new(move |connection| {
            written.send(Message::Input(Input::AttemptWritten { id, attempt: number, connection }));
        }));
        let (stop, stopped) = oneshot::channel();
        let (servers, driver, attempt_progress) =
            (self.servers.clone(), self.driver.clone(), progress.clone());
        tokio::spawn(async move {
            match servers.attempt(attempt, attempt_progress, stopped).await {
                AttemptOutcome::OpenedStream(opened) => {
                    driver.send(Message::StreamOpened { id, attempt: number, opened });
                }
                AttemptOutcome::Ended(result) => driver.finished(id, number, result),
                AttemptOutcome::Stopped { written } => {
                    driver.send(Message::Input(Input::AttemptStopped { id, attempt: number, written }));
                }
                // `cancel` has already reported it. By now the request may be completed, and its id in use by
                // another request, which a report from here would hit.
                AttemptOutcome::CancelledBeforeWrite => {}
            }
        });
        self.in_flight.insert((id, number), InFlight { progress, stop: Some(stop), opened: None });
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, id: RequestId, attempt: u32) {
        self.in_flight.remove(&(id, attempt));
    }

    /// Keeps the stream of an attempt that has begun, until it is relayed. If the attempt was told to stop just
    /// before, its stream is closed instead, and there is no input for the reducer.
    pub(super) fn stream_opened(
        &mut self,
        id: RequestId,
        attempt: u32,
        opened: Box<OpenedStream>,
    ) -> Option<Input> {
        let in_flight = self.in_flight.get_mut(&(id, attempt))?;
        if in_flight.stop.is_none() {
            self.close_stream(id, attempt, opened);
            return None;
        }
        in_flight.opened = Some(opened);
        Some(Input::StreamStarted { id, attempt })
    }

    /// Removes an attempt and returns its stream, which is to be relayed.
    pub(super) fn take_stream(&mut self, id: RequestId, attempt: u32) -> Option<Box<OpenedStream>> {
        self.in_flight.remove(&(id, attempt)).and_then(|in_flight| in_flight.opened)
    }

    /// Cancels an attempt, unless some of its request may have been written already.
    pub(super) fn cancel_unwritten(&mut self, id: RequestId, attempt: u32) -> Option<Input> {
        let in_flight = self.in_flight.get(&(id, attempt))?;
        if in_flight.progress.cancel_before_write() {
            return None;
        }
        self.cancel(id, attempt)
    }

    /// Cancels an attempt. If nothing of its request has been written, nothing will be, and the attempt has
    /// stopped at once: that is the returned input. Otherwise [`Input::AttemptStopped`] follows once its
    /// connection is closed, or [`Input::AttemptFinished`] if the attempt has just ended by itself.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) -> Option<Input> {
        let in_flight = self.in_flight.get_mut(&(id, attempt))?;
        if let Some(opened) = in_flight.opened.take() {
            self.close_stream(id, attempt, opened);
            return None;
        }
        let stop = in_flight.stop.take()?;
        let may_be_written = in_flight.progress.cancel_before_write();
        let _ = stop.send(()); // the attempt may just have ended
        if may_be_written {
            return None;
        }
        self.in_flight.remove(&(id, attempt));
        Some(Input::AttemptStopped { id, attempt, written: false })
    }

    /// Closes a stream that has begun and will not be relayed, then reports that its attempt has stopped.
    fn close_stream(&self, id: RequestId, attempt: u32, opened: Box<OpenedStream>) {
        let driver = self.driver.clone();
        tokio::spawn(async move {
            opened.close().await;
            driver.send(Message::Input(Input::AttemptStopped { id, attempt, written: true }));
        });
    }
}
