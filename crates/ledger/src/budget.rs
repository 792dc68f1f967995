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

#[cfg(test)]
mod tests {
    use super::*;

    const POLICY: BudgetPolicy = BudgetPolicy {
        permille: 250,
        permille_per_s: 0,
        most_saved: 3,
        retry_in: SECOND,
        most_retry_in: 9 * SECOND,
    };

    #[test]
    fn one_repeat_is_let_through_for_four_fresh_requests_and_few_are_saved_up() {
        let mut budget = Budget::new(&POLICY, 0);
        for _ in 0..3 {
            assert_eq!(budget.repeat(&POLICY, 0, 0), Ok(()));
        }
        assert!(budget.repeat(&POLICY, 0, 0).is_err());
        for round in 0..10 {
            for _ in 0..4 {
                assert!(budget.repeat(&POLICY, round, 0).is_err(), "not earned yet");
                budget.fresh(&POLICY, round);
            }
            assert_eq!(budget.repeat(&POLICY, round, 0), Ok(()));
        }
        for _ in 0..1_000 {
            budget.fresh(&POLICY, 10);
        }
        let through = (0..100).filter(|_| budget.repeat(&POLICY, 10, 0).is_ok()).count();
        assert_eq!(through, 3);
    }

    #[test]
    fn those_turned_away_together_come_back_apart_and_time_alone_lets_some_through() {
        let policy = BudgetPolicy { permille_per_s: 500, most_saved: 0, ..POLICY };
        let mut budget = Budget::new(&policy, 0);
        let mut back: Vec<Micros> = (0..1_000)
            .map(|at: u64| budget.repeat(&policy, 0, at.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unwrap_err())
            .collect();
        back.sort_unstable();
        assert!(back[0] >= policy.retry_in && back[999] <= policy.most_retry_in);
        let second = |at: u64| back.iter().filter(|&&back| back / SECOND == at).count();
        assert!((1..9).all(|at| (40..250).contains(&second(at))), "spread over the eight seconds");
        let policy = BudgetPolicy { most_saved: 2, ..policy };
        let mut budget = Budget::new(&policy, 0);
        while budget.repeat(&policy, 0, 0).is_ok() {}
        assert!(budget.repeat(&policy, SECOND, 0).is_err());
        assert_eq!(budget.repeat(&policy, 2 * SECOND, 0), Ok(()));
    }
}
