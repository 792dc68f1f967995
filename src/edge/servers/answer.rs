//! The outcome of an attempt, from the response of its server.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::ConnectionHandle;
use crate::edge::contiguous_body::collect;
use crate::edge::core::AttemptResult;
use crate::edge::event_shape::EventStreamValidator;
use crate::edge::servers::report::{load_report, number_after, CACHED_TOKENS, LOAD_HEADER};
use crate::interface::Outcome;

/// The header by which a server says that it has rejected a request without executing it.
const TURNED_AWAY_HEADER: &str = "x-turned-away";
/// Once the status has settled the outcome, the rest of the response is read for this long at most, then the
/// connection is closed. After a read, what it left must be released or used by a write within 500 ms.
const DRAIN_TIME: Duration = Duration::from_millis(50);
/// Maximum size of a response that is not a stream.
pub(super) const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The stream of a server whose first event has arrived.
#[derive(Debug)]
pub struct OpenedStream {
    pub(super) first: Option<Bytes>,
    pub(super) rest: Incoming,
    pub(super) validator: EventStreamValidator,
    handle: ConnectionHandle,
}

impl OpenedStream {
    /// Closes the connection of the stream and drops its remaining events.
    pub async fn close(self) {
        drop(self.rest);
        self.handle.close().await;
    }
}

/// How an attempt went, up to the first event of its stream.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The first event of its stream has arrived.
    OpenedStream(Box<OpenedStream>),
    /// The attempt has ended by itself, without a stream.
    Ended(AttemptResult),
    /// The attempt was cancelled after its request may have been written, and its connection has been closed.
    Stopped {
        /// Whether the last byte of the request may have been written.
        written: bool,
    },
    /// The attempt was cancelled before any byte was written. Whoever cancelled it knows that already.
    CancelledBeforeWrite,
}

/// Reads a response and returns the outcome of its attempt. A success status that only servers of the other role
/// send is not trusted: the outcome is an error, and the attempt may have run. If the end of a response is not
/// reached, its connection is closed before the outcome is returned.
pub(super) async fn read_answer(
    response: Response<Incoming>,
    reads: bool,
    handle: ConnectionHandle,
) -> AttemptOutcome {
    let (head, mut body) = response.into_parts();
    let report = head.headers.get(LOAD_HEADER).and_then(|text| text.to_str().ok()).and_then(load_report);
    let turned_away = head.headers.get(TURNED_AWAY_HEADER).is_some_and(|value| value == "1");
    let is_framed = head.headers.contains_key(TRANSFER_ENCODING) || head.headers.contains_key(CONTENT_LENGTH);
    let mut cached_tokens = 0;
    let mut outcome = match head.status {
        // Without a length or chunks, the response ends with its connection, and a break can't be told from the
        // end: the head must have been damaged.
        StatusCode::OK | StatusCode::ACCEPTED if !is_framed => Outcome::Reset,
        StatusCode::OK if !reads => match first_event(&mut body).await {
            Some((first, validator)) => {
                return AttemptOutcome::OpenedStream(Box::new(OpenedStream {
                    first,
                    rest: body,
                    validator,
                    handle,
                }))
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
        _ => timeout_at(Instant::now() + DRAIN_TIME, collect(body, MAX_ANSWER_BYTES)).await.ok(),
    };
    match rest {
        Some(Ok(rest)) if outcome == Outcome::Read => {
            cached_tokens = number_after(&rest, CACHED_TOKENS);
        }
        Some(Ok(_)) => {}
        _ => {
            handle.close().await;
            outcome = if outcome == Outcome::Read { Outcome::Reset } else { outcome };
        }
    }
    AttemptOutcome::Ended(AttemptResult { outcome, cached_tokens, report })
}

/// Reads the beginning of a stream, to the end of its first event. Returns no bytes for a stream that ended
/// properly without any, and `None` if the stream broke or is not one of events: then the attempt may have run,
/// and nothing of it has been relayed.
async fn first_event(body: &mut Incoming) -> Option<(Option<Bytes>, EventStreamValidator)> {
    let (mut validator, mut first) = (EventStreamValidator::default(), Bytes::new());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let event_ended = validator.push(&data)?;
        first = if first.is_empty() { data } else { [first, data].concat().into() };
        if event_ended {
            return Some((Some(first), validator));
        }
    }
    Some((None, validator)).filter(|_| first.is_empty())
}
