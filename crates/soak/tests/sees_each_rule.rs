//! The oracle is shown to see: for each rule a false dispatcher that breaks just that one, and one that breaks none.

use std::collections::BTreeSet;
use std::path::PathBuf;

use dewladder_soak::harness::{play, Options};
use dewladder_soak::oracle::{check, Rule, LIMITS};
use dewladder_soak::plan::{Fault, FaultKind, Plan};

fn plan(seed: u64, faults: Vec<Fault>) -> Plan {
    Plan {
        seed,
        processes: 1,
        length_ms: 4_500,
        servers_per_role: 2,
        requests_per_second: 20,
        objective_ms: 400,
        deadline_ms: 3_000,
        kills_at_earliest: false,
        faults,
    }
}

async fn rules_broken_by(rule: &str, seed: u64, faults: Vec<Fault>) -> BTreeSet<Rule> {
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_false-dispatcher")),
        shim: None,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("false-{rule}")),
        environment: vec![("FALSE_RULE".to_owned(), rule.to_owned())],
    };
    let plan = plan(seed, faults);
    let entries = play(&plan, &options).await.unwrap();
    let violations = check(&plan, &entries, &LIMITS);
    violations.iter().for_each(|broken| println!("{broken:?}"));
    violations.into_iter().map(|broken| broken.rule).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dispatcher_that_keeps_the_rules_breaks_none() {
    assert_eq!(rules_broken_by("none", 1, Vec::new()).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_answer_is_seen() {
    assert_eq!(rules_broken_by("dropped", 2, Vec::new()).await, BTreeSet::from([Rule::Dropped]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_run_is_seen() {
    assert!(rules_broken_by("run_twice", 3, Vec::new()).await.contains(&Rule::RunTwice));
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_a_draining_server_is_seen() {
    let kind = FaultKind::Drain { server: 3 };
    let drain = vec![Fault { from_ms: 1_000, to_ms: 4_000, kind }];
    assert_eq!(rules_broken_by("sent_to_draining", 4, drain).await, BTreeSet::from([Rule::SentToDraining]));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_for_a_client_that_has_left_is_seen() {
    let broken = rules_broken_by("sent_after_client_left", 5, Vec::new()).await;
    assert!(broken.contains(&Rule::SentAfterClientLeft), "{broken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_state_that_is_held_is_seen() {
    assert!(rules_broken_by("held", 6, Vec::new()).await.contains(&Rule::Held));
}

/// Writers stand still with their connections and bytes taken: who does not let go of what they have not taken is seen,
/// and who does breaks nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_state_that_is_held_for_a_writer_that_stands_still_is_seen() {
    let stand_still = |server| Fault { from_ms: 1_000, to_ms: 2_400, kind: FaultKind::StandStill { server } };
    let writers = || vec![stand_still(2), stand_still(3)];
    let broken = rules_broken_by("held_for_silent_writer", 14, writers()).await;
    assert_eq!(broken, BTreeSet::from([Rule::Held]));
    assert_eq!(rules_broken_by("none", 15, writers()).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_deadline_is_seen() {
    assert_eq!(rules_broken_by("deadline_told", 7, Vec::new()).await, BTreeSet::from([Rule::DeadlineTold]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_held_back_is_seen() {
    assert!(rules_broken_by("stream", 8, Vec::new()).await.contains(&Rule::Stream));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_request_that_is_not_ended_is_seen() {
    let kind = FaultKind::Idlers { dispatcher: 0, count: 16 };
    let idlers = |from_ms| vec![Fault { from_ms, to_ms: from_ms + 100, kind: kind.clone() }];
    let broken = rules_broken_by("half_request", 12, idlers(500)).await;
    assert_eq!(broken, BTreeSet::from([Rule::HalfRequest]));
    assert_eq!(rules_broken_by("none", 13, idlers(500)).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_is_never_ready_is_seen() {
    assert_eq!(rules_broken_by("not_ready", 9, Vec::new()).await, BTreeSet::from([Rule::NotReady]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_ends_by_itself_is_seen() {
    assert!(rules_broken_by("exit", 10, Vec::new()).await.contains(&Rule::Exit));
}

#[tokio::test(flavor = "multi_thread")]
async fn descriptors_that_stay_open_are_seen() {
    assert!(rules_broken_by("leak", 11, Vec::new()).await.contains(&Rule::Leak));
}
