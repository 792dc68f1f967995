//! The budget for retries.

use dewladder_idempotency::retry_budget::*;
use dewladder_idempotency::Micros;

/// In microseconds.
const SECOND: Micros = 1_000_000;

const POLICY: RetryBudgetPolicy = RetryBudgetPolicy {
    permille: 250,
    permille_per_second: 0,
    max_saved: 3,
    min_retry_after_us: SECOND,
    max_retry_after_us: 9 * SECOND,
};

#[test]
fn one_retry_is_admitted_for_four_fresh_requests_and_few_are_saved_up() {
    let mut budget = RetryBudget::new(&POLICY, 0);
    for _ in 0..3 {
        assert_eq!(budget.try_spend(&POLICY, 0, 0), Ok(()));
    }
    assert!(budget.try_spend(&POLICY, 0, 0).is_err());
    for round in 0..10 {
        for _ in 0..4 {
            assert!(budget.try_spend(&POLICY, round, 0).is_err(), "not earned yet");
            budget.record_fresh(&POLICY, round);
        }
        assert_eq!(budget.try_spend(&POLICY, round, 0), Ok(()));
    }
    for _ in 0..1_000 {
        budget.record_fresh(&POLICY, 10);
    }
    let through = (0..100).filter(|_| budget.try_spend(&POLICY, 10, 0).is_ok()).count();
    assert_eq!(through, 3);
}

#[test]
fn retries_deferred_together_come_back_spread_and_time_alone_admits_some() {
    let policy = RetryBudgetPolicy { permille_per_second: 500, max_saved: 0, ..POLICY };
    let mut budget = RetryBudget::new(&policy, 0);
    let mut back: Vec<Micros> = (0..1_000)
        .map(|at: u64| budget.try_spend(&policy, 0, at.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unwrap_err())
        .collect();
    back.sort_unstable();
    assert!(back[0] >= policy.min_retry_after_us && back[999] <= policy.max_retry_after_us);
    let second = |at: u64| back.iter().filter(|&&back| back / SECOND == at).count();
    assert!((1..9).all(|at| (40..250).contains(&second(at))), "spread over the eight seconds");
    let policy = RetryBudgetPolicy { max_saved: 2, ..policy };
    let mut budget = RetryBudget::new(&policy, 0);
    while budget.try_spend(&policy, 0, 0).is_ok() {}
    assert!(budget.try_spend(&policy, SECOND, 0).is_err());
    assert_eq!(budget.try_spend(&policy, 2 * SECOND, 0), Ok(()));
}
