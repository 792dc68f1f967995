//! A tenant's budget for retries: a share of its fresh requests, so that clients that all retry can't keep alive the
//! overload that turned them away. A token bucket, in thousandths of a retry.

use crate::Micros;

const SECOND_US: Micros = 1_000_000;
/// What one retry costs: the bucket counts thousandths.
const RETRY_COST: u64 = 1_000;
/// The slowest pace at which deferred retries are spread (thousandths a second).
const MIN_PACE_PERMILLE_PER_SECOND: u64 = RETRY_COST / 10;

/// How many retries are admitted, and when the others are asked to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Retries for each fresh request, in thousandths: 200 admits one in five.
    pub permille: u32,
    /// Retries a second that are admitted whatever was fresh, in thousandths: a quiet tenant may retry.
    pub permille_per_second: u32,
    /// Retries that can be saved up.
    pub max_saved: u32,
    /// A deferred retry is asked back after this at the earliest (us).
    pub min_retry_after_us: Micros,
    /// And after this at the latest (us).
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

/// What a tenant has left. It starts with what can be saved up.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Thousandths of a retry.
    level: u64,
    /// When time last earned something (us).
    earned_at_us: Micros,
    /// Retries deferred recently; halved each second.
    recent_deferred: u64,
    /// When that was last halved (us).
    halved_at_us: Micros,
}

impl RetryBudget {
    /// The budget of a tenant that is seen for the first time.
    #[must_use]
    pub fn new(policy: &RetryBudgetPolicy, now: Micros) -> Self {
        Self {
            level: u64::from(policy.max_saved) * RETRY_COST,
            earned_at_us: now,
            recent_deferred: 0,
            halved_at_us: now,
        }
    }

    /// A fresh request was admitted.
    pub fn record_fresh(&mut self, policy: &RetryBudgetPolicy, now: Micros) {
        self.advance(policy, now);
        self.earn(policy, u64::from(policy.permille));
    }

    /// Pays for a retry, if the budget allows it.
    ///
    /// # Errors
    /// After how long to come back (us). `random` spreads those that are deferred together: over more time, the more they
    /// are.
    pub fn try_spend(&mut self, policy: &RetryBudgetPolicy, now: Micros, random: u64) -> Result<(), Micros> {
        self.advance(policy, now);
        if self.level >= RETRY_COST {
            self.level -= RETRY_COST;
            return Ok(());
        }
        self.recent_deferred += 1;
        let latest = policy.max_retry_after_us.max(policy.min_retry_after_us);
        // As long as the recently deferred would take at the pace that time alone allows.
        let pace = u64::from(policy.permille_per_second).max(MIN_PACE_PERMILLE_PER_SECOND);
        let spread = (self.recent_deferred * SECOND_US).saturating_mul(RETRY_COST) / pace;
        let spread = spread.clamp(1, (latest - policy.min_retry_after_us).max(1));
        Err(policy.min_retry_after_us + random % spread)
    }

    fn advance(&mut self, policy: &RetryBudgetPolicy, now: Micros) {
        let elapsed = now.saturating_sub(self.earned_at_us);
        let earned = elapsed.saturating_mul(u64::from(policy.permille_per_second)) / SECOND_US;
        if earned > 0 {
            self.earn(policy, earned);
            self.earned_at_us = now;
        }
        let seconds = now.saturating_sub(self.halved_at_us) / SECOND_US;
        self.recent_deferred >>= seconds.min(63);
        self.halved_at_us += seconds * SECOND_US;
    }

    fn earn(&mut self, policy: &RetryBudgetPolicy, earned: u64) {
        self.level = (self.level + earned).min(u64::from(policy.max_saved) * RETRY_COST);
    }
}
