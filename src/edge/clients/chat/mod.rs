//! The chat front: an OpenAI-compatible API with streamed events, for apps that don't send the platform's headers. The
//! front derives from each request the values that those headers would carry; requests then follow the same rules as
//! those of the platform's front. The formats of requests and answers are in `crates/chat`, the handling of repeated
//! requests in `crates/idempotency`. The front listens on the address in the fronts file, and is off without one.
//!
//! The modules, each of which uses only those before it: `endpoint` (paths and methods), `answer_source`,
//! `resumption`, `choice_stream`, `answer_stream` and `whole_answer` (from servers' streams to the client's answer),
//! `state` (shared by all requests), `server_request` (the request to servers and its description for the router),
//! `requests` (handling of one request), and this module (routing).

mod answer_source;
mod answer_stream;
mod choice_stream;
mod endpoint;
mod requests;
mod resumption;
mod server_request;
mod state;
mod whole_answer;

use std::path::Path;
use std::sync::Arc;

use axum::body::Body;
use axum::extract::State;
use axum::http::header::{ACCESS_CONTROL_ALLOW_ORIGIN, ACCESS_CONTROL_EXPOSE_HEADERS, ALLOW, ORIGIN, VARY};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use axum::Router;
use bytes::Bytes;
use serde_json::{json, Value};

use crate::edge::clients::chat::endpoint::{method_list, preflight, Endpoint, EXPOSED_HEADERS};
use crate::edge::clients::chat::state::{ChatFront, Tenant};
use crate::edge::clients::error_response::{json_response, ErrorResponse};
use crate::edge::clients::memory_budget::MemoryBudget;
use crate::edge::clock::Clock;
use crate::edge::cluster::quorum::Quorum;
use crate::edge::driver::DriverHandle;
use crate::edge::settings::{ChatSettings, Config, FieldError};

/// Checks the settings of the chat front against the platform's configuration.
///
/// # Errors
/// A model whose class is not in the configuration, or a setting that is out of its range.
pub fn check(chat: &ChatSettings, config: &Config) -> Result<(), FieldError> {
    chat.repeats.policy(&config.limits)?;
    chat.check_and_response_memory(&config.limits)?;
    chat.resume.policy()?;
    let is_known = |class: &String| config.settings.current().any(|known| known.name == *class);
    match chat.models.iter().find(|(_, class)| !is_known(class)) {
        Some((model, class)) => Err(FieldError::UnknownClass { model: model.clone(), class: class.clone() }),
        None => Ok(()),
    }
}

/// The parts of a dispatcher that the chat front uses.
pub struct SharedParts<'a> {
    /// The clock of the process.
    pub clock: Clock,
    /// Where requests are submitted.
    pub driver: DriverHandle,
    /// The budget for the requests that are being handled.
    pub memory: MemoryBudget,
    /// Replicates the records of at-most-once requests; `None` if that is off.
    pub quorum: Option<Quorum>,
    /// The folder that all processes of this dispatcher share; `None` if there can't be another one.
    pub folder: Option<&'a Path>,
}

/// Creates the router that serves the chat front.
///
/// # Errors
/// See [`check`].
pub fn router(chat: &ChatSettings, config: &Config, parts: SharedParts<'_>) -> Result<Router, FieldError> {
    check(chat, config)?;
    let front = ChatFront::new(chat, config, parts)?;
    Ok(Router::new().fallback(serve).with_state(Arc::new(front)))
}

/// Handles a request, and adds the CORS headers if the request's origin is allowed.
async fn serve(State(front): State<Arc<ChatFront>>, request: Request<Body>) -> Response<Body> {
    let origin = allowed_origin(&front, request.headers());
    let (head, body) = request.into_parts();
    let mut response = match route(&front, &head, body, origin.is_some()).await {
        Ok(response) => response,
        Err(error) => error.into_response(),
    };
    if let Some(origin) = origin {
        let headers = response.headers_mut();
        headers.insert(ACCESS_CONTROL_ALLOW_ORIGIN, origin);
        headers.insert(ACCESS_CONTROL_EXPOSE_HEADERS, HeaderValue::from_static(EXPOSED_HEADERS));
        headers.insert(VARY, HeaderValue::from_static("origin"));
    }
    response
}

/// The request's origin, if the settings allow it.
fn allowed_origin(front: &ChatFront, headers: &HeaderMap) -> Option<HeaderValue> {
    let origin = headers.get(ORIGIN)?;
    let text = origin.to_str().ok()?;
    let is_allowed = front.origins.iter().any(|allowed| allowed == "*" || allowed == text);
    is_allowed.then(|| origin.clone())
}

/// Dispatches a request to the handler of its path. Preflight requests need no API key.
async fn route(
    front: &Arc<ChatFront>,
    head: &Parts,
    body: Body,
    is_origin_allowed: bool,
) -> Result<Response<Body>, ErrorResponse> {
    let Some((endpoint, methods)) = Endpoint::at(head.uri.path()) else {
        return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "not_found", "there is no such path"));
    };
    if is_origin_allowed && head.method == Method::OPTIONS {
        return Ok(preflight(methods));
    }
    if !methods.contains(&head.method) {
        return Ok(method_not_allowed(&head.method, methods));
    }
    let tenant = front.tenant(&head.headers)?;
    match endpoint {
        Endpoint::Create(kind) => front.create(kind, tenant, head, body).await,
        Endpoint::Models => Ok(ok_json(&model_list(front))),
        Endpoint::Model(name) => {
            front.model(name)?;
            Ok(ok_json(&model_json(name)))
        }
        Endpoint::StoredResponse(id) => stored_response(front, tenant, &head.method, id),
    }
}

/// The response with status 405, which lists the allowed methods.
fn method_not_allowed(method: &Method, allowed: &[Method]) -> Response<Body> {
    let message = format!("{method} is not allowed here");
    let error = ErrorResponse::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", message);
    let mut response = error.into_response();
    response.headers_mut().insert(ALLOW, method_list(allowed));
    response
}

/// Returns or deletes a stored response. The response of another tenant is reported as not found, so that its existence
/// is not disclosed.
fn stored_response(
    front: &ChatFront,
    tenant: &Tenant,
    method: &Method,
    id: &str,
) -> Result<Response<Body>, ErrorResponse> {
    let mut responses = front.responses();
    let found = if *method == Method::DELETE {
        let deleted = json!({"id": id, "object": "response", "deleted": true});
        responses.remove(tenant.number, id).then_some(deleted)
    } else {
        responses.get(tenant.number, id).map(|stored| stored.response.clone())
    };
    match found {
        Some(json) => Ok(ok_json(&json)),
        None => Err(ErrorResponse::new(
            StatusCode::NOT_FOUND,
            "response_not_found",
            "no response with this id is kept",
        )),
    }
}

/// The models whose classes exist now, in the API's format.
fn model_list(front: &ChatFront) -> Value {
    let names = front.models.keys().filter(|name| front.model(name).is_ok());
    let models: Vec<Value> = names.map(|name| model_json(name)).collect();
    json!({"object": "list", "data": models})
}

/// A model in the API's format.
fn model_json(name: &str) -> Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "dewladder"})
}

/// The response with status 200 and this JSON body.
fn ok_json(value: &Value) -> Response<Body> {
    json_response(StatusCode::OK, Bytes::from(value.to_string()))
}
