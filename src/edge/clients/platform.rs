//! The platform's front: a thin one. Headers tell all that the decisions need.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{Extensions, HeaderMap, HeaderValue, Request, Response, StatusCode};
use axum::routing::post;
use axum::Router;
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use serde::de::IgnoredAny;
use tokio::time::{timeout_at, Instant};

use crate::edge::clients::plain_response::plain_response;
use crate::edge::clients::request_timing::{AcceptDelay, WholeBy};
use crate::edge::clock::{micros, Clock};
use crate::edge::driver::{DriverHandle, Reply};
use crate::edge::servers::{header, Payload, IDEMPOTENCY_KEY};
use crate::edge::stats::{End, Figures};
use crate::interface::{Class, Key, Micros, RequestId, RequestInfo};

/// A body holds this many bytes at most.
pub const MOST_BODY: usize = 256 << 10;
const MOST_ID: usize = 64;
/// The longest that a client may say that it waits.
const MOST_REMAINING: f64 = 3_600.0;
/// The longest prompt, opening or answer that a label may tell of.
const MOST_TOKENS: u64 = 1 << 20;
const CHARACTERS_A_TOKEN: usize = 4;

/// What the handlers share.
#[derive(Clone)]
struct Front {
    clock: Clock,
    driver: DriverHandle,
    figures: Figures,
}

/// The front's routes.
pub fn front(clock: Clock, driver: DriverHandle, figures: Figures) -> Router {
    let state = Front { clock, driver, figures };
    Router::new().route("/v1/chat/completions", post(complete)).with_state(state)
}

async fn complete(State(front): State<Front>, request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let failed = || front.figures.answered_at_the_door(header(&head.headers, "x-lane"), End::Failed);
    let asked = match Asked::read(&head.headers, |name| front.driver.class(name)) {
        Ok(asked) => asked,
        Err(what) => {
            failed();
            return plain_response(StatusCode::BAD_REQUEST, what);
        }
    };
    let body = match body_within(body, &head.extensions).await {
        Ok(body) => body,
        Err((status, what)) => return plain_response(status, what),
    };
    // Guards the servers: they turn away what they can't use, which looks as if they were full.
    if serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        failed();
        return plain_response(StatusCode::BAD_REQUEST, "the body is no JSON");
    }
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    // A request's time counts from its last byte, which may have come while nobody accepted its connection.
    let waited = head.extensions.get::<AcceptDelay>().map_or(0, |waited| micros(waited.0));
    let call = asked.call(body.len(), front.clock.now(), waited);
    let key = head.headers.get(IDEMPOTENCY_KEY).cloned();
    let payload = Arc::new(Payload { txn: asked.txn, target, key, body });
    match front.driver.ask(call, payload).await {
        Reply::Stream(relay) => {
            let mut response = Response::new(Body::new(relay));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            response
        }
        Reply::Rejected { retry_in } => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let seconds = format!("{:.3}", Duration::from_micros(retry_in).as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Reply::Failed { .. } => plain_response(StatusCode::BAD_GATEWAY, "failed"),
        Reply::DuplicateId => {
            failed();
            plain_response(StatusCode::CONFLICT, "a request with this X-Txn is open")
        }
    }
}

/// A request's body, if it is not too long and comes in time.
///
/// # Errors
/// The status and the words to answer with.
pub async fn body_within(body: Body, travels: &Extensions) -> Result<Bytes, (StatusCode, &'static str)> {
    const TOO_LONG: (StatusCode, &str) = (StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 256 KiB");
    if body.size_hint().lower() > MOST_BODY as u64 {
        return Err(TOO_LONG); // its length was told: none of it is read
    }
    let whole = Limited::new(body, MOST_BODY).collect();
    let until = travels.get().map_or_else(Instant::now, |&WholeBy(until)| until);
    match timeout_at(until, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(TOO_LONG),
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "the body can't be read")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body came too late")),
    }
}

/// What a request's headers tell.
#[derive(Debug)]
struct Asked {
    txn: String,
    class: u32,
    session: Option<Key>,
    waits: Micros,
    shared: Option<Key>,
    prompt_tokens: Option<u64>,
    shared_tokens: u64,
    max_tokens: u64,
}

impl Asked {
    fn read(headers: &HeaderMap, class: impl Fn(&str) -> Option<(u32, Class)>) -> Result<Self, &'static str> {
        let told = ["x-txn", "x-lane", "x-remaining", "x-labels"];
        if told.iter().any(|&name| headers.get_all(name).iter().nth(1).is_some()) {
            return Err("a header is there twice");
        }
        let txn = header(headers, "x-txn").ok_or("X-Txn is missing")?;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        if txn.is_empty() || txn.len() > MOST_ID || !txn.bytes().all(plain) {
            return Err("X-Txn is no id");
        }
        let lane = header(headers, "x-lane").ok_or("X-Lane is missing")?;
        let (class, rules) = class(lane).ok_or("X-Lane is not known")?;
        let waits = match header(headers, "x-remaining") {
            None => rules.default_timeout,
            Some(text) => {
                let seconds = text.parse::<f64>().ok().filter(|at| (0.0..=MOST_REMAINING).contains(at));
                micros(Duration::from_secs_f64(seconds.ok_or("X-Remaining is no time")?))
            }
        };
        let mut asked = Self {
            txn: txn.to_owned(),
            class,
            session: header(headers, "x-entity").filter(|text| !text.is_empty()).map(Key::from_text),
            waits,
            shared: None,
            prompt_tokens: None,
            shared_tokens: 0,
            max_tokens: 0,
        };
        let labels = header(headers, "x-labels").unwrap_or("");
        for (name, value) in labels.split(',').filter_map(|label| label.trim().split_once('=')) {
            let number = || {
                let tokens = value.parse().ok().filter(|tokens| *tokens <= MOST_TOKENS);
                tokens.ok_or("X-Labels holds a length that is none")
            };
            match name {
                "prefix" if !value.is_empty() => asked.shared = Some(Key::from_text(value)),
                "prompt_len" => asked.prompt_tokens = Some(number()?),
                "prefix_len" => asked.shared_tokens = number()?,
                "max_out" => asked.max_tokens = number()?,
                _ => {}
            }
        }
        Ok(asked)
    }

    fn call(&self, body_bytes: usize, now: Micros, waited: Micros) -> RequestInfo {
        RequestInfo {
            id: request_id(&self.txn),
            class: self.class,
            session: self.session,
            shared: self.shared,
            shared_tokens: self.shared_tokens,
            prompt_tokens: self.prompt_tokens.unwrap_or((body_bytes / CHARACTERS_A_TOKEN) as u64),
            max_tokens: self.max_tokens,
            hint: None,
            not_after: now + self.waits.saturating_sub(waited),
        }
    }
}

/// The number of an id's text: its 16 hex digits, or a hash of any other text.
fn request_id(text: &str) -> RequestId {
    let number = Some(text).filter(|text| text.len() == 16);
    let number = number.and_then(|text| u64::from_str_radix(text, 16).ok());
    RequestId(number.unwrap_or_else(|| Key::from_text(text).0))
}
