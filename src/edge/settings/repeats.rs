//! `[chat.repeats]`: how the chat front recognizes requests that clients repeat, and the limits on the answers that
//! it remembers for them and on retries.

use axum::http::HeaderName;
use dewladder_idempotency::{Policy, RetryBudgetPolicy};
use serde::Deserialize;

use crate::edge::settings::config::Limits;
use crate::edge::settings::error::FieldError;
use crate::edge::settings::ranges::in_range;
use crate::interface::Micros;

/// The settings of `[chat.repeats]`. A repeat is a request that carries the idempotency key of an earlier one, or, in
/// an at-most-once class, one that has the body of an earlier one and a header in which its library counts retries.
/// While repeats are not recognized (`enabled` is false), each one runs as a new request.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatSettings {
    /// Whether repeats are recognized.
    pub enabled: bool,
    /// How long a request is remembered after its end (seconds).
    pub window_s: f64,
    /// Time after startup (seconds) during which a repeat of an at-most-once request is rejected if its original is
    /// not known: the original may have run before the startup.
    pub after_start_s: f64,
    /// How long an at-most-once request goes on after its last client has disconnected (seconds); 0 cancels it at
    /// once.
    pub linger_s: f64,
    /// The maximum number of remembered requests.
    pub most_entries: usize,
    /// The share of `limits.memory_mb` that the remembered requests and their answers may take (percent).
    pub memory_percent: f64,
    /// The maximum length of an answer that is kept for replay (KiB). A longer one is streamed but not kept.
    pub most_answer_kib: usize,
    /// The maximum number of clients that may read the answer of one request at once, the first one included.
    pub most_readers: u32,
    /// The share of `most_entries` that one tenant may have (percent).
    pub tenant_percent: f64,
    /// Retries added to a tenant's retry budget per 100 new requests of that tenant.
    pub budget_percent: f64,
    /// Retries per second added to a tenant's retry budget, however many new requests it sends.
    pub budget_per_s: f64,
    /// The maximum number of unused retries in a tenant's retry budget.
    pub budget_most_saved: u32,
    /// The shortest time after which a client whose retry exceeds the budget is told to retry (seconds).
    pub retry_in_s: f64,
    /// The longest time after which a client whose retry exceeds the budget is told to retry (seconds).
    pub most_retry_in_s: f64,
    /// Names of the headers in which client libraries count their retries.
    pub retry_headers: Vec<String>,
}

impl Default for RepeatSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            window_s: 600.0,
            after_start_s: 30.0,
            linger_s: 0.0,
            most_entries: 10_000,
            memory_percent: 10.0,
            most_answer_kib: 256,
            most_readers: 8,
            tenant_percent: 50.0,
            budget_percent: 20.0,
            budget_per_s: 0.5,
            budget_most_saved: 20,
            retry_in_s: 1.0,
            most_retry_in_s: 30.0,
            retry_headers: vec!["x-stainless-retry-count".to_owned()],
        }
    }
}

/// The maximum of each duration (seconds).
const MAX_DURATION_S: f64 = 86_400.0;
/// Maxima of `most_entries`, `most_answer_kib` and `most_readers`.
const MAX_ENTRIES: usize = 10_000_000;
const MAX_ANSWER_KIB: usize = 1 << 20;
const MAX_READERS: usize = 1_000;
/// The maximum of `budget_per_s`.
const MAX_BUDGET_PER_S: f64 = 1e5;

impl RepeatSettings {
    /// The policy of the idempotency store; its memory limit is a share of the memory in `limits`.
    ///
    /// # Errors
    /// The first field that is out of its range, and the first name in `retry_headers` that is not a header name.
    pub fn policy(&self, limits: &Limits) -> Result<Policy, FieldError> {
        self.check_headers()?;
        let memory_percent = field("memory_percent", self.memory_percent, 0.1, 50.0)?;
        Ok(Policy {
            max_entries: count("most_entries", self.most_entries, MAX_ENTRIES)?,
            max_bytes: (limits.memory_bytes() * memory_percent / 100.0) as usize,
            max_answer_bytes: count("most_answer_kib", self.most_answer_kib, MAX_ANSWER_KIB)? << 10,
            max_readers: count("most_readers", self.most_readers as usize, MAX_READERS)? as u32,
            tenant_permille: permille("tenant_percent", self.tenant_percent)?,
            retention_us: micros("window_s", self.window_s, 1.0)?,
            startup_guard_us: micros("after_start_s", self.after_start_s, 0.0)?,
            linger_us: micros("linger_s", self.linger_s, 0.0)?,
            retry_budget: self.retry_budget()?,
        })
    }

    fn check_headers(&self) -> Result<(), FieldError> {
        for name in &self.retry_headers {
            if HeaderName::from_bytes(name.as_bytes()).is_err() {
                return Err(FieldError::InvalidHeaderName(name.clone()));
            }
        }
        Ok(())
    }

    fn retry_budget(&self) -> Result<RetryBudgetPolicy, FieldError> {
        let per_second = field("budget_per_s", self.budget_per_s, 0.0, MAX_BUDGET_PER_S)?;
        Ok(RetryBudgetPolicy {
            permille: permille("budget_percent", self.budget_percent)?,
            permille_per_second: (per_second * 1e3) as u32,
            max_saved: self.budget_most_saved,
            min_retry_after_us: micros("retry_in_s", self.retry_in_s, 0.05)?,
            max_retry_after_us: micros("most_retry_in_s", self.most_retry_in_s, self.retry_in_s)?,
        })
    }
}

fn field_path(name: &str) -> String {
    format!("chat.repeats.{name}")
}

fn field(name: &str, value: f64, min: f64, max: f64) -> Result<f64, FieldError> {
    in_range(field_path(name), value, min, max)
}

/// Converts a duration between `min` seconds and a day to microseconds.
fn micros(name: &str, seconds: f64, min: f64) -> Result<Micros, FieldError> {
    Ok((field(name, seconds, min, MAX_DURATION_S)? * 1e6) as Micros)
}

fn permille(name: &str, percent: f64) -> Result<u32, FieldError> {
    Ok((field(name, percent, 0.0, 100.0)? * 10.0) as u32)
}

/// Checks that a count is between 1 and `max`.
fn count(name: &str, value: usize, max: usize) -> Result<usize, FieldError> {
    match value {
        0 => Err(FieldError::Zero { field: field_path(name) }),
        value if value > max => Err(FieldError::TooHigh { field: field_path(name), value, max }),
        value => Ok(value),
    }
}
