//! Attempts are counted by outcome, requests by the reason of their end, and violations of the rules by rule.

use dewladder::edge::core::{AttemptResult, Core, Effect, IdClaim, Input};
use dewladder::edge::guard::Rule;
use dewladder::edge::stats::Record;
use dewladder::edge::transitions::OUTCOMES;
use dewladder::interface::*;
use dewladder_router::settings::from_key_values;
use dewladder_router::EndReason;

const SECOND: Micros = 1_000_000;
const ID: RequestId = RequestId(7);

fn core(most_open: usize) -> Core {
    let pairs = [("lanes.count", "1"), ("limits.max_retry_after_s", "1")].into_iter().collect();
    Core::new(from_key_values(pairs).expect("settings"), 1, SECOND, most_open)
}

fn request_arrived(class: u32, not_after: Micros) -> Input {
    Input::RequestArrived {
        info: RequestInfo {
            id: ID,
            class,
            session: None,
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 100,
            max_tokens: 10,
            hint: None,
            not_after,
        },
        received_at: SECOND,
        id_claim: IdClaim::Exclusive,
    }
}

fn endpoints_updated() -> Input {
    let entry = ServerEntry {
        server: ServerId(1),
        zone: ZoneId(0),
        cell: CellId(0),
        weight: 1.0,
        started: None,
        health: Health::Ready,
        kind: 0,
    };
    Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries: vec![entry] }
}

/// The lines of the statistics that count attempts by outcome or requests by reason, without those that are 0.
fn nonzero_counters(core: &Core) -> Vec<String> {
    let mut record = Record::default();
    record.transitions = *core.transitions();
    let lines = record.lines();
    let by_reason = lines.lines().filter(|line| line.contains(".attempts.") || line.contains(".answered."));
    by_reason.filter(|line| !line.ends_with(":0|c")).map(str::to_owned).collect()
}

#[test]
fn every_outcome_and_reason_has_its_own_counter() {
    let lines = Record::default().lines();
    let names = OUTCOMES.iter().map(|(_, name)| format!("edge_router.attempts.{name}:0|c"));
    let names =
        names.chain(EndReason::ALL.map(|reason| format!("edge_router.answered.{}:0|c", reason.name())));
    for name in names {
        assert_eq!(lines.lines().filter(|line| **line == name).count(), 1, "{name}");
    }
}

#[test]
fn a_request_that_is_answered_without_a_stream_is_counted_by_its_reason() {
    let later = 4 * SECOND;
    let cases = [
        (core(0), request_arrived(0, later), "too_many_open"),
        (core(8), request_arrived(9, later), "class_gone"),
        (core(8), request_arrived(0, later), "no_servers"),
        (core(8), request_arrived(0, SECOND), "deadline"),
    ];
    for (mut core, input, reason) in cases {
        let effects = core.step(SECOND, input);
        assert!(effects.iter().any(|effect| matches!(effect, Effect::Reject { .. } | Effect::Fail { .. })));
        assert_eq!(nonzero_counters(&core), [format!("edge_router.answered.{reason}:1|c")]);
    }
}

#[test]
fn an_attempt_is_counted_by_its_outcome_and_a_late_answer_as_a_violation() {
    let mut core = core(8);
    core.step(SECOND, endpoints_updated());
    let sent = core.step(SECOND, request_arrived(0, 2 * SECOND));
    let [Effect::Send { attempt, .. }] = sent[..] else { panic!("{sent:?}") };
    assert_eq!(core.guard().violations().iter().sum::<u64>(), 0);
    // The driver was delayed for long: the attempt ends after the deadline, with no tick before it.
    let ending = AttemptResult::from(Outcome::ConnectFailed);
    core.step(3 * SECOND, Input::AttemptFinished { id: ID, attempt, result: ending });
    let lines = nonzero_counters(&core);
    assert_eq!(lines, ["edge_router.attempts.connect_failed:1|c", "edge_router.answered.deadline:1|c"]);
    assert_eq!(core.guard().violations()[Rule::LateAnswer as usize], 1);
    assert_eq!(core.guard().violations().iter().sum::<u64>(), 1);
}
