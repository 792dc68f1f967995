//! The byte stream of a connection to a server, and the handle with which an attempt observes and closes it.

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

use crate::edge::tcp::UninterruptedStream;

/// Called for each request whose last byte has been handed to the operating system.
pub(super) type WriteObserver = Arc<dyn Fn() + Send + Sync>;
/// Called once the last byte of one particular request has been handed to the operating system.
pub type WrittenCallback = Box<dyn FnOnce() + Send>;

/// The write state of the request that a connection carries.
#[derive(Default)]
struct CarriedRequest {
    /// The body has been handed to the connection, and its last byte is not written yet.
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

    /// Records that the body of a request is being written.
    fn begin(&self, on_written: Option<WrittenCallback>) {
        *self.on_written.lock().unwrap_or_else(PoisonError::into_inner) = on_written;
        self.is_unfinished.store(true, Ordering::Relaxed);
    }

    /// Records that all bytes handed to the connection have been written; returns whether a request was among
    /// them.
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

/// The byte stream of a connection. `_open` must be dropped after `io` is closed, so the order of the fields
/// matters.
pub(super) struct Stream {
    io: TokioIo<UninterruptedStream>,
    write_observer: WriteObserver,
    request: Arc<CarriedRequest>,
    _open: watch::Sender<()>,
}

/// The parts of a [`ConnectionHandle`], until the task of the connection has been spawned.
pub(super) struct HandleParts {
    request: Arc<CarriedRequest>,
    open: watch::Receiver<()>,
}

impl HandleParts {
    pub(super) fn handle(self, task: AbortHandle) -> ConnectionHandle {
        ConnectionHandle { request: self.request, open: self.open, task }
    }
}

impl Stream {
    pub(super) fn new(stream: TcpStream, write_observer: WriteObserver) -> (Self, HandleParts) {
        let (sender, open) = watch::channel(());
        let request = Arc::<CarriedRequest>::default();
        let io = TokioIo::new(UninterruptedStream(stream));
        (Self { io, write_observer, request: request.clone(), _open: sender }, HandleParts { request, open })
    }
}

/// The handle with which an attempt observes and closes its connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    request: Arc<CarriedRequest>,
    open: watch::Receiver<()>,
    task: AbortHandle,
}

impl ConnectionHandle {
    /// Records that the body of a request is handed to the connection; `on_written` is called once its last byte
    /// is written.
    pub fn start_writing(&self, on_written: Option<WrittenCallback>) {
        self.request.begin(on_written);
    }

    /// Whether a request is being written: its body was handed to the connection, and not all of it is written.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        self.request.is_unfinished()
    }

    /// Closes the connection, even in the middle of a response, and waits until it is closed.
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
        // hyper flushes once it has written all that it has, so nothing is left to be written.
        if self.request.finish() {
            (self.write_observer)();
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
