//! What all fronts share: accepting connections within bounds, and ending them in good order.

use std::future::{poll_fn, Future};
use std::io::{self, Read as _};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use axum::Router;
use bytes::{Buf as _, BytesMut};
use http_body::{Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::edge::clients::accept_queue::{close_when_empty, FailingAccepts, ACCEPT_PAUSE};
use crate::edge::clients::framing::{Verdict, MOST_HEAD};
use crate::edge::clients::room::{Place, Room, Seat};
use crate::edge::servers::header;
use crate::edge::stats::{End, Figures};
use crate::edge::tcp::Uninterrupted;

/// A client that takes in nothing of what is sent for so long is cut.
const DEAF: Duration = Duration::from_secs(30);
/// What a client still sends after its answer is read for so long, and up to so much.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: u64 = 512 << 10;
/// What comes behind an open request is read and kept, so that the client's leaving is seen behind it: so much on one
/// connection (four bodies of the protocol's most), and on all an eighth of the least memory that limits give (32 MB).
/// Of a client that sends more, nothing is kept, and its connection is closed after the answer.
const AHEAD: usize = 1 << 20;
const AHEAD_OF_ALL: usize = 4 << 20;
const PIECE: usize = 8 << 10;
const BACKLOG: u32 = 1_024;
/// A connection that has just been accepted is not closed as idle: its request is on the way.
const JUST_NOW: Duration = Duration::from_millis(60);

/// How far the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It does not listen yet.
    Joining,
    /// It serves.
    Serving,
    /// It has been told to end: it serves on, but asks clients to leave with every answer.
    Leaving,
    /// The same, but another process takes new connections: the listener is closed.
    Yielding,
    /// Idle connections are closed and no new ones taken.
    Closing,
}

/// By when a request must have come whole. It travels with the request to its front.
#[derive(Clone, Copy, Debug)]
pub struct WholeBy(pub Instant);

/// How long a request may have waited for its connection to be accepted: its client's time has run since.
#[derive(Clone, Copy, Debug)]
pub struct Waited(pub Duration);

/// Listens on this address only; where it is `shared`, another process may do so beside this one.
///
/// # Errors
/// What the system says.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a front until the phase says to take no more; returns once all its connections have ended. What is answered here,
/// without the front, is counted in `figures`.
pub async fn serve(
    listener: TcpListener,
    front: Router,
    room: Room,
    figures: Figures,
    mut phase: watch::Receiver<Phase>,
) {
    // Every connection holds a clone: once all are dropped, all connections have ended.
    let (running, mut ended) = mpsc::channel::<()>(1);
    let phase_of = phase.clone();
    let admit = |stream: TcpStream, waited: Duration| {
        let Some(place) = room.enter(Instant::now()) else {
            debug!("listener: no room even to say so");
            return;
        };
        let seat = place.seat.clone();
        seat.has_waited(waited);
        let ahead = ReadAhead { bytes: BytesMut::new(), overflowed: false, of_all: place.room.ahead.clone() };
        let wire = Wire {
            stream: Some(Uninterrupted(stream)),
            place: Some(place),
            ahead,
            looked_behind: false,
            running: running.clone(),
        };
        let task = connection(wire, front.clone(), seat.clone(), figures.clone(), phase_of.clone());
        seat.served_by(tokio::spawn(task).abort_handle());
    };
    let mut failing = FailingAccepts::default();
    loop {
        let accepted = tokio::select! {
            _ = phase.wait_for(|phase| *phase >= Phase::Yielding) => break,
            accepted = failing.accept(&listener) => accepted,
        };
        match accepted {
            Ok(stream) => admit(stream, failing.waited()),
            Err(error) => {
                warn!("listener: can't accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    close_when_empty(listener, &mut failing, admit).await;
    drop(running);
    let _ = ended.recv().await;
}

async fn connection(
    wire: Wire,
    front: Router,
    seat: Arc<Seat>,
    figures: Figures,
    mut phase: watch::Receiver<Phase>,
) {
    if let Some(Uninterrupted(stream)) = &wire.stream {
        // Events are passed on as they come: none may wait for more to fill a segment.
        let _ = stream.set_nodelay(true);
        // A client that vanished on a poor link, or reads no more, would hold its stream and its server for ever.
        let _ = SockRef::from(stream).set_tcp_user_timeout(Some(DEAF));
    }
    let (at, serving) = (phase.clone(), seat.clone());
    let service = service_fn(move |mut request: hyper::Request<hyper::body::Incoming>| {
        let (mut front, at) = (front.clone(), at.clone());
        let (verdict, whole_by) = serving.taken(Instant::now());
        let waited = serving.waited();
        let (open, figures) = (Open(serving.clone()), figures.clone());
        async move {
            let mut response = if verdict == Verdict::Odd {
                // Guards against a request that hides in another's body: nothing of this one is passed on, and
                // nothing behind it is read as a request.
                short(StatusCode::BAD_REQUEST, "where the request ends can't be told")
            } else if open.0.crowded {
                figures.answered_at_the_door(header(request.headers(), "x-lane"), End::Rejected);
                crowded()
            } else {
                request.extensions_mut().insert(WholeBy(whole_by));
                request.extensions_mut().insert(Waited(waited));
                tower_service::Service::call(&mut front, request).await?
            };
            if verdict != Verdict::Plain || open.0.crowded || *at.borrow() > Phase::Serving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response.map(|body| Answer { body, _open: open }))
        }
    });
    let mut connection = pin!(http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MOST_HEAD)
        .serve_connection(TokioIo::new(wire), service));
    let mut armed = Instant::now();
    let mut alarm = pin!(sleep_until(armed));
    let accepted = Instant::now();
    let mut closing = pin!(async move {
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
        sleep_until(accepted + JUST_NOW).await;
    });
    let mut told = false;
    poll_fn(|context| {
        if !told && closing.as_mut().poll(context).is_ready() {
            told = true;
            connection.as_mut().graceful_shutdown();
        }
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        // A client that asks nothing, or never comes to the end of its head, is not waited for.
        let Some(due) = seat.due() else { return Poll::Pending };
        if due != armed {
            armed = due;
            alarm.as_mut().reset(due);
        }
        alarm.as_mut().poll(context)
    })
    .await;
}

/// A request that is open until its answer has been handed over.
struct Open(Arc<Seat>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.answered(Instant::now());
    }
}

/// An answer's body; its request is open as long.
struct Answer {
    body: Body,
    _open: Open,
}

impl http_body::Body for Answer {
    type Data = bytes::Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client's connection as hyper reads and writes it: what is read is followed for its place's sake.
struct Wire {
    stream: Option<Uninterrupted>,
    place: Option<Place>,
    ahead: ReadAhead,
    /// What lies behind the open request has been looked at without waiting for the event queue.
    looked_behind: bool,
    running: mpsc::Sender<()>,
}

/// What has come behind an open request.
struct ReadAhead {
    bytes: BytesMut,
    /// More has come than is kept.
    overflowed: bool,
    of_all: Arc<AtomicUsize>,
}

impl ReadAhead {
    fn keep(&mut self, bytes: &[u8]) {
        let room =
            AHEAD_OF_ALL.saturating_sub(self.of_all.load(Ordering::Relaxed)).min(AHEAD - self.bytes.len());
        if self.overflowed || bytes.len() > room {
            self.overflowed = true;
            return self.drop_first(self.bytes.len());
        }
        self.of_all.fetch_add(bytes.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(bytes);
    }

    fn drop_first(&mut self, length: usize) {
        self.bytes.advance(length);
        self.of_all.fetch_sub(length, Ordering::Relaxed);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.drop_first(self.bytes.len());
    }
}

impl Wire {
    fn stream(&mut self) -> io::Result<Pin<&mut Uninterrupted>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn seat(&self) -> Option<Arc<Seat>> {
        self.place.as_ref().map(|place| place.seat.clone())
    }

    /// Reads from the client; that it has left is noted.
    fn receive(&mut self, context: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let (before, room) = (into.filled().len(), into.remaining() > 0);
        let read = ready!(self.stream()?.poll_read(context, into));
        let length = into.filled().len() - before;
        if let Some(place) = self.place.as_ref().filter(|_| read.is_err() || (room && length == 0)) {
            place.seat.ended();
        }
        Poll::Ready(read.map(|()| length))
    }

    /// Reads what lies behind a request that has just come whole, past the runtime: tokio takes a read that fills less than
    /// its buffer for an empty socket, and a new connection for ready before any event has told of it. So a client's
    /// close that lies right behind its request is not told until the event queue is looked at again; by then the
    /// request has been sent on. Whether the client has left.
    fn look_behind(&mut self) -> io::Result<bool> {
        let mut piece = [0; PIECE];
        while !self.ahead.overflowed {
            let Some(Uninterrupted(stream)) = &self.stream else { return Ok(true) };
            match (&*SockRef::from(stream)).read(&mut piece) {
                Ok(0) => return Ok(true),
                Ok(length) => self.ahead.keep(&piece[..length]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Some(place) = &self.place {
            place.seat.wrote(Instant::now(), written.is_pending());
        }
        written
    }
}

impl Drop for Wire {
    /// A lingering close: sending is shut down, and what still comes is read for a while and dropped.
    fn drop(&mut self) {
        let (Some(stream), Some(place)) = (self.stream.take(), self.place.take()) else { return };
        if !place.seat.lingers() {
            return;
        }
        let (seat, running) = (place.seat.clone(), self.running.clone());
        let until = Instant::now() + LINGER;
        let task = tokio::spawn(async move {
            let _ = timeout_at(until, drain(stream)).await;
            drop((place, running));
        });
        seat.closing(task.abort_handle());
    }
}

async fn drain(mut stream: Uninterrupted) -> io::Result<()> {
    stream.shutdown().await?;
    tokio::io::copy(&mut stream.take(LINGER_BYTES), &mut tokio::io::sink()).await.map(drop)
}

impl AsyncRead for Wire {
    /// Hyper is given no more than the request that is due: with bytes of a further one in hand it would read no more
    /// until it has answered, and not see that the client has left.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(seat) = self.seat() else { return Poll::Ready(Ok(())) };
        while seat.busy() {
            let mut piece = [MaybeUninit::uninit(); PIECE];
            let mut piece = ReadBuf::uninit(&mut piece);
            let Poll::Ready(came) = self.receive(context, &mut piece) else {
                if !std::mem::replace(&mut self.looked_behind, true) {
                    let left = self.look_behind();
                    if !matches!(left, Ok(false)) {
                        seat.ended();
                        return Poll::Ready(left.map(drop));
                    }
                }
                if self.ahead.overflowed || !self.ahead.bytes.is_empty() {
                    seat.wakes(context.waker());
                }
                return Poll::Pending;
            };
            if came? == 0 {
                return Poll::Ready(Ok(()));
            }
            self.ahead.keep(piece.filled());
        }
        if self.ahead.overflowed {
            return Poll::Ready(Ok(())); // as if the client had sent no more
        }
        self.looked_behind = false;
        if self.ahead.bytes.is_empty() {
            let before = into.filled().len();
            let came = ready!(self.receive(context, into))?;
            let taken = seat.came(Instant::now(), &into.filled()[before..]);
            self.ahead.keep(&into.filled()[before + taken..before + came]);
            into.set_filled(before + taken);
        } else {
            let kept = self.ahead.bytes.len().min(into.remaining());
            let taken = seat.came(Instant::now(), &self.ahead.bytes[..kept]);
            into.put_slice(&self.ahead.bytes[..taken]);
            self.ahead.drop_first(taken);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream()?.poll_write(context, bytes);
        self.wrote(written)
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
        self.wrote(written)
    }
}

/// A short answer of the dispatcher's own.
#[must_use]
pub fn short(status: StatusCode, what: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{what}\n")));
    *response.status_mut() = status;
    response
}

/// The answer where there is no room for another connection.
fn crowded() -> Response<Body> {
    let mut response = short(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
