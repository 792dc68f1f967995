//! The chat front: an OpenAI-style chat API with streamed events, for apps that speak no platform headers.
//! It derives from the messages what the platform's headers would tell; decisions and rules are the same.
//! It listens where the fronts file says, and not at all without one.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use axum::body::Body;
use axum::extract::State;
use axum::http::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use axum::routing::{get, post};
use axum::Router;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt as _;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::edge::clients::platform::body_within;
use crate::edge::clients::repeats::{Begun, Judged, Reader, Repeats};
use crate::edge::clock::Clock;
use crate::edge::driver::{Reply, Sender};
use crate::edge::servers::{header, Cut, Payload};
use crate::edge::settings::{ChatSettings, Config};
use crate::interface::{Call, Effect, Key, Micros, RequestId, Settings};
use dewladder_ledger::{Ending, Later, Never, Verdict};
use dewladder_router::mix;

const TARGET: &str = "/v1/chat/completions";
const CHARACTERS_A_TOKEN: u64 = 4;
/// The most that is put together for a client that wants no stream, or kept of an event not yet whole.
const MOST_ANSWER: usize = 1 << 20;
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Says of an answer that it is that of an earlier request, which this one repeats.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// A request that is let go of while its repeat waits is judged anew so often at most.
const MOST_JUDGED: usize = 8;

/// A model that clients can name.
struct Model {
    class: u32,
    /// A request of it that may have run must not be sent again.
    once: bool,
}

struct Tenant {
    name: String,
    /// Its number among all: the same for all keys of a tenant.
    number: u32,
    open: Arc<Semaphore>,
}

struct Front {
    clock: Clock,
    driver: Sender,
    settings: Settings,
    give_up: Vec<Micros>,
    models: HashMap<String, Model>,
    listed: Bytes,
    /// By bearer token; empty where none is asked for.
    tenants: HashMap<String, Tenant>,
    anyone: Tenant,
    max_tokens: u64,
    ids: Ids,
    /// What is known of repeats, where that is turned on.
    repeats: Option<Arc<Repeats>>,
}

/// Mints ids: no two alike in one life, and by the seed and the start time none of another life either.
struct Ids {
    base: u64,
    next: AtomicU64,
}

impl Ids {
    fn mint(&self) -> RequestId {
        RequestId(mix(self.base.wrapping_add(self.next.fetch_add(1, Ordering::Relaxed))))
    }
}

/// The models that clients can name.
fn models(chat: &ChatSettings, config: &Config) -> Result<HashMap<String, Model>, String> {
    let model = |(name, lane): (&String, &String)| {
        let class = config.lanes.iter().position(|known| known.name == *lane);
        let class = class.ok_or_else(|| format!("model {name}: no class is named {lane}"))?;
        let once = config.settings.classes[class].effect == Effect::AtMostOnce;
        Ok((name.clone(), Model { class: class as u32, once }))
    };
    chat.models.iter().map(model).collect()
}

/// Whether the settings fit the configuration.
///
/// # Errors
/// A model whose class the configuration does not know, or a bound on repeats that can't be used.
pub fn check(chat: &ChatSettings, config: &Config) -> Result<(), String> {
    chat.repeats.policy(&config.limits)?;
    models(chat, config).map(drop)
}

/// The front's routes.
///
/// # Errors
/// A model whose class the settings do not know.
pub fn front(chat: &ChatSettings, config: &Config, clock: Clock, driver: Sender) -> Result<Router, String> {
    let models = models(chat, config)?;
    let mut names: Vec<&String> = chat.tenants.values().collect();
    names.sort_unstable();
    names.dedup();
    let tenant = |name: &str| Tenant {
        name: name.to_owned(),
        number: names.iter().position(|known| *known == name).map_or(0, |at| at as u32 + 1),
        open: Arc::new(Semaphore::new(chat.most_open)),
    };
    let policy = chat.repeats.policy(&config.limits)?;
    let secret = mix(config.seed ^ mix(clock.now()));
    let headers = chat.repeats.retry_headers.clone();
    let repeats = chat.repeats.enabled.then(|| Repeats::start(policy, headers, clock, secret));
    let data: Vec<Value> = chat
        .models
        .keys()
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "dewladder"}))
        .collect();
    let front = Front {
        clock,
        driver,
        settings: config.settings.clone(),
        give_up: config.lanes.iter().map(|lane| crate::edge::clock::micros(lane.give_up)).collect(),
        models,
        listed: Bytes::from(json!({"object": "list", "data": data}).to_string()),
        tenants: chat.tenants.iter().map(|(token, name)| (token.clone(), tenant(name))).collect(),
        anyone: tenant(""),
        max_tokens: chat.max_tokens,
        ids: Ids { base: mix(config.seed ^ mix(clock.now())), next: AtomicU64::new(0) },
        repeats,
    };
    let unknown =
        || async { Problem::new(StatusCode::NOT_FOUND, "not_found", "there is no such path").answer() };
    Ok(Router::new()
        .route(TARGET, post(complete))
        .route("/v1/models", get(models_list))
        .fallback(unknown)
        .with_state(Arc::new(front)))
}

async fn models_list(State(front): State<Arc<Front>>, headers: HeaderMap) -> Response<Body> {
    match front.tenant(&headers) {
        Ok(_) => json_answer(StatusCode::OK, front.listed.clone()),
        Err(problem) => problem.answer(),
    }
}

async fn complete(State(front): State<Arc<Front>>, request: Request<Body>) -> Response<Body> {
    match front.complete(request).await {
        Ok(response) => response,
        Err(problem) => problem.answer(),
    }
}

impl Front {
    async fn complete(&self, request: Request<Body>) -> Result<Response<Body>, Problem> {
        let (head, body) = request.into_parts();
        let tenant = self.tenant(&head.headers)?;
        let body = body_within(body, &head.extensions).await;
        let now = self.clock.now();
        let body = body.map_err(|(status, what)| Problem::new(status, "invalid_request_error", what))?;
        let chat = Chat::read(&body)?;
        let model = self.models.get(&chat.model).ok_or_else(|| {
            Problem::new(StatusCode::NOT_FOUND, "model_not_found", "the model does not exist")
        })?;
        let value: Value = serde_json::from_slice(&body).map_err(|error| bad(error.to_string()))?;
        let sent = if chat.stream { body } else { streamed(value.clone()) };
        let asked = Asked { chat: &chat, model, tenant, now, sent };
        match &self.repeats {
            None => self.once(&asked).await,
            Some(repeats) => {
                let offer = repeats.offer(&head.headers, (tenant.number, &tenant.name), model.once, &value);
                let offer = offer.map_err(|bad_key| Problem {
                    param: Some("Idempotency-Key"),
                    ..bad(format!("Idempotency-Key {}", bad_key.0))
                })?;
                self.as_judged(repeats, &offer, &asked).await
            }
        }
    }

    /// Has a request run of which nothing is remembered.
    async fn once(&self, asked: &Asked<'_>) -> Result<Response<Body>, Problem> {
        let permit = self.permit(asked.tenant)?;
        let (call, payload) = self.request(asked);
        let id = call.id;
        match self.driver.ask(call, payload).await {
            Reply::Refused { retry_in } => Err(Problem::refused(retry_in)),
            Reply::Failed { may_have_run } => Err(Problem::failed(asked.model.once && may_have_run)),
            Reply::Taken => Err(Problem::new(StatusCode::CONFLICT, "conflict", "the id is taken")),
            Reply::Stream(relay) => self.answer(asked, id, relay, Some(permit)).await,
        }
    }

    /// Does with a request what is decided of it: it may be a repeat.
    async fn as_judged(
        &self,
        repeats: &Arc<Repeats>,
        offer: &dewladder_ledger::Offer,
        asked: &Asked<'_>,
    ) -> Result<Response<Body>, Problem> {
        for _ in 0..MOST_JUDGED {
            let (mut reader, joined) = match repeats.judge(offer) {
                Judged::Run(reader) => {
                    let permit = match self.permit(asked.tenant) {
                        Ok(permit) => permit,
                        Err(problem) => {
                            repeats.refuse(&reader, self.settings.max_retry_after);
                            return Err(problem);
                        }
                    };
                    let (call, payload) = self.request(asked);
                    repeats.run(&reader, &self.driver, call, payload, permit);
                    (reader, false)
                }
                Judged::Join(reader) => (reader, true),
                Judged::Told(Verdict::Unrecorded) => return self.once(asked).await,
                Judged::Told(verdict) => return Err(told(verdict)),
            };
            match reader.begun().await {
                Begun::Streams => return self.recorded(asked, reader, joined).await,
                Begun::Over(Ending::Refused { retry_in }) => return Err(Problem::refused(retry_in)),
                Begun::Over(Ending::Failed { may_have_run } | Ending::LetGo { may_have_run }) => {
                    return Err(Problem::failed(asked.model.once && may_have_run));
                }
                Begun::Over(_) | Begun::Again => {}
            }
        }
        Err(Problem::refused(self.settings.max_retry_after))
    }

    async fn recorded(
        &self,
        asked: &Asked<'_>,
        reader: Reader,
        joined: bool,
    ) -> Result<Response<Body>, Problem> {
        let id = reader.request();
        let mut response = self.answer(asked, id, reader, None).await?;
        if joined {
            response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
        }
        Ok(response)
    }

    /// The answer to a client, from a server's stream or what is recorded of one.
    async fn answer<S>(
        &self,
        asked: &Asked<'_>,
        id: RequestId,
        stream: S,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Response<Body>, Problem>
    where
        S: HttpBody<Data = Bytes, Error = Cut> + Unpin + Send + 'static,
    {
        let mut response = if asked.chat.stream {
            let mut response = Response::new(Body::new(Events::new(stream, permit)));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            response
        } else {
            let whole = whole(stream, id, &asked.chat.model, self.clock.now()).await;
            let whole = whole.map_err(|what| Problem {
                never_again: asked.model.once,
                ..Problem::new(StatusCode::BAD_GATEWAY, "server_error", what)
            })?;
            json_answer(StatusCode::OK, Bytes::from(whole.to_string()))
        };
        with_id(response.headers_mut(), id);
        Ok(response)
    }

    fn permit(&self, tenant: &Tenant) -> Result<OwnedSemaphorePermit, Problem> {
        tenant.open.clone().try_acquire_owned().map_err(|_| Problem {
            retry_in: Some(self.settings.max_retry_after),
            ..Problem::new(StatusCode::TOO_MANY_REQUESTS, "rate_limit_exceeded", "too many requests at once")
        })
    }

    /// The call and what is sent on for it, under an id of its own.
    fn request(&self, asked: &Asked<'_>) -> (Call, Arc<Payload>) {
        let id = self.ids.mint();
        let call = self.call(id, asked.chat, asked.model.class, asked.tenant, asked.now);
        let txn = format!("{:016x}", id.0);
        (call, Arc::new(Payload { txn, target: TARGET.to_owned(), body: asked.sent.clone() }))
    }

    fn tenant(&self, headers: &HeaderMap) -> Result<&Tenant, Problem> {
        if self.tenants.is_empty() {
            return Ok(&self.anyone);
        }
        let told = header(headers, AUTHORIZATION.as_str()).and_then(|text| text.strip_prefix("Bearer "));
        told.and_then(|token| self.tenants.get(token.trim())).ok_or_else(|| {
            Problem::new(StatusCode::UNAUTHORIZED, "invalid_api_key", "the API key is not known")
        })
    }

    /// The call that the messages make: lengths at four characters a token, the first message as the opening
    /// that it may share with other conversations, and the conversation by what it began with.
    fn call(&self, id: RequestId, chat: &Chat, class: u32, tenant: &Tenant, now: Micros) -> Call {
        let tokens = |text: &str| (text.chars().count() as u64).div_ceil(CHARACTERS_A_TOKEN);
        let prompt_tokens = chat.messages.iter().map(|(_, text)| tokens(text)).sum();
        let key = |parts: &[&str]| Key::from_text(&parts.join("\u{1f}"));
        let opens = |role: &str| matches!(role, "system" | "developer");
        let opening = chat.messages.first().filter(|(role, _)| opens(role)).map(|(_, text)| text.as_str());
        let first = chat.messages.iter().find(|(role, _)| !opens(role)).map_or("", |(_, text)| text.as_str());
        let begins = opening.unwrap_or("");
        let class_settings = &self.settings.classes[class as usize];
        // The deadline grows twice as fast with the prompt as the aim does.
        let longer = 2 * class_settings.aim_per_1000_tokens * prompt_tokens / 1_000;
        Call {
            id,
            class,
            session: Some(key(&[&tenant.name, &chat.model, begins, first])),
            shared: opening.map(|text| key(&[&chat.model, text])),
            shared_tokens: opening.map_or(0, tokens),
            prompt_tokens,
            max_tokens: chat.max_tokens.unwrap_or(self.max_tokens).min(self.max_tokens),
            hint: None,
            not_after: now + self.give_up[class as usize] + longer,
        }
    }
}

/// What the front needs to know of a request's body.
struct Chat {
    model: String,
    stream: bool,
    max_tokens: Option<u64>,
    /// Roles and texts.
    messages: Vec<(String, String)>,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Value,
}

impl Chat {
    fn read(body: &[u8]) -> Result<Self, Problem> {
        let body: ChatBody = serde_json::from_slice(body).map_err(|error| bad(error.to_string()))?;
        if body.messages.is_empty() {
            return Err(bad("messages: at least one is needed"));
        }
        if body.n.is_some_and(|n| n != 1) {
            return Err(bad("n: only 1 answer can be asked for"));
        }
        Ok(Self {
            model: body.model,
            stream: body.stream.unwrap_or(false),
            max_tokens: body.max_completion_tokens.or(body.max_tokens),
            messages: body
                .messages
                .into_iter()
                .map(|message| (message.role, text(&message.content)))
                .collect(),
        })
    }
}

/// A message's text: plain, or the text parts of a list.
fn text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|part| part["text"].as_str()).collect(),
        _ => String::new(),
    }
}

/// The body of a request that wants no stream, asking for one: servers answer in streams only.
fn streamed(mut body: Value) -> Bytes {
    body["stream"] = Value::Bool(true);
    Bytes::from(body.to_string())
}

fn bad(what: impl Into<String>) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "invalid_request_error", what)
}

/// What a request that is not to run is told.
fn told(verdict: Verdict) -> Problem {
    match verdict {
        Verdict::Mismatch => Problem {
            param: Some("Idempotency-Key"),
            never_again: true,
            ..Problem::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "idempotency_key_reused",
                "this Idempotency-Key came with another body before",
            )
        },
        Verdict::Never(why) => {
            let (code, what) = match why {
                Never::Answered => {
                    ("already_answered", "this request has run; its answer is not kept any more")
                }
                Never::MayHaveRun => ("may_have_run", "this request may have run; it is not run again"),
                Never::JustStarted => {
                    ("may_have_run", "this request may have run before a restart; it is not run again")
                }
            };
            Problem { never_again: true, ..Problem::new(StatusCode::CONFLICT, code, what) }
        }
        Verdict::Later { retry_in, why } => {
            let (status, code, what) = match why {
                Later::Budget => (
                    StatusCode::TOO_MANY_REQUESTS,
                    "retry_budget_exceeded",
                    "too many repeats, come again later",
                ),
                Later::Full => {
                    (StatusCode::SERVICE_UNAVAILABLE, "overloaded", "no room to remember this request")
                }
                Later::Readers => (
                    StatusCode::TOO_MANY_REQUESTS,
                    "rate_limit_exceeded",
                    "too many clients wait for this request",
                ),
            };
            Problem { retry_in: Some(retry_in), ..Problem::new(status, code, what) }
        }
        Verdict::Run(_) | Verdict::Join(_) | Verdict::Unrecorded => Problem::failed(false),
    }
}

/// A request as it has been read.
struct Asked<'a> {
    chat: &'a Chat,
    model: &'a Model,
    tenant: &'a Tenant,
    now: Micros,
    /// What is sent on.
    sent: Bytes,
}

/// Puts a stream's events together into one answer.
async fn whole<S>(mut stream: S, id: RequestId, model: &str, now: Micros) -> Result<Value, String>
where
    S: HttpBody<Data = Bytes, Error = Cut> + Unpin,
{
    let mut read = Vec::new();
    while let Some(frame) = stream.frame().await {
        let frame = frame.map_err(|cut| cut.to_string())?;
        read.extend_from_slice(&frame.into_data().unwrap_or_default());
        if read.len() > MOST_ANSWER {
            return Err("the answer is too long".to_owned());
        }
    }
    let (mut content, mut finish, mut usage) = (String::new(), Value::Null, Value::Null);
    for line in String::from_utf8_lossy(&read).lines() {
        let Some(event) = line.strip_prefix("data:").map(str::trim).filter(|event| *event != "[DONE]") else {
            continue;
        };
        let event: Value =
            serde_json::from_str(event).map_err(|_| "the server sent what is no event".to_owned())?;
        let choice = &event["choices"][0];
        content.push_str(choice["delta"]["content"].as_str().unwrap_or(""));
        if !choice["finish_reason"].is_null() {
            finish = choice["finish_reason"].clone();
        }
        if !event["usage"].is_null() {
            usage = event["usage"].clone();
        }
    }
    Ok(json!({
        "id": format!("chatcmpl-{:016x}", id.0),
        "object": "chat.completion",
        "created": now / 1_000_000,
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish,
        }],
        "usage": usage,
    }))
}

/// A relay in whole events: where the server's stream breaks or stalls, one error event ends it, and no
/// half event stands before that.
struct Events<S> {
    stream: S,
    partial: Vec<u8>,
    over: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl<S> Events<S> {
    fn new(stream: S, permit: Option<OwnedSemaphorePermit>) -> Self {
        Self { stream, partial: Vec::new(), over: false, _permit: permit }
    }

    /// The events that are whole by now. Comments are the servers' load reports: no business of clients.
    fn whole(&mut self, data: &Bytes) -> Option<Bytes> {
        if self.partial.is_empty() && data.ends_with(b"\n\n") && !data.starts_with(b":") {
            let comment = data.windows(3).any(|window| window == b"\n\n:");
            if !comment {
                return Some(data.clone());
            }
        }
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(2).rposition(|window| window == b"\n\n")? + 2;
        let rest = self.partial.split_off(end);
        let ready = std::mem::replace(&mut self.partial, rest);
        let (mut events, mut alone) = (Vec::with_capacity(ready.len()), false);
        for line in ready.split_inclusive(|&byte| byte == b'\n') {
            if line.starts_with(b":") {
                alone = events.is_empty() || events.ends_with(b"\n\n");
            } else if !std::mem::take(&mut alone) || line != b"\n" {
                events.extend_from_slice(line);
            }
        }
        Some(Bytes::from(events)).filter(|events| !events.is_empty())
    }
}

impl<S: HttpBody<Data = Bytes, Error = Cut> + Unpin> HttpBody for Events<S> {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        while !self.over {
            let what = match std::task::ready!(Pin::new(&mut self.stream).poll_frame(context)) {
                None => {
                    self.over = true;
                    let rest = std::mem::take(&mut self.partial);
                    if rest.is_empty() || rest.starts_with(b":") {
                        break;
                    }
                    return Poll::Ready(Some(Ok(Frame::data(Bytes::from(rest)))));
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    if self.partial.len() + data.len() <= MOST_ANSWER {
                        match self.whole(&data) {
                            Some(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                            None => continue,
                        }
                    }
                    "the server sent an event that is too long".to_owned()
                }
                Some(Err(cut)) => cut.to_string(),
            };
            self.over = true;
            let error = json!({"error": {"message": what, "type": "server_error", "param": null, "code": "stream_cut"}});
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from(format!("data: {error}\n\n"))))));
        }
        Poll::Ready(None)
    }
}

/// An error as clients of such an API expect it.
struct Problem {
    status: StatusCode,
    code: &'static str,
    what: String,
    /// The field at fault.
    param: Option<&'static str>,
    retry_in: Option<Micros>,
    /// Clients must not send it again by themselves.
    never_again: bool,
}

impl Problem {
    fn new(status: StatusCode, code: &'static str, what: impl Into<String>) -> Self {
        Self { status, code, what: what.into(), param: None, retry_in: None, never_again: false }
    }

    fn refused(retry_in: Micros) -> Self {
        let (status, what) = (StatusCode::SERVICE_UNAVAILABLE, "refused for now, come again later");
        Self { retry_in: Some(retry_in), ..Self::new(status, "overloaded", what) }
    }

    fn failed(never_again: bool) -> Self {
        let (status, what) = (StatusCode::GATEWAY_TIMEOUT, "no server answered in time");
        Self { never_again, ..Self::new(status, "server_error", what) }
    }

    fn answer(self) -> Response<Body> {
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

fn json_answer(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn with_id(headers: &mut HeaderMap, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:016x}", id.0)) {
        headers.insert(REQUEST_ID, value);
    }
}
