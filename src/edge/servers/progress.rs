//! How far an attempt has been written, so that one that is called off is known to have been executed or not.

use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::edge::connections::{Handle, WrittenCallback};
use crate::edge::core::ConnectionKind;

/// Whether an attempt's last byte may have been written. Until its body has been asked for it can't have
/// been; one that is called off before that must never be written later, whatever still holds it.
#[derive(Default)]
pub struct Progress {
    stage: AtomicU8,
    /// The connection that it goes over, once it has one.
    connection: OnceLock<(Handle, ConnectionKind)>,
    /// Called once its last byte has been handed to the system.
    on_written: Option<Arc<dyn Fn(ConnectionKind) + Send + Sync>>,
}

impl std::fmt::Debug for Progress {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.debug_struct("Progress").field("stage", &self.stage).finish_non_exhaustive()
    }
}

/// Nothing of the body has been asked for.
const UNTOUCHED: u8 = 0;
/// The body has been asked for: from then on it may be written.
const WRITTEN: u8 = 1;
/// The attempt was called off before its body was asked for.
const CALLED_OFF: u8 = 2;

impl Progress {
    /// The progress of an attempt that has not begun; `on_written` is called once its last byte has been handed to the
    /// system.
    #[must_use]
    pub fn new(on_written: impl Fn(ConnectionKind) + Send + Sync + 'static) -> Self {
        Self { on_written: Some(Arc::new(on_written)), ..Self::default() }
    }

    /// The attempt goes over this connection; it has one only.
    pub(super) fn set_connection(&self, handle: Handle, kind: ConnectionKind) {
        let _ = self.connection.set((handle, kind)); // an attempt has one
    }

    fn handle(&self) -> Option<&Handle> {
        self.connection.get().map(|(handle, _)| handle)
    }

    /// The connection has taken in hand all that is to be written.
    fn handed_over(&self) {
        let Some((handle, kind)) = self.connection.get() else { return };
        let (on_written, kind) = (self.on_written.clone(), *kind);
        handle
            .carries(on_written.map(|on_written| -> WrittenCallback { Box::new(move || on_written(kind)) }));
    }

    fn move_on(&self, to: u8) -> u8 {
        let moved = self.stage.compare_exchange(UNTOUCHED, to, Ordering::Relaxed, Ordering::Relaxed);
        moved.map_or_else(|now| now, |_| to)
    }

    /// Whether the last byte may have been written, once nothing more will be: the connection has broken or is closed.
    pub(super) fn written(&self) -> bool {
        let unfinished = self.handle().is_some_and(Handle::carrying);
        self.stage.load(Ordering::Relaxed) == WRITTEN && !unfinished
    }

    /// Closes the connection that the attempt goes over, if it has one. Only then has the server been told that the
    /// attempt is given up: an answer to the client, or another attempt, that overtook it would count as a repeat of
    /// what is still out.
    pub(super) async fn close(&self) {
        if let Some(handle) = self.handle() {
            handle.clone().close().await;
        }
    }

    /// Calls the attempt off; whether some of it may have been written.
    pub fn call_off(&self) -> bool {
        self.move_on(CALLED_OFF) == WRITTEN
    }
}

/// The body of an attempt: it notes when it is asked for, and refuses once the attempt has been called off or may not begin
/// any more.
pub struct AttemptBody {
    body: Option<Bytes>,
    begin_by: Option<Instant>,
    progress: Arc<Progress>,
}

impl AttemptBody {
    /// The body of an attempt, of which nothing may be written from `begin_by` on.
    pub(super) fn new(body: Bytes, begin_by: Instant, progress: Arc<Progress>) -> Self {
        Self { body: Some(body), begin_by: Some(begin_by), progress }
    }

    /// No body, for a request of which it does not matter how far it was written.
    pub(super) fn empty() -> Self {
        Self { body: None, begin_by: None, progress: Arc::default() }
    }
}

/// A body that was asked for after its attempt had been called off.
#[derive(Debug, thiserror::Error)]
#[error("called off")]
pub struct CalledOff;

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = CalledOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CalledOff>>> {
        if self.begin_by.is_some_and(|by| Instant::now() >= by) {
            self.progress.call_off();
        }
        if self.progress.move_on(WRITTEN) == CALLED_OFF {
            return Poll::Ready(Some(Err(CalledOff)));
        }
        let Some(body) = self.body.take() else { return Poll::Ready(None) };
        self.progress.handed_over();
        Poll::Ready(Some(Ok(Frame::data(body))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.as_ref().map_or(0, |body| body.len() as u64))
    }
}
