//! The reducer's guards against router decisions that would break its rules, which the router itself never makes, and
//! its memory of servers when a list keeps replacing them under new ids.

use dewladder::edge::core::endpoints::Endpoints;
use dewladder::edge::core::request_table::{RequestTable, SendRules};
use dewladder::edge::core::step::Step;
use dewladder::edge::core::{Core, Effect, Input};
use dewladder::interface::{
    AttemptFinished, CellId, Event, Health, ListUpdateKind, Outcome, RequestId, RequestInfo, ServerEntry,
    ServerId, Settings, ZoneId,
};
use dewladder_router::settings::from_key_values;

fn settings() -> Settings {
    let pairs = [("lanes.count", "1"), ("limits.max_retry_after_s", "1")].into_iter().collect();
    from_key_values(pairs).expect("settings")
}

fn request(id: RequestId) -> RequestInfo {
    RequestInfo {
        id,
        class: 0,
        session: None,
        shared: None,
        shared_tokens: 0,
        prompt_tokens: 10,
        max_tokens: 10,
        hint: None,
        not_after: 9_000,
    }
}

#[test]
fn after_the_final_answer_no_other_is_given_and_nothing_is_sent() {
    let settings = settings();
    let endpoints = Endpoints::new(&settings);
    let rules = SendRules { classes: &settings.classes, endpoints: &endpoints };
    let mut requests = RequestTable::new(&settings);
    let mut step = Step { now: 1_000, ..Step::default() };
    let id = RequestId(1);
    requests.open(request(id), &mut step);
    step.events.clear();

    requests.reject(id, 5, &mut step);
    requests.fail(id, &mut step);
    requests.reject(id, 6, &mut step);
    requests.assign(id, ServerId(3), 100, rules, &mut step);

    assert_eq!(step.effects, [Effect::Reject { id, retry_in: 5 }]);
    let event = step.events.pop_front();
    let is_refused_send = matches!(
        event,
        Some(Event::AttemptFinished(AttemptFinished {
            outcome: Outcome::NotSent,
            completes_request: true,
            ..
        }))
    );
    assert!(is_refused_send, "{event:?}");
}

#[test]
fn servers_that_are_gone_from_the_list_are_forgotten() {
    let mut core = Core::new(settings(), 1, 1_000, 8);
    let entry = |server, health| ServerEntry {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(0),
        weight: 1.0,
        started: None,
        health,
        kind: 0,
    };
    for revision in 0..100 {
        let entries = vec![entry(revision + 1, Health::Ready), entry(revision, Health::Gone)];
        core.step(2_000, Input::EndpointsUpdated { kind: ListUpdateKind::Patch, entries });
    }
    assert_eq!(core.known_servers(), 1);
    let entries = vec![entry(7, Health::Ready), entry(8, Health::Terminating)];
    core.step(3_000, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    assert_eq!(core.known_servers(), 2);
}
