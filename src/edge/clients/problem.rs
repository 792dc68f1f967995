//! Errors of the second front, in the published envelope with the right status, and when to come back.

use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use bytes::Bytes;
use dewladder_chat::RequestError;
use dewladder_idempotency::{Admission, DeferReason, RejectReason};
use serde_json::json;

use crate::interface::{Micros, RequestId};

const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// An error as clients of such an API expect it.
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    /// What programs go by.
    pub code: &'static str,
    /// What people read.
    pub what: String,
    /// The field at fault.
    pub param: Option<String>,
    /// When to come back.
    pub retry_in: Option<Micros>,
    /// Clients must not send it again by themselves.
    pub never_again: bool,
}

impl Problem {
    /// One without a field at fault.
    pub fn new(status: StatusCode, code: &'static str, what: impl Into<String>) -> Self {
        Self { status, code, what: what.into(), param: None, retry_in: None, never_again: false }
    }

    /// Refused: it never ran.
    #[must_use]
    pub fn refused(retry_in: Micros) -> Self {
        let (status, what) = (StatusCode::SERVICE_UNAVAILABLE, "refused for now, come again later");
        Self { retry_in: Some(retry_in), ..Self::new(status, "overloaded", what) }
    }

    /// No server answered.
    #[must_use]
    pub fn failed(never_again: bool) -> Self {
        let (status, what) = (StatusCode::GATEWAY_TIMEOUT, "no server answered in time");
        Self { never_again, ..Self::new(status, "server_error", what) }
    }

    /// The answer in the published envelope.
    #[must_use]
    pub fn answer(self) -> Response<Body> {
        let kind = match self.status {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::UNAUTHORIZED => "authentication_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let error =
            json!({"error": {"message": self.what, "type": kind, "param": self.param, "code": self.code}});
        let mut response = json_answer(self.status, Bytes::from(error.to_string()));
        let headers = response.headers_mut();
        if let Some(retry_in) = self.retry_in {
            // Whole seconds are what all clients understand; the exact time is for those that know the name.
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_in.div_ceil(1_000_000).max(1)));
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(retry_in.div_ceil(1_000)));
        }
        if self.never_again {
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}

/// An answer of JSON.
#[must_use]
pub fn json_answer(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Names the request in an answer.
pub fn with_id(headers: &mut HeaderMap, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:016x}", id.0)) {
        headers.insert(REQUEST_ID, value);
    }
}

impl From<RequestError> for Problem {
    fn from(error: RequestError) -> Self {
        let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_REQUEST);
        Self { param: error.param, ..Self::new(status, error.code, error.message) }
    }
}

/// What a request that is not to run is told.
#[must_use]
pub fn told(admission: Admission) -> Problem {
    match admission {
        Admission::KeyReused => Problem {
            param: Some("Idempotency-Key".to_owned()),
            never_again: true,
            ..Problem::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "idempotency_key_reused",
                "this Idempotency-Key came with another body before",
            )
        },
        Admission::Reject(reason) => {
            let (code, what) = match reason {
                RejectReason::AlreadyAnswered => {
                    ("already_answered", "this request has run; its answer is not kept any more")
                }
                RejectReason::MayHaveExecuted => {
                    ("may_have_run", "this request may have run; it is not run again")
                }
                RejectReason::RecentStart => {
                    ("may_have_run", "this request may have run before a restart; it is not run again")
                }
            };
            Problem { never_again: true, ..Problem::new(StatusCode::CONFLICT, code, what) }
        }
        Admission::Defer { retry_after_us, reason } => {
            let (status, code, what) = match reason {
                DeferReason::RetryBudget => (
                    StatusCode::TOO_MANY_REQUESTS,
                    "retry_budget_exceeded",
                    "too many repeats, come again later",
                ),
                DeferReason::Capacity => {
                    (StatusCode::SERVICE_UNAVAILABLE, "overloaded", "no room to remember this request")
                }
                DeferReason::TooManyReaders => (
                    StatusCode::TOO_MANY_REQUESTS,
                    "rate_limit_exceeded",
                    "too many clients wait for this request",
                ),
            };
            Problem { retry_in: Some(retry_after_us), ..Problem::new(status, code, what) }
        }
        Admission::Run(_) | Admission::Join(_) | Admission::RunUnrecorded => Problem::failed(false),
    }
}
