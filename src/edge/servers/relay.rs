//! The relay of a server's stream to its client.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use log::{debug, warn};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::edge::core::AttemptResult;
use crate::edge::servers::answer::Opened;
use crate::edge::servers::report::{load_report, number_after, CACHED_TOKENS, LOAD_COMMENT};
use crate::interface::{Outcome, RequestId};

/// The end of a stream that tells of cached tokens and load (bytes).
const TAIL_BYTES: usize = 512;

/// Is told how a relay ends; exactly one of the two, once.
pub trait StreamEnd: std::fmt::Debug + Send {
    /// The attempt has ended.
    fn finished(&self, id: RequestId, attempt: u32, result: AttemptResult);
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

type Piece = Result<Frame<Bytes>, Cut>;

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
    /// The relay of an attempt's stream, which is cut where it stalls for so long; its end goes to `end`.
    pub(super) fn new(
        opened: Opened,
        stalled_after: Duration,
        id: RequestId,
        attempt: u32,
        end: Box<dyn StreamEnd>,
    ) -> Self {
        Self {
            opened,
            tail: Vec::new(),
            stall: Box::pin(sleep_until(Instant::now() + stalled_after)),
            stalled_after,
            why: None,
            end: Some(end),
            id,
            attempt,
        }
    }

    fn keep_tail(&mut self, data: &Bytes) {
        let new = &data[data.len().saturating_sub(TAIL_BYTES)..];
        let over = (self.tail.len() + new.len()).saturating_sub(TAIL_BYTES);
        self.tail.drain(..over.min(self.tail.len()));
        self.tail.extend_from_slice(new);
    }

    /// Passes on what has come, unless it is no event or none has come to its end for too long.
    fn pass_on(&mut self, context: &mut Context<'_>, data: Bytes) -> Poll<Option<Piece>> {
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
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Ends the stream with an error, in the next turn: hyper drops what it has not written yet when a body
    /// fails, and a client that got not even the head of its answer would count as lost.
    fn cut(&mut self, context: &Context<'_>, outcome: Outcome, why: Cut) -> Poll<Option<Piece>> {
        warn!(request_id:% = self.id, attempt = self.attempt, reason:% = why; "relay: stream cut");
        self.ended(outcome);
        self.why = Some(why);
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn ended(&mut self, outcome: Outcome) {
        let Some(end) = self.end.take() else { return };
        let cached_tokens = number_after(&self.tail, CACHED_TOKENS);
        let text = String::from_utf8_lossy(&self.tail);
        let report = text.lines().find_map(|line| line.strip_prefix(LOAD_COMMENT)).and_then(load_report);
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
                    return self.pass_on(context, data);
                }
                Poll::Ready(Some(Err(error))) => {
                    debug!(request_id:% = self.id, attempt = self.attempt, reason:% = error; "relay: stream broke");
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
