//! The relay of a server's stream to its client.

use std::error::Error as _;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use log::{debug, warn};

use crate::edge::core::AttemptResult;
use crate::edge::servers::answer::OpenedStream;
use crate::edge::servers::report::{load_report, number_after, CACHED_TOKENS, LOAD_COMMENT};
use crate::edge::servers::stall_timer::StallTimer;
use crate::interface::{Outcome, RequestId};

/// Length of the end of a stream that is searched for cached tokens and the load report (bytes).
const TAIL_BYTES: usize = 512;

/// Is told how a relay ends: exactly one of the methods is called, once.
pub trait StreamEndListener: std::fmt::Debug + Send {
    /// The stream has ended or was cut, and with it the attempt.
    fn finished(&self, id: RequestId, attempt: u32, result: AttemptResult);
    /// The client has disconnected before the end of the stream.
    fn client_disconnected(&self, id: RequestId);
}

/// Relays a server's stream to the client: all bytes unchanged, and as soon as they arrive. The relay ends
/// without an error only if the server's stream did; a stream that breaks or stalls ends in an error, so that
/// the client's connection is cut.
#[derive(Debug)]
pub struct Relay {
    opened: Box<OpenedStream>,
    tail: Vec<u8>,
    stall_timer: StallTimer,
    /// Why the stream was cut, until the error has been returned to the HTTP server.
    cut_reason: Option<Cut>,
    /// Taken once it has been told how the relay ended.
    listener: Option<Box<dyn StreamEndListener>>,
    id: RequestId,
    attempt: u32,
}

type FrameResult = Result<Frame<Bytes>, Cut>;

/// Why a relay was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cut {
    /// The connection to the server broke.
    #[error("the server's stream broke")]
    Broken,
    /// The server gave no sign of life for the stall timeout.
    #[error("the server's stream stalled")]
    Stalled,
    /// The server sent data that is not an event stream.
    #[error("the server's stream is spoilt")]
    Malformed,
    /// The client read so slowly that data which it had not received yet is no longer kept.
    #[error("the stream went on without this client, which was too slow")]
    ClientTooSlow,
}

impl Cut {
    /// The reason of a cut after this error of the server's connection.
    fn of(error: &hyper::Error) -> Self {
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Self::Malformed,
            _ => Self::Broken,
        }
    }
}

impl Relay {
    /// Creates the relay of a stream, which is cut if its server gives no sign of life for `stall_timeout`; `listener` is
    /// told how the relay ends.
    pub(super) fn new(
        opened: Box<OpenedStream>,
        stall_timeout: Duration,
        id: RequestId,
        attempt: u32,
        listener: Box<dyn StreamEndListener>,
    ) -> Self {
        let stall_timer = StallTimer::new(stall_timeout, opened.handle.clone(), opened.event_end);
        Self {
            opened,
            tail: Vec::new(),
            stall_timer,
            cut_reason: None,
            listener: Some(listener),
            id,
            attempt,
        }
    }

    /// Keeps the last [`TAIL_BYTES`] bytes of the stream.
    fn keep_tail(&mut self, data: &Bytes) {
        let new = &data[data.len().saturating_sub(TAIL_BYTES)..];
        let excess = (self.tail.len() + new.len()).saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess.min(self.tail.len()));
        self.tail.extend_from_slice(new);
    }

    /// Relays a piece of the stream, unless it is not part of an event stream, or there has been no sign of life for too
    /// long.
    fn forward(&mut self, context: &mut Context<'_>, data: Bytes) -> Poll<Option<FrameResult>> {
        let Some(event_end) = self.opened.validator.push(&data) else {
            return self.cut(context, Outcome::Reset, Cut::Malformed);
        };
        if event_end > 0 {
            self.stall_timer.event_ended(event_end);
        }
        if self.stall_timer.poll(context).is_ready() {
            return self.cut(context, Outcome::Timeout, Cut::Stalled);
        }
        self.keep_tail(&data);
        self.stall_timer.pause();
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Ends the stream with an error, but only at the next poll: when a body fails, hyper drops what it has not
    /// written yet, and a client that did not even get the head of its response would count as lost.
    fn cut(&mut self, context: &Context<'_>, outcome: Outcome, cut_reason: Cut) -> Poll<Option<FrameResult>> {
        warn!(request_id:% = self.id, attempt = self.attempt, reason:% = cut_reason; "relay: stream cut");
        self.report_end(outcome);
        self.cut_reason = Some(cut_reason);
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Tells the listener how the stream ended, with the cached tokens and the load report that end it.
    fn report_end(&mut self, outcome: Outcome) {
        let Some(listener) = self.listener.take() else { return };
        let cached_tokens = number_after(&self.tail, CACHED_TOKENS);
        let text = String::from_utf8_lossy(&self.tail);
        let report = text.lines().find_map(|line| line.strip_prefix(LOAD_COMMENT)).and_then(load_report);
        listener.finished(self.id, self.attempt, AttemptResult { outcome, cached_tokens, report });
    }
}

impl Drop for Relay {
    /// A relay that is dropped before its end: the client has disconnected.
    fn drop(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.client_disconnected(self.id);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        if let Some(cut_reason) = self.cut_reason.take() {
            return Poll::Ready(Some(Err(cut_reason)));
        }
        if let Some(first) = self.opened.first.take() {
            self.keep_tail(&first);
            self.stall_timer.pause();
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        self.stall_timer.go_on();
        loop {
            match Pin::new(&mut self.opened.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    return self.forward(context, data);
                }
                Poll::Ready(Some(Err(error))) => {
                    debug!(request_id:% = self.id, attempt = self.attempt, reason:% = error; "relay: stream broke");
                    return self.cut(context, Outcome::Reset, Cut::of(&error));
                }
                Poll::Ready(None) => {
                    self.report_end(Outcome::Served);
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    ready!(self.stall_timer.poll(context));
                    return self.cut(context, Outcome::Timeout, Cut::Stalled);
                }
            }
        }
    }
}
