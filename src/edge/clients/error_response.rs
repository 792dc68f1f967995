//! Error responses of the chat front: the JSON envelope that the published API defines, the HTTP status and
//! the retry headers.

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
const US_PER_MS: Micros = 1_000;
const US_PER_SECOND: Micros = 1_000_000;

/// An error response in the form that clients of the API expect.
#[derive(Clone, Debug)]
pub struct ErrorResponse {
    /// The HTTP status, which also determines the error's `type`.
    pub status: StatusCode,
    /// The error's `code`, by which programs tell errors apart.
    pub code: &'static str,
    /// The error's `message`, for people.
    pub message: String,
    /// The name of the request field or header that caused the error, if there is one.
    pub param: Option<String>,
    /// After how long the client may retry (us); `None` sends no `retry-after` headers.
    pub retry_after_us: Option<Micros>,
    /// Whether client libraries are told not to retry by themselves (`x-should-retry: false`).
    pub never_retry: bool,
}

impl ErrorResponse {
    /// An error without a field at fault and without retry headers.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { status, code, message, param: None, retry_after_us: None, never_retry: false }
    }

    /// A 400 error, for a request that can't be served in the form it has.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// The error of a request that the servers refused and that never ran.
    #[must_use]
    pub fn refused(retry_after_us: Micros) -> Self {
        let message = "refused for now, come again later";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message).with_retry_after(retry_after_us)
    }

    /// The error of a request that no server answered. `never_retry` is set when the request may have run and
    /// must not run twice.
    #[must_use]
    pub fn failed(never_retry: bool) -> Self {
        let error = Self::new(StatusCode::GATEWAY_TIMEOUT, "server_error", "no server answered in time");
        Self { never_retry, ..error }
    }

    /// The same error, with the name of the field at fault.
    #[must_use]
    pub fn with_param(self, param: &str) -> Self {
        Self { param: Some(param.to_owned()), ..self }
    }

    /// The same error, with the time after which the client may retry (us).
    #[must_use]
    pub fn with_retry_after(self, retry_after_us: Micros) -> Self {
        Self { retry_after_us: Some(retry_after_us), ..self }
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response<Body> {
        let error_type = match self.status {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::UNAUTHORIZED => "authentication_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let error = json!({"error": {"message": self.message, "type": error_type, "param": self.param,
            "code": self.code}});
        let mut response = json_response(self.status, Bytes::from(error.to_string()));
        let headers = response.headers_mut();
        if let Some(retry_after_us) = self.retry_after_us {
            // All clients understand whole seconds in `retry-after`; those that know `retry-after-ms` get the
            // exact time.
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_us.div_ceil(US_PER_SECOND).max(1)));
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(retry_after_us.div_ceil(US_PER_MS)));
        }
        if self.never_retry {
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}

impl From<RequestError> for ErrorResponse {
    fn from(error: RequestError) -> Self {
        let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_REQUEST);
        Self { param: error.param, ..Self::new(status, error.code, error.message) }
    }
}

/// A response with this status and JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Sets the header `x-request-id` to the request's id, as 16 hex digits.
pub fn set_request_id(headers: &mut HeaderMap, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:016x}", id.0)) {
        headers.insert(REQUEST_ID, value);
    }
}

/// The error response for an admission that does not let the request run or join a run.
#[must_use]
pub fn not_admitted(admission: Admission) -> ErrorResponse {
    match admission {
        Admission::KeyReused => key_reused(),
        Admission::AwaitDelivery => being_answered(),
        Admission::Reject(reason) => rejected(reason),
        Admission::Defer { retry_after_us, reason } => deferred(reason).with_retry_after(retry_after_us),
        Admission::Run(_) | Admission::Join(_) | Admission::RunUnrecorded => ErrorResponse::failed(false),
    }
}

fn key_reused() -> ErrorResponse {
    let message = "this Idempotency-Key came with another body before";
    let error = ErrorResponse::new(StatusCode::UNPROCESSABLE_ENTITY, "idempotency_key_reused", message);
    ErrorResponse { never_retry: true, ..error.with_param("Idempotency-Key") }
}

/// The error of a request with the body of another one that is being answered, and that it may repeat. It is no refusal, as
/// that request may run.
fn being_answered() -> ErrorResponse {
    let message = "a request with this body is being answered: come again, or send an Idempotency-Key";
    ErrorResponse::new(StatusCode::CONFLICT, "in_progress", message).with_retry_after(US_PER_SECOND)
}

fn rejected(reason: RejectReason) -> ErrorResponse {
    let (code, message) = match reason {
        RejectReason::AlreadyAnswered => {
            ("already_answered", "this request has run; its answer is not kept any more")
        }
        RejectReason::MayHaveExecuted => ("may_have_run", "this request may have run; it is not run again"),
        RejectReason::UnclearOwner => (
            "may_have_run",
            "a request with this body may have run, maybe another one: send an Idempotency-Key",
        ),
        RejectReason::RecentStart => {
            ("may_have_run", "this request may have run before a restart; it is not run again")
        }
    };
    ErrorResponse { never_retry: true, ..ErrorResponse::new(StatusCode::CONFLICT, code, message) }
}

fn deferred(reason: DeferReason) -> ErrorResponse {
    match reason {
        DeferReason::RetryBudget => ErrorResponse::new(
            StatusCode::TOO_MANY_REQUESTS,
            "retry_budget_exceeded",
            "too many repeats, come again later",
        ),
        DeferReason::Capacity => ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "no room to remember this request",
        ),
        DeferReason::TooManyReaders => ErrorResponse::new(
            StatusCode::TOO_MANY_REQUESTS,
            "rate_limit_exceeded",
            "too many clients wait for this request",
        ),
    }
}
