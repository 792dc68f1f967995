//! What all requests of the chat front share: models, tenants, limits and stores.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::http::header::AUTHORIZATION;
use axum::http::{HeaderMap, StatusCode};
use dewladder_chat::{Limits, ResponseStore};
use dewladder_resume::Policy as ResumePolicy;
use dewladder_router::mix;
use log::warn;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::edge::clients::error_response::ErrorResponse;
use crate::edge::clients::idempotency::Idempotency;
use crate::edge::clock::Clock;
use crate::edge::cluster::quorum::Quorum;
use crate::edge::driver::DriverHandle;
use crate::edge::servers::header;
use crate::edge::settings::{ChatSettings, Config, FieldError};
use crate::interface::{Class, Effect, RequestId};

/// A model that clients can name, as its class is now.
#[derive(Clone)]
pub(super) struct Model {
    pub(super) class: Class,
    pub(super) class_number: u32,
    /// A request of it that may have run must not be sent again.
    pub(super) at_most_once: bool,
}

/// Whose request it is.
#[derive(Clone)]
pub(super) struct Tenant {
    pub(super) name: String,
    /// The same for all keys of a tenant; 0 where no keys are asked for.
    pub(super) number: u32,
    /// As many permits as the tenant may have requests open.
    open: Arc<Semaphore>,
}

/// The front's state.
pub(super) struct ChatFront {
    pub(super) clock: Clock,
    pub(super) driver: DriverHandle,
    /// The class of each model, by names.
    pub(super) models: BTreeMap<String, String>,
    /// By API key; empty where none is asked for.
    tenants: HashMap<String, Tenant>,
    /// Whose requests are, where no key is asked for.
    anonymous: Tenant,
    /// The most tokens of an answer.
    pub(super) max_tokens: u64,
    pub(super) limits: Limits,
    /// Origins whose browser apps are let in; `*` for all.
    pub(super) origins: Vec<String>,
    /// After this time without an event a stream is sent a comment, if it is to be.
    pub(super) keepalive: Option<Duration>,
    /// How streams are resumed elsewhere, where that is turned on.
    pub(super) resume_policy: Option<ResumePolicy>,
    ids: IdGenerator,
    /// Responses that later ones go on from.
    pub(super) response_store: Arc<Mutex<ResponseStore>>,
    /// What is known of repeats, where that is turned on.
    pub(super) idempotency: Option<Arc<Idempotency>>,
    /// By which other instances hold records of at-most-once requests, where that is turned on.
    pub(super) quorum: Option<Quorum>,
}

/// Makes ids: no two alike in one life, and by the seed and the start time none of another life either.
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
    /// The front as the settings have it.
    ///
    /// # Errors
    /// Settings that can't be used.
    pub(super) fn new(
        chat: &ChatSettings,
        config: &Config,
        clock: Clock,
        driver: DriverHandle,
        quorum: Option<Quorum>,
    ) -> Result<Self, FieldError> {
        let policy = chat.repeats.policy(&config.limits)?;
        let (store_bytes, tenant_bytes) = chat.bounds(&config.limits)?;
        let resume_policy = chat.resume.policy()?;
        if resume_policy.is_some() && !config.resume {
            warn!("chat: chat.resume is off, as the platform's settings do not let streams be resumed");
        }
        let secret = mix(config.seed ^ mix(clock.now()));
        let retry_headers = chat.repeats.retry_headers.clone();
        let idempotency =
            chat.repeats.enabled.then(|| Idempotency::start(policy, retry_headers, clock, secret));
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
            quorum,
        })
    }

    /// An id that no other request has.
    pub(super) fn next_id(&self) -> RequestId {
        self.ids.next()
    }

    /// A model whose class there is now: the platform may drop a class in service.
    pub(super) fn model(&self, name: &str) -> Result<Model, ErrorResponse> {
        let class_name = self.models.get(name).ok_or_else(model_not_found)?;
        let (class_number, class) = self.driver.class(class_name).ok_or_else(model_not_found)?;
        let at_most_once = class.effect == Effect::AtMostOnce;
        Ok(Model { class, class_number, at_most_once })
    }

    /// Whose request it is, by its API key.
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

    /// Leave for one more open request of a tenant's.
    pub(super) fn permit(&self, tenant: &Tenant) -> Result<OwnedSemaphorePermit, ErrorResponse> {
        tenant.open.clone().try_acquire_owned().map_err(|_| {
            let message = "too many requests at once";
            ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, "rate_limit_exceeded", message)
                .with_retry_after(self.driver.settings().max_retry_after)
        })
    }

    /// The responses that are kept.
    pub(super) fn responses(&self) -> MutexGuard<'_, ResponseStore> {
        self.response_store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tenants by their API keys, and the one of requests without a key.
fn tenants(chat: &ChatSettings) -> (HashMap<String, Tenant>, Tenant) {
    let mut names: Vec<&String> = chat.tenants.values().collect();
    names.sort_unstable();
    names.dedup();
    let tenant = |name: &str| Tenant {
        name: name.to_owned(),
        number: names.iter().position(|known| *known == name).map_or(0, |at| at as u32 + 1),
        open: Arc::new(Semaphore::new(chat.most_open)),
    };
    let by_key = chat.tenants.iter().map(|(key, name)| (key.clone(), tenant(name))).collect();
    (by_key, tenant(""))
}

fn model_not_found() -> ErrorResponse {
    ErrorResponse::new(StatusCode::NOT_FOUND, "model_not_found", "the model does not exist")
        .with_param("model")
}
