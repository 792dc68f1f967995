//! The oracle on ids that come again after their requests and on bookings of the chat front, with logs written by hand: it
//! reports each violation, and nothing where the rules are kept.

use dewladder_soak::event_log::{Class, ClientOutcome, LogEntry, Observation};
use dewladder_soak::oracle::{check, Rule, LIMITS};
use dewladder_soak::plan::{FaultKind, Plan};

const MS: u64 = 1_000;

/// The rules that the observations violate; each is made 10 ms after the one before, about the request with its id.
fn violated(observations: &[(u64, Observation)]) -> Vec<Rule> {
    let plan = Plan { faults: Vec::new(), ..Plan::draw_repeated(1, 1, 10) };
    let entries: Vec<LogEntry> = (observations.iter().zip(1u64..))
        .map(|((id, observation), at)| LogEntry {
            at: at * 10 * MS,
            id: *id,
            observation: observation.clone(),
        })
        .collect();
    check(&plan, &entries, &LIMITS).into_iter().map(|violation| violation.rule).collect()
}

fn sent(client: u64, words: &str) -> (u64, Observation) {
    (0, Observation::BookingSent { client, words: words.to_owned() })
}

fn ran(run: u64, words: &str) -> (u64, Observation) {
    (run, Observation::BookingRan { words: words.to_owned() })
}

fn answered(client: u64, run: u64) -> (u64, Observation) {
    (0, Observation::BookingAnswered { client, run })
}

#[test]
fn an_answer_to_two_clients_is_detected() {
    let own = [sent(1, "a"), ran(7, "a"), answered(1, 7), sent(2, "a"), ran(8, "a"), answered(2, 8)];
    assert_eq!(violated(&own), []);
    let own_again = [sent(1, "a"), ran(7, "a"), answered(1, 7), sent(1, "a"), answered(1, 7)];
    assert_eq!(violated(&own_again), []);
    let foreign = [sent(1, "a"), ran(7, "a"), answered(1, 7), sent(2, "a"), answered(2, 7)];
    assert_eq!(violated(&foreign), [Rule::ForeignAnswer]);
}

#[test]
fn more_runs_than_clients_are_detected() {
    let twice = [sent(1, "a"), ran(7, "a"), sent(1, "a"), ran(8, "a"), sent(2, "b"), ran(9, "b")];
    assert_eq!(violated(&twice), [Rule::RunTwice]);
    let same_id = [sent(1, "a"), sent(2, "a"), ran(7, "a"), ran(7, "a")];
    assert_eq!(violated(&same_id), [Rule::RunTwice]);
}

/// A request at a writer: what its client and a bad client do, and whether the writer turns each attempt away.
fn request(
    outcome: ClientOutcome,
    turned_away: bool,
    repeat_runs: bool,
    status: u16,
) -> Vec<(u64, Observation)> {
    let attempt = |is_turned_away: bool| {
        let result = match is_turned_away {
            true => Observation::TurnedAway { server: 2 },
            false => Observation::WriteBegan { server: 2 },
        };
        let arrived = Observation::AttemptArrived { server: 2, is_reader: false, remaining: None };
        [arrived, result, Observation::AttemptEnded { server: 2 }]
    };
    let class = Class::AtMostOnce;
    let asked = Observation::RequestSent { dispatcher: 0, class, timeout: 2_000 * MS, connected_at: None };
    let mut all = vec![asked];
    all.extend(attempt(turned_away));
    all.extend([Observation::ExchangeEnded(outcome), Observation::EndedIdSent]);
    if repeat_runs {
        all.extend(attempt(false));
    }
    all.push(Observation::EndedIdAnswered { status: Some(status) });
    all.into_iter().map(|observation| (5, observation)).collect()
}

#[test]
fn an_id_that_runs_again_after_its_end_is_detected() {
    assert_eq!(violated(&request(ClientOutcome::Served, false, false, 409)), []);
    let again = violated(&request(ClientOutcome::Served, false, true, 200));
    assert!(!again.is_empty() && again.iter().all(|rule| *rule == Rule::RunTwice), "{again:?}");
}

#[test]
fn an_id_that_stays_taken_although_its_request_was_refused_is_detected() {
    assert_eq!(violated(&request(ClientOutcome::Refused, true, true, 200)), []);
    assert_eq!(violated(&request(ClientOutcome::Refused, true, false, 503)), []);
    assert_eq!(violated(&request(ClientOutcome::Refused, true, false, 409)), [Rule::Dropped]);
}

/// The seeds that CI runs draw both shapes, and what goes on beside them.
#[test]
fn plans_of_repeats_have_every_fault_beside_them() {
    let wanted: [fn(&FaultKind) -> bool; 9] = [
        |kind| matches!(kind, FaultKind::RepeatEndedIds { .. }),
        |kind| matches!(kind, FaultKind::SharedWords { .. }),
        |kind| matches!(kind, FaultKind::Upgrade { .. }),
        |kind| matches!(kind, FaultKind::Restart { .. }),
        |kind| matches!(kind, FaultKind::Kill { .. }),
        |kind| matches!(kind, FaultKind::Reload { .. }),
        |kind| matches!(kind, FaultKind::TurnAway { .. }),
        |kind| matches!(kind, FaultKind::Break { .. }),
        |kind| matches!(kind, FaultKind::ClientsLeave { .. }),
    ];
    for (at, is_wanted) in wanted.into_iter().enumerate() {
        let plans = (1..=12).map(|seed| Plan::draw_repeated(seed, 2, 10));
        let drawn = plans.flat_map(|plan| plan.faults).filter(|fault| is_wanted(&fault.kind)).count();
        assert!(drawn > 0, "number {at} is never drawn");
    }
}
