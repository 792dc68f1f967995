//! Attempts in flight: each runs in a task of its own, can be cancelled, and tells the driver how it went.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;

use crate::edge::core::Input;
use crate::edge::driver::handle::DriverHandle;
use crate::edge::driver::messages::Message;
use crate::edge::servers::{Attempt, AttemptOutcome, Opened, Progress, Servers, StreamEnd as _};
use crate::interface::RequestId;

struct InFlight {
    progress: Arc<Progress>,
    /// Taken once the attempt has been told to stop.
    stop: Option<oneshot::Sender<()>>,
    /// Its stream, while it waits to be passed on.
    opened: Option<Box<Opened>>,
}

/// Attempts in flight, by request and number. See the [module](self).
pub(super) struct Attempts {
    servers: Servers,
    driver: DriverHandle,
    in_flight: HashMap<(RequestId, u32), InFlight>,
}

impl Attempts {
    pub(super) fn new(servers: Servers, driver: DriverHandle) -> Self {
        Self { servers, driver, in_flight: HashMap::new() }
    }

    /// Sends a request to a server.
    pub(super) fn send(&mut self, id: RequestId, number: u32, attempt: Attempt) {
        let written = self.driver.clone();
        let progress = Arc::new(Progress::new(move |connection| {
            written.send(Message::Input(Input::AttemptWritten { id, attempt: number, connection }));
        }));
        let (stop, stopped) = oneshot::channel();
        let (servers, driver, marks) = (self.servers.clone(), self.driver.clone(), progress.clone());
        tokio::spawn(async move {
            match servers.attempt(attempt, marks, stopped).await {
                AttemptOutcome::Opened(opened) => {
                    driver.send(Message::StreamOpened { id, attempt: number, opened });
                }
                AttemptOutcome::Ended(result) => driver.finished(id, number, result),
                AttemptOutcome::Stopped { written } => {
                    driver.send(Message::Input(Input::AttemptStopped { id, attempt: number, written }));
                }
                // Told already: by now the request may be over, and another have its id.
                AttemptOutcome::CalledOff => {}
            }
        });
        self.in_flight.insert((id, number), InFlight { progress, stop: Some(stop), opened: None });
    }

    /// An attempt has ended: nothing of it is in flight any more.
    pub(super) fn remove(&mut self, id: RequestId, attempt: u32) {
        self.in_flight.remove(&(id, attempt));
    }

    /// The stream of an attempt has begun; it waits to be passed on. One that began just as it was told to stop is given
    /// up instead, and is no input.
    pub(super) fn stream_opened(
        &mut self,
        id: RequestId,
        attempt: u32,
        opened: Box<Opened>,
    ) -> Option<Input> {
        let in_flight = self.in_flight.get_mut(&(id, attempt))?;
        if in_flight.stop.is_none() {
            self.give_up(id, attempt, opened);
            return None;
        }
        in_flight.opened = Some(opened);
        Some(Input::StreamStarted { id, attempt })
    }

    /// Takes the stream of an attempt, to be passed on.
    pub(super) fn take_stream(&mut self, id: RequestId, attempt: u32) -> Option<Box<Opened>> {
        self.in_flight.remove(&(id, attempt)).and_then(|in_flight| in_flight.opened)
    }

    /// Cancels an attempt if nothing of it has been written yet.
    pub(super) fn cancel_unwritten(&mut self, id: RequestId, attempt: u32) -> Option<Input> {
        let in_flight = self.in_flight.get(&(id, attempt))?;
        if in_flight.progress.call_off() {
            return None;
        }
        self.cancel(id, attempt)
    }

    /// Cancels an attempt. One of which nothing has been written has stopped at once, as nothing ever will be. Of any
    /// other that is told once its connection is closed; one that has just ended tells that instead.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) -> Option<Input> {
        let in_flight = self.in_flight.get_mut(&(id, attempt))?;
        if let Some(opened) = in_flight.opened.take() {
            self.give_up(id, attempt, opened);
            return None;
        }
        let stop = in_flight.stop.take()?;
        let may_be_written = in_flight.progress.call_off();
        let _ = stop.send(()); // it may just have ended
        if may_be_written {
            return None;
        }
        self.in_flight.remove(&(id, attempt));
        Some(Input::AttemptStopped { id, attempt, written: false })
    }

    /// Gives up a stream that has begun and will not be passed on.
    fn give_up(&self, id: RequestId, attempt: u32, opened: Box<Opened>) {
        let driver = self.driver.clone();
        tokio::spawn(async move {
            opened.close().await;
            driver.send(Message::Input(Input::AttemptStopped { id, attempt, written: true }));
        });
    }
}
