//! The bytes of a connection to a server, and what the attempt that goes over it can see and do.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::edge::tcp::Uninterrupted;

/// Is told of each request whose last byte has been handed to the system.
pub(super) type Written = Arc<dyn Fn() + Send + Sync>;
/// Called once the last byte of one request has been handed to the system.
pub type WrittenCallback = Box<dyn FnOnce() + Send>;

/// The request that a connection carries.
#[derive(Default)]
struct CarriedRequest {
    /// Its body has been taken in hand, and its last byte is not written yet.
    is_unfinished: AtomicBool,
    on_written: Mutex<Option<WrittenCallback>>,
}

impl std::fmt::Debug for CarriedRequest {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "CarriedRequest {{ is_unfinished: {} }}", self.is_unfinished())
    }
}

impl CarriedRequest {
    fn is_unfinished(&self) -> bool {
        self.is_unfinished.load(Ordering::Relaxed)
    }

    fn begin(&self, on_written: Option<WrittenCallback>) {
        *self.on_written.lock().unwrap_or_else(PoisonError::into_inner) = on_written;
        self.is_unfinished.store(true, Ordering::Relaxed);
    }

    /// All that was handed over is written; whether a request was among it.
    fn finish(&self) -> bool {
        if !self.is_unfinished.swap(false, Ordering::Relaxed) {
            return false;
        }
        let on_written = self.on_written.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(on_written) = on_written {
            on_written();
        }
        true
    }
}

/// A connection's bytes; `_open` is dropped once it has been closed, so the fields must stay in this order.
pub(super) struct Stream {
    io: TokioIo<Uninterrupted>,
    written: Written,
    request: Arc<CarriedRequest>,
    _open: watch::Sender<()>,
}

/// What remains to be made a handle of once the connection's task runs.
pub(super) struct OpenedStream {
    request: Arc<CarriedRequest>,
    open: watch::Receiver<()>,
}

impl OpenedStream {
    pub(super) fn handle(self, task: AbortHandle) -> Handle {
        Handle { request: self.request, open: self.open, task }
    }
}

impl Stream {
    pub(super) fn new(stream: TcpStream, written: Written) -> (Self, OpenedStream) {
        let (sender, open) = watch::channel(());
        let request = Arc::<CarriedRequest>::default();
        let io = TokioIo::new(Uninterrupted(stream));
        (Self { io, written, request: request.clone(), _open: sender }, OpenedStream { request, open })
    }
}

/// A connection as seen by the attempt that goes over it.
#[derive(Clone, Debug)]
pub struct Handle {
    request: Arc<CarriedRequest>,
    open: watch::Receiver<()>,
    task: AbortHandle,
}

impl Handle {
    /// An attempt's last bytes are handed over to be written; then `on_written` is called.
    pub fn carries(&self, on_written: Option<WrittenCallback>) {
        self.request.begin(on_written);
    }

    /// Whether bytes that were handed over have not all been written.
    #[must_use]
    pub fn carrying(&self) -> bool {
        self.request.is_unfinished()
    }

    /// Closes the connection, whatever is still to come on it, and waits until that is done.
    pub async fn close(self) {
        self.task.abort();
        self.closed().await;
    }

    /// Waits until the connection has been closed.
    pub(super) async fn closed(mut self) {
        while self.open.changed().await.is_ok() {}
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, into)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(context))?;
        // Nothing is left to be written: hyper flushes once all that it has is out.
        if self.request.finish() {
            (self.written)();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, parts)
    }
}
