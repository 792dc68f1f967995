//! Servers: attempts, the relay of their streams, and the release of what they hold.

use std::error::Error as _;
use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use log::{debug, warn};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

use crate::edge::connections::{Handle, Pool, Which};
use crate::edge::core::AttemptResult;
use crate::edge::event_shape::EventShape;
use crate::edge::settings::Config;
use crate::edge::stats::Figures;
use crate::edge::transient::is_transient;
use crate::interface::{Outcome, Report, RequestId};

const LOAD: &str = "x-pressure";
/// The header by which a repeat is known, from clients and at servers.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
const TURNED_AWAY: &str = "x-turned-away";
/// What is left of an answer whose meaning is known is read for so long; then its connection is closed. Where a read
/// has ended, what it left has to be let go or sent on within half a second.
const DRAIN: Duration = Duration::from_millis(50);
/// An answer that is no stream is this long at most.
const MOST_ANSWER: usize = 64 << 10;
/// A release that has no answer yet asks one more server after each such step, waits so long for each, and goes on
/// for so long. What is held is to be let go within half a second, and where the network is split several servers
/// in a row may be silent.
const RELEASE_STEP: Duration = Duration::from_millis(40);
const RELEASE_TRY: Duration = Duration::from_millis(160);
const RELEASE_FOR: Duration = Duration::from_secs(3);
/// The end of a stream that tells of kept tokens and load.
const TAIL: usize = 512;

/// What is sent on for a request, unchanged.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The id's text, for `X-Txn`.
    pub txn: String,
    /// Path and query.
    pub target: String,
    /// By which servers know a repeat, for `Idempotency-Key`, where the client sent one.
    pub key: Option<HeaderValue>,
    /// The body, shared by all attempts.
    pub body: Bytes,
}

impl Payload {
    /// The same request without its body, for what is still done in its name.
    #[must_use]
    pub fn without_body(&self) -> Self {
        Self { body: Bytes::new(), ..self.clone() }
    }
}

/// Whether an attempt's last byte may have been written. Until its body has been asked for it can't have
/// been; one that is called off before that must never be written later, whatever still holds it.
#[derive(Debug, Default)]
pub struct Progress {
    stage: AtomicU8,
    /// The connection that it goes over, once it has one.
    handle: OnceLock<Handle>,
}

const UNTOUCHED: u8 = 0;
const WRITTEN: u8 = 1;
const CALLED_OFF: u8 = 2;

impl Progress {
    fn move_on(&self, to: u8) -> u8 {
        let moved = self.stage.compare_exchange(UNTOUCHED, to, Ordering::Relaxed, Ordering::Relaxed);
        moved.map_or_else(|now| now, |_| to)
    }

    /// Whether the last byte may have been written, once nothing more will be: the connection has broken or is closed.
    fn written(&self) -> bool {
        let unfinished = self.handle.get().is_some_and(Handle::carrying);
        self.stage.load(Ordering::Relaxed) == WRITTEN && !unfinished
    }

    /// Closes the connection that the attempt goes over, if it has one. Only then has the server been told that the
    /// attempt is given up: an answer to the client, or another attempt, that overtook it would count as a repeat of
    /// what is still out.
    async fn close(&self) {
        if let Some(handle) = self.handle.get() {
            handle.clone().close().await;
        }
    }

    /// Calls the attempt off; whether some of it may have been written.
    pub fn call_off(&self) -> bool {
        self.move_on(CALLED_OFF) == WRITTEN
    }
}

/// An attempt's body: it notes when it is asked for, and refuses once the attempt has been called off or may not begin
/// any more.
pub struct Marked {
    body: Option<Bytes>,
    begin_by: Option<Instant>,
    progress: Arc<Progress>,
}

/// A body that was asked for after its attempt had been called off.
#[derive(Debug, thiserror::Error)]
#[error("called off")]
pub struct CalledOff;

impl Body for Marked {
    type Data = Bytes;
    type Error = CalledOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, CalledOff>>> {
        if self.begin_by.is_some_and(|by| Instant::now() >= by) {
            self.progress.call_off();
        }
        if self.progress.move_on(WRITTEN) == CALLED_OFF {
            return Poll::Ready(Some(Err(CalledOff)));
        }
        let Some(body) = self.body.take() else { return Poll::Ready(None) };
        if let Some(handle) = self.progress.handle.get() {
            handle.carries();
        }
        Poll::Ready(Some(Ok(Frame::data(body))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.as_ref().map_or(0, |body| body.len() as u64))
    }
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where the server listens.
    pub address: String,
    /// What is sent.
    pub payload: Arc<Payload>,
    /// Whether the server is to read only: then it answers so, and any other server does not.
    pub reads: bool,
    /// How long the server may take.
    pub until: Instant,
    /// Nothing of it is written from then on.
    pub begin_by: Instant,
    /// It may go over a new connection only, which is not used again.
    pub new_connection: bool,
}

/// The servers, as attempts reach them.
#[derive(Clone)]
pub struct Servers {
    pool: Pool<Marked>,
    connect_timeout: Duration,
    stall: Duration,
}

/// Why a request could not be sent, or its answer not be read.
#[derive(Debug, thiserror::Error)]
enum SendError {
    /// The connection took a part of it only.
    #[error("it takes no more bytes")]
    Stuck,
    /// The server's machine did not acknowledge all of it in time.
    #[error("what was written is not acknowledged")]
    Unacknowledged,
    /// The connection broke.
    #[error("{0}")]
    Broken(hyper::Error),
}

impl From<hyper::Error> for SendError {
    fn from(error: hyper::Error) -> Self {
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            // A peer's own word, or this side's close.
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::NotConnected,
            )
            | None => Self::Broken(error),
            // ETIMEDOUT, or in its place what routers have said meanwhile (tcp(7)): EHOSTUNREACH, ENETUNREACH and others.
            Some(_) => Self::Unacknowledged,
        }
    }
}

impl SendError {
    /// What becomes of an attempt whose last byte had been written.
    fn outcome(&self) -> Outcome {
        match self {
            Self::Unacknowledged => Outcome::Unacknowledged,
            Self::Stuck | Self::Broken(_) => Outcome::Reset,
        }
    }
}

/// A stream whose first event is here.
#[derive(Debug)]
pub struct Opened {
    first: Option<Bytes>,
    rest: Incoming,
    shape: EventShape,
    handle: Handle,
}

impl Opened {
    /// Gives the stream up: its connection is closed.
    pub async fn close(self) {
        drop(self.rest);
        self.handle.close().await;
    }
}

/// What an attempt comes to.
#[derive(Debug)]
pub enum Result {
    /// A stream has begun.
    Opened(Box<Opened>),
    /// It has ended.
    Ended(AttemptResult),
    /// It was stopped, and its connection has been closed.
    Stopped {
        /// Whether its last byte may have been written.
        written: bool,
    },
    /// It was called off before anything was written, as who called it off knows.
    CalledOff,
}

impl Servers {
    /// The servers of a configuration.
    #[must_use]
    pub fn new(config: &Config, figures: Figures) -> Self {
        let written = move || figures.record().sent_whole += 1;
        Self {
            pool: Pool::new(config, written),
            connect_timeout: config.connect_timeout,
            stall: config.stall,
        }
    }

    /// Sends a request once; `stop` gives the attempt up.
    pub async fn attempt(
        self,
        attempt: Attempt,
        progress: Arc<Progress>,
        stop: oneshot::Receiver<()>,
    ) -> Result {
        let result = tokio::select! {
            biased;
            Ok(()) = stop => None,
            result = self.send(&attempt, &progress) => Some(result),
        };
        match result {
            Some(result) => result,
            None if progress.call_off() => {
                progress.close().await;
                Result::Stopped { written: progress.written() }
            }
            None => Result::CalledOff,
        }
    }

    async fn send(&self, attempt: &Attempt, progress: &Arc<Progress>) -> Result {
        let Attempt { address, payload, reads, until, begin_by, new_connection } = attempt;
        let never = |why: &dyn std::fmt::Display| {
            debug!("server {address}: {why}; never ran");
            Result::Ended(Outcome::ConnectFailed.into())
        };
        let up_by = (*begin_by).min(Instant::now() + self.connect_timeout);
        // A connection that was open before may have fallen silent with no error: the system takes all that is written, and
        // something between may acknowledge it. Nothing shows that but waiting, for which what is held has no time.
        let connected = match new_connection {
            true => self.pool.new_connection(address, up_by).await,
            false => self.pool.connection(address, Which::Quiet, up_by).await,
        };
        let mut ready = match connected {
            Ok(ready) => ready,
            // Not the server's doing: nothing is held against it.
            Err(error) if is_transient(&error) => {
                debug!("server {address}: {error} on this machine; never ran");
                return Result::Ended(Outcome::NotSent.into());
            }
            Err(error) => return never(&error),
        };
        let handle = ready.handle.clone();
        let _ = progress.handle.set(handle.clone()); // an attempt has one
        let body = Marked {
            body: Some(payload.body.clone()),
            begin_by: Some(*begin_by),
            progress: progress.clone(),
        };
        // What is left now, with the connection up: a server must not wait for longer than the client.
        let remaining = until.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(payload.target.as_str())
            .header(HOST, address)
            .header("x-txn", &payload.txn)
            .header("x-remaining", format!("{:.3}", remaining.as_secs_f64()))
            .header(CONTENT_TYPE, "application/json");
        if let Some(key) = &payload.key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let request = match request.body(body) {
            Ok(request) => request,
            Err(error) => return never(&error),
        };
        // A connection that takes only a part of it in time is as one that does not come up.
        let stuck = async {
            sleep_until(*begin_by).await;
            if !handle.carrying() {
                std::future::pending().await
            }
        };
        let sent = tokio::select! {
            sent = ready.sender.try_send_request(request) => sent.map_err(|error| SendError::from(error.into_error())),
            () = stuck => Err(SendError::Stuck),
        };
        match sent {
            Ok(response) => {
                // One that nothing else may be sent over would only take a place at the server.
                if !new_connection {
                    self.pool.keep(address.clone(), ready);
                }
                answered(response, *reads, handle).await
            }
            // Only a last byte that was not written proves that it never ran.
            Err(error) => {
                handle.close().await;
                if !progress.written() {
                    return never(&error);
                }
                debug!("server {address}: {error}; it may have run");
                Result::Ended(error.outcome().into())
            }
        }
    }

    /// Has everything that is held for a request let go: the holder is asked first, then, as any server takes
    /// the call, the others, until one has answered. It takes the connection on which the holder has just
    /// answered a read: where a server's places for connections are all taken, a new one would be refused. Each
    /// second try goes over a new one.
    pub async fn release(&self, txn: &str, addresses: &[String]) {
        if addresses.is_empty() {
            warn!("request {txn}: there is no server to ask for the release of what is held");
        }
        let end = Instant::now() + RELEASE_FOR;
        // Dropped at the return, and with it all tries that are still out.
        let mut tries = JoinSet::new();
        for (address, way) in addresses.iter().cycle().zip(ReleaseWay::EACH_IN_TURN.into_iter().cycle()) {
            let start = Instant::now();
            if start >= end {
                warn!("request {txn}: nobody took the release of what is held");
                return;
            }
            tries.spawn(release_at(
                self.pool.clone(),
                txn.to_owned(),
                address.clone(),
                way,
                start + RELEASE_TRY,
            ));
            // One that refuses at once must not be asked in a tight loop: its step is waited for all the same.
            let answered = async {
                while let Some(answered) = tries.join_next().await {
                    if answered.is_ok_and(|answered| answered) {
                        return;
                    }
                }
                std::future::pending().await
            };
            if timeout_at(start + RELEASE_STEP, answered).await.is_ok() {
                return;
            }
        }
    }

    /// The relay of an attempt's stream; its end goes to `end`.
    #[must_use]
    pub fn relay(&self, opened: Opened, id: RequestId, attempt: u32, end: Box<dyn StreamEnd>) -> Relay {
        let stall = Box::pin(sleep_until(Instant::now() + self.stall));
        Relay {
            opened,
            tail: Vec::new(),
            stall,
            stalled_after: self.stall,
            why: None,
            end: Some(end),
            id,
            attempt,
        }
    }
}

/// Over which connection a server is asked for a release.
#[derive(Clone, Copy, Debug)]
enum ReleaseWay {
    /// Any that is open, else a new one.
    Any,
    /// A new one: those that are open may have fallen silent, one and all.
    New,
}

impl ReleaseWay {
    /// Servers that have no place for a new connection still have the open ones.
    const EACH_IN_TURN: [Self; 2] = [Self::Any, Self::New];
}

/// Asks one server to let go of what is held; whether it says that it has.
async fn release_at(
    pool: Pool<Marked>,
    txn: String,
    address: String,
    way: ReleaseWay,
    until: Instant,
) -> bool {
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/kv/leases/{txn}"))
        .header(HOST, &address)
        .body(Marked { body: None, begin_by: None, progress: Arc::default() });
    let Ok(request) = request else { return false };
    let answer = async {
        let connected = match way {
            ReleaseWay::Any => pool.connection(&address, Which::Any, until).await,
            ReleaseWay::New => pool.new_connection(&address, until).await,
        };
        let mut ready = connected.map_err(|error| error.to_string())?;
        let response = ready.sender.send_request(request).await.map_err(|error| error.to_string())?;
        pool.keep(address.clone(), ready);
        let status = response.status();
        // Read to its end, so that the connection can be used again.
        let _ = Limited::new(response.into_body(), MOST_ANSWER).collect().await;
        if status.is_success() {
            Ok(())
        } else {
            Err(format!("status {}", status.as_u16()))
        }
    };
    let answered = timeout_at(until, answer).await.unwrap_or_else(|_| Err("no answer".to_owned()));
    if let Err(what) = &answered {
        debug!("server {address}: release of {txn}: {what}");
    }
    answered.is_ok()
}

/// What an answer means. A server that answers as only those of another role do is taken at no word of it: it may
/// have run. Where an answer does not come to its end, the connection is closed before that is told.
async fn answered(response: Response<Incoming>, reads: bool, handle: Handle) -> Result {
    let (head, mut body) = response.into_parts();
    let report = head.headers.get(LOAD).and_then(|text| text.to_str().ok()).and_then(load_report);
    let turned_away = head.headers.get(TURNED_AWAY).is_some_and(|value| value == "1");
    let framed = head.headers.contains_key(TRANSFER_ENCODING) || head.headers.contains_key(CONTENT_LENGTH);
    let mut cached_tokens = 0;
    let mut outcome = match head.status {
        // Where the connection's end is the answer's, a break looks just like it: such a head is spoilt.
        StatusCode::OK | StatusCode::ACCEPTED if !framed => Outcome::Reset,
        StatusCode::OK if !reads => match first_event(&mut body).await {
            Some((first, shape)) => {
                return Result::Opened(Box::new(Opened { first, rest: body, shape, handle }))
            }
            None => Outcome::Reset,
        },
        StatusCode::ACCEPTED if reads => Outcome::Read,
        StatusCode::GONE if turned_away => Outcome::NoState,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Full,
        _ => Outcome::Error,
    };
    let rest = match outcome {
        Outcome::Reset => None,
        _ => timeout_at(Instant::now() + DRAIN, Limited::new(body, MOST_ANSWER).collect()).await.ok(),
    };
    match rest {
        Some(Ok(rest)) if outcome == Outcome::Read => {
            cached_tokens = number_after(&rest.to_bytes(), b"\"cached_tokens\"");
        }
        Some(Ok(_)) => {}
        _ => {
            handle.close().await;
            outcome = if outcome == Outcome::Read { Outcome::Reset } else { outcome };
        }
    }
    Result::Ended(AttemptResult { outcome, cached_tokens, report })
}

/// What a stream opens with, to the end of its first event; no bytes for one that ended in good order without
/// any, `None` if it broke or is none: it may have run, and nothing of it has been passed on.
async fn first_event(body: &mut Incoming) -> Option<(Option<Bytes>, EventShape)> {
    let (mut shape, mut first) = (EventShape::default(), Bytes::new());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let ends = shape.take(&data)?;
        first = if first.is_empty() { data } else { [first, data].concat().into() };
        if ends {
            return Some((Some(first), shape));
        }
    }
    Some((None, shape)).filter(|_| first.is_empty())
}

/// Is told how a relay ends; exactly one of the two, once.
pub trait StreamEnd: std::fmt::Debug + Send {
    /// The attempt has ended.
    fn finished(&self, id: RequestId, attempt: u32, ending: AttemptResult);
    /// The client has left before the end.
    fn client_gone(&self, id: RequestId);
}

/// Passes a server's stream on, byte for byte and as it comes. It ends without error only if the server's
/// stream did; one that breaks or stalls is an error, so that the client's connection is cut.
#[derive(Debug)]
pub struct Relay {
    opened: Opened,
    tail: Vec<u8>,
    stall: Pin<Box<Sleep>>,
    stalled_after: Duration,
    /// Why it is cut, until that has been said.
    why: Option<Cut>,
    /// Where the end is told; taken then.
    end: Option<Box<dyn StreamEnd>>,
    id: RequestId,
    attempt: u32,
}

type Piece = std::result::Result<Frame<Bytes>, Cut>;

/// Why a relay was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cut {
    /// The server's connection broke.
    #[error("the server's stream broke")]
    Broken,
    /// The server fell silent, or came to the end of no event any more.
    #[error("the server's stream stalled")]
    Stalled,
    /// What came are no events.
    #[error("the server's stream is spoilt")]
    Spoilt,
    /// The client took so long that what it had still to get is not kept any more.
    #[error("the stream went on without this client, which was too slow")]
    Behind,
}

impl Relay {
    fn keep_tail(&mut self, data: &Bytes) {
        let new = &data[data.len().saturating_sub(TAIL)..];
        let over = (self.tail.len() + new.len()).saturating_sub(TAIL);
        self.tail.drain(..over.min(self.tail.len()));
        self.tail.extend_from_slice(new);
    }

    /// Ends the stream with an error, in the next turn: hyper drops what it has not written yet when a body
    /// fails, and a client that got not even the head of its answer would count as lost.
    fn cut(&mut self, context: &Context<'_>, outcome: Outcome, why: Cut) -> Poll<Option<Piece>> {
        warn!("request {:016x}: cut: {why}", self.id.0);
        self.ended(outcome);
        self.why = Some(why);
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn ended(&mut self, outcome: Outcome) {
        let Some(end) = self.end.take() else { return };
        let cached_tokens = number_after(&self.tail, b"\"cached_tokens\"");
        let text = String::from_utf8_lossy(&self.tail);
        let report = text.lines().find_map(|line| line.strip_prefix(": X-Pressure:")).and_then(load_report);
        end.finished(self.id, self.attempt, AttemptResult { outcome, cached_tokens, report });
    }
}

impl Drop for Relay {
    /// Dropped before its end: the client has left.
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            end.client_gone(self.id);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        if let Some(why) = self.why.take() {
            return Poll::Ready(Some(Err(why)));
        }
        if let Some(first) = self.opened.first.take() {
            self.keep_tail(&first);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            match Pin::new(&mut self.opened.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let Some(ends) = self.opened.shape.take(&data) else {
                        return self.cut(context, Outcome::Reset, Cut::Spoilt);
                    };
                    if ends {
                        let stalled = Instant::now() + self.stalled_after;
                        self.stall.as_mut().reset(stalled);
                    } else if self.stall.as_mut().poll(context).is_ready() {
                        return self.cut(context, Outcome::Timeout, Cut::Stalled);
                    }
                    self.keep_tail(&data);
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Poll::Ready(Some(Err(error))) => {
                    debug!("request {:016x}: {error}", self.id.0);
                    return self.cut(context, Outcome::Reset, Cut::Broken);
                }
                Poll::Ready(None) => {
                    self.ended(Outcome::Served);
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(context));
                    return self.cut(context, Outcome::Timeout, Cut::Stalled);
                }
            }
        }
    }
}

/// A load report's text: `TEXT name=value, name=value`.
fn load_report(text: &str) -> Option<Report> {
    let pairs = text.trim().strip_prefix("TEXT")?;
    let mut report = Report::default();
    for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
        let number = value.trim().parse().ok().filter(|number: &f64| number.is_finite());
        report.set(name.trim(), number);
    }
    Some(report)
}

/// The number that follows a JSON name the last time it stands there; 0 if none does.
fn number_after(text: &[u8], name: &[u8]) -> u64 {
    let Some(at) = text.windows(name.len()).rposition(|window| window == name) else { return 0 };
    let digits = text[at + name.len()..].iter().skip_while(|byte| matches!(byte, b':' | b' '));
    digits
        .take_while(|byte| byte.is_ascii_digit())
        .fold(0u64, |number, digit| number.saturating_mul(10).saturating_add(u64::from(digit - b'0')))
}

/// A header's text, if it is there and readable.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap<HeaderValue>, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
