//! The JSON of plans: plans drawn from seeds, and a plan with each kind of fault. Later versions must still read a
//! stored plan, and draw the same plan from a seed that failed before.

use dewladder_soak::failed_seeds;
use dewladder_soak::plan::{Fault, FaultKind, Plan, SignalSeries};

const EVERY_FAULT: &str = include_str!("golden/every_trouble.json");
const DRAWN_PLANS: &str = include_str!("golden/drawn.jsonl");
const FAILED_SEEDS: &str = include_str!("../failed-seeds.txt");

fn every_fault() -> Plan {
    let (dispatcher, server) = (1, 2);
    let rule = "recv:EINTR@1-2%30".to_owned();
    let kinds = [
        FaultKind::Upgrade { dispatcher },
        FaultKind::Restart { dispatcher },
        FaultKind::Kill { dispatcher },
        FaultKind::Stop { dispatcher },
        FaultKind::Reload { dispatcher, broken: true },
        FaultKind::Cut { server },
        FaultKind::Silence { server },
        FaultKind::Reset { server },
        FaultKind::Refuse { server },
        FaultKind::Hang { server },
        FaultKind::Slow { server, by_ms: 400 },
        FaultKind::TurnAway { server },
        FaultKind::Break { server },
        FaultKind::CloseOnUse { server },
        FaultKind::AnswerTwice { server },
        FaultKind::NeverEnd { server },
        FaultKind::Drain { server },
        FaultKind::AgentDown { dispatcher },
        FaultKind::WatchSilent { dispatcher },
        FaultKind::ClientsLeave { dispatcher },
        FaultKind::Idlers { dispatcher, count: 50 },
        FaultKind::Pieces { dispatcher },
        FaultKind::ShortTime { dispatcher },
        FaultKind::Shim { dispatcher, rule: rule.clone() },
        FaultKind::ShimLater { dispatcher, rule },
        FaultKind::StandStill { server },
        FaultKind::LoseAnswers { server },
        FaultKind::Signals { dispatcher, series: SignalSeries::HupHupTerm },
        FaultKind::Signals { dispatcher, series: SignalSeries::TermTerm },
        FaultKind::Signals { dispatcher, series: SignalSeries::TermHup },
        FaultKind::Signals { dispatcher, series: SignalSeries::StopTermCont },
        FaultKind::Signals { dispatcher, series: SignalSeries::TermAtStart },
        FaultKind::ServerStarts { server },
        FaultKind::Burst { dispatcher },
    ];
    let faults = kinds.into_iter().enumerate().map(|(index, kind)| Fault {
        from_ms: 100 * index as u64,
        to_ms: 100 * index as u64 + 50,
        kind,
    });
    Plan {
        seed: 9,
        processes: 3,
        length_ms: 20_000,
        servers_per_role: 2,
        requests_per_second: 10,
        objective_ms: 1_500,
        deadline_ms: 3_000,
        kills_at_earliest: false,
        event_interval_ms: 12,
        memory_mb: 192,
        sockets: 512,
        slow_start: None,
        faults: faults.collect(),
    }
}

#[test]
fn each_fault_kind_matches_the_golden_json_in_both_directions() {
    let text = serde_json::to_string_pretty(&every_fault()).expect("a plan is serializable");
    assert_eq!(text, EVERY_FAULT.trim_end());
    assert_eq!(serde_json::from_str::<Plan>(EVERY_FAULT).expect("a valid plan"), every_fault());
}

#[test]
fn a_seed_always_draws_the_same_plan_of_stalled_servers_and_json_preserves_it() {
    for seed in 1..100 {
        let plan = Plan::draw_stopped(seed, 3, 12);
        assert_eq!(plan, Plan::draw_stopped(seed, 3, 12));
        let text = serde_json::to_string(&plan).expect("a plan is serializable");
        assert!(text.contains("\"kills_at_earliest\":true"), "{text}");
        assert_eq!(serde_json::from_str::<Plan>(&text).expect("a valid plan"), plan);
        let is_silent = |fault: &Fault| {
            matches!(fault.kind, FaultKind::StandStill { .. } | FaultKind::LoseAnswers { .. })
        };
        assert!(plan.faults.iter().filter(|fault| is_silent(fault)).count() >= 4, "{plan:?}");
    }
}

#[test]
fn a_stored_plan_without_a_latency_objective_has_the_default() {
    let text_without_objective = EVERY_FAULT.replace("  \"aim_ms\": 1500,\n", "");
    assert_eq!(
        serde_json::from_str::<Plan>(&text_without_objective).expect("a valid plan"),
        Plan { objective_ms: 400, ..every_fault() }
    );
}

#[test]
fn failed_seeds_draw_the_golden_plans() {
    let seeds: Vec<u64> = FAILED_SEEDS.lines().map(|line| line.parse().expect("one seed a line")).collect();
    assert_eq!(failed_seeds::parse(FAILED_SEEDS), seeds);
    assert!(!seeds.is_empty());
    let drawn = seeds.into_iter().map(|seed| Plan::draw(seed, 12, 20));
    let text: String =
        drawn.map(|plan| serde_json::to_string(&plan).expect("a plan is serializable") + "\n").collect();
    assert_eq!(text, DRAWN_PLANS);
}

#[test]
fn a_failed_seed_is_added_only_once_and_other_lines_are_kept() {
    assert_eq!(failed_seeds::with_seeds(FAILED_SEEDS, &[28, 1]), FAILED_SEEDS);
    assert_eq!(failed_seeds::with_seeds(FAILED_SEEDS, &[7, 7, 1]), format!("{FAILED_SEEDS}7\n"));
    assert_eq!(failed_seeds::with_seeds("", &[3]), "3\n");
    assert_eq!(failed_seeds::parse("3\n# a note\n\n9"), [3, 9]);
}
