//! The state that all requests of the chat front share: models, tenants, limits and stores.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::http::header::AUTHORIZATION;
use axum::http::{HeaderMap, StatusCode};
use dewladder_chat::{Limits, ResponseStore};
use dewladder_idempotency::Policy;
use dewladder_resume::Policy as ResumePolicy;
use dewladder_router::mix;
use log::warn;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::edge::clients::chat::SharedParts;
use crate::edge::clients::error_response::ErrorResponse;
use crate::edge::clients::idempotency::Idempotency;
use crate::edge::clients::memory_budget::MemoryBudget;
use crate::edge::clock::Clock;
use crate::edge::cluster::quorum::Quorum;
use crate::edge::driver::DriverHandle;
use crate::edge::hot_restart::run_records::RunRecords;
use crate::edge::servers::header;
use crate::edge::settings::{ChatSettings, Config, FieldError};
use crate::interface::{Class, Effect, RequestId};

/// A model that clients can request, with the current settings of its class.
#[derive(Clone)]
pub(super) struct Model {
    pub(super) class: Class,
    /// The number by which the router knows the class.
    pub(super) class_number: u32,
    /// A request for this model that may have run must not be sent again under another id: servers would not drop it.
    pub(super) at_most_once: bool,
}

/// The owner of a request, known by its API key.
#[derive(Clone)]
pub(super) struct Tenant {
    pub(super) name: String,
    /// The same for all keys of a tenant; 0 if the settings name no keys.
    pub(super) number: u32,
    /// One permit for each request that the tenant may have open at once.
    open_permits: Arc<Semaphore>,
}

/// The state of the chat front.
pub(super) struct ChatFront {
    pub(super) clock: Clock,
    pub(super) driver: DriverHandle,
    /// The name of each model's class, by the name of the model.
    pub(super) models: BTreeMap<String, String>,
    /// The tenants by API key; if empty, requests need no key.
    tenants: HashMap<String, Tenant>,
    /// The tenant of all requests if they need no key.
    anonymous: Tenant,
    /// Maximum number of tokens of an answer; also the number for requests that state none.
    pub(super) max_tokens: u64,
    /// The limits that requests are checked against.
    pub(super) limits: Limits,
    /// The origins that are allowed by CORS; `*` allows all.
    pub(super) origins: Vec<String>,
    /// A comment is sent on a stream after this time without an event; `None` sends none.
    pub(super) keepalive: Option<Duration>,
    /// The limits for resuming answers at another server; `None` if resumption is off.
    pub(super) resume_policy: Option<ResumePolicy>,
    ids: IdGenerator,
    /// Stored responses, which later requests can continue.
    pub(super) response_store: Arc<Mutex<ResponseStore>>,
    /// Recognizes repeated requests; `None` if that is off.
    pub(super) idempotency: Option<Arc<Idempotency>>,
    /// The budget for the requests that are being handled.
    pub(super) memory: MemoryBudget,
    /// Replicates the records of at-most-once requests to other instances; `None` if that is off.
    pub(super) quorum: Option<Quorum>,
}

/// Generates request ids that are unique within the process. The seed and the start time make them differ from the ids
/// of other processes.
struct IdGenerator {
    base: u64,
    next: AtomicU64,
}

impl IdGenerator {
    fn next(&self) -> RequestId {
        RequestId(mix(self.base.wrapping_add(self.next.fetch_add(1, Ordering::Relaxed))))
    }
}

impl ChatFront {
    /// Creates the front's state from the settings.
    ///
    /// # Errors
    /// A setting that is out of its range.
    pub(super) fn new(
        chat: &ChatSettings,
        config: &Config,
        parts: SharedParts<'_>,
    ) -> Result<Self, FieldError> {
        let SharedParts { clock, driver, memory, quorum, folder } = parts;
        let policy = chat.repeats.policy(&config.limits)?;
        let (store_bytes, tenant_bytes) = chat.check_and_response_memory(&config.limits)?;
        let resume_policy = chat.resume.policy()?;
        if resume_policy.is_some() && !config.resume {
            warn!("chat: chat.resume has no effect, as the platform's settings don't allow streams to be resumed");
        }
        let idempotency = idempotency(chat, policy, config, clock, folder);
        let (tenants, anonymous) = tenants(chat);
        Ok(Self {
            clock,
            driver,
            models: chat.models.clone(),
            tenants,
            anonymous,
            max_tokens: chat.max_tokens,
            limits: Limits { max_choices: chat.most_choices, ..Limits::default() },
            origins: chat.origins.clone(),
            keepalive: (chat.keepalive_s > 0.0).then(|| Duration::from_secs_f64(chat.keepalive_s)),
            resume_policy: resume_policy.filter(|_| config.resume),
            ids: IdGenerator { base: mix(config.seed ^ mix(clock.now())), next: AtomicU64::new(0) },
            response_store: Arc::new(Mutex::new(ResponseStore::new(store_bytes, tenant_bytes))),
            idempotency,
            memory,
            quorum,
        })
    }

    /// A new request id.
    pub(super) fn next_id(&self) -> RequestId {
        self.ids.next()
    }

    /// The model with this name, if its class exists now: the platform may remove a class while the process runs.
    ///
    /// # Errors
    /// 404 if the model or its class is not known.
    pub(super) fn model(&self, name: &str) -> Result<Model, ErrorResponse> {
        let class_name = self.models.get(name).ok_or_else(model_not_found)?;
        let (class_number, class) = self.driver.class(class_name).ok_or_else(model_not_found)?;
        let at_most_once = class.effect != Effect::Idempotent;
        Ok(Model { class, class_number, at_most_once })
    }

    /// The tenant of a request, by its API key.
    ///
    /// # Errors
    /// 401 if keys are required and the request has no known one.
    pub(super) fn tenant(&self, headers: &HeaderMap) -> Result<&Tenant, ErrorResponse> {
        if self.tenants.is_empty() {
            return Ok(&self.anonymous);
        }
        let token = header(headers, AUTHORIZATION.as_str()).and_then(|text| text.strip_prefix("Bearer "));
        token.and_then(|token| self.tenants.get(token.trim())).ok_or_else(|| {
            let message = "the API key is not known";
            ErrorResponse::new(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
        })
    }

    /// A permit for one more open request of this tenant; dropping it ends the request's claim.
    ///
    /// # Errors
    /// 429 if the tenant has the maximum number of requests open.
    pub(super) fn permit(&self, tenant: &Tenant) -> Result<OwnedSemaphorePermit, ErrorResponse> {
        tenant.open_permits.clone().try_acquire_owned().map_err(|_| {
            let message = "too many requests at once";
            ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, "rate_limit_exceeded", message)
                .with_retry_after(self.driver.settings().max_retry_after)
        })
    }

    /// Locks the store of responses.
    pub(super) fn responses(&self) -> MutexGuard<'_, ResponseStore> {
        self.response_store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts to recognize repeats, if the settings turn that on. `shared_folder` is that of all processes of this
/// dispatcher.
fn idempotency(
    chat: &ChatSettings,
    policy: Policy,
    config: &Config,
    clock: Clock,
    shared_folder: Option<&Path>,
) -> Option<Arc<Idempotency>> {
    if !chat.repeats.enabled {
        return None;
    }
    let retention = Duration::from_micros(policy.retention_us);
    let records = shared_folder.map(|folder| RunRecords::new(folder, config.listen, clock.now(), retention));
    let secret = mix(config.seed ^ mix(clock.now()));
    let retry_headers = chat.repeats.retry_headers.clone();
    Some(Idempotency::start(policy, retry_headers, records, clock, secret))
}

/// The tenants by API key, and the tenant of requests without a key. Tenants are numbered from 1, in the order of their
/// names.
fn tenants(chat: &ChatSettings) -> (HashMap<String, Tenant>, Tenant) {
    let mut names: Vec<&String> = chat.tenants.values().collect();
    names.sort_unstable();
    names.dedup();
    let tenant = |name: &str| Tenant {
        name: name.to_owned(),
        number: names.iter().position(|known| *known == name).map_or(0, |index| index as u32 + 1),
        open_permits: Arc::new(Semaphore::new(chat.most_open)),
    };
    let by_key = chat.tenants.iter().map(|(key, name)| (key.clone(), tenant(name))).collect();
    (by_key, tenant(""))
}

fn model_not_found() -> ErrorResponse {
    ErrorResponse::new(StatusCode::NOT_FOUND, "model_not_found", "the model does not exist")
        .with_param("model")
}
