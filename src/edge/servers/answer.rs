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
use crate::edge::event_shape::{EventStreamValidator, MAX_EVENT_BYTES};
use crate::edge::servers::report::{load_report, number_after, CACHED_TOKENS, LOAD_HEADER};
use crate::interface::Outcome;

/// The header by which a server says that it has rejected a request without executing it.
const TURNED_AWAY_HEADER: &str = "x-turned-away";
/// Once the status has settled the outcome, the rest of the response is read for this long at most, so that the
/// connection can be kept.
pub(super) const DRAIN_TIME: Duration = Duration::from_millis(50);
/// Maximum size of a response that is not a stream.
pub(super) const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The stream of a server whose first event has arrived.
#[derive(Debug)]
pub struct OpenedStream {
    pub(super) first: Option<Bytes>,
    pub(super) rest: Incoming,
    pub(super) validator: EventStreamValidator,
    /// Where the last event in `first` ends in the stream (bytes); 0 if there is none.
    pub(super) event_end: u64,
    pub(super) handle: ConnectionHandle,
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
/// reached, its connection is closed before the outcome is returned. How long the answer to a read may take is up to the
/// caller: the attempt is in flight until its last byte.
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
        StatusCode::OK if !reads => match first_event(&mut body, &handle).await {
            Some(Beginning { first, validator, event_end }) => {
                return AttemptOutcome::OpenedStream(Box::new(OpenedStream {
                    first,
                    rest: body,
                    validator,
                    event_end,
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
        Outcome::Read => Some(collect(body, MAX_ANSWER_BYTES).await),
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

/// The beginning of a stream, up to its first event with data.
struct Beginning {
    /// What has been received; `None` for a stream that ended properly without any bytes.
    first: Option<Bytes>,
    validator: EventStreamValidator,
    /// Where the last event with data ends in the stream (bytes); 0 if there is none.
    event_end: u64,
}

/// Reads the beginning of a stream. Returns `None` if the stream broke, ended in the middle, is not one of events, or has
/// no data where one event could have ended: then the attempt may have run, and nothing of it has been relayed.
///
/// An event in a chunk that is declared to be very long is relayed once the chunk has ended, or as much has come as an
/// event may hold. A sound server writes such a chunk at once; a declared size that is never reached says nothing.
async fn first_event(body: &mut Incoming, connection: &ConnectionHandle) -> Option<Beginning> {
    let (mut validator, mut first, mut event_end) = (EventStreamValidator::default(), Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        event_end = validator.push(&data)?.max(event_end);
        let has_much = first.len() + data.len() > MAX_EVENT_BYTES;
        if event_end > 0 && (has_much || !connection.is_in_long_chunk(event_end)) {
            let first = if first.is_empty() { data } else { [&first[..], &data].concat().into() };
            return Some(Beginning { first: Some(first), validator, event_end });
        }
        if has_much {
            return None;
        }
        first.extend_from_slice(&data);
    }
    let is_whole = first.is_empty() || event_end > 0;
    let first = Some(Bytes::from(first)).filter(|first| !first.is_empty());
    is_whole.then_some(Beginning { first, validator, event_end })
}
