//! The budget for retries.

use dewladder_ledger::budget::*;
use dewladder_ledger::Micros;

/// In microseconds.
const SECOND: Micros = 1_000_000;

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
