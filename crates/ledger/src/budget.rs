//! A tenant's budget for repeats: a share of its fresh requests, so that clients that all try again can't keep
//! alive the overload that turned them away.

use crate::Micros;

const SECOND: Micros = 1_000_000;
/// A thousandth of a repeat: levels are whole numbers of these.
const WHOLE: u64 = 1_000;

/// How many repeats are let through, and when the others are asked to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetPolicy {
    /// Repeats for each fresh request, in thousandths: 200 lets one in five through.
    pub permille: u32,
    /// Repeats a second that are let through whatever was fresh, in thousandths: a quiet tenant may try again.
    pub permille_per_s: u32,
    /// Repeats that can be saved up.
    pub most_saved: u32,
    /// A repeat that is turned away is asked back after this at the earliest (us).
    pub retry_in: Micros,
    /// And after this at the latest (us).
    pub most_retry_in: Micros,
}

impl Default for BudgetPolicy {
    fn default() -> Self {
        Self {
            permille: 200,
            permille_per_s: 500,
            most_saved: 20,
            retry_in: SECOND,
            most_retry_in: 30 * SECOND,
        }
    }
}

/// What a tenant has left. It starts with what can be saved up.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    level: u64,
    at: Micros,
    /// Repeats turned away lately; halved each second.
    turned_away: u64,
    counted: Micros,
}

impl Budget {
    /// That of a tenant seen for the first time.
    #[must_use]
    pub fn new(policy: &BudgetPolicy, now: Micros) -> Self {
        Self { level: u64::from(policy.most_saved) * WHOLE, at: now, turned_away: 0, counted: now }
    }

    /// A fresh request has been let through.
    pub fn fresh(&mut self, policy: &BudgetPolicy, now: Micros) {
        self.pass(policy, now);
        self.earn(policy, u64::from(policy.permille));
    }

    /// Whether a repeat may be let through; it is paid for if so.
    ///
    /// # Errors
    /// When to come back. `lot` spreads those who are turned away together: over more time, the more they are.
    pub fn repeat(&mut self, policy: &BudgetPolicy, now: Micros, lot: u64) -> Result<(), Micros> {
        self.pass(policy, now);
        if self.level >= WHOLE {
            self.level -= WHOLE;
            return Ok(());
        }
        self.turned_away += 1;
        let latest = policy.most_retry_in.max(policy.retry_in);
        // So many seconds that those turned away lately would come back at the pace that time alone allows.
        let pace = u64::from(policy.permille_per_s).max(WHOLE / 10);
        let spread = (self.turned_away * SECOND).saturating_mul(WHOLE) / pace;
        let spread = spread.clamp(1, (latest - policy.retry_in).max(1));
        Err(policy.retry_in + lot % spread)
    }

    fn pass(&mut self, policy: &BudgetPolicy, now: Micros) {
        let passed = now.saturating_sub(self.at);
        let earned = passed.saturating_mul(u64::from(policy.permille_per_s)) / SECOND;
        if earned > 0 {
            self.earn(policy, earned);
            self.at = now;
        }
        let seconds = now.saturating_sub(self.counted) / SECOND;
        self.turned_away >>= seconds.min(63);
        self.counted += seconds * SECOND;
    }

    fn earn(&mut self, policy: &BudgetPolicy, earned: u64) {
        self.level = (self.level + earned).min(u64::from(policy.most_saved) * WHOLE);
    }
}
