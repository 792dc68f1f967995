//! `[chat.repeats]`: how requests that clients repeat are known, and within which bounds.

use axum::http::HeaderName;
use dewladder_idempotency::{Policy, RetryBudgetPolicy};
use serde::Deserialize;

use crate::edge::settings::config::Limits;
use crate::edge::settings::error::FieldError;
use crate::edge::settings::ranges::in_range;
use crate::interface::Micros;

/// How repeats are known, and within which bounds. Off, a repeat is a request like any other.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatSettings {
    /// Whether repeats are known at all.
    pub enabled: bool,
    /// What has ended is remembered for so long (seconds).
    pub window_s: f64,
    /// For so long after the start, a repeat that must not run twice, and whose first is not known, is refused (seconds).
    pub after_start_s: f64,
    /// A request that must not run twice goes on for so long after its last client has left (seconds).
    pub linger_s: f64,
    /// Requests that are remembered.
    pub most_entries: usize,
    /// The share of the configured memory that they may take (percent).
    pub memory_percent: f64,
    /// An answer is kept up to this length (KiB).
    pub most_answer_kib: usize,
    /// Clients that one request may have at once.
    pub most_readers: u32,
    /// The share of all remembered requests that one tenant may have (percent).
    pub tenant_percent: f64,
    /// Repeats that are let through for each hundred fresh requests of a tenant.
    pub budget_percent: f64,
    /// Repeats a second that are let through whatever was fresh.
    pub budget_per_s: f64,
    /// Repeats that a tenant can save up.
    pub budget_most_saved: u32,
    /// Repeats over the budget are asked back after this (seconds).
    pub retry_in_s: f64,
    /// And after this at the latest (seconds).
    pub most_retry_in_s: f64,
    /// Headers in which libraries count their retries.
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

/// Times may be a day at most (seconds).
const DAY_S: f64 = 86_400.0;
/// Bounds of the counts.
const MAX_ENTRIES: usize = 10_000_000;
const MAX_ANSWER_KIB: usize = 1 << 20;
const MAX_READERS: usize = 1_000;
/// The most retries a second that are let through whatever was fresh.
const MAX_BUDGET_PER_SECOND: f64 = 1e5;

impl RepeatSettings {
    /// The idempotency store's policy for a program that may hold so much memory.
    ///
    /// # Errors
    /// The field that can't be used, and why.
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
                return Err(FieldError::NoHeaderName(name.clone()));
            }
        }
        Ok(())
    }

    fn retry_budget(&self) -> Result<RetryBudgetPolicy, FieldError> {
        let per_second = field("budget_per_s", self.budget_per_s, 0.0, MAX_BUDGET_PER_SECOND)?;
        Ok(RetryBudgetPolicy {
            permille: permille("budget_percent", self.budget_percent)?,
            permille_per_second: (per_second * 1e3) as u32,
            max_saved: self.budget_most_saved,
            min_retry_after_us: micros("retry_in_s", self.retry_in_s, 0.05)?,
            max_retry_after_us: micros("most_retry_in_s", self.most_retry_in_s, self.retry_in_s)?,
        })
    }
}

fn path(name: &str) -> String {
    format!("chat.repeats.{name}")
}

fn field(name: &str, value: f64, min: f64, max: f64) -> Result<f64, FieldError> {
    in_range(path(name), value, min, max)
}

/// A time in seconds, a day at most, as microseconds.
fn micros(name: &str, seconds: f64, min: f64) -> Result<Micros, FieldError> {
    Ok((field(name, seconds, min, DAY_S)? * 1e6) as Micros)
}

fn permille(name: &str, percent: f64) -> Result<u32, FieldError> {
    Ok((field(name, percent, 0.0, 100.0)? * 10.0) as u32)
}

/// A count of at least 1.
fn count(name: &str, value: usize, max: usize) -> Result<usize, FieldError> {
    match value {
        0 => Err(FieldError::Zero { field: path(name) }),
        value if value > max => Err(FieldError::TooHigh { field: path(name), value, max }),
        value => Ok(value),
    }
}
