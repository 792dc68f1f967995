//! The total that many dispatchers send to a server in slow start, where each of them has only a budget of its own.

mod common;
mod fleet_model;

use common::SECOND as S;
use dewladder_router::interface::*;
use fleet_model::Model;
use rand_core::{RngCore as _, SeedableRng as _};

/// Parameters of a simulated run.
#[derive(Clone, Copy, Debug)]
struct Sample {
    dispatchers: usize,
    readers: u32,
    writers: u32,
    /// Attempts per second that a warm server can process.
    capacity: f64,
    /// Usual traffic, as a share of the capacity of all servers of a role.
    load: f64,
    /// How long all dispatchers have run before the servers restart (us).
    warmup: Micros,
    /// Probability that a server restarts, which begins its slow start.
    restarting: f64,
    /// Probability that a dispatcher restarts without state, 0.3 s before the servers do.
    dispatcher_restarts: f64,
    seed: u64,
}

/// Of all windows at all servers in slow start, the one with the most sends relative to its limit, and totals over
/// all of them.
#[derive(Clone, Copy, Debug, Default)]
struct WorstWindow {
    /// Sends in that window.
    sent: f64,
    /// Requests that the server can take in that window, N.
    allowed: f64,
    /// N + 2 x root of N + 2. The terms after N allow for chance.
    limit: f64,
    /// Number of windows with more sends than their limit.
    windows_over_limit: usize,
    /// Number of servers in slow start.
    server_count: usize,
    /// Sends to servers in slow start.
    sends: usize,
}

/// The zone of number `at` of `of` dispatchers or servers. Zones are uneven: half of them are in the first, and a
/// quarter in each of the other two.
fn zone(at: usize, of: usize) -> ZoneId {
    ZoneId(if 2 * at < of { 0 } else { 1 + u32::from(4 * at >= 3 * of) })
}

fn settings(sample: Sample) -> Settings {
    let mut settings = common::settings();
    settings.dispatcher_count = sample.dispatchers as u32;
    settings.classes.retain(|&class, _| class == 0);
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = 10_000_000);
    (settings.slow_start_min_share, settings.slow_start_window) = (0.26, 10 * S);
    (settings.overload_multiple, settings.overload_window) = (2.5, S);
    settings
}

fn fleet(sample: Sample) -> Model {
    let zones = (0..sample.dispatchers).map(|at| zone(at, sample.dispatchers)).collect();
    let mut model = Model::new(settings(sample), zones, sample.seed);
    model.sweep = if sample.dispatchers > 20 { 400_000 } else { 80_000 };
    let us_per_attempt = 1e6 / sample.capacity;
    for (first, count, kind) in [(0, sample.readers, 0), (1_000, sample.writers, 1)] {
        for at in 0..count {
            let place = zone((at * 7 % count) as usize, count as usize);
            let (zone, cell) = (place, CellId(place.0));
            let entry = ServerEntry { zone, cell, ..common::entry(first + at, kind) };
            model.add_server(entry, 0.0, us_per_attempt, 600_000);
        }
    }
    model.send_list();
    model
}

/// Draws the dispatcher that gets a request. One dispatcher in ten gets four times as many as each of the others.
fn random_dispatcher(model: &mut Model, sample: Sample) -> usize {
    let weights: Vec<f64> = (0..sample.dispatchers).map(|at| if at % 10 == 3 { 4.0 } else { 1.0 }).collect();
    let mut remaining = model.unit_draw() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    found.unwrap_or(0)
}

fn restart_dispatchers(model: &mut Model, sample: Sample) {
    for dispatcher in 0..sample.dispatchers {
        if model.unit_draw() < sample.dispatcher_restarts {
            model.restart_dispatcher(dispatcher);
        }
    }
}

/// Restarts servers at random, and returns them.
fn restart_servers(model: &mut Model, sample: Sample) -> Vec<ServerId> {
    let mut restarted = Vec::new();
    for server in model.servers.keys().copied().collect::<Vec<_>>() {
        if model.unit_draw() < sample.restarting {
            restarted.push(server);
            model.restart_server(server);
        }
    }
    restarted
}

fn request(model: &mut Model, id: u64) -> RequestInfo {
    let session = model.rng.next_u64() % 400;
    let shared = (!session.is_multiple_of(4)).then(|| Key(9_000 + session % 13));
    let (shared_tokens, session) = (if shared.is_some() { 500 } else { 0 }, Some(Key(session)));
    RequestInfo { session, shared, shared_tokens, ..common::request_info(id, model.now) }
}

/// Simulates usual traffic, and from 1 s before `restart_at`, when servers restart, a burst. Returns the servers that
/// have restarted.
fn run_traffic(model: &mut Model, sample: Sample, restart_at: Micros) -> Vec<ServerId> {
    let usual_rate = sample.load * sample.capacity * f64::from(sample.readers.min(sample.writers));
    let end = restart_at + 5 * S;
    let (mut id, mut restarted) = (0u64, None);
    let mut dispatchers_restarted = false;
    let mut at = model.now as f64;
    loop {
        // During the burst, traffic is 1.5 times as high as usual.
        let in_burst = at as Micros + S > restart_at;
        let rate = usual_rate * if in_burst { 1.5 } else { 1.0 };
        at += -libm::log(1.0 - model.unit_draw()) / rate * 1e6;
        let now = at as Micros;
        if now > end {
            return restarted.unwrap_or_default();
        }
        if !dispatchers_restarted && now + 300_000 > restart_at {
            dispatchers_restarted = true;
            model.run_until(restart_at - 300_000);
            restart_dispatchers(model, sample);
        }
        if restarted.is_none() && now > restart_at {
            model.run_until(restart_at);
            restarted = Some(restart_servers(model, sample));
        }
        model.run_until(now);
        let dispatcher = random_dispatcher(model, sample);
        id += 1;
        let info = request(model, id);
        model.send_request(dispatcher, info);
    }
}

/// Runs a simulation, and returns the worst window of all servers in slow start.
fn find_worst_window(sample: Sample) -> WorstWindow {
    let mut model = fleet(sample);
    let restart_at = model.now + sample.warmup;
    let restarting = run_traffic(&mut model, sample, restart_at);
    let mut worst = WorstWindow { server_count: restarting.len(), limit: 1.0, ..WorstWindow::default() };
    for server in restarting {
        let times: Vec<Micros> = model
            .sends
            .iter()
            .filter(|sent| sent.server == server && sent.at >= restart_at)
            .map(|sent| sent.at)
            .collect();
        worst.sends += times.len();
        for (at, &first) in times.iter().enumerate() {
            let window = model.settings.overload_window;
            let sent = times[at..].iter().take_while(|&&later| later < first + window).count() as f64;
            let share = model.share(&model.servers[&server], first);
            let allowed = model.settings.overload_multiple * share * sample.capacity * window as f64 / 1e6;
            let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
            worst.windows_over_limit += usize::from(sent > limit);
            if sent / limit > worst.sent / worst.limit {
                (worst.sent, worst.allowed, worst.limit) = (sent, allowed, limit);
            }
        }
    }
    worst
}

/// Asserts that in a run no window exceeds its limit, and that servers in slow start get some requests.
fn assert_within_limit(sample: Sample) {
    let worst = find_worst_window(sample);
    assert!(
        worst.server_count > 0 && worst.sends > 0,
        "no server in slow start was sent a request: {sample:?} {worst:?}"
    );
    assert_eq!(worst.windows_over_limit, 0, "rule 4: {sample:?} {worst:?}");
}

/// In fleets of random sizes, several readers and writers begin slow start at once during a burst, and some
/// dispatchers have restarted without state just before. In no window may the dispatchers together send more than
/// N + 2 x root of N + 2 attempts to one of those servers, where N is what the server can take.
#[test]
fn all_dispatchers_together_do_not_overload_a_server_in_slow_start() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(20_261_203);
    for seed in 0..8 {
        let mut sample =
            |from: f64, to: f64| from + (to - from) * f64::from(rng.next_u32()) / f64::from(u32::MAX);
        let dispatchers = sample(4.0, 60.0) as usize;
        let readers = sample(6.0, 12.0) as u32;
        assert_within_limit(Sample {
            dispatchers,
            readers,
            writers: readers,
            capacity: sample(3.0, 24.0),
            load: sample(0.55, 0.9),
            warmup: sample(6.0, 12.0) as u64 * S,
            restarting: sample(0.3, 0.9),
            dispatcher_restarts: sample(0.0, 0.8),
            seed,
        });
    }
}

/// The budget of each of 60 dispatchers is far below one request. All of them have restarted, so they do not know
/// what they sent before, and each might send one request to each server in slow start at once.
#[test]
fn budgets_below_one_request_per_dispatcher_do_not_add_up_to_overload() {
    for (capacity, restarting) in [(4.0, 0.25), (20.0, 0.25), (20.0, 1.0)] {
        let warmup = 8 * S;
        assert_within_limit(Sample {
            dispatchers: 60,
            readers: 8,
            writers: 8,
            capacity,
            load: 0.9,
            warmup,
            restarting,
            dispatcher_restarts: 1.0,
            seed: 5,
        });
    }
}

/// About as many servers as one zone has are in slow start, in front of them 300 dispatchers, of which seven in ten
/// have restarted without state.
#[test]
fn three_hundred_dispatchers_do_not_overload_servers_in_slow_start() {
    let (warmup, restarting, dispatcher_restarts) = (8 * S, 0.4, 0.7);
    assert_within_limit(Sample {
        dispatchers: 300,
        readers: 10,
        writers: 10,
        capacity: 20.0,
        load: 0.9,
        warmup,
        restarting,
        dispatcher_restarts,
        seed: 9,
    });
}

/// The number of requests above which the platform counts a server in slow start as overloaded, where N is the number
/// of allowed requests: N + 2 x root of N + 2, and N + 3 x root of N + 3 for N below 30.
fn standing_test_limit(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    allowed + if allowed < 30.0 { 3.0 * root + 3.0 } else { 2.0 * root + 2.0 }
}

/// The budget also limits few dispatchers, each of which has a large part of all requests: one to three of them, with
/// and without a restart that loses their state, before most servers begin slow start during a burst.
#[test]
fn one_to_three_dispatchers_do_not_overload_servers_in_slow_start() {
    for (dispatchers, capacity, seed) in [(1, 6.0, 1), (1, 40.0, 2), (2, 12.0, 3), (2, 60.0, 4), (3, 20.0, 5)]
    {
        for dispatcher_restarts in [0.0, 1.0] {
            let sample = Sample {
                dispatchers,
                readers: 8,
                writers: 8,
                capacity,
                load: 0.9,
                warmup: 8 * S,
                restarting: 0.6,
                dispatcher_restarts,
                seed,
            };
            let worst = find_worst_window(sample);
            assert!(
                worst.server_count > 0 && worst.sends > 0,
                "no server in slow start was sent a request: {sample:?} {worst:?}"
            );
            let limit = standing_test_limit(worst.allowed);
            assert!(worst.sent <= limit, "{} of {limit}: {sample:?} {worst:?}", worst.sent);
            assert_eq!(worst.windows_over_limit, 0, "{sample:?} {worst:?}");
        }
    }
}
