//! How much of an attempt has been written, which tells whether an attempt that is cancelled may have run.

use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::edge::connections::{ConnectionHandle, WrittenCallback};
use crate::edge::core::ConnectionKind;

/// Tracks whether the last byte of an attempt may have been written. That is impossible until the HTTP client
/// has asked for the body; an attempt that is cancelled before that must never be written later, by whatever
/// task still owns it.
#[derive(Default)]
pub struct Progress {
    stage: AtomicU8,
    /// The connection of the attempt, once it has one.
    connection: OnceLock<(ConnectionHandle, ConnectionKind)>,
    /// Called once the last byte of the attempt has been handed to the operating system.
    on_written: Option<Arc<dyn Fn(ConnectionKind) + Send + Sync>>,
}

impl std::fmt::Debug for Progress {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.debug_struct("Progress").field("stage", &self.stage).finish_non_exhaustive()
    }
}

/// Stage: the body has not been asked for.
const NOT_REQUESTED: u8 = 0;
/// Stage: the body has been asked for, and may be written from then on.
const REQUESTED: u8 = 1;
/// Stage: the attempt was cancelled before its body was asked for.
const CANCELLED: u8 = 2;

impl Progress {
    /// The progress of an attempt that has not started; `on_written` is called once its last byte has been
    /// handed to the operating system.
    #[must_use]
    pub fn new(on_written: impl Fn(ConnectionKind) + Send + Sync + 'static) -> Self {
        Self { on_written: Some(Arc::new(on_written)), ..Self::default() }
    }

    /// Sets the connection of the attempt. Only the first call has an effect.
    pub(super) fn set_connection(&self, handle: ConnectionHandle, kind: ConnectionKind) {
        let _ = self.connection.set((handle, kind)); // an attempt uses one connection only
    }

    fn handle(&self) -> Option<&ConnectionHandle> {
        self.connection.get().map(|(handle, _)| handle)
    }

    /// Registers the request with its connection, which has been given all of the body and writes it from now
    /// on.
    fn start_writing_body(&self) {
        let Some((handle, kind)) = self.connection.get() else { return };
        let (on_written, kind) = (self.on_written.clone(), *kind);
        handle.start_writing(
            on_written.map(|on_written| -> WrittenCallback { Box::new(move || on_written(kind)) }),
        );
    }

    /// Moves on from [`NOT_REQUESTED`] to another stage; returns the stage that holds after that. A stage other than
    /// [`NOT_REQUESTED`] is final.
    fn advance(&self, to: u8) -> u8 {
        let exchange = self.stage.compare_exchange(NOT_REQUESTED, to, Ordering::Relaxed, Ordering::Relaxed);
        exchange.map_or_else(|now| now, |_| to)
    }

    /// Whether the last byte may have been written. Valid only once nothing more will be, as the connection has
    /// broken or has been closed.
    pub(super) fn written(&self) -> bool {
        let unfinished = self.handle().is_some_and(ConnectionHandle::is_writing);
        self.stage.load(Ordering::Relaxed) == REQUESTED && !unfinished
    }

    /// Closes the connection of the attempt, if it has one. Only the close tells the server that the attempt is
    /// cancelled. A reply to the client or another attempt must not get ahead of it: the cancelled attempt would
    /// still count as running, and the request as sent twice.
    pub(super) async fn close(&self) {
        if let Some(handle) = self.handle() {
            handle.clone().close().await;
        }
    }

    /// Cancels the attempt if its body has not been asked for; returns whether some of it may have been
    /// written.
    pub fn cancel_before_write(&self) -> bool {
        self.advance(CANCELLED) == REQUESTED
    }
}

/// The body of an attempt. It records when it is asked for, and fails if the attempt has been cancelled or the
/// time to start writing is over.
pub struct AttemptBody {
    body: Option<Bytes>,
    begin_by: Option<Instant>,
    progress: Arc<Progress>,
}

impl AttemptBody {
    /// The body of an attempt that must not start to be written from `begin_by` on.
    pub(super) fn new(body: Bytes, begin_by: Instant, progress: Arc<Progress>) -> Self {
        Self { body: Some(body), begin_by: Some(begin_by), progress }
    }

    /// An empty body, for a request whose progress is not tracked.
    pub(super) fn empty() -> Self {
        Self { body: None, begin_by: None, progress: Arc::default() }
    }
}

/// The body was asked for after its attempt had been cancelled.
#[derive(Debug, thiserror::Error)]
#[error("attempt cancelled before its body was sent")]
pub struct CancelledBeforeWrite;

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = CancelledBeforeWrite;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CancelledBeforeWrite>>> {
        if self.begin_by.is_some_and(|by| Instant::now() >= by) {
            self.progress.cancel_before_write();
        }
        if self.progress.advance(REQUESTED) == CANCELLED {
            return Poll::Ready(Some(Err(CancelledBeforeWrite)));
        }
        let Some(body) = self.body.take() else { return Poll::Ready(None) };
        self.progress.start_writing_body();
        Poll::Ready(Some(Ok(Frame::data(body))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.as_ref().map_or(0, |body| body.len() as u64))
    }
}
