//! Plans as they are written: those that a seed gives, and one in which each trouble stands once. A plan that was kept
//! as a file is read by later versions, and a seed that failed once gives the same play again.

use dewladder_soak::plan::{Kind, Plan, Trouble};

const EVERY: &str = include_str!("golden/every_trouble.json");
const DRAWN: &str = include_str!("golden/drawn.jsonl");
const FAILED_SEEDS: &str = include_str!("../failed-seeds.txt");

fn every_trouble() -> Plan {
    let (dispatcher, server) = (1, 2);
    let rule = "recv:EINTR@1-2%30".to_owned();
    let kinds = [
        Kind::Upgrade { dispatcher },
        Kind::Restart { dispatcher },
        Kind::Kill { dispatcher },
        Kind::Stop { dispatcher },
        Kind::Reload { dispatcher, broken: true },
        Kind::Cut { server },
        Kind::Silence { server },
        Kind::Reset { server },
        Kind::Refuse { server },
        Kind::Hang { server },
        Kind::Slow { server, by_ms: 400 },
        Kind::TurnAway { server },
        Kind::Break { server },
        Kind::CloseOnUse { server },
        Kind::AnswerTwice { server },
        Kind::NeverEnd { server },
        Kind::Drain { server },
        Kind::AgentDown { dispatcher },
        Kind::WatchSilent { dispatcher },
        Kind::ClientsLeave { dispatcher },
        Kind::Idlers { dispatcher, count: 50 },
        Kind::Pieces { dispatcher },
        Kind::ShortTime { dispatcher },
        Kind::Shim { dispatcher, rule: rule.clone() },
        Kind::ShimLater { dispatcher, rule },
    ];
    let troubles = kinds.into_iter().enumerate().map(|(at, kind)| Trouble {
        from_ms: 100 * at as u64,
        to_ms: 100 * at as u64 + 50,
        kind,
    });
    Plan {
        seed: 9,
        processes: 3,
        length_ms: 20_000,
        servers_of_a_role: 2,
        rate: 10,
        aim_ms: 1_500,
        troubles: troubles.collect(),
    }
}

#[test]
fn each_trouble_is_written_and_read_as_the_golden_plan() {
    let text = serde_json::to_string_pretty(&every_trouble()).expect("a plan can be written");
    assert_eq!(text, EVERY.trim_end());
    assert_eq!(serde_json::from_str::<Plan>(EVERY).expect("a plan"), every_trouble());
}

#[test]
fn a_plan_that_names_no_aim_has_the_short_one() {
    let without = EVERY.replace("  \"aim_ms\": 1500,\n", "");
    assert_eq!(
        serde_json::from_str::<Plan>(&without).expect("a plan"),
        Plan { aim_ms: 400, ..every_trouble() }
    );
}

#[test]
fn a_seed_draws_the_plan_that_it_drew_before() {
    let seeds: Vec<u64> = FAILED_SEEDS.lines().map(|line| line.parse().expect("one seed a line")).collect();
    assert!(!seeds.is_empty());
    let drawn = seeds.into_iter().map(|seed| Plan::draw(seed, 12, 20));
    let text: String =
        drawn.map(|plan| serde_json::to_string(&plan).expect("a plan can be written") + "\n").collect();
    assert_eq!(text, DRAWN);
}
