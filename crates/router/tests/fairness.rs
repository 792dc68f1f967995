//! Fairness of rejections: between long and short prompts, between sessions, and at dispatchers whose first attempts
//! all fail.

mod common;
mod fleet_model;

use std::collections::{BTreeMap, BTreeSet};

use common::SECOND as S;
use dewladder_router::interface::*;
use fleet_model::{Behavior, Model};

/// Time per prompt token of a warm server without queue, for reading the prompt and for fetching the state (us).
const READ_US_PER_TOKEN: f64 = 55.0;
const FETCH_US_PER_TOKEN: f64 = 4.0;

/// Settings for four dispatchers and up to three classes that differ in effect, latency objective and priority
/// weight.
fn settings(classes: u32) -> Settings {
    let mut settings = common::settings();
    settings.dispatcher_count = 4;
    let effects = [Effect::Idempotent, Effect::AtMostOnce, Effect::Deduplicated];
    settings.classes = (0..classes)
        .map(|at| {
            let mut class = common::class(effects[at as usize], DedupGroup::All);
            (class.latency_objective, class.default_timeout) = (1_200_000 + 400_000 * u64::from(at), 6 * S);
            class.priority_weight = 1.0 + f64::from(at);
            (at, class)
        })
        .collect();
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = 2_000_000);
    settings
}

/// Four dispatchers in front of six readers and six writers, with `mixed` also two mixed servers.
fn fleet(classes: u32, mixed: bool, seed: u64) -> Model {
    let mut model = Model::new(settings(classes), (0..4).map(|at| ZoneId(at % 2)).collect(), seed);
    let mut ids: Vec<(u32, u32)> = (0..6).map(|id| (id, 0)).chain((100..106).map(|id| (id, 1))).collect();
    if mixed {
        ids.extend([(200, 2), (201, 2)]);
    }
    for (id, kind) in ids {
        let (tokens, attempt) =
            if kind == 1 { (FETCH_US_PER_TOKEN, 15_000.0) } else { (READ_US_PER_TOKEN, 10_000.0) };
        model.add_server(common::entry(id, kind), tokens, attempt, 800_000);
    }
    model.send_list();
    model
}

/// Draws the length of a prompt, 400 to 16,000 tokens on a logarithmic scale, so that most prompts are short.
fn draw_prompt_tokens(model: &mut Model) -> u64 {
    (400.0 * libm::pow(40.0, model.unit_draw())) as u64
}

/// Mean time that a reader takes for a prompt of such a length (s).
const MEAN_READ_S: f64 = (400.0 * 39.0 / 3.689 * READ_US_PER_TOKEN + 10_000.0) / 1e6;

/// The share of a class's requests that were answered, and the same share of its longest prompts: the longest tenth,
/// or the longest quarter if the class has less than 400 requests.
fn answered_shares(model: &Model, class: u32) -> (f64, f64) {
    let mut all: Vec<_> = model.records.values().filter(|record| record.info.class == class).collect();
    all.sort_by_key(|record| std::cmp::Reverse(record.info.prompt_tokens));
    let longest = all.len() / if all.len() < 400 { 4 } else { 10 };
    let share = |records: &[&fleet_model::Record]| {
        records.iter().filter(|record| record.answered.is_some()).count() as f64 / records.len() as f64
    };
    (share(&all), share(&all[..longest]))
}

/// Simulates requests of two classes for 40 s, at a rate of `load` times the capacity of the readers.
fn run_at_load(load: f64, mixed: bool, seed: u64) -> Model {
    let mut model = fleet(2, mixed, seed);
    let end = model.now + 40 * S;
    let rate = load * 6.0 / MEAN_READ_S;
    let (mut at, mut id) = (model.now as f64, 0);
    while at < end as f64 {
        at += -libm::log(1.0 - model.unit_draw()) / rate * 1e6;
        model.run_until(at as Micros);
        id += 1;
        let (class, dispatcher) = (u32::from(model.unit_draw() < 0.3), (model.unit_draw() * 4.0) as usize);
        let (prompt_tokens, now) = (draw_prompt_tokens(&mut model), model.now);
        let info =
            RequestInfo { class, prompt_tokens, not_after: now + 6 * S, ..common::request_info(id, now) };
        model.send_request(dispatcher, info);
    }
    model.run_until(end + 10 * S);
    model
}

/// Admission and attempt timeouts depend on the length of the request's own prompt, so that long prompts are not
/// rejected or timed out much more often than short ones. The answered share of the longest prompts of a class must
/// be at least two thirds of the answered share of the class without overload, and half of it under overload.
#[test]
fn the_longest_prompts_are_answered_nearly_as_often_as_their_class() {
    for (load, min_ratio) in [(0.25, 2.0 / 3.0), (0.7, 2.0 / 3.0), (1.3, 0.5), (2.0, 0.5)] {
        for mixed in [false, true] {
            let model = run_at_load(load, mixed, 11);
            for class in 0..2 {
                let (all, longest) = answered_shares(&model, class);
                assert!(
                    longest >= min_ratio * all,
                    "load {load}, mixed {mixed}, class {class}: {longest} of the longest prompts, {all} of all answered"
                );
                assert!(
                    load > 0.5 || all > 0.97,
                    "load {load}, mixed {mixed}, class {class}: only {all} answered"
                );
            }
        }
    }
}

/// A faulty server: its id, how many times slower than usual it is, and what it does with attempts.
type Fault = (u32, f64, Behavior);

/// Simulates 200 sessions of four to seven turns, at a rate of `load` times the capacity of the readers. Returns for
/// each class: the share of sessions whose turns are all rejected, less the share expected if turns were rejected
/// independently; the share of rejected requests; and the number of sessions.
fn run_sessions(classes: u32, mixed: bool, load: f64, faults: &[Fault], seed: u64) -> Vec<(f64, f64, usize)> {
    let mut model = fleet(classes, mixed, seed);
    for &(id, slowdown, behavior) in faults {
        let server = model.servers.get_mut(&ServerId(id)).expect("a simulated server");
        (server.us_per_token, server.us_per_attempt, server.behavior) =
            (server.us_per_token * slowdown, server.us_per_attempt * slowdown, behavior);
    }
    let rate = load * 6.0 / MEAN_READ_S;
    let (count, start) = (200u64, model.now);
    // Arrival time and code of each turn. Codes are unique, and their last three digits are the session.
    let mut turns: BTreeSet<(Micros, u64)> = BTreeSet::new();
    let mut total = 0;
    for session in 0..count {
        let turn_count = 4 + session % 4;
        total += turn_count;
        for _ in 0..turn_count {
            turns.insert((0, total * 1_000 + session + turns.len() as u64 * 1_000_000));
        }
    }
    let duration_us = total as f64 / rate * 1e6;
    let turns: BTreeSet<(Micros, u64)> = turns
        .into_iter()
        .map(|(_, code)| (start + (model.unit_draw() * duration_us) as Micros, code % 1_000))
        .collect();
    let mut prompt_lengths: BTreeMap<u64, u64> = BTreeMap::new();
    for (id, (at, session)) in turns.into_iter().enumerate() {
        model.run_until(at);
        let first = draw_prompt_tokens(&mut model);
        let prompt_tokens =
            *prompt_lengths.entry(session).and_modify(|length| *length += 200).or_insert(first);
        let shared = session.is_multiple_of(3).then_some(Key(77 + session % 5));
        let shared_tokens = if shared.is_some() { prompt_tokens / 2 } else { 0 };
        let (class, session) =
            ((session % u64::from(classes)) as u32, Some(Key::from_text(&format!("s{session}"))));
        let not_after = at + 6 * S;
        let info = RequestInfo {
            class,
            session,
            shared,
            shared_tokens,
            prompt_tokens,
            not_after,
            ..common::request_info(id as u64 + 1, at)
        };
        let dispatcher = (model.unit_draw() * 4.0) as usize;
        model.send_request(dispatcher, info);
    }
    model.run_until(model.now + 10 * S);
    (0..classes)
        .map(|class| {
            // Rejected turns and all turns of each session.
            let mut rejected: BTreeMap<Key, (usize, usize)> = BTreeMap::new();
            for record in model.records.values().filter(|record| record.info.class == class) {
                let session_counts =
                    rejected.entry(record.info.session.expect("every request has a session")).or_default();
                session_counts.0 += usize::from(record.rejected);
                session_counts.1 += 1;
            }
            let (all, rejected_turns) =
                rejected.values().fold((0, 0), |sum, item| (sum.0 + item.1, sum.1 + item.0));
            let share = rejected_turns as f64 / all as f64;
            let expected_by_chance: f64 = rejected.values().map(|&(_, turns)| share.powi(turns as i32)).sum();
            let fully_rejected =
                rejected.values().filter(|(rejected, turns)| rejected == turns).count() as f64;
            ((fully_rejected - expected_by_chance) / rejected.len() as f64, share, rejected.len())
        })
        .collect()
}

/// A hash of the session or of the shared prefix selects servers. It must not decide which sessions are rejected time
/// after time: neither without overload, with all servers healthy, or with one or two readers, a writer or a mixed
/// server that are slow, hang or refuse connections; nor under overload. The share of sessions whose turns are all
/// rejected may exceed the one expected by chance by at most 0.12.
#[test]
fn no_set_of_sessions_is_rejected_persistently() {
    let fault_sets: [(f64, &[Fault]); 8] = [
        (0.5, &[]),
        (0.8, &[]),
        (1.6, &[]),
        (0.5, &[(2, 8.0, Behavior::Work)]),
        (0.5, &[(2, 1.0, Behavior::Hang), (4, 1.0, Behavior::Hang)]),
        (0.5, &[(1, 1.0, Behavior::Refuse), (2, 8.0, Behavior::Work)]),
        (0.5, &[(102, 1.0, Behavior::Hang)]),
        (0.5, &[(103, 1.0, Behavior::Refuse), (3, 1.0, Behavior::Hang)]),
    ];
    for (classes, mixed) in [(2, false), (2, true), (3, false), (3, true)] {
        for (load, faults) in fault_sets {
            // If there are mixed servers, one of them has the first fault too.
            let mut faults = faults.to_vec();
            faults.extend(
                faults.first().filter(|_| mixed).map(|&(_, slowdown, behavior)| (200, slowdown, behavior)),
            );
            let all = run_sessions(classes, mixed, load, &faults, 21);
            for (class, (excess, rejected, count)) in all.into_iter().enumerate() {
                let case =
                    format!("{classes} classes, mixed {mixed}, load {load}, {faults:?}, class {class}");
                assert!(count > 60 && excess <= 0.12, "{case}: an excess of {excess} over {count} sessions");
                assert!(
                    !faults.is_empty() || load > 1.0 || rejected < 0.02,
                    "{case}: a share of {rejected} was rejected below capacity"
                );
            }
        }
    }
}

/// A third of the servers of each role are faulty, and these are the first that a dispatcher sends attempts to after
/// its start, so that all its first attempts fail. It must not take the whole pool for faulty: in each window of 4 s
/// with at least 15 arrivals it must send an attempt, and it must answer more than half of all requests.
#[test]
fn a_dispatcher_whose_first_attempts_fail_keeps_sending_requests() {
    for (behavior, mixed, classes) in [
        (Behavior::Hang, false, 2),
        (Behavior::Refuse, false, 2),
        (Behavior::Hang, true, 3),
        (Behavior::Refuse, true, 3),
    ] {
        for (rate, dispatcher_count, seed) in
            [(4.0, 300, 1), (4.0, 300, 2), (8.0, 300, 3), (6.0, 4, 4), (12.0, 1, 5)]
        {
            let mut settings = settings(classes);
            settings.dispatcher_count = dispatcher_count;
            let mut model = Model::new(settings, vec![ZoneId(0)], seed);
            let mut ids: Vec<(u32, u32)> =
                (0..9).map(|id| (id, 0)).chain((100..109).map(|id| (id, 1))).collect();
            if mixed {
                ids.extend((200..203).map(|id| (id, 2)));
            }
            model.first_attempt_behavior = Some(behavior);
            let (readers, expected_faulty) = (9, 3);
            for (id, kind) in ids {
                let (tokens, attempt) =
                    if kind == 1 { (FETCH_US_PER_TOKEN, 15_000.0) } else { (READ_US_PER_TOKEN, 10_000.0) };
                model.add_server(common::entry(id, kind), tokens, attempt, 800_000);
            }
            model.send_list();
            let start = model.now;
            for id in 0..(30.0 * rate) as u64 {
                let at = start + (id as f64 / rate * 1e6) as Micros;
                model.run_until(at);
                let prompt_tokens = draw_prompt_tokens(&mut model);
                let class = (model.unit_draw() * f64::from(classes)) as u32;
                let session = Some(Key::from_text(&format!("s{}", id % 40)));
                let info = RequestInfo {
                    class,
                    session,
                    prompt_tokens,
                    not_after: at + 6 * S,
                    ..common::request_info(id + 1, at)
                };
                model.send_request(0, info);
            }
            model.run_until(model.now + 10 * S);
            let faulty_count = model
                .servers
                .values()
                .filter(|item| item.role == Role::Reader && item.behavior == behavior)
                .count();
            assert_eq!(faulty_count, expected_faulty, "a third of the {readers} readers must become faulty");
            let arrivals: Vec<Micros> = model.records.values().map(|record| record.at).collect();
            let answered = model.records.values().filter(|record| record.answered.is_some()).count();
            let mut idle_windows = Vec::new();
            for &from in arrivals.iter().filter(|&&from| from + 4 * S <= arrivals[arrivals.len() - 1]) {
                let is_in_window = |at: &&Micros| **at >= from && **at < from + 4 * S;
                let arrived = arrivals.iter().filter(is_in_window).count();
                let sent = model.sends.iter().any(|sent| is_in_window(&&sent.at));
                if arrived >= 15 && !sent {
                    idle_windows.push(from - start);
                }
            }
            assert!(
                idle_windows.is_empty(),
                "{behavior:?}, mixed {mixed}, rate {rate}: nothing sent in the 4 s from {idle_windows:?}"
            );
            assert!(
                2 * answered > arrivals.len(),
                "{behavior:?}, mixed {mixed}, rate {rate}: {answered} of {} answered",
                arrivals.len()
            );
        }
    }
}
