//! What several dispatchers decide over minutes, held against what the program decided when this was recorded: the
//! choices, their order, the random draws behind them, and what is learnt on the way, to the last bit. A change of the
//! code that is to decide alike leaves these numbers; one that is to decide otherwise records them anew and says so.

mod common;
mod fleet_model;

use common::decision_hash::DecisionHash;
use common::SECOND as S;
use dewladder_router::interface::*;
use fleet_model::{Behavior, Model};

/// Time to read a token when nothing hinders, and to fetch one (us).
const READ: f64 = 55.0;
const FETCH: f64 = 4.0;

/// What a scenario varies.
#[derive(Clone, Copy)]
struct Scenario {
    seed: u64,
    dispatchers: u32,
    readers: u32,
    writers: u32,
    mixed: u32,
    /// Requests a second.
    rate: f64,
    peers: bool,
    memory_tokens: u64,
    first_attempt_behavior: Option<Behavior>,
}

const QUIET: Scenario = Scenario {
    seed: 5,
    dispatchers: 4,
    readers: 6,
    writers: 6,
    mixed: 0,
    rate: 12.0,
    peers: false,
    memory_tokens: 2_000_000,
    first_attempt_behavior: None,
};

fn settings(of: Scenario) -> Settings {
    let mut settings = common::settings();
    settings.dispatcher_count = of.dispatchers;
    settings.peers = of.peers;
    settings.must_subscribe = of.seed.is_multiple_of(2);
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = of.memory_tokens);
    for (at, class) in &mut settings.classes {
        (class.latency_objective, class.priority_weight) =
            (600_000 + 400_000 * u64::from(*at), 1.0 + f64::from(*at));
    }
    settings
}

fn fleet(of: Scenario) -> Model {
    let zones = (0..of.dispatchers).map(|at| ZoneId(at % 2)).collect();
    let mut model = Model::new(settings(of), zones, of.seed);
    model.first_attempt_behavior = of.first_attempt_behavior;
    let servers = [(0, of.readers, 0), (100, of.writers, 1), (200, of.mixed, 2)];
    for (first, count, kind) in servers {
        for id in first..first + count {
            let mut entry = common::entry(id, kind);
            // Racks are uneven: the cells of one zone have more readers than writers.
            entry.cell = CellId(id % 2 + 2 * u32::from(id.is_multiple_of(5)));
            let slower = if id % 7 == 3 { 3.0 } else { 1.0 };
            let (tokens, attempt) = if kind == 1 { (FETCH, 15_000.0) } else { (READ, 10_000.0) };
            model.add_server(entry, tokens * slower, attempt, 800_000);
        }
    }
    model.send_list();
    model
}

/// Turns of sessions, some of which share a beginning, for 30 s; a server restarts, and a dispatcher forgets all.
fn decided(of: Scenario) -> u64 {
    let mut model = fleet(of);
    let end = model.now + 30 * S;
    let (mut at, mut id) = (model.now as f64, 0);
    while at < end as f64 {
        at += (0.5 + model.unit_draw()) / of.rate * 1e6;
        model.run_until(at as Micros);
        id += 1;
        let count = of.rate as u64;
        if id == 6 * count {
            model.restart_server(ServerId(1));
            model.restart_server(ServerId(101));
        }
        if id == 12 * count {
            model.restart_dispatcher(0);
        }
        let dispatcher = (model.unit_draw() * f64::from(of.dispatchers)) as usize;
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
        model.ask(dispatcher, info);
    }
    model.run_until(end + 8 * S);
    let mut decisions: DecisionHash = model.decisions.clone();
    for dispatcher in 0..model.dispatchers() {
        decisions.bytes(model.exported_state_json(dispatcher).as_bytes());
    }
    decisions.value()
}

#[test]
fn a_quiet_fleet_with_uneven_cells_is_decided_as_recorded() {
    let alone = Scenario { seed: 6, dispatchers: 1, readers: 12, rate: 20.0, ..QUIET };
    assert_eq!([QUIET, alone].map(decided), [13061609516109549640, 12979203479735165398]);
}

#[test]
fn a_fleet_with_mixed_servers_and_load_gossip_is_decided_as_recorded() {
    let few = Scenario { seed: 7, mixed: 3, peers: true, rate: 18.0, ..QUIET };
    let many = Scenario { seed: 12, mixed: 5, peers: true, rate: 40.0, dispatchers: 9, ..QUIET };
    assert_eq!([few, many].map(decided), [14935165344270321566, 17295061041118924749]);
}

#[test]
fn an_overloaded_fleet_is_decided_as_recorded() {
    let gossiping = Scenario { seed: 8, rate: 60.0, peers: true, ..QUIET };
    let short_of_memory = Scenario { seed: 9, mixed: 2, rate: 45.0, memory_tokens: 60_000, ..QUIET };
    assert_eq!([gossiping, short_of_memory].map(decided), [11998165558320622439, 2053805146596653708]);
}

#[test]
fn a_fleet_where_servers_hang_or_refuse_is_decided_as_recorded() {
    let hang = Scenario {
        seed: 10,
        readers: 9,
        writers: 9,
        rate: 25.0,
        first_attempt_behavior: Some(Behavior::Hang),
        ..QUIET
    };
    let refuse = Scenario { seed: 11, first_attempt_behavior: Some(Behavior::Refuse), ..hang };
    assert_eq!([hang, refuse].map(decided), [12542187064425795264, 921226354763836565]);
}
