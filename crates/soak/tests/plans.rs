//! Plans: a seed always draws the same plan, JSON preserves a plan, and shrinking keeps the faults that violate
//! a rule.

use dewladder_fault_shim::rule::Rule as ShimRule;
use dewladder_soak::oracle::{Rule, Violation};
use dewladder_soak::plan::{FaultKind, Plan};
use dewladder_soak::shrink::shrink;

#[test]
fn a_seed_always_draws_the_same_plan_and_json_preserves_it() {
    for seed in 1..200 {
        let plan = Plan::draw(seed, 12, 20);
        assert_eq!(plan, Plan::draw(seed, 12, 20));
        let text = serde_json::to_string(&plan).unwrap();
        assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
        assert!(plan.faults.len() >= 8, "{plan:?}");
    }
}

/// Each fault of peers is drawn by the seeds that CI runs.
#[test]
fn plans_of_peers_have_every_fault_of_peers() {
    let kinds = |is_wanted: fn(&FaultKind) -> bool| {
        let plans = (1..=12).map(|seed| Plan::draw_peers(seed, 2, 8));
        plans.flat_map(|plan| plan.faults).filter(|fault| is_wanted(&fault.kind)).count()
    };
    let wanted: [fn(&FaultKind) -> bool; 10] = [
        |kind| matches!(kind, FaultKind::EndlessStreams { .. }),
        |kind| matches!(kind, FaultKind::SlowAnswers { .. }),
        |kind| matches!(kind, FaultKind::SlowReads { .. }),
        |kind| matches!(kind, FaultKind::SlowAgent { .. }),
        |kind| matches!(kind, FaultKind::SlowReaders { .. }),
        |kind| matches!(kind, FaultKind::NoTimeLeft { .. }),
        |kind| matches!(kind, FaultKind::Pipelining { .. }),
        |kind| matches!(kind, FaultKind::Signals { .. }),
        |kind| matches!(kind, FaultKind::Upgrade { .. }),
        |kind| matches!(kind, FaultKind::Idlers { .. }),
    ];
    for (at, is_wanted) in wanted.into_iter().enumerate() {
        assert!(kinds(is_wanted) > 0, "number {at} is never drawn");
    }
}

#[test]
fn every_drawn_shim_rule_can_be_parsed() {
    let mut parsed_count = 0;
    for seed in 1..400 {
        for fault in Plan::draw(seed, 12, 20).faults {
            if let FaultKind::Shim { rule, .. } | FaultKind::ShimLater { rule, .. } = fault.kind {
                rule.parse::<ShimRule>().unwrap_or_else(|error| panic!("{rule}: {error}"));
                parsed_count += 1;
            }
        }
    }
    assert!(parsed_count > 200);
}

#[test]
fn an_invalid_shim_rule_is_rejected() {
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
        let violates = needed.iter().all(|needed_fault| plan.faults.contains(needed_fault));
        let violation = Violation { rule: Rule::Held, at: 0, id: 1, what: String::new() };
        std::future::ready(if violates { vec![violation] } else { Vec::new() })
    });
    assert_eq!(smallest.await.faults, needed);
}
