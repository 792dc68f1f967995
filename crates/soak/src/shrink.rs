//! Shrinks a plan that violates a rule: removes its faults one by one as long as the rule is still violated.

use std::future::Future;

use crate::oracle::{Rule, Violation};
use crate::plan::Plan;

/// Runs of a smaller plan without the violation after which the removed fault counts as needed. More than one, as the
/// violation may depend on timing.
pub const MAX_TRIES: usize = 2;

/// Returns the smallest plan found that still violates the rule. `run_plan` runs a plan and returns its violations.
pub async fn shrink<F>(plan: &Plan, rule: Rule, mut run_plan: impl FnMut(Plan) -> F) -> Plan
where
    F: Future<Output = Vec<Violation>>,
{
    let mut smallest = plan.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut smaller = smallest.clone();
        smaller.faults.remove(index);
        if still_violates(&smaller, rule, &mut run_plan).await {
            smallest = smaller;
        } else {
            index += 1;
        }
    }
    smallest
}

/// Whether any of [`MAX_TRIES`] runs of the plan violates the rule.
async fn still_violates<F>(plan: &Plan, rule: Rule, run_plan: &mut impl FnMut(Plan) -> F) -> bool
where
    F: Future<Output = Vec<Violation>>,
{
    for _ in 0..MAX_TRIES {
        if run_plan(plan.clone()).await.iter().any(|violation| violation.rule == rule) {
            return true;
        }
    }
    false
}
