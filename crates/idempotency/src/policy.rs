//! Limits of the store, and its retention times.

use crate::retry_budget::RetryBudgetPolicy;
use crate::Micros;

/// Limits of the store, and for how long it remembers requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The maximum number of remembered requests.
    pub max_entries: usize,
    /// The maximum memory that all entries with their answers are charged for (bytes).
    pub max_bytes: usize,
    /// The store keeps an answer for replay up to this length (bytes).
    pub max_answer_bytes: usize,
    /// The maximum number of clients that read one answer at the same time, including the one whose request runs.
    pub max_readers: u32,
    /// The maximum share of `max_entries` that one tenant may hold, in thousandths.
    pub tenant_permille: u32,
    /// For how long a request is remembered after its run ended (us).
    pub retention_us: Micros,
    /// For this long after the start (us), a retry of an at-most-once request that has no entry is rejected: its
    /// first attempt may have come before the start.
    pub startup_guard_us: Micros,
    /// For how long an at-most-once request goes on after its last client has left (us); 0 cancels it at once.
    pub linger_us: Micros,
    /// The retry budget of each tenant.
    pub retry_budget: RetryBudgetPolicy,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_entries: 10_000,
            max_bytes: 16 << 20,
            max_answer_bytes: 256 << 10,
            max_readers: 8,
            tenant_permille: 500,
            retention_us: 600_000_000,
            startup_guard_us: 30_000_000,
            linger_us: 0,
            retry_budget: RetryBudgetPolicy::default(),
        }
    }
}
