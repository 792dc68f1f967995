//! Compares the decisions of several dispatchers in simulated runs with recorded ones, by a hash of all actions,
//! their order, the random draws that they depend on, and the learnt state. A change that must not affect decisions
//! leaves the recorded hashes as they are; a change that is meant to affect them records new hashes and says so in
//! its commit.

mod common;
mod fleet_model;

use common::decision_hash::DecisionHash;
use common::SECOND as S;
use dewladder_router::interface::*;
use fleet_model::{Behavior, Model};

/// Time per prompt token of a warm server without queue, for reading the prompt and for fetching the state (us).
const READ_US_PER_TOKEN: f64 = 55.0;
const FETCH_US_PER_TOKEN: f64 = 4.0;

/// Parameters of a simulated run.
#[derive(Clone, Copy)]
struct Scenario {
    seed: u64,
    dispatchers: u32,
    readers: u32,
    writers: u32,
    mixed: u32,
    /// Requests per second, over all dispatchers.
    rate: f64,
    /// Whether the dispatchers exchange load gossip.
    gossip_allowed: bool,
    /// Memory of each server, in tokens.
    memory_tokens: u64,
    /// See [`Model::first_attempt_behavior`].
    first_attempt_behavior: Option<Behavior>,
}

const LIGHT_LOAD: Scenario = Scenario {
    seed: 5,
    dispatchers: 4,
    readers: 6,
    writers: 6,
    mixed: 0,
    rate: 12.0,
    gossip_allowed: false,
    memory_tokens: 2_000_000,
    first_attempt_behavior: None,
};

fn settings(scenario: Scenario) -> Settings {
    let mut settings = common::settings();
    settings.dispatcher_count = scenario.dispatchers;
    settings.gossip_allowed = scenario.gossip_allowed;
    settings.must_subscribe = scenario.seed.is_multiple_of(2);
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = scenario.memory_tokens);
    for (at, class) in &mut settings.classes {
        (class.latency_objective, class.priority_weight) =
            (600_000 + 400_000 * u64::from(*at), 1.0 + f64::from(*at));
    }
    settings
}

fn fleet(scenario: Scenario) -> Model {
    let zones = (0..scenario.dispatchers).map(|at| ZoneId(at % 2)).collect();
    let mut model = Model::new(settings(scenario), zones, scenario.seed);
    model.first_attempt_behavior = scenario.first_attempt_behavior;
    let servers = [(0, scenario.readers, 0), (100, scenario.writers, 1), (200, scenario.mixed, 2)];
    for (first, requests_per_second, kind) in servers {
        for id in first..first + requests_per_second {
            let mut entry = common::entry(id, kind);
            // Every fifth server is in the second cell of its zone. So cells differ in size, and in the scenario with
            // 12 readers also in their ratio of readers to writers.
            entry.cell = CellId(id % 2 + 2 * u32::from(id.is_multiple_of(5)));
            let slowdown = if id % 7 == 3 { 3.0 } else { 1.0 };
            let (tokens, attempt) =
                if kind == 1 { (FETCH_US_PER_TOKEN, 15_000.0) } else { (READ_US_PER_TOKEN, 10_000.0) };
            model.add_server(entry, tokens * slowdown, attempt, 800_000);
        }
    }
    model.send_list();
    model
}

/// Simulates turns of 40 sessions, some of which have a shared prefix, for 30 s, and returns the hash of all
/// decisions and of the learnt state. A reader and a writer restart after 6 s; a dispatcher restarts without state
/// after 12 s.
fn decision_hash(scenario: Scenario) -> u64 {
    let mut model = fleet(scenario);
    let end = model.now + 30 * S;
    let (mut at, mut id) = (model.now as f64, 0);
    while at < end as f64 {
        at += (0.5 + model.unit_draw()) / scenario.rate * 1e6;
        model.run_until(at as Micros);
        id += 1;
        let requests_per_second = scenario.rate as u64;
        if id == 6 * requests_per_second {
            model.restart_server(ServerId(1));
            model.restart_server(ServerId(101));
        }
        if id == 12 * requests_per_second {
            model.restart_dispatcher(0);
        }
        let dispatcher = (model.unit_draw() * f64::from(scenario.dispatchers)) as usize;
        let (session, class) = ((model.unit_draw() * 40.0) as u64, (model.unit_draw() * 4.0) as u32);
        let prompt_tokens = 400 + (model.unit_draw() * 9_000.0) as u64;
        let info = RequestInfo {
            class,
            session: Some(Key(session)),
            shared: (!session.is_multiple_of(3)).then_some(Key(900 + session % 4)),
            shared_tokens: 1_200,
            prompt_tokens,
            ..common::request_info(id, model.now)
        };
        model.send_request(dispatcher, info);
    }
    model.run_until(end + 8 * S);
    let mut decisions: DecisionHash = model.decisions.clone();
    for dispatcher in 0..model.dispatchers() {
        decisions.bytes(model.exported_state_json(dispatcher).as_bytes());
    }
    decisions.value()
}

#[test]
fn decisions_match_the_recorded_ones_under_light_load_with_uneven_cells() {
    let one_dispatcher = Scenario { seed: 6, dispatchers: 1, readers: 12, rate: 20.0, ..LIGHT_LOAD };
    assert_eq!([LIGHT_LOAD, one_dispatcher].map(decision_hash), [17200893756460591046, 3543121332030154015]);
}

#[test]
fn decisions_match_the_recorded_ones_with_mixed_servers_and_load_gossip() {
    let few_dispatchers = Scenario { seed: 7, mixed: 3, gossip_allowed: true, rate: 18.0, ..LIGHT_LOAD };
    let many_dispatchers =
        Scenario { seed: 12, mixed: 5, gossip_allowed: true, rate: 40.0, dispatchers: 9, ..LIGHT_LOAD };
    assert_eq!(
        [few_dispatchers, many_dispatchers].map(decision_hash),
        [15074930988607285012, 5924030167986612116]
    );
}

#[test]
fn decisions_match_the_recorded_ones_under_overload() {
    let with_gossip = Scenario { seed: 8, rate: 60.0, gossip_allowed: true, ..LIGHT_LOAD };
    let short_of_memory = Scenario { seed: 9, mixed: 2, rate: 45.0, memory_tokens: 60_000, ..LIGHT_LOAD };
    assert_eq!(
        [with_gossip, short_of_memory].map(decision_hash),
        [6890690614051037279, 16783956272274648430]
    );
}

#[test]
fn decisions_match_the_recorded_ones_where_servers_hang_or_refuse_connections() {
    let hanging = Scenario {
        seed: 10,
        readers: 9,
        writers: 9,
        rate: 25.0,
        first_attempt_behavior: Some(Behavior::Hang),
        ..LIGHT_LOAD
    };
    let refusing = Scenario { seed: 11, first_attempt_behavior: Some(Behavior::Refuse), ..hanging };
    assert_eq!([hanging, refusing].map(decision_hash), [9920484971792740761, 14090248156880065715]);
}
