//! Shows that the oracle detects a violation of each rule: a test dispatcher violates one rule on purpose, and the
//! oracle must report that rule. A test dispatcher that violates none must give an empty report.

use std::collections::BTreeSet;
use std::path::PathBuf;

use dewladder_soak::harness::{run_plan, Options};
use dewladder_soak::oracle::{check, Rule, LIMITS};
use dewladder_soak::plan::{EndlessStream, Fault, FaultKind, Plan, SlowStart};

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
        event_interval_ms: 12,
        memory_mb: 192,
        sockets: 512,
        slow_start: None,
        faults,
    }
}

/// Runs the test dispatcher that violates `rule` on purpose, and returns the rules whose violations the oracle reports.
async fn violated_rules(rule: &str, seed: u64, faults: Vec<Fault>) -> BTreeSet<Rule> {
    violated_rules_in(rule, plan(seed, faults)).await
}

/// As [`violated_rules`], in a given plan.
async fn violated_rules_in(rule: &str, plan: Plan) -> BTreeSet<Rule> {
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_false-dispatcher")),
        shim: None,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("false-{rule}")),
        environment: vec![("FALSE_RULE".to_owned(), rule.to_owned())],
    };
    let entries = run_plan(&plan, &options).await.unwrap();
    let violations = check(&plan, &entries, &LIMITS);
    violations.iter().for_each(|violated| println!("{violated:?}"));
    violations.into_iter().map(|violated| violated.rule).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dispatcher_that_keeps_the_rules_has_no_violations() {
    assert_eq!(violated_rules("none", 1, Vec::new()).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_answer_is_detected() {
    assert_eq!(violated_rules("dropped", 2, Vec::new()).await, BTreeSet::from([Rule::Dropped]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_run_is_detected() {
    assert!(violated_rules("run_twice", 3, Vec::new()).await.contains(&Rule::RunTwice));
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_a_draining_server_is_detected() {
    let kind = FaultKind::Drain { server: 3 };
    let drain = vec![Fault { from_ms: 1_000, to_ms: 4_000, kind }];
    assert_eq!(violated_rules("sent_to_draining", 4, drain).await, BTreeSet::from([Rule::SentToDraining]));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_for_a_client_that_has_left_is_detected() {
    let violated = violated_rules("sent_after_client_left", 5, Vec::new()).await;
    assert!(violated.contains(&Rule::SentAfterClientLeft), "{violated:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn state_that_is_held_too_long_is_detected() {
    assert!(violated_rules("held", 6, Vec::new()).await.contains(&Rule::Held));
}

/// The writers are stalled while their kernels still accept connections and bytes. A dispatcher that does not release
/// the state that such a writer has not fetched violates the rule; one that releases it violates none.
#[tokio::test(flavor = "multi_thread")]
async fn state_that_is_held_for_a_stalled_writer_is_detected() {
    let stalled = |server| Fault { from_ms: 1_000, to_ms: 2_400, kind: FaultKind::StandStill { server } };
    let stalled_writers = || vec![stalled(2), stalled(3)];
    let violated = violated_rules("held_for_silent_writer", 14, stalled_writers()).await;
    assert_eq!(violated, BTreeSet::from([Rule::Held]));
    assert_eq!(violated_rules("none", 15, stalled_writers()).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_remaining_time_that_is_too_long_is_detected() {
    assert_eq!(violated_rules("deadline_told", 7, Vec::new()).await, BTreeSet::from([Rule::DeadlineTold]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_delayed_stream_is_detected() {
    assert!(violated_rules("stream", 8, Vec::new()).await.contains(&Rule::Stream));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_request_that_is_not_ended_is_detected() {
    let kind = FaultKind::Idlers { dispatcher: 0, count: 16 };
    let idlers = |from_ms| vec![Fault { from_ms, to_ms: from_ms + 100, kind: kind.clone() }];
    let violated = violated_rules("half_request", 12, idlers(500)).await;
    assert_eq!(violated, BTreeSet::from([Rule::HalfRequest]));
    assert_eq!(violated_rules("none", 13, idlers(500)).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_is_never_ready_is_detected() {
    assert_eq!(violated_rules("not_ready", 9, Vec::new()).await, BTreeSet::from([Rule::NotReady]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_ends_by_itself_is_detected() {
    assert!(violated_rules("exit", 10, Vec::new()).await.contains(&Rule::Exit));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaked_descriptors_are_detected() {
    assert!(violated_rules("leak", 11, Vec::new()).await.contains(&Rule::Leak));
}

/// A dispatcher that relays events in a chunk of gigabytes as long as they come violates the rule; one that cuts the stream
/// violates none.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_stream_that_stays_open_is_detected() {
    let endless = |server| {
        let kind = FaultKind::EndlessStreams { server, after_events: 1, how: EndlessStream::HugeChunk };
        Fault { from_ms: 500, to_ms: 4_000, kind }
    };
    let violated = violated_rules("endless_stream", 18, vec![endless(2), endless(3)]).await;
    assert!(violated.contains(&Rule::EndlessStream), "{violated:?}");
    assert_eq!(violated_rules("none", 19, vec![endless(2), endless(3)]).await, BTreeSet::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_short_is_detected() {
    let slow =
        |server| Fault { from_ms: 500, to_ms: 4_000, kind: FaultKind::SlowAnswers { server, over_ms: 300 } };
    let violated = violated_rules("answer_cut_short", 20, vec![slow(0), slow(1)]).await;
    assert!(violated.contains(&Rule::AnswerCutShort), "{violated:?}");
    // The test dispatcher tells writers the time that was left before the slow read, which violates other rules.
    assert!(!violated_rules("none", 21, vec![slow(0), slow(1)]).await.contains(&Rule::AnswerCutShort));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_on_an_idle_fleet_is_detected() {
    let no_time = || Fault { from_ms: 0, to_ms: 4_500, kind: FaultKind::NoTimeLeft { dispatcher: 0 } };
    assert!(violated_rules("refused_idle", 22, vec![no_time()]).await.contains(&Rule::RefusedIdle));
    // The test dispatcher waits for servers that drop a request, which violates another rule.
    assert!(!violated_rules("none", 23, vec![no_time()]).await.contains(&Rule::RefusedIdle));
}

/// The test dispatcher sends as much to a server that has just started as to any other. One that starts warm is not in
/// slow start, so that the same traffic violates no rule.
#[tokio::test(flavor = "multi_thread")]
async fn an_overload_of_a_server_in_slow_start_is_detected() {
    let starts = Fault { from_ms: 1_000, to_ms: 1_000, kind: FaultKind::ServerStarts { server: 3 } };
    let released = |seed, warm_after_ms| {
        let slow_start = SlowStart {
            capacity: 100.0,
            min_share: 0.01,
            warm_after_ms,
            overload_multiple: 2.5,
            window_ms: 1_000,
            sizes_differ: false,
        };
        Plan { slow_start: Some(slow_start), ..plan(seed, vec![starts.clone()]) }
    };
    assert!(violated_rules_in("none", released(16, 3_000)).await.contains(&Rule::SlowStart));
    assert!(!violated_rules_in("none", released(17, 0)).await.contains(&Rule::SlowStart));
}
