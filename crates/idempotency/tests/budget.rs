//! The retry budget of a tenant.

use dewladder_idempotency::retry_budget::*;
use dewladder_idempotency::Micros;

/// One second in microseconds.
const SECOND_US: Micros = 1_000_000;

const POLICY: RetryBudgetPolicy = RetryBudgetPolicy {
    permille: 250,
    permille_per_second: 0,
    max_saved: 3,
    min_retry_after_us: SECOND_US,
    max_retry_after_us: 9 * SECOND_US,
};

#[test]
fn one_retry_is_admitted_per_four_fresh_requests_and_saved_retries_are_limited() {
    let mut budget = RetryBudget::new(&POLICY, 0);
    for _ in 0..3 {
        assert_eq!(budget.try_spend(&POLICY, 0, 0), Ok(()));
    }
    assert!(budget.try_spend(&POLICY, 0, 0).is_err());
    for round in 0..10 {
        for _ in 0..4 {
            assert!(budget.try_spend(&POLICY, round, 0).is_err(), "admitted before four fresh requests");
            budget.record_fresh(&POLICY, round);
        }
        assert_eq!(budget.try_spend(&POLICY, round, 0), Ok(()));
    }
    for _ in 0..1_000 {
        budget.record_fresh(&POLICY, 10);
    }
    let admitted = (0..100).filter(|_| budget.try_spend(&POLICY, 10, 0).is_ok()).count();
    assert_eq!(admitted, 3);
}

#[test]
fn deferred_retries_are_spread_and_some_are_admitted_without_fresh_requests() {
    let policy = RetryBudgetPolicy { permille_per_second: 500, max_saved: 0, ..POLICY };
    let mut budget = RetryBudget::new(&policy, 0);
    let mut delay_us: Vec<Micros> = (0..1_000)
        .map(|n: u64| budget.try_spend(&policy, 0, n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unwrap_err())
        .collect();
    delay_us.sort_unstable();
    assert!(delay_us[0] >= policy.min_retry_after_us && delay_us[999] <= policy.max_retry_after_us);
    let in_second = |n: u64| delay_us.iter().filter(|&&delay_us| delay_us / SECOND_US == n).count();
    assert!(
        (1..9).all(|n| (40..250).contains(&in_second(n))),
        "delays are not spread over the eight seconds of the range"
    );
    let policy = RetryBudgetPolicy { max_saved: 2, ..policy };
    let mut budget = RetryBudget::new(&policy, 0);
    while budget.try_spend(&policy, 0, 0).is_ok() {}
    assert!(budget.try_spend(&policy, SECOND_US, 0).is_err());
    assert_eq!(budget.try_spend(&policy, 2 * SECOND_US, 0), Ok(()));
}
