//! The second front: an OpenAI-style API with streamed events, for apps that speak no platform headers. It derives
//! from the requests what the platform's headers would tell; decisions and rules are the same. What requests may
//! hold, and how answers are put together, is in `crates/chat`; what repeats are told, in `crates/idempotency`.
//! It listens where the fronts file says, and not at all without one.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::header::{
    ACCESS_CONTROL_ALLOW_HEADERS, ACCESS_CONTROL_ALLOW_METHODS, ACCESS_CONTROL_ALLOW_ORIGIN,
    ACCESS_CONTROL_EXPOSE_HEADERS, ACCESS_CONTROL_MAX_AGE, ALLOW, AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE,
    ORIGIN, VARY,
};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use axum::Router;
use bytes::Bytes;
use dewladder_chat as api;
use dewladder_chat::{AnswerMetadata, Message, RequestKind, ResponseStore, StreamWriter};
use dewladder_idempotency::{Admission, IncomingRequest, Outcome};
use dewladder_router::mix;
use log::warn;
use serde_json::{json, Value};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep_until;

use crate::edge::clients::answers::{whole, Answering, Ask, Asked as Rest, Keeping, Resuming, Source};
use crate::edge::clients::platform::body_within;
use crate::edge::clients::problem::{json_answer, told, with_id, Problem};
use crate::edge::clients::repeats::{Begun, Judged, Repeats};
use crate::edge::clock::Clock;
use crate::edge::cluster::quorum::Quorum;
use crate::edge::driver::{DriverHandle, Reply};
use crate::edge::servers::{header, Payload};
use crate::edge::settings::{ChatSettings, Config};
use crate::interface::{Class, Effect, Key, Micros, RequestId, RequestInfo};
use dewladder_replica::RecordId;

/// What servers are asked, whichever way the client asked.
const TARGET: &str = "/v1/chat/completions";
const CHARACTERS_A_TOKEN: u64 = 4;
/// A body may be nested so deep.
const MOST_DEEP: usize = 64;
/// Says of an answer that it is that of an earlier request, which this one repeats.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// A request that is let go of while its repeat waits is judged anew so often at most.
const MOST_JUDGED: usize = 8;
/// Headers that browser apps may send, and may read of answers.
const MAY_SEND: &str =
    "authorization, content-type, idempotency-key, x-stainless-retry-count, x-stainless-arch, \
    x-stainless-lang, x-stainless-os, x-stainless-package-version, x-stainless-runtime, \
    x-stainless-runtime-version, x-stainless-timeout";
const MAY_READ: &str = "retry-after, retry-after-ms, x-should-retry, x-request-id, idempotent-replayed";

/// A model that clients can name, as its class is now.
struct Model {
    rules: Class,
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
    driver: DriverHandle,
    /// The models in the order of the file, and the names of their classes.
    models: BTreeMap<String, String>,
    /// By bearer token; empty where none is asked for.
    tenants: HashMap<String, Tenant>,
    anyone: Tenant,
    max_tokens: u64,
    limits: api::Limits,
    origins: Vec<String>,
    quiet: Option<Duration>,
    resume: Option<dewladder_resume::Policy>,
    ids: Ids,
    /// Responses that others go on from.
    store: Arc<Mutex<ResponseStore>>,
    /// What is known of repeats, where that is turned on.
    repeats: Option<Arc<Repeats>>,
    /// By which other instances hold records of requests that must not run twice, where that is turned on.
    quorum: Option<Quorum>,
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

/// Whether the settings fit the configuration.
///
/// # Errors
/// A model whose class the configuration does not know, or a bound that can't be used.
pub fn check(chat: &ChatSettings, config: &Config) -> Result<(), String> {
    chat.repeats.policy(&config.limits)?;
    chat.bounds(&config.limits)?;
    chat.resume.policy()?;
    let known = |lane: &String| config.settings.current().any(|class| class.name == *lane);
    match chat.models.iter().find(|(_, lane)| !known(lane)) {
        Some((name, lane)) => Err(format!("chat.models.{name}: no class is named {lane}")),
        None => Ok(()),
    }
}

/// The front's routes.
///
/// # Errors
/// See [`check`].
pub fn front(
    chat: &ChatSettings,
    config: &Config,
    clock: Clock,
    driver: DriverHandle,
    quorum: Option<Quorum>,
) -> Result<Router, String> {
    check(chat, config)?;
    let mut names: Vec<&String> = chat.tenants.values().collect();
    names.sort_unstable();
    names.dedup();
    let tenant = |name: &str| Tenant {
        name: name.to_owned(),
        number: names.iter().position(|known| *known == name).map_or(0, |at| at as u32 + 1),
        open: Arc::new(Semaphore::new(chat.most_open)),
    };
    let policy = chat.repeats.policy(&config.limits)?;
    let (store_bytes, tenant_bytes) = chat.bounds(&config.limits)?;
    let resume = chat.resume.policy()?;
    if resume.is_some() && !config.resume {
        warn!("chat.resume: off, as the platform's settings do not let streams go on elsewhere");
    }
    let secret = mix(config.seed ^ mix(clock.now()));
    let headers = chat.repeats.retry_headers.clone();
    let repeats = chat.repeats.enabled.then(|| Repeats::start(policy, headers, clock, secret));
    let front = Front {
        clock,
        driver,
        models: chat.models.clone(),
        tenants: chat.tenants.iter().map(|(token, name)| (token.clone(), tenant(name))).collect(),
        anyone: tenant(""),
        max_tokens: chat.max_tokens,
        limits: api::Limits { max_choices: chat.most_choices, ..api::Limits::default() },
        origins: chat.origins.clone(),
        quiet: Some(chat.keepalive_s).filter(|&seconds| seconds > 0.0).map(Duration::from_secs_f64),
        resume: resume.filter(|_| config.resume),
        ids: Ids { base: mix(config.seed ^ mix(clock.now())), next: AtomicU64::new(0) },
        store: Arc::new(Mutex::new(ResponseStore::new(store_bytes, tenant_bytes))),
        repeats,
        quorum,
    };
    Ok(Router::new().fallback(serve).with_state(Arc::new(front)))
}

/// What lies at a path, and how it may be asked.
enum Place<'a> {
    Make(RequestKind),
    Models,
    Model(&'a str),
    Response(&'a str),
}

impl<'a> Place<'a> {
    fn at(path: &'a str) -> Option<(Self, &'static [Method])> {
        const POST: &[Method] = &[Method::POST];
        const GET: &[Method] = &[Method::GET];
        const KEPT: &[Method] = &[Method::GET, Method::DELETE];
        let one = |text: &'a str| Some(text).filter(|text| !text.is_empty() && !text.contains('/'));
        Some(match path {
            TARGET => (Self::Make(RequestKind::Chat), POST),
            "/v1/completions" => (Self::Make(RequestKind::Completion), POST),
            "/v1/responses" => (Self::Make(RequestKind::Response), POST),
            "/v1/models" => (Self::Models, GET),
            _ => match (path.strip_prefix("/v1/models/"), path.strip_prefix("/v1/responses/")) {
                (Some(name), _) => (Self::Model(one(name)?), GET),
                (_, Some(id)) => (Self::Response(one(id)?), KEPT),
                _ => return None,
            },
        })
    }
}

async fn serve(State(front): State<Arc<Front>>, request: Request<Body>) -> Response<Body> {
    let origin = front.origin(request.headers());
    let (head, body) = request.into_parts();
    let mut response = match front.route(&head, body, origin.is_some()).await {
        Ok(response) => response,
        Err(problem) => problem.answer(),
    };
    if let Some(origin) = origin {
        let headers = response.headers_mut();
        headers.insert(ACCESS_CONTROL_ALLOW_ORIGIN, origin);
        headers.insert(ACCESS_CONTROL_EXPOSE_HEADERS, HeaderValue::from_static(MAY_READ));
        headers.insert(VARY, HeaderValue::from_static("origin"));
    }
    response
}

/// A request as it has been read.
struct Asked<'a> {
    request: &'a api::Request,
    model: &'a Model,
    tenant: &'a Tenant,
    now: Micros,
}

impl Front {
    /// The request's origin, where browser apps of it are let in.
    fn origin(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        let origin = headers.get(ORIGIN)?;
        let text = origin.to_str().ok()?;
        let known = self.origins.iter().any(|known| known == "*" || known == text);
        known.then(|| origin.clone())
    }

    async fn route(
        self: &Arc<Self>,
        head: &Parts,
        body: Body,
        browser: bool,
    ) -> Result<Response<Body>, Problem> {
        let Some((place, methods)) = Place::at(head.uri.path()) else {
            return Err(Problem::new(StatusCode::NOT_FOUND, "not_found", "there is no such path"));
        };
        if browser && head.method == Method::OPTIONS {
            return Ok(preflight(methods));
        }
        if !methods.contains(&head.method) {
            let what = format!("{} is not allowed here", head.method);
            let problem = Problem::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", what);
            let mut response = problem.answer();
            response.headers_mut().insert(ALLOW, listed(methods));
            return Ok(response);
        }
        let tenant = self.tenant(&head.headers)?;
        match place {
            Place::Make(kind) => self.make(kind, tenant, head, body).await,
            Place::Models => {
                let models = self.models.keys().filter(|name| self.model(name).is_some());
                let list =
                    json!({"object": "list", "data": models.map(|name| described(name)).collect::<Vec<_>>()});
                Ok(json_answer(StatusCode::OK, Bytes::from(list.to_string())))
            }
            Place::Model(name) => {
                self.model(name).ok_or_else(no_model)?;
                Ok(json_answer(StatusCode::OK, Bytes::from(described(name).to_string())))
            }
            Place::Response(id) => self.kept(tenant, &head.method, id),
        }
    }

    /// A response that is kept: told, or forgotten. Of another tenant's nothing is told, not even that it is.
    fn kept(&self, tenant: &Tenant, method: &Method, id: &str) -> Result<Response<Body>, Problem> {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let found = if *method == Method::DELETE {
            let gone = json!({"id": id, "object": "response", "deleted": true});
            store.remove(tenant.number, id).then(|| gone.to_string())
        } else {
            store.get(tenant.number, id).map(|kept| kept.response.to_string())
        };
        let found = found.ok_or_else(|| {
            Problem::new(StatusCode::NOT_FOUND, "response_not_found", "no response with this id is kept")
        })?;
        Ok(json_answer(StatusCode::OK, Bytes::from(found)))
    }

    async fn make(
        self: &Arc<Self>,
        kind: RequestKind,
        tenant: &Tenant,
        head: &Parts,
        body: Body,
    ) -> Result<Response<Body>, Problem> {
        let media_type = header(&head.headers, CONTENT_TYPE.as_str())
            .map(|text| text.split(';').next().unwrap_or("").trim());
        if media_type.is_some_and(|media_type| !media_type.eq_ignore_ascii_case("application/json")) {
            let what = "the body must be application/json";
            return Err(Problem::new(StatusCode::UNSUPPORTED_MEDIA_TYPE, "unsupported_media_type", what));
        }
        let body = body_within(body, &head.extensions).await;
        let now = self.clock.now();
        let body = body.map_err(|(status, what)| Problem::new(status, "invalid_request_error", what))?;
        let value = api::parse_body(&body, MOST_DEEP)?;
        drop(body);
        let request = match kind {
            RequestKind::Chat => api::Request::chat(value, &self.limits),
            RequestKind::Completion => api::Request::completion(value, &self.limits),
            RequestKind::Response => api::Request::response(value, &self.limits),
        };
        let mut request = request?;
        let model = &self.model(&request.model).ok_or_else(no_model)?;
        if model.once && request.choice_count() > 1 {
            let param = if request.choices_per_prompt > 1 { "n" } else { "prompt" };
            return Err(Problem {
                param: Some(param.to_owned()),
                ..bad(
                    "unsupported_value",
                    format!("{param}: a request of this model runs once, for one answer"),
                )
            });
        }
        if let Some(previous) = request.previous_response_id.clone() {
            let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
            let kept = store.get(tenant.number, &previous).ok_or_else(|| Problem {
                param: Some("previous_response_id".to_owned()),
                ..bad("previous_response_not_found", "no response with this id is kept")
            })?;
            request.prepend_items(&kept.items);
        }
        let asked = Asked { request: &request, model, tenant, now };
        let Some(repeats) = self.repeats.as_ref().filter(|_| request.choice_count() == 1) else {
            return self.once(&asked).await;
        };
        let offer =
            repeats.offer(&head.headers, (tenant.number, &tenant.name), kind, model.once, &request.body);
        let offer = offer.map_err(|bad_key| Problem {
            param: Some("Idempotency-Key".to_owned()),
            ..bad("invalid_value", format!("Idempotency-Key {}", bad_key.0))
        })?;
        let record = Repeats::record_id(&head.headers, &tenant.name).filter(|_| model.once);
        let shared = self.quorum.clone().zip(record);
        self.as_judged(repeats, &offer, &asked, shared).await
    }

    /// Has a request run of which nothing is remembered: each choice as a request of its own.
    async fn once(self: &Arc<Self>, asked: &Asked<'_>) -> Result<Response<Body>, Problem> {
        let mut waiting = Vec::new();
        for part in 0..asked.request.choice_count() {
            let permit = self.permit(asked.tenant)?;
            let (call, payload) = self.part(asked, part);
            waiting.push((call.id, permit, Box::pin(self.driver.begin(call, payload).0)));
        }
        let id = waiting[0].0;
        let mut sources = Vec::new();
        for (_, permit, reply) in waiting {
            match reply.await {
                Reply::Stream(relay) => sources.push(Source::Relay(Box::new(relay), permit)),
                // The other choices, open or streaming, go with this.
                Reply::Rejected { retry_in } => return Err(Problem::refused(retry_in)),
                Reply::Failed { may_have_run } => {
                    return Err(Problem::failed(asked.model.once && may_have_run))
                }
                Reply::DuplicateId => {
                    return Err(Problem::new(StatusCode::CONFLICT, "conflict", "the id is taken"))
                }
            }
        }
        self.answer(asked, (id, self.clock.now()), sources, true).await
    }

    /// Does with a request what is decided of it: it may be a repeat.
    async fn as_judged(
        self: &Arc<Self>,
        repeats: &Arc<Repeats>,
        offer: &IncomingRequest,
        asked: &Asked<'_>,
        shared: Option<(Quorum, RecordId)>,
    ) -> Result<Response<Body>, Problem> {
        for _ in 0..MOST_JUDGED {
            let (mut reader, joined) = match repeats.judge(offer) {
                Judged::Run(reader) => {
                    let permit = match self.permit(asked.tenant) {
                        Ok(permit) => permit,
                        Err(problem) => {
                            repeats.refuse(&reader, self.driver.settings().max_retry_after);
                            return Err(problem);
                        }
                    };
                    let (call, payload) = self.part(asked, 0);
                    repeats.run(&reader, &self.driver, (call, payload), shared.clone(), permit);
                    (reader, false)
                }
                Judged::Join(reader) => (reader, true),
                Judged::Told(Admission::RunUnrecorded) => return self.once(asked).await,
                Judged::Told(verdict) => return Err(told(verdict)),
            };
            match reader.begun().await {
                Begun::Streams => {
                    let id = reader.request();
                    let mut response = self.answer(asked, id, vec![Source::Reader(reader)], !joined).await?;
                    if joined {
                        response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
                    }
                    return Ok(response);
                }
                Begun::Over(Outcome::Refused { retry_after_us }) => {
                    return Err(Problem::refused(retry_after_us))
                }
                Begun::Over(
                    Outcome::Failed { may_have_executed } | Outcome::Canceled { may_have_executed },
                ) => {
                    return Err(Problem::failed(asked.model.once && may_have_executed));
                }
                Begun::Over(_) | Begun::Again => {}
            }
        }
        Err(Problem::refused(self.driver.settings().max_retry_after))
    }

    /// The answer to a client, from a source for each choice.
    async fn answer(
        self: &Arc<Self>,
        asked: &Asked<'_>,
        (id, since): (RequestId, Micros),
        sources: Vec<Source>,
        first: bool,
    ) -> Result<Response<Body>, Problem> {
        let request = asked.request;
        // Who joined another's answer must not each ask for its rest.
        // And a long prompt is not held for as long as its stream lasts: it would add up over all of them.
        let prompt: usize = request.prompts.iter().flatten().map(|message| message.text.len()).sum();
        let resume = self.resume.filter(|policy| first && prompt <= policy.max_text_bytes);
        let resuming = resume.map(|policy| self.resuming(asked, policy));
        let metadata = AnswerMetadata {
            id: format!("{:016x}", id.0),
            model: request.model.clone(),
            created_unix_s: since / 1_000_000,
        };
        let keeping = request.store.then(|| Keeping {
            store: self.store.clone(),
            tenant: asked.tenant.number,
            id: format!("resp_{}", metadata.id),
            input: request.input_items.clone(),
        });
        let mut response = if request.stream {
            let writer = StreamWriter::new(request, metadata);
            let mut response =
                Response::new(Body::new(Answering::new(sources, writer, keeping, resuming, self.quiet)));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            response
        } else {
            let whole = whole(sources, request, metadata, keeping, resuming).await;
            let whole = whole.map_err(|what| Problem {
                never_again: asked.model.once,
                ..Problem::new(StatusCode::BAD_GATEWAY, "server_error", what)
            })?;
            json_answer(StatusCode::OK, Bytes::from(whole.to_string()))
        };
        with_id(response.headers_mut(), id);
        Ok(response)
    }

    /// How this request's choices go on elsewhere whose server breaks off: each time as one more request.
    fn resuming(self: &Arc<Self>, asked: &Asked<'_>, policy: dewladder_resume::Policy) -> Resuming {
        let request = Arc::new(asked.request.clone());
        let (class, rules, number) = (asked.model.class, asked.model.rules.clone(), asked.tenant.number);
        let (name, open) = (asked.tenant.name.clone(), asked.tenant.open.clone());
        let front = self.clone();
        let ask: Ask = Arc::new(move |part, text, max_tokens, until, wait| {
            let (front, request, name, open) = (front.clone(), request.clone(), name.clone(), open.clone());
            let rules = rules.clone();
            Box::pin(async move {
                sleep_until(front.clock.instant(front.clock.now() + wait)).await;
                let tenant = Tenant { name, number, open };
                let model = Model { class, rules, once: false };
                let asked =
                    Asked { request: &request, model: &model, tenant: &tenant, now: front.clock.now() };
                front.rest(&asked, part, &text, max_tokens, until).await
            })
        });
        let traits = dewladder_resume::ChoiceTraits {
            may_rerun: !asked.model.once,
            wants_more_than_text: asked.request.body["logprobs"] == true,
            max_tokens: asked.request.max_tokens.unwrap_or(self.max_tokens).min(self.max_tokens),
        };
        Resuming { policy, traits, ask, clock: self.clock }
    }

    async fn rest(&self, asked: &Asked<'_>, part: usize, text: &str, max_tokens: u64, until: Micros) -> Rest {
        let permit = self.permit(asked.tenant).map_err(|_| Some(self.driver.settings().max_retry_after))?;
        let mut prompt = asked.request.prompt_of(part).to_vec();
        let mut body = asked.request.server_body(part);
        if let Some(fields) = body.as_object_mut() {
            fields.remove("max_completion_tokens");
            fields.insert("max_tokens".to_owned(), json!(max_tokens));
        }
        let continues = self.resume.is_some_and(|policy| policy.mode == dewladder_resume::Mode::Continue);
        if let Some(messages) = body["messages"].as_array_mut().filter(|_| continues && !text.is_empty()) {
            messages.push(json!({"role": "assistant", "content": text}));
            body["continue_final_message"] = json!(true);
            body["add_generation_prompt"] = json!(false);
            prompt.push(Message { role: "assistant".to_owned(), text: text.to_owned() });
        }
        let id = self.ids.mint();
        let mut call = self.call(id, asked, &prompt);
        (call.max_tokens, call.not_after) = (max_tokens, call.not_after.min(until));
        let txn = format!("{:016x}", id.0);
        let payload =
            Payload { txn, target: TARGET.to_owned(), key: None, body: Bytes::from(body.to_string()) };
        match self.driver.ask(call, Arc::new(payload)).await {
            Reply::Stream(relay) => Ok(Source::Relay(Box::new(relay), permit)),
            Reply::Rejected { retry_in } => Err(Some(retry_in)),
            Reply::Failed { .. } | Reply::DuplicateId => Err(None),
        }
    }

    /// A model whose class there is now: the platform may drop a class in service.
    fn model(&self, name: &str) -> Option<Model> {
        let (class, rules) = self.driver.class(self.models.get(name)?)?;
        let once = rules.effect == Effect::AtMostOnce;
        Some(Model { class, rules, once })
    }

    fn permit(&self, tenant: &Tenant) -> Result<OwnedSemaphorePermit, Problem> {
        tenant.open.clone().try_acquire_owned().map_err(|_| Problem {
            retry_in: Some(self.driver.settings().max_retry_after),
            ..Problem::new(StatusCode::TOO_MANY_REQUESTS, "rate_limit_exceeded", "too many requests at once")
        })
    }

    /// The call and what is sent on for one part, under an id of its own.
    fn part(&self, asked: &Asked<'_>, part: usize) -> (RequestInfo, Arc<Payload>) {
        let id = self.ids.mint();
        let prompt = asked.request.prompt_of(part);
        let call = self.call(id, asked, prompt);
        let body = Bytes::from(asked.request.server_body(part).to_string());
        (
            call,
            Arc::new(Payload { txn: format!("{:016x}", id.0), target: TARGET.to_owned(), key: None, body }),
        )
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
    fn call(&self, id: RequestId, asked: &Asked<'_>, prompt: &[Message]) -> RequestInfo {
        let Asked { request, model, tenant, now } = *asked;
        let class = model.class;
        let tokens = |text: &str| (text.chars().count() as u64).div_ceil(CHARACTERS_A_TOKEN);
        let prompt_tokens = prompt.iter().map(|message| tokens(&message.text)).sum();
        let key = |parts: &[&str]| Key::from_text(&parts.join("\u{1f}"));
        let opens = |role: &str| matches!(role, "system" | "developer");
        let opening =
            prompt.first().filter(|message| opens(&message.role)).map(|message| message.text.as_str());
        let first =
            prompt.iter().find(|message| !opens(&message.role)).map_or("", |message| message.text.as_str());
        let begins = opening.unwrap_or("");
        // The deadline grows twice as fast with the prompt as the aim does.
        let longer = 2 * model.rules.latency_objective_per_1000_tokens * prompt_tokens / 1_000;
        RequestInfo {
            id,
            class,
            session: Some(key(&[&tenant.name, &request.model, begins, first])),
            shared: opening.map(|text| key(&[&request.model, text])),
            shared_tokens: opening.map_or(0, tokens),
            prompt_tokens,
            max_tokens: request.max_tokens.unwrap_or(self.max_tokens).min(self.max_tokens),
            hint: None,
            not_after: now + model.rules.default_timeout + longer,
        }
    }
}

fn bad(code: &'static str, what: impl Into<String>) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, code, what)
}

fn described(name: &str) -> Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "dewladder"})
}

fn no_model() -> Problem {
    Problem {
        param: Some("model".to_owned()),
        ..Problem::new(StatusCode::NOT_FOUND, "model_not_found", "the model does not exist")
    }
}

fn listed(methods: &[Method]) -> HeaderValue {
    let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
    HeaderValue::from_str(&names.join(", ")).unwrap_or(HeaderValue::from_static(""))
}

/// The answer to a browser that asks whether it may ask.
fn preflight(methods: &[Method]) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    let headers = response.headers_mut();
    headers.insert(ACCESS_CONTROL_ALLOW_METHODS, listed(methods));
    headers.insert(ACCESS_CONTROL_ALLOW_HEADERS, HeaderValue::from_static(MAY_SEND));
    headers.insert(ACCESS_CONTROL_MAX_AGE, HeaderValue::from_static("600"));
    response
}
