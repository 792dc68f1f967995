//! Plans: drawn alike from the same seed, read back as written, shrunk to what violates a rule.

use dewladder_fault_shim::rule::Rule as ShimRule;
use dewladder_soak::oracle::{Rule, Violation};
use dewladder_soak::plan::{FaultKind, Plan};
use dewladder_soak::shrink::shrink;

#[test]
fn a_seed_gives_one_plan_and_json_gives_it_back() {
    for seed in 1..200 {
        let plan = Plan::draw(seed, 12, 20);
        assert_eq!(plan, Plan::draw(seed, 12, 20));
        let text = serde_json::to_string(&plan).unwrap();
        assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
        assert!(plan.faults.len() >= 8, "{plan:?}");
    }
}

#[test]
fn every_drawn_rule_of_the_shim_can_be_read() {
    let mut seen = 0;
    for seed in 1..400 {
        for fault in Plan::draw(seed, 12, 20).faults {
            if let FaultKind::Shim { rule, .. } | FaultKind::ShimLater { rule, .. } = fault.kind {
                rule.parse::<ShimRule>().unwrap_or_else(|error| panic!("{rule}: {error}"));
                seen += 1;
            }
        }
    }
    assert!(seen > 200);
}

#[test]
fn a_text_that_is_no_rule_of_the_shim_is_refused() {
    for text in
        ["accept", "accept:EWHAT@0-1", "walk:EIO@0-1", "accept:EIO@0", "accept:EIO@a-b", "accept:EIO@0-1%x"]
    {
        assert!(text.parse::<ShimRule>().is_err(), "{text}");
    }
}

#[tokio::test]
async fn a_plan_shrinks_to_the_faults_that_violate_the_rule() {
    let plan = Plan::draw(7, 3, 20);
    let needed = [plan.faults[1].clone(), plan.faults[4].clone()];
    let smallest = shrink(&plan, Rule::Held, |plan| {
        let violates = needed.iter().all(|one| plan.faults.contains(one));
        let violation = Violation { rule: Rule::Held, at: 0, id: 1, what: String::new() };
        std::future::ready(if violates { vec![violation] } else { Vec::new() })
    });
    assert_eq!(smallest.await.faults, needed);
}
