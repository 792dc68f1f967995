//! The byte stream of a client's connection, as hyper reads and writes it. It reports what is received to the
//! connection's slot, buffers bytes that the client pipelines behind an open request, and lingers when it is
//! closed.

use std::io::{self, Read as _};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use crate::edge::clients::connection_limits::SlotGuard;
use crate::edge::clients::connection_slot::ConnectionSlot;
use crate::edge::clients::pipeline_turns::Ticket;
use crate::edge::clients::read_ahead::ReadAhead;
use crate::edge::tcp::UninterruptedStream;

/// A connection is cut when the client takes in none of the sent data for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// A lingering close reads and discards what the client still sends for this long, and up to this many bytes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: u64 = 512 << 10;
/// Size of the buffer for one read behind an open request (bytes).
const READ_BUFFER_BYTES: usize = 8 << 10;

/// A client's connection. `stream` and `guard` are present until it is dropped; the drop may hand them to the
/// task of a lingering close.
pub struct ClientStream {
    stream: Option<UninterruptedStream>,
    guard: Option<SlotGuard>,
    read_ahead: ReadAhead,
    /// The place in the queue for a turn to begin the next buffered request, if it waits for one.
    turn_ticket: Option<Ticket>,
    /// Whether the socket has been read directly, without waiting for the event queue, since the open request
    /// was complete; see [`read_socket_directly`](Self::read_socket_directly).
    has_checked_socket: bool,
    /// Its drop is the signal that this connection has ended: the listener waits until all clones are
    /// dropped.
    shutdown_complete_tx: mpsc::Sender<()>,
}

/// The result of a read behind an open request.
enum PipelinedRead {
    /// Bytes came and were buffered.
    Buffered,
    /// The client has closed its sending side.
    Closed,
    /// No bytes are available now.
    Pending,
}

impl ClientStream {
    /// Wraps an accepted connection that holds this slot. `shutdown_complete_tx` is dropped when the
    /// connection has ended, after a lingering close.
    #[must_use]
    pub fn new(stream: TcpStream, guard: SlotGuard, shutdown_complete_tx: mpsc::Sender<()>) -> Self {
        let read_ahead = ReadAhead::new(&guard.limits.memory);
        let (stream, guard) = (Some(UninterruptedStream(stream)), Some(guard));
        Self { stream, guard, read_ahead, turn_ticket: None, has_checked_socket: false, shutdown_complete_tx }
    }

    /// Sets the socket options. Errors are ignored: the connection works without them.
    pub(crate) fn set_options(&self) {
        let Some(UninterruptedStream(stream)) = &self.stream else { return };
        // Stream events are forwarded as they come; none may wait in the kernel until a segment is full.
        let _ = stream.set_nodelay(true);
        // Without this, a client that vanished on a bad link or no longer reads would hold its stream and its
        // server forever.
        let _ = SockRef::from(stream).set_tcp_user_timeout(Some(WRITE_TIMEOUT));
    }

    fn stream(&mut self) -> io::Result<Pin<&mut UninterruptedStream>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn slot(&self) -> Option<Arc<ConnectionSlot>> {
        self.guard.as_ref().map(|guard| guard.slot.clone())
    }

    /// Reads from the socket and returns the number of bytes. Tells the slot when the client has closed its
    /// sending side or the connection has broken.
    fn poll_receive(&mut self, context: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let (before, had_room) = (into.filled().len(), into.remaining() > 0);
        let read = ready!(self.stream()?.poll_read(context, into));
        let length = into.filled().len() - before;
        if let Some(guard) = &self.guard {
            match &read {
                Err(_) => guard.slot.connection_broken(),
                Ok(()) if length > 0 => guard.slot.client_sent(),
                Ok(()) if had_room && has_error(self.stream.as_ref()) => guard.slot.connection_broken(),
                Ok(()) if had_room => guard.slot.client_closed(),
                Ok(()) => {}
            }
        }
        Poll::Ready(read.map(|()| length))
    }

    /// Reads bytes that the client sends behind an open request into the read-ahead buffer.
    fn read_pipelined(&mut self, context: &mut Context<'_>) -> io::Result<PipelinedRead> {
        let mut buffer = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
        let mut buffer = ReadBuf::uninit(&mut buffer);
        if let Poll::Ready(received) = self.poll_receive(context, &mut buffer) {
            if received? == 0 {
                return Ok(PipelinedRead::Closed);
            }
            self.read_ahead.push(buffer.filled());
            return Ok(PipelinedRead::Buffered);
        }
        let Some(slot) = self.slot() else { return Ok(PipelinedRead::Closed) };
        if !std::mem::replace(&mut self.has_checked_socket, true) {
            match self.read_socket_directly() {
                Ok(false) => {}
                Ok(true) => {
                    slot.client_closed();
                    return Ok(PipelinedRead::Closed);
                }
                Err(error) => {
                    slot.connection_broken();
                    return Err(error);
                }
            }
        }
        if self.read_ahead.has_overflowed() || !self.read_ahead.is_empty() {
            slot.wake_when_answered(context.waker());
        }
        Ok(PipelinedRead::Pending)
    }

    /// Reads from the socket past the runtime, after a request has been received completely. Returns whether
    /// the client has closed its sending side.
    ///
    /// Tokio takes a read that does not fill its buffer as the sign of an empty socket, and a new connection
    /// as ready before any event for it has arrived. A close that follows directly behind the request would
    /// therefore be noticed only after the next look at the event queue, when the request has already been
    /// sent on.
    fn read_socket_directly(&mut self) -> io::Result<bool> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while !self.read_ahead.has_overflowed() {
            let Some(UninterruptedStream(stream)) = &self.stream else { return Ok(true) };
            match (&*SockRef::from(stream)).read(&mut buffer) {
                Ok(0) => return Ok(true),
                Ok(length) => self.read_ahead.push(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    /// Reads the next request, or more of it, from the socket. Bytes behind the end of the request go to the
    /// read-ahead buffer.
    fn poll_request(
        &mut self,
        slot: &ConnectionSlot,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let received = ready!(self.poll_receive(context, into))?;
        let consumed = slot.received(Instant::now(), &into.filled()[before..]);
        self.read_ahead.push(&into.filled()[before + consumed..before + received]);
        into.set_filled(before + consumed);
        Poll::Ready(Ok(()))
    }

    /// Ready if the next buffered request may be begun now.
    fn poll_turn(&mut self, context: &Context<'_>) -> Poll<()> {
        let Some(guard) = &self.guard else { return Poll::Ready(()) };
        guard.limits.pipeline_turns.poll_begin(&mut self.turn_ticket, context)
    }

    /// Returns the next request, or as much of it as is buffered, from the read-ahead buffer.
    fn read_buffered(&mut self, slot: &ConnectionSlot, into: &mut ReadBuf<'_>) {
        let buffered = self.read_ahead.peek(into.remaining());
        let consumed = slot.received(Instant::now(), buffered);
        into.put_slice(&buffered[..consumed]);
        self.read_ahead.consume(consumed);
    }

    /// Notices a client that has closed its connection before the end of its answer is written: it can't have all of it.
    fn check_early_close(&self) {
        let (Some(UninterruptedStream(stream)), Some(guard)) = (&self.stream, &self.guard) else { return };
        if !guard.slot.has_undelivered_answer() {
            return;
        }
        let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
        if matches!(peeked, Ok(0)) {
            guard.slot.answer_lost();
        }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Some(guard) = &self.guard {
            guard.slot.written(Instant::now(), written.is_pending());
            if matches!(written, Poll::Ready(Err(_))) {
                guard.slot.answer_lost();
            }
        }
        written
    }
}

impl Drop for ClientStream {
    /// Starts a lingering close: shuts down the sending side, then reads and discards what the client still
    /// sends, up to `LINGER_TIMEOUT` and `MAX_LINGER_BYTES`.
    fn drop(&mut self) {
        let (Some(stream), Some(guard)) = (self.stream.take(), self.guard.take()) else { return };
        let slot = guard.slot.clone();
        if !slot.should_linger() {
            return;
        }
        let shutdown_complete_tx = self.shutdown_complete_tx.clone();
        let deadline = Instant::now() + LINGER_TIMEOUT;
        let task = tokio::spawn(async move {
            if let Ok(Err(_)) = timeout_at(deadline, drain(stream)).await {
                guard.slot.answer_lost();
            }
            drop((guard, shutdown_complete_tx));
        });
        slot.set_lingering_task(task.abort_handle());
    }
}

async fn drain(mut stream: UninterruptedStream) -> io::Result<()> {
    stream.shutdown().await?;
    tokio::io::copy(&mut (&mut stream).take(MAX_LINGER_BYTES), &mut tokio::io::sink()).await?;
    if has_error(Some(&stream)) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    Ok(())
}

/// Whether the connection was reset after the client had closed its sending side, which reads don't tell.
fn has_error(stream: Option<&UninterruptedStream>) -> bool {
    stream.is_some_and(|UninterruptedStream(stream)| !matches!(stream.take_error(), Ok(None)))
}

impl AsyncRead for ClientStream {
    /// Returns bytes up to the end of the current request only. With bytes of a further request in its
    /// buffer, hyper would not read again before it has answered, and would not notice that the client has
    /// left.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(slot) = self.slot() else { return Poll::Ready(Ok(())) };
        while slot.serves_complete_request() {
            // The first bytes behind the request are read at once: they may be the client's close.
            if !self.read_ahead.is_empty() && !self.read_ahead.has_overflowed() {
                ready!(self.poll_turn(context));
            }
            match self.read_pipelined(context)? {
                PipelinedRead::Buffered => {}
                PipelinedRead::Closed => return Poll::Ready(Ok(())),
                PipelinedRead::Pending => return Poll::Pending,
            }
        }
        if self.read_ahead.has_overflowed() {
            return Poll::Ready(Ok(())); // reported as end of stream, so that hyper closes the connection
        }
        self.has_checked_socket = false;
        if self.read_ahead.is_empty() {
            return self.poll_request(&slot, context, into);
        }
        if slot.waits_for_request() {
            ready!(self.poll_turn(context));
        }
        self.read_buffered(&slot, into);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_early_close();
        let written = self.stream()?.poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_early_close();
        let written = self.stream()?.poll_write_vectored(context, parts);
        self.record_write(written)
    }
}
