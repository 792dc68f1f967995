//! The byte stream of a connection to a server, and the handle with which an attempt observes and closes it.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::edge::connections::response_framing::{BodyProgress, DeclaredTooLong, ResponseFraming};
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
    io: UninterruptedStream,
    framing: ResponseFraming,
    /// The server has declared more data than is allowed: nothing more is read.
    declares_too_much: bool,
    write_observer: WriteObserver,
    request: Arc<CarriedRequest>,
    _open: watch::Sender<()>,
}

/// The parts of a [`ConnectionHandle`], until the task of the connection has been spawned.
pub(super) struct HandleParts {
    request: Arc<CarriedRequest>,
    progress: Arc<BodyProgress>,
    open: watch::Receiver<()>,
}

impl HandleParts {
    pub(super) fn handle(self, task: AbortHandle) -> ConnectionHandle {
        ConnectionHandle { request: self.request, progress: self.progress, open: self.open, task }
    }
}

impl Stream {
    pub(super) fn new(stream: TcpStream, write_observer: WriteObserver) -> (Self, HandleParts) {
        let (sender, open) = watch::channel(());
        let request = Arc::<CarriedRequest>::default();
        let progress = Arc::<BodyProgress>::default();
        let stream = Self {
            io: UninterruptedStream(stream),
            framing: ResponseFraming::new(progress.clone()),
            declares_too_much: false,
            write_observer,
            request: request.clone(),
            _open: sender,
        };
        (stream, HandleParts { request, progress, open })
    }
}

/// The handle with which an attempt observes and closes its connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    request: Arc<CarriedRequest>,
    progress: Arc<BodyProgress>,
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

    /// Waits, from now on, for the end of the chunk with the last of the first `bytes` bytes of the current response's
    /// body; see [`chunk_ended_at`](Self::chunk_ended_at).
    pub fn await_chunk_end(&self, bytes: u64) {
        self.progress.await_whole(bytes);
    }

    /// When the chunk that [`await_chunk_end`](Self::await_chunk_end) waits for had ended; `None` if it has not.
    #[must_use]
    pub fn chunk_ended_at(&self) -> Option<Instant> {
        self.progress.reached_at()
    }

    /// Whether the last of the first `bytes` bytes of the current response's body lies in a chunk that is declared to be
    /// longer than a body of the platform's protocol, and has not ended.
    #[must_use]
    pub fn is_in_long_chunk(&self, bytes: u64) -> bool {
        self.progress.is_in_long_chunk(bytes)
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

impl AsyncRead for Stream {
    /// Passes on what has been received, up to a declaration of too much data; behind that, the read fails.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        if !self.declares_too_much {
            ready!(Pin::new(&mut self.io).poll_read(context, into))?;
            let received = &into.filled()[before..];
            let accepted = self.framing.accept(received);
            self.declares_too_much = accepted < received.len();
            into.set_filled(before + accepted);
        }
        if self.declares_too_much && into.filled().len() == before {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, DeclaredTooLong)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
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
