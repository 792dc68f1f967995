//! Bounds of what is remembered, and retention times.

use crate::retry_budget::RetryBudgetPolicy;
use crate::Micros;

/// Bounds, and for how long requests are remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Requests that are remembered at once.
    pub max_entries: usize,
    /// Memory of all entries with their answers (bytes).
    pub max_bytes: usize,
    /// An answer is kept for replay up to this length (bytes).
    pub max_answer_bytes: usize,
    /// Clients that may read one answer at once, the first among them.
    pub max_readers: u32,
    /// The share of entries that one tenant may hold, in thousandths.
    pub tenant_permille: u32,
    /// How long a request is remembered after its end (us).
    pub retention_us: Micros,
    /// For so long after the start, a repeat of an at-most-once request whose first is not known is rejected: the first
    /// may have come before the start (us).
    pub startup_guard_us: Micros,
    /// An at-most-once request goes on for so long after its last client has left (us); 0 cancels it at once.
    pub linger_us: Micros,
    /// Each tenant's budget for retries.
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
