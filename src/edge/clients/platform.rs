//! The front for the platform's API. Request headers carry all that routing decisions need; the body is only
//! checked to be valid JSON and passed on.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{Extensions, HeaderMap, HeaderValue, Request, Response, StatusCode};
use axum::routing::post;
use axum::Router;
use serde::de::IgnoredAny;

use crate::edge::clients::plain_response::plain_response;
use crate::edge::clients::request_body::{read_body, BodyError};
use crate::edge::clients::request_timing::AcceptDelay;
use crate::edge::clock::{micros, Clock};
use crate::edge::driver::{DriverHandle, Reply};
use crate::edge::servers::{header, Payload, IDEMPOTENCY_KEY};
use crate::edge::stats::{End, Figures};
use crate::interface::{Class, Key, Micros, RequestId, RequestInfo};

/// Maximum length of a request id in `X-Txn`.
const MAX_ID_BYTES: usize = 64;
/// Maximum time that a client may say that it waits, in `X-Remaining` (seconds).
const MAX_REMAINING_S: f64 = 3_600.0;
/// Maximum length of a prompt, a shared prefix or an answer in `X-Labels` (tokens).
const MAX_TOKENS: u64 = 1 << 20;
/// For the estimate of a prompt's length from the length of the body.
const CHARACTERS_PER_TOKEN: usize = 4;
/// The answer to a request whose id belongs to another one.
const ID_TAKEN: &str = "a request with this X-Txn is open or may have run";
/// Headers that a request may carry only once.
const SINGLE_HEADERS: [&str; 4] = ["x-txn", "x-lane", "x-remaining", "x-labels"];

/// State that the handlers share.
#[derive(Clone)]
struct Front {
    clock: Clock,
    driver: DriverHandle,
    figures: Figures,
}

impl Front {
    /// The response to a request whose body could not be read.
    fn unread_body(&self, error: BodyError, headers: &HeaderMap) -> Response<Body> {
        if !error.is_refusal() {
            return plain_response(error.status(), error.message());
        }
        self.figures.answered_by_front(header(headers, "x-lane"), End::Rejected);
        refusal(self.driver.settings().max_retry_after)
    }
}

/// The routes of this front.
pub fn front(clock: Clock, driver: DriverHandle, figures: Figures) -> Router {
    let state = Front { clock, driver, figures };
    Router::new().route("/v1/chat/completions", post(complete)).with_state(state)
}

async fn complete(State(front): State<Front>, request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let count_failure = || front.figures.answered_by_front(header(&head.headers, "x-lane"), End::Failed);
    let read = RequestHeaders::read(&head.headers, |name| front.driver.class(name));
    let headers = match read {
        Ok(headers) => headers,
        Err(error) => {
            count_failure();
            return plain_response(StatusCode::BAD_REQUEST, error.message());
        }
    };
    let body = match read_body(body, &head.extensions).await {
        Ok(body) => body,
        Err(error) => return front.unread_body(error, &head.headers),
    };
    // Servers turn away a body that they can't parse, which looks as if they were at capacity, so a malformed
    // body is refused here.
    if serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        count_failure();
        return plain_response(StatusCode::BAD_REQUEST, "the body is no JSON");
    }
    // The settings may have changed since the headers were read. The rules that bind are those at the last byte.
    let Some((class_number, _)) = front.driver.class(&headers.class_name) else {
        count_failure();
        return plain_response(StatusCode::BAD_REQUEST, HeaderError::UnknownLane.message());
    };
    let received_at = front.clock.now();
    let info = headers.request_info(class_number, body.len(), received_at, accept_delay_us(&head.extensions));
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let key = head.headers.get(IDEMPOTENCY_KEY).and_then(|key| HeaderValue::from_bytes(key.as_bytes()).ok());
    drop(head); // the values of its headers refer to the buffer in which the request was received
    let class_name = headers.class_name;
    let payload = Arc::new(Payload { txn: headers.txn, target, key, body });
    let reply = front.driver.submit_and_wait(info, received_at, payload).await;
    if matches!(reply, Reply::DuplicateId) {
        front.figures.answered_by_front(Some(&class_name), End::Failed);
    }
    response(reply)
}

/// The time that the client waits counts from the last byte of its request, which may have been received
/// while the connection was still queued to be accepted.
fn accept_delay_us(extensions: &Extensions) -> Micros {
    extensions.get::<AcceptDelay>().map_or(0, |delay| micros(delay.0))
}

fn response(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Stream(relay) => {
            let mut response = Response::new(Body::new(relay));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            response
        }
        Reply::Rejected { retry_in } => refusal(retry_in),
        Reply::Failed { .. } => plain_response(StatusCode::BAD_GATEWAY, "failed"),
        Reply::DuplicateId => plain_response(StatusCode::CONFLICT, ID_TAKEN),
    }
}

/// The response that refuses a request, with the time after which the client may send it again (us).
fn refusal(retry_in: Micros) -> Response<Body> {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = format!("{:.3}", Duration::from_micros(retry_in).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Why the headers of a request can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeaderError {
    Repeated,
    MissingTxn,
    InvalidTxn,
    MissingLane,
    UnknownLane,
    InvalidRemaining,
    InvalidLength,
}

impl HeaderError {
    /// The message in the response to the client.
    fn message(self) -> &'static str {
        match self {
            Self::Repeated => "a header is there twice",
            Self::MissingTxn => "X-Txn is missing",
            Self::InvalidTxn => "X-Txn is no id",
            Self::MissingLane => "X-Lane is missing",
            Self::UnknownLane => "X-Lane is not known",
            Self::InvalidRemaining => "X-Remaining is no time",
            Self::InvalidLength => "X-Labels holds a length that is none",
        }
    }
}

/// The parsed headers of a request.
#[derive(Debug)]
struct RequestHeaders {
    txn: String,
    class_name: String,
    session: Option<Key>,
    /// How long the client waits for the answer (us).
    remaining_us: Micros,
    labels: Labels,
}

/// The parsed `X-Labels` header: lengths in tokens, and the prefix that the prompt shares with others.
#[derive(Debug, Default)]
struct Labels {
    shared: Option<Key>,
    prompt_tokens: Option<u64>,
    shared_tokens: u64,
    max_tokens: u64,
}

impl RequestHeaders {
    /// Parses the headers; `class` looks up a class by the name in `X-Lane`.
    fn read(headers: &HeaderMap, class: impl Fn(&str) -> Option<(u32, Class)>) -> Result<Self, HeaderError> {
        if SINGLE_HEADERS.iter().any(|&name| headers.get_all(name).iter().nth(1).is_some()) {
            return Err(HeaderError::Repeated);
        }
        let txn = header(headers, "x-txn").ok_or(HeaderError::MissingTxn)?;
        if !is_valid_id(txn) {
            return Err(HeaderError::InvalidTxn);
        }
        let lane = header(headers, "x-lane").ok_or(HeaderError::MissingLane)?;
        let (_, class) = class(lane).ok_or(HeaderError::UnknownLane)?;
        let remaining_us = match header(headers, "x-remaining") {
            None => class.default_timeout,
            Some(text) => parse_remaining(text)?,
        };
        let session = header(headers, "x-entity").filter(|text| !text.is_empty()).map(Key::from_text);
        let labels = Labels::parse(header(headers, "x-labels").unwrap_or(""))?;
        Ok(Self { txn: txn.to_owned(), class_name: lane.to_owned(), session, remaining_us, labels })
    }

    /// Builds the router's description of the request. Without a prompt length in `X-Labels`, the length is
    /// estimated from the body's.
    fn request_info(
        &self,
        class_number: u32,
        body_bytes: usize,
        now: Micros,
        accept_delay_us: Micros,
    ) -> RequestInfo {
        let labels = &self.labels;
        RequestInfo {
            id: request_id(&self.txn),
            class: class_number,
            session: self.session,
            shared: labels.shared,
            shared_tokens: labels.shared_tokens,
            prompt_tokens: labels.prompt_tokens.unwrap_or((body_bytes / CHARACTERS_PER_TOKEN) as u64),
            max_tokens: labels.max_tokens,
            hint: None,
            not_after: now + self.remaining_us.saturating_sub(accept_delay_us),
        }
    }
}

impl Labels {
    /// Parses comma-separated `name=value` pairs; unknown names are ignored.
    fn parse(text: &str) -> Result<Self, HeaderError> {
        let mut labels = Self::default();
        for (name, value) in text.split(',').filter_map(|label| label.trim().split_once('=')) {
            match name {
                "prefix" if !value.is_empty() => labels.shared = Some(Key::from_text(value)),
                "prompt_len" => labels.prompt_tokens = Some(parse_tokens(value)?),
                "prefix_len" => labels.shared_tokens = parse_tokens(value)?,
                "max_out" => labels.max_tokens = parse_tokens(value)?,
                _ => {}
            }
        }
        Ok(labels)
    }
}

fn is_valid_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(is_allowed)
}

fn parse_remaining(text: &str) -> Result<Micros, HeaderError> {
    let seconds = text.parse::<f64>().map_err(|_| HeaderError::InvalidRemaining)?;
    if !(0.0..=MAX_REMAINING_S).contains(&seconds) {
        return Err(HeaderError::InvalidRemaining);
    }
    Ok(micros(Duration::from_secs_f64(seconds)))
}

fn parse_tokens(text: &str) -> Result<u64, HeaderError> {
    let tokens = text.parse().map_err(|_| HeaderError::InvalidLength)?;
    if tokens > MAX_TOKENS {
        return Err(HeaderError::InvalidLength);
    }
    Ok(tokens)
}

/// Derives the request's number from the text of its id: the value of 16 hex digits, or a hash of any other
/// text.
fn request_id(text: &str) -> RequestId {
    let hex = Some(text).filter(|text| text.len() == 16);
    let number = hex.and_then(|text| u64::from_str_radix(text, 16).ok());
    RequestId(number.unwrap_or_else(|| Key::from_text(text).0))
}
