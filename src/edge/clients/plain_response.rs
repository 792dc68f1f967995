//! The dispatcher's own short responses in plain text.

use axum::body::Body;
use axum::http::header::RETRY_AFTER;
use axum::http::{HeaderValue, Response, StatusCode};

/// A response with this status and one line of text.
#[must_use]
pub fn plain_response(status: StatusCode, line: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{line}\n")));
    *response.status_mut() = status;
    response
}

/// The response to every request on a connection that got no slot.
#[must_use]
pub fn over_capacity_response() -> Response<Body> {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
