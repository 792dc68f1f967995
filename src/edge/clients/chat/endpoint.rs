//! Paths of the chat front, the methods that each path allows, and the CORS headers.

use axum::body::Body;
use axum::http::header::{
    ACCESS_CONTROL_ALLOW_HEADERS, ACCESS_CONTROL_ALLOW_METHODS, ACCESS_CONTROL_MAX_AGE,
};
use axum::http::{HeaderValue, Method, Response, StatusCode};
use dewladder_chat::RequestKind;

/// The path of chat requests, at this front and at the servers.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// Request headers that apps in a browser may send (`access-control-allow-headers`). The `x-stainless-` headers are
/// sent by the client libraries of the API.
const ALLOWED_HEADERS: &str =
    "authorization, content-type, idempotency-key, x-stainless-retry-count, x-stainless-arch, \
    x-stainless-lang, x-stainless-os, x-stainless-package-version, x-stainless-runtime, \
    x-stainless-runtime-version, x-stainless-timeout";
/// Response headers that apps in a browser may read (`access-control-expose-headers`).
pub(super) const EXPOSED_HEADERS: &str =
    "retry-after, retry-after-ms, x-should-retry, x-request-id, idempotent-replayed";
/// How long browsers may cache the response to a preflight request (seconds).
const PREFLIGHT_MAX_AGE_S: &str = "600";

/// The resource at a path.
pub(super) enum Endpoint<'a> {
    /// Generates an answer to a request of this kind.
    Create(RequestKind),
    /// The list of models.
    Models,
    /// One model, by its name.
    Model(&'a str),
    /// A stored response, by its id.
    StoredResponse(&'a str),
}

impl<'a> Endpoint<'a> {
    /// The resource at `path` and the methods that it allows; `None` if there is no such path.
    pub(super) fn at(path: &'a str) -> Option<(Self, &'static [Method])> {
        const POST: &[Method] = &[Method::POST];
        const GET: &[Method] = &[Method::GET];
        const GET_AND_DELETE: &[Method] = &[Method::GET, Method::DELETE];
        match path {
            CHAT_PATH => Some((Self::Create(RequestKind::Chat), POST)),
            "/v1/completions" => Some((Self::Create(RequestKind::Completion), POST)),
            "/v1/responses" => Some((Self::Create(RequestKind::Response), POST)),
            "/v1/models" => Some((Self::Models, GET)),
            _ => {
                if let Some(name) = last_segment(path, "/v1/models/") {
                    return Some((Self::Model(name), GET));
                }
                let id = last_segment(path, "/v1/responses/")?;
                Some((Self::StoredResponse(id), GET_AND_DELETE))
            }
        }
    }
}

/// The rest of `path` after `prefix`, if the rest is exactly one non-empty segment.
fn last_segment<'a>(path: &'a str, prefix: &str) -> Option<&'a str> {
    path.strip_prefix(prefix).filter(|segment| !segment.is_empty() && !segment.contains('/'))
}

/// The methods as a comma-separated header value.
pub(super) fn method_list(methods: &[Method]) -> HeaderValue {
    let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
    HeaderValue::from_str(&names.join(", ")).unwrap_or(HeaderValue::from_static(""))
}

/// The response to a CORS preflight request.
pub(super) fn preflight(methods: &[Method]) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    let headers = response.headers_mut();
    headers.insert(ACCESS_CONTROL_ALLOW_METHODS, method_list(methods));
    headers.insert(ACCESS_CONTROL_ALLOW_HEADERS, HeaderValue::from_static(ALLOWED_HEADERS));
    headers.insert(ACCESS_CONTROL_MAX_AGE, HeaderValue::from_static(PREFLIGHT_MAX_AGE_S));
    response
}
