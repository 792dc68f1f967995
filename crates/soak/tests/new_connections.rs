//! The oracle's verdict on a connection that ended without an answer.

use std::ops::Range;

use dewladder_soak::event_log::{Class, ClientOutcome, LogEntry, Observation};
use dewladder_soak::oracle::{check, Rule, LIMITS};
use dewladder_soak::plan::{Fault, FaultKind, Plan};

/// When the connection of each test was established (us).
const CONNECTED_AT: u64 = 2_000_000;
/// When it ended (us).
const ENDED_AT: u64 = CONNECTED_AT + 1_000;

/// The rules that are violated if a new connection is lost and `others` was observed beside it.
fn violated_rules(others: Vec<LogEntry>) -> Vec<Rule> {
    let lost = Observation::NewConnectionLost { dispatcher: 0, connected_at: CONNECTED_AT, was_reset: true };
    let mut entries = others;
    entries.push(LogEntry { at: ENDED_AT, id: 0, observation: lost });
    let violations = check(&Plan::draw_replaced(1, 1, 10), &entries, &LIMITS);
    violations.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_new_connection_that_ends_without_an_answer_is_dropped() {
    assert_eq!(violated_rules(Vec::new()), [Rule::Dropped]);
}

#[test]
fn a_planned_kill_excuses_a_connection_that_was_established_in_the_grace_period() {
    let killed_at_the_end = |signaled_at| {
        let observation = Observation::KilledInShutdown { dispatcher: 0, signaled_at };
        vec![LogEntry { at: ENDED_AT, id: 0, observation }]
    };
    assert_eq!(violated_rules(killed_at_the_end(CONNECTED_AT - 600_000)), []);
    assert_eq!(violated_rules(killed_at_the_end(CONNECTED_AT - 800_000)), [Rule::Dropped]);
}

#[test]
fn a_client_connects_all_the_time_beside_each_drawn_end_of_a_process() {
    for seed in 1..50 {
        let plan = Plan::draw_replaced(seed, 3, 12);
        let is_end = |kind: &FaultKind| {
            matches!(kind, FaultKind::Upgrade { .. } | FaultKind::Restart { .. } | FaultKind::Signals { .. })
        };
        for end in plan.faults.iter().filter(|fault| is_end(&fault.kind)) {
            let connects = plan.faults_at(end.from_ms).any(|kind| {
                matches!(kind, FaultKind::ConnectAllTheTime { .. })
                    && kind.dispatcher() == end.kind.dispatcher()
            });
            assert!(connects, "seed {seed}: {end:?}");
        }
    }
}

/// A client writes slowly, and the end of its request comes after the kill: no process ever had the whole request. Closed
/// later than at once, or without a kill in between, it is dropped.
#[test]
fn a_kill_excuses_a_request_that_became_whole_after_it() {
    let sent_at = CONNECTED_AT + 1_300_000;
    let violated = |kill: Option<u64>, closed_at| {
        let sent = Observation::RequestSent {
            dispatcher: 0,
            class: Class::Idempotent,
            timeout: 500_000,
            connected_at: Some(CONNECTED_AT),
        };
        let closed = Observation::ExchangeEnded(ClientOutcome::Closed);
        let mut entries = vec![
            LogEntry { at: sent_at, id: 7, observation: sent },
            LogEntry { at: closed_at, id: 7, observation: closed },
        ];
        if let Some(at) = kill {
            let observation =
                Observation::KilledInShutdown { dispatcher: 0, signaled_at: CONNECTED_AT - 100_000 };
            entries.insert(0, LogEntry { at, id: 0, observation });
        }
        let violations = check(&Plan::draw_replaced(1, 1, 10), &entries, &LIMITS);
        violations.into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    let killed_at = Some(sent_at - 150_000);
    assert_eq!(violated(killed_at, sent_at + 5), []);
    assert_eq!(violated(killed_at, sent_at + 200_000), [Rule::Dropped]);
    assert_eq!(violated(Some(CONNECTED_AT - 1), sent_at + 5), [Rule::Dropped]);
    assert_eq!(violated(None, sent_at + 5), [Rule::Dropped]);
}

/// The verdict on a request whose new connection was reset, beside this many idle clients that were connected for a
/// time: the violated rules.
fn violated_rules_beside_idle_clients(count: usize, planned_ms: Range<u64>, from: u64, to: u64) -> Vec<Rule> {
    let sent = Observation::RequestSent {
        dispatcher: 0,
        class: Class::Idempotent,
        timeout: 500_000,
        connected_at: Some(CONNECTED_AT),
    };
    let reset = Observation::ExchangeEnded(ClientOutcome::Reset);
    let mut entries = vec![
        LogEntry { at: CONNECTED_AT, id: 7, observation: sent },
        LogEntry { at: ENDED_AT, id: 7, observation: reset },
    ];
    for _ in 0..count {
        let observation = Observation::IdleClientConnected { dispatcher: 0 };
        entries.push(LogEntry { at: from, id: 0, observation });
        let observation = Observation::IdleClientEnded { dispatcher: 0 };
        entries.push(LogEntry { at: to, id: 0, observation });
    }
    entries.sort_by_key(|entry| entry.at);
    let mut plan = Plan::draw_replaced(1, 1, 10);
    let kind = FaultKind::Idlers { dispatcher: 0, count };
    plan.faults.push(Fault { from_ms: planned_ms.start, to_ms: planned_ms.end, kind });
    let violations = check(&plan, &entries, &LIMITS);
    violations.into_iter().map(|violation| violation.rule).collect()
}

/// Under load the dispatcher accepts a connection later than it was established, and closes it after the planned end of the
/// crowd. A few idle clients, or a connection established after the planned end, excuse nothing.
#[test]
fn a_crowd_of_idle_clients_excuses_connections_of_its_time() {
    let second = 1_000_000;
    let (before, after) = (CONNECTED_AT - second, ENDED_AT + second);
    let connected_ms = CONNECTED_AT / 1_000;
    let planned = || connected_ms - 1_000..connected_ms + 1;
    let ended_before = connected_ms - 1_000..connected_ms;
    assert_eq!(violated_rules_beside_idle_clients(300, planned(), before, after), []);
    assert_eq!(violated_rules_beside_idle_clients(300, planned(), before, CONNECTED_AT + 1), []);
    assert_eq!(violated_rules_beside_idle_clients(300, planned(), CONNECTED_AT + 1, after), []);
    assert_eq!(violated_rules_beside_idle_clients(300, ended_before, before, after), [Rule::Dropped]);
    assert_eq!(violated_rules_beside_idle_clients(50, planned(), before, after), [Rule::Dropped]);
    assert_eq!(
        violated_rules_beside_idle_clients(300, planned(), before, CONNECTED_AT - second / 2),
        [Rule::Dropped]
    );
    assert_eq!(violated_rules_beside_idle_clients(300, planned(), after, after + second), [Rule::Dropped]);
}

/// All accepts fail from 1.7 to 3.2 s after the start of the process. A request on a connection that came 2 ms before that
/// is answered late; one that came 0.3 s before had been accepted.
#[test]
fn failing_accepts_excuse_a_late_answer_on_a_connection_that_was_in_the_queue() {
    let violated = |sent_at| {
        let rule = "accept:EMFILE@1700-3200%1000".to_owned();
        let fault = Fault { from_ms: 0, to_ms: 60_000, kind: FaultKind::Shim { dispatcher: 0, rule } };
        let plan = Plan { faults: vec![fault], ..Plan::draw(1, 1, 5) };
        let sent = Observation::RequestSent {
            dispatcher: 0,
            class: Class::AtMostOnce,
            timeout: 700_000,
            connected_at: Some(sent_at),
        };
        let entries = [
            LogEntry { at: 4_000, id: 0, observation: Observation::Started { dispatcher: 0 } },
            LogEntry { at: sent_at, id: 7, observation: sent },
            LogEntry {
                at: 3_324_000,
                id: 7,
                observation: Observation::ExchangeEnded(ClientOutcome::Refused),
            },
        ];
        check(&plan, &entries, &LIMITS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(violated(1_702_000), []);
    assert_eq!(violated(1_404_000), [Rule::Dropped]);
}
