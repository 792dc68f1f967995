//! A tenant's retry budget: retries are limited to a share of its fresh requests, so that clients that all retry
//! cannot prolong the overload that deferred or rejected them. The budget is a token bucket that counts thousandths
//! of a retry.

use crate::Micros;

const SECOND_US: Micros = 1_000_000;
/// The cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// The lowest rate at which deferred retries are spread (thousandths of a retry per second).
const MIN_RATE_PERMILLE_PER_SECOND: u64 = RETRY_COST / 10;

/// How many retries are admitted, and for how long the others are deferred.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Retries admitted per fresh request, in thousandths: 200 admits one retry for five fresh requests.
    pub permille: u32,
    /// Retries admitted per second independently of fresh requests, in thousandths, so that a tenant with few
    /// requests can retry.
    pub permille_per_second: u32,
    /// The size of the bucket: the maximum number of retries that a tenant can save up.
    pub max_saved: u32,
    /// The minimum delay of a deferred retry (us).
    pub min_retry_after_us: Micros,
    /// The maximum delay of a deferred retry (us).
    pub max_retry_after_us: Micros,
}

impl Default for RetryBudgetPolicy {
    fn default() -> Self {
        Self {
            permille: 200,
            permille_per_second: 500,
            max_saved: 20,
            min_retry_after_us: SECOND_US,
            max_retry_after_us: 30 * SECOND_US,
        }
    }
}

/// The retry budget of one tenant. It starts full, at [`RetryBudgetPolicy::max_saved`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The unspent budget, in thousandths of a retry.
    balance: u64,
    /// Up to when the budget per second has been credited (us).
    credited_at_us: Micros,
    /// Number of recently deferred retries; halved every second.
    recent_deferred: u64,
    /// When `recent_deferred` was last halved (us).
    halved_at_us: Micros,
}

impl RetryBudget {
    /// Creates the full budget of a tenant that is seen for the first time.
    #[must_use]
    pub fn new(policy: &RetryBudgetPolicy, now: Micros) -> Self {
        Self {
            balance: u64::from(policy.max_saved) * RETRY_COST,
            credited_at_us: now,
            recent_deferred: 0,
            halved_at_us: now,
        }
    }

    /// Credits the budget for a fresh request that was admitted.
    pub fn record_fresh(&mut self, policy: &RetryBudgetPolicy, now: Micros) {
        self.advance(policy, now);
        self.add_credit(policy, u64::from(policy.permille));
    }

    /// Takes the cost of a retry from the budget, if there is enough left.
    ///
    /// # Errors
    /// The retry is deferred by the returned delay (us). `random` spreads retries that are deferred together; the more
    /// were deferred recently, the longer the range of delays.
    pub fn try_spend(&mut self, policy: &RetryBudgetPolicy, now: Micros, random: u64) -> Result<(), Micros> {
        self.advance(policy, now);
        if self.balance >= RETRY_COST {
            self.balance -= RETRY_COST;
            return Ok(());
        }
        self.recent_deferred += 1;
        let max_delay_us = policy.max_retry_after_us.max(policy.min_retry_after_us);
        // The range of delays is the time that the recently deferred retries would take at the rate per second alone.
        let rate = u64::from(policy.permille_per_second).max(MIN_RATE_PERMILLE_PER_SECOND);
        let spread = (self.recent_deferred * SECOND_US).saturating_mul(RETRY_COST) / rate;
        let spread = spread.clamp(1, (max_delay_us - policy.min_retry_after_us).max(1));
        Err(policy.min_retry_after_us + random % spread)
    }

    /// Credits the budget per second up to `now`, and halves the count of deferred retries.
    fn advance(&mut self, policy: &RetryBudgetPolicy, now: Micros) {
        let elapsed = now.saturating_sub(self.credited_at_us);
        let credit = elapsed.saturating_mul(u64::from(policy.permille_per_second)) / SECOND_US;
        if credit > 0 {
            self.add_credit(policy, credit);
            self.credited_at_us = now;
        }
        let seconds = now.saturating_sub(self.halved_at_us) / SECOND_US;
        self.recent_deferred >>= seconds.min(63);
        self.halved_at_us += seconds * SECOND_US;
    }

    /// Adds to the unspent budget, up to the size of the bucket.
    fn add_credit(&mut self, policy: &RetryBudgetPolicy, credit: u64) {
        self.balance = (self.balance + credit).min(u64::from(policy.max_saved) * RETRY_COST);
    }
}
