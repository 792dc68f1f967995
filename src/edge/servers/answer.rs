//! What the answer of a server means for its attempt.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::Handle;
use crate::edge::core::AttemptResult;
use crate::edge::event_shape::EventShape;
use crate::edge::servers::report::{load_report, number_after, CACHED_TOKENS, LOAD_HEADER};
use crate::interface::Outcome;

/// The header by which a server says that it has turned a request away without executing it.
const TURNED_AWAY: &str = "x-turned-away";
/// What is left of an answer whose meaning is known is read for so long; then its connection is closed. Where a read
/// has ended, what it left has to be let go or sent on within half a second.
const DRAIN_TIME: Duration = Duration::from_millis(50);
/// An answer that is no stream is this long at most.
pub(super) const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A stream whose first event is here.
#[derive(Debug)]
pub struct Opened {
    pub(super) first: Option<Bytes>,
    pub(super) rest: Incoming,
    pub(super) shape: EventShape,
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
pub enum AttemptOutcome {
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

/// What an answer means. A server that answers as only those of another role do is taken at no word of it: it may
/// have run. Where an answer does not come to its end, the connection is closed before that is told.
pub(super) async fn read_answer(response: Response<Incoming>, reads: bool, handle: Handle) -> AttemptOutcome {
    let (head, mut body) = response.into_parts();
    let report = head.headers.get(LOAD_HEADER).and_then(|text| text.to_str().ok()).and_then(load_report);
    let turned_away = head.headers.get(TURNED_AWAY).is_some_and(|value| value == "1");
    let framed = head.headers.contains_key(TRANSFER_ENCODING) || head.headers.contains_key(CONTENT_LENGTH);
    let mut cached_tokens = 0;
    let mut outcome = match head.status {
        // Where the connection's end is the answer's, a break looks just like it: such a head is spoilt.
        StatusCode::OK | StatusCode::ACCEPTED if !framed => Outcome::Reset,
        StatusCode::OK if !reads => match first_event(&mut body).await {
            Some((first, shape)) => {
                return AttemptOutcome::Opened(Box::new(Opened { first, rest: body, shape, handle }))
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
        _ => {
            timeout_at(Instant::now() + DRAIN_TIME, Limited::new(body, MAX_ANSWER_BYTES).collect()).await.ok()
        }
    };
    match rest {
        Some(Ok(rest)) if outcome == Outcome::Read => {
            cached_tokens = number_after(&rest.to_bytes(), CACHED_TOKENS);
        }
        Some(Ok(_)) => {}
        _ => {
            handle.close().await;
            outcome = if outcome == Outcome::Read { Outcome::Reset } else { outcome };
        }
    }
    AttemptOutcome::Ended(AttemptResult { outcome, cached_tokens, report })
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
