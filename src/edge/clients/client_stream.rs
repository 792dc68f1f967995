//! A client's connection as hyper reads and writes it: what comes is followed for its slot, what comes behind an open
//! request is kept back, and the close lingers.

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
use crate::edge::clients::read_ahead::ReadAhead;
use crate::edge::tcp::Uninterrupted;

/// A client that takes in nothing of what is sent for so long is cut.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// What a client still sends after its answer is read for so long, and up to so much (bytes).
const LINGER_TIME: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: u64 = 512 << 10;
/// Read at once behind an open request (bytes).
const PIECE_BYTES: usize = 8 << 10;

/// A client's connection. Its stream and slot are there until it is dropped; then a lingering close may take them.
pub struct ClientStream {
    stream: Option<Uninterrupted>,
    guard: Option<SlotGuard>,
    read_ahead: ReadAhead,
    /// What lies behind the open request has been looked at without waiting for the event queue.
    has_looked_behind: bool,
    /// The front has not ended while anybody holds a clone.
    running: mpsc::Sender<()>,
}

/// What a read behind an open request has found.
enum Behind {
    /// More bytes, which are kept.
    Kept,
    /// The client has ended its side.
    Closed,
    /// Nothing for now.
    Pending,
}

impl ClientStream {
    /// A connection that has this slot.
    #[must_use]
    pub fn new(stream: TcpStream, guard: SlotGuard, running: mpsc::Sender<()>) -> Self {
        let read_ahead = ReadAhead::new(guard.limits.read_ahead_bytes.clone());
        let (stream, guard) = (Some(Uninterrupted(stream)), Some(guard));
        Self { stream, guard, read_ahead, has_looked_behind: false, running }
    }

    /// Sets the options of its socket.
    pub(crate) fn set_options(&self) {
        let Some(Uninterrupted(stream)) = &self.stream else { return };
        // Events are passed on as they come: none may wait for more to fill a segment.
        let _ = stream.set_nodelay(true);
        // A client that vanished on a poor link, or reads no more, would hold its stream and its server for ever.
        let _ = SockRef::from(stream).set_tcp_user_timeout(Some(WRITE_TIMEOUT));
    }

    fn stream(&mut self) -> io::Result<Pin<&mut Uninterrupted>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn slot(&self) -> Option<Arc<ConnectionSlot>> {
        self.guard.as_ref().map(|guard| guard.slot.clone())
    }

    /// Reads from the client; that it has left is noted.
    fn poll_receive(&mut self, context: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let (before, had_room) = (into.filled().len(), into.remaining() > 0);
        let read = ready!(self.stream()?.poll_read(context, into));
        let length = into.filled().len() - before;
        let has_ended = read.is_err() || (had_room && length == 0);
        if let Some(guard) = self.guard.as_ref().filter(|_| has_ended) {
            guard.slot.client_closed();
        }
        Poll::Ready(read.map(|()| length))
    }

    /// Reads what comes behind an open request, and keeps it.
    fn read_behind(&mut self, context: &mut Context<'_>) -> io::Result<Behind> {
        let mut piece = [MaybeUninit::uninit(); PIECE_BYTES];
        let mut piece = ReadBuf::uninit(&mut piece);
        if let Poll::Ready(received) = self.poll_receive(context, &mut piece) {
            if received? == 0 {
                return Ok(Behind::Closed);
            }
            self.read_ahead.push(piece.filled());
            return Ok(Behind::Kept);
        }
        let Some(slot) = self.slot() else { return Ok(Behind::Closed) };
        if !std::mem::replace(&mut self.has_looked_behind, true) {
            match self.look_behind() {
                Ok(false) => {}
                Ok(true) => {
                    slot.client_closed();
                    return Ok(Behind::Closed);
                }
                Err(error) => {
                    slot.client_closed();
                    return Err(error);
                }
            }
        }
        if self.read_ahead.has_overflowed() || !self.read_ahead.is_empty() {
            slot.wake_when_answered(context.waker());
        }
        Ok(Behind::Pending)
    }

    /// Reads what lies behind a request that has just come whole, past the runtime: tokio takes a read that fills less than
    /// its buffer for an empty socket, and a new connection for ready before any event has told of it. So a client's
    /// close that lies right behind its request is not told until the event queue is looked at again; by then the
    /// request has been sent on. Returns whether the client has left.
    fn look_behind(&mut self) -> io::Result<bool> {
        let mut piece = [0; PIECE_BYTES];
        while !self.read_ahead.has_overflowed() {
            let Some(Uninterrupted(stream)) = &self.stream else { return Ok(true) };
            match (&*SockRef::from(stream)).read(&mut piece) {
                Ok(0) => return Ok(true),
                Ok(length) => self.read_ahead.push(&piece[..length]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    /// Reads the next request, or more of it, from the socket; what comes behind it is kept.
    fn poll_request(
        &mut self,
        slot: &ConnectionSlot,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let received = ready!(self.poll_receive(context, into))?;
        let taken = slot.received(Instant::now(), &into.filled()[before..]);
        self.read_ahead.push(&into.filled()[before + taken..before + received]);
        into.set_filled(before + taken);
        Poll::Ready(Ok(()))
    }

    /// Gives the next request, or as much of it as was kept.
    fn read_kept(&mut self, slot: &ConnectionSlot, into: &mut ReadBuf<'_>) {
        let kept = self.read_ahead.first(into.remaining());
        let taken = slot.received(Instant::now(), kept);
        into.put_slice(&kept[..taken]);
        self.read_ahead.consume(taken);
    }

    fn note_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Some(guard) = &self.guard {
            guard.slot.written(Instant::now(), written.is_pending());
        }
        written
    }
}

impl Drop for ClientStream {
    /// A lingering close: sending is shut down, and what still comes is read for a while and dropped.
    fn drop(&mut self) {
        let (Some(stream), Some(guard)) = (self.stream.take(), self.guard.take()) else { return };
        let slot = guard.slot.clone();
        if !slot.lingers() {
            return;
        }
        let running = self.running.clone();
        let until = Instant::now() + LINGER_TIME;
        let task = tokio::spawn(async move {
            let _ = timeout_at(until, drain(stream)).await;
            drop((guard, running));
        });
        slot.set_lingering_task(task.abort_handle());
    }
}

async fn drain(mut stream: Uninterrupted) -> io::Result<()> {
    stream.shutdown().await?;
    tokio::io::copy(&mut stream.take(MAX_LINGER_BYTES), &mut tokio::io::sink()).await.map(drop)
}

impl AsyncRead for ClientStream {
    /// Hyper is given no more than the request that is due: with bytes of a further one in hand it would read no more
    /// until it has answered, and not see that the client has left.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(slot) = self.slot() else { return Poll::Ready(Ok(())) };
        while slot.serves_whole_request() {
            match self.read_behind(context)? {
                Behind::Kept => {}
                Behind::Closed => return Poll::Ready(Ok(())),
                Behind::Pending => return Poll::Pending,
            }
        }
        if self.read_ahead.has_overflowed() {
            return Poll::Ready(Ok(())); // as if the client had sent no more
        }
        self.has_looked_behind = false;
        if self.read_ahead.is_empty() {
            return self.poll_request(&slot, context, into);
        }
        self.read_kept(&slot, into);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream()?.poll_write(context, bytes);
        self.note_written(written)
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
        let written = self.stream()?.poll_write_vectored(context, parts);
        self.note_written(written)
    }
}
