//! Plans: drawn alike from the same seed, read back as written, shrunk to what breaks.

use dewladder_fault_shim::rule::Rule as Fault;
use dewladder_soak::oracle::{Break, Rule};
use dewladder_soak::plan::{Kind, Plan};
use dewladder_soak::shrink::shrink;

#[test]
fn a_seed_gives_one_plan_and_json_gives_it_back() {
    for seed in 1..200 {
        let plan = Plan::draw(seed, 12, 20);
        assert_eq!(plan, Plan::draw(seed, 12, 20));
        let text = serde_json::to_string(&plan).unwrap();
        assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
        assert!(plan.troubles.len() >= 8, "{plan:?}");
    }
}

#[test]
fn every_drawn_rule_of_the_shim_can_be_read() {
    let mut seen = 0;
    for seed in 1..400 {
        for trouble in Plan::draw(seed, 12, 20).troubles {
            if let Kind::Shim { rule, .. } | Kind::ShimLater { rule, .. } = trouble.kind {
                rule.parse::<Fault>().unwrap_or_else(|error| panic!("{rule}: {error}"));
                seen += 1;
            }
        }
    }
    assert!(seen > 200);
}

#[test]
fn what_is_no_rule_of_the_shim_is_refused() {
    for text in
        ["accept", "accept:EWHAT@0-1", "walk:EIO@0-1", "accept:EIO@0", "accept:EIO@a-b", "accept:EIO@0-1%x"]
    {
        assert!(text.parse::<Fault>().is_err(), "{text}");
    }
}

#[tokio::test]
async fn a_plan_shrinks_to_the_troubles_that_break() {
    let plan = Plan::draw(7, 3, 20);
    let needed = [plan.troubles[1].clone(), plan.troubles[4].clone()];
    let least = shrink(&plan, Rule::Held, |plan| {
        let breaks = needed.iter().all(|one| plan.troubles.contains(one));
        let broken = Break { rule: Rule::Held, at: 0, id: 1, what: String::new() };
        std::future::ready(if breaks { vec![broken] } else { Vec::new() })
    });
    assert_eq!(least.await.troubles, needed);
}
