//! Shrinks a plan that violates a rule: faults are dropped one by one while the violation stays.

use std::future::Future;

use crate::oracle::{Rule, Violation};
use crate::plan::Plan;

/// How often a smaller plan is played before it counts as one that keeps the rules: what depends on chance may not
/// show at once.
pub const TRIES: usize = 2;

/// The smallest plan found that still violates the rule; `play` gives the violations of a plan.
pub async fn shrink<F>(plan: &Plan, rule: Rule, mut play: impl FnMut(Plan) -> F) -> Plan
where
    F: Future<Output = Vec<Violation>>,
{
    let mut smallest = plan.clone();
    let mut at = 0;
    while at < smallest.faults.len() {
        let mut smaller = smallest.clone();
        smaller.faults.remove(at);
        if still_violates(&smaller, rule, &mut play).await {
            smallest = smaller;
        } else {
            at += 1;
        }
    }
    smallest
}

async fn still_violates<F>(plan: &Plan, rule: Rule, play: &mut impl FnMut(Plan) -> F) -> bool
where
    F: Future<Output = Vec<Violation>>,
{
    for _ in 0..TRIES {
        if play(plan.clone()).await.iter().any(|violation| violation.rule == rule) {
            return true;
        }
    }
    false
}
