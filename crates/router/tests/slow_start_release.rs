//! What all dispatchers together send to a server in slow start while a release replaces one server after another, so
//! that few servers are warm. It is judged by the least capacity that the settings promise.

mod common;
mod fleet_model;

use common::SECOND as S;
use dewladder_router::interface::*;
use fleet_model::Model;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Time from the start of one server to the start of the next.
const RELEASE_INTERVAL: Micros = 2 * S;
/// Traffic during a burst, as a multiple of the usual traffic.
const BURST: f64 = 2.0;

/// Connections to servers in slow start come up only at multiples of this.
const LATE_CONNECTIONS: Micros = 240_000;
/// Seeds of the releases that are drawn at random.
const SEEDS: std::ops::RangeInclusive<u64> = 101..=116;
/// Time from the start of a server to the restart of a dispatcher.
const DISPATCHER_RESTART_DELAY: Micros = 400_000;
/// Prompt tokens of a request of each class.
const PROMPT_TOKENS: [u64; 2] = [600, 2_400];
/// Share of the requests that are of the class with the longer prompts.
const LONG_SHARE: f64 = 0.25;

/// A release, in a fleet with as many readers as writers.
#[derive(Clone, Copy, Debug)]
struct Release {
    dispatchers: usize,
    servers_per_role: u32,
    /// Attempts of mean work per second that a warm server can process.
    capacity: f64,
    /// Usual traffic, as a share of the capacity of all servers of a role.
    load: f64,
    slow_start_min_share: f64,
    /// Time between two restarts of a server that restarts again and again; `None` if there is none.
    restart_loop: Option<Micros>,
    /// Whether servers differ in size: the larger ones have 2.5 times the capacity of the smaller ones.
    sizes_differ: bool,
    /// Whether connections to servers that have just started come up late, all of them at the same moments.
    connections_are_late: bool,
    /// Whether one dispatcher after the other restarts without state, one with each start of a server.
    dispatchers_restart: bool,
    /// Whether no server stays warm: they all start within a few seconds.
    all_start: bool,
    seed: u64,
}

const RELEASE: Release = Release {
    dispatchers: 3,
    servers_per_role: 6,
    capacity: 12.0,
    load: 0.65,
    slow_start_min_share: 0.26,
    restart_loop: None,
    sizes_differ: false,
    connections_are_late: false,
    dispatchers_restart: false,
    all_start: false,
    seed: 1,
};

/// The busiest window of all servers in slow start, in requests of mean work, and the total that they were sent.
#[derive(Clone, Copy, Debug, Default)]
struct Judgement {
    sent: f64,
    limit: f64,
    /// Work sent to servers in slow start, for each second of slow start and as a share of what the rule allows.
    used_share: f64,
}

/// Mean prompt tokens of all requests.
fn mean_tokens() -> f64 {
    (1.0 - LONG_SHARE) * PROMPT_TOKENS[0] as f64 + LONG_SHARE * PROMPT_TOKENS[1] as f64
}

/// The work of a request of a class, as a multiple of the mean work.
fn work(class: u32) -> f64 {
    PROMPT_TOKENS[class as usize] as f64 / mean_tokens()
}

fn fleet(release: Release) -> Model {
    let mut settings = common::settings();
    settings.dispatcher_count = release.dispatchers as u32;
    settings.classes.retain(|&class, _| class < 2);
    for class in settings.classes.values_mut() {
        class.effect = Effect::Idempotent;
    }
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = 10_000_000);
    (settings.slow_start_min_share, settings.slow_start_window) = (release.slow_start_min_share, 14 * S);
    (settings.overload_multiple, settings.overload_window) = (2.5, S);
    let zones = (0..release.dispatchers).map(|at| ZoneId(at as u32 % 3)).collect();
    let mut model = Model::new(settings, zones, release.seed);
    model.warms_gradually = false;
    model.late_connections = release.connections_are_late.then_some(LATE_CONNECTIONS);
    for (first, kind) in [(0, 0), (1_000, 1)] {
        for at in 0..release.servers_per_role {
            let (zone, cell) = (ZoneId(at % 3), CellId(at % 3));
            let weight = if release.sizes_differ && at % 2 == 1 { 0.4 } else { 1.0 };
            let entry = ServerEntry { zone, cell, weight, ..common::entry(first + at, kind) };
            model.add_server(entry, 1e6 / release.capacity / weight / mean_tokens(), 0.0, 600_000);
        }
    }
    model.send_list();
    model
}

/// The starts of servers, by time: one reader and one writer after the other, but for the last of each role, and one
/// reader that restarts all the time.
fn starts(release: Release, from: Micros) -> Vec<(Micros, ServerId)> {
    let mut starts = Vec::new();
    let (first, interval) = if release.all_start { (0, S / 2) } else { (1, RELEASE_INTERVAL) };
    for at in first..release.servers_per_role {
        let time = from + Micros::from(at) * interval;
        starts.extend([(time, ServerId(at)), (time + interval / 2, ServerId(1_000 + at))]);
    }
    if let Some(interval) = release.restart_loop {
        starts.extend((0..8).map(|at| (from + at * interval, ServerId(0))));
    }
    starts.sort_unstable();
    starts
}

/// What happens in a release besides the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    StartServer(ServerId),
    RestartDispatcher(usize),
}

/// The starts of servers and the restarts of dispatchers, by time.
fn steps(release: Release, starts: &[(Micros, ServerId)]) -> Vec<(Micros, Step)> {
    let mut steps: Vec<(Micros, Step)> =
        starts.iter().map(|&(time, server)| (time, Step::StartServer(server))).collect();
    if release.dispatchers_restart {
        steps.extend(starts.iter().enumerate().map(|(at, &(time, _))| {
            (time + DISPATCHER_RESTART_DELAY, Step::RestartDispatcher(at % release.dispatchers))
        }));
    }
    steps.sort_unstable();
    steps
}

/// A request of a session whose requests are all of one class, as the shared prefix is.
fn request(model: &mut Model, id: u64) -> RequestInfo {
    let class = u32::from(model.unit_draw() < LONG_SHARE);
    let session = 1_000 * u64::from(class) + model.rng.next_u64() % 400;
    let shared = (!session.is_multiple_of(4)).then_some(Key(9_000 + 100 * u64::from(class) + session % 7));
    let shared_tokens = if shared.is_some() { 300 } else { 0 };
    let prompt_tokens = PROMPT_TOKENS[class as usize];
    RequestInfo {
        class,
        session: Some(Key(session)),
        shared,
        shared_tokens,
        prompt_tokens,
        max_tokens: prompt_tokens / 2,
        ..common::request_info(id, model.now)
    }
}

/// Runs the traffic of a release, with a burst in every fourth second.
fn run(model: &mut Model, release: Release, starts: &[(Micros, ServerId)], end: Micros) {
    let usual = release.load * release.capacity * f64::from(release.servers_per_role);
    let (mut at, mut id) = (model.now as f64, 0);
    let mut steps = steps(release, starts).into_iter().peekable();
    while (at as Micros) < end {
        let rate = usual * if (at as Micros / S).is_multiple_of(4) { BURST } else { 1.0 };
        at += (0.5 + model.unit_draw()) / rate * 1e6;
        while let Some((time, step)) = steps.next_if(|(time, _)| *time <= at as Micros) {
            model.run_until(time);
            match step {
                Step::StartServer(server) => model.restart_server(server),
                Step::RestartDispatcher(dispatcher) => model.restart_dispatcher(dispatcher),
            }
        }
        model.run_until(at as Micros);
        id += 1;
        let info = request(model, id);
        let dispatcher = (model.unit_draw() * release.dispatchers as f64) as usize;
        model.send_request(dispatcher, info);
    }
}

/// The number of requests above which the platform counts a server in slow start as overloaded, where `allowed` is what
/// it can take in a window.
fn overload_limit(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    allowed + if allowed < 30.0 { 3.0 * root + 3.0 } else { 2.0 * root + 2.0 }
}

/// Plays a release and judges it by what arrived at each server in slow start, in any window.
fn judge(release: Release) -> Judgement {
    let mut model = fleet(release);
    let from = model.now + 20 * S;
    let starts = starts(release, from);
    let end = starts.last().map_or(from, |(time, _)| *time) + 14 * S;
    run(&mut model, release, &starts, end);
    let settings = &model.settings;
    let per_second = settings.overload_multiple * release.slow_start_min_share * release.capacity;
    let mut judgement = Judgement::default();
    let (mut sent, mut allowed_in_all) = (0.0, 0.0);
    for (at, &(start, server)) in starts.iter().enumerate() {
        let restarts = starts[at + 1..].iter().find(|(_, other)| *other == server).map(|(time, _)| *time);
        let until = (start + settings.slow_start_window).min(restarts.unwrap_or(Micros::MAX));
        let mut arrivals: Vec<(Micros, f64)> = model
            .arrivals(server)
            .filter(|(arrival, _)| (start..until).contains(arrival))
            .map(|(arrival, class)| (arrival, work(class)))
            .collect();
        arrivals.sort_by_key(|(arrival, _)| *arrival);
        sent += arrivals.iter().map(|(_, work)| work).sum::<f64>();
        let per_second = per_second * model.servers[&server].entry.weight;
        allowed_in_all += per_second * (until - start) as f64 / 1e6;
        let limit = overload_limit(per_second * settings.overload_window as f64 / 1e6);
        for (at, &(first, _)) in arrivals.iter().enumerate() {
            let end = first + settings.overload_window;
            let in_window = arrivals[at..].iter().take_while(|(later, _)| *later < end);
            let sent: f64 = in_window.map(|(_, work)| work).sum();
            if sent * judgement.limit > judgement.sent * limit || judgement.limit == 0.0 {
                (judgement.sent, judgement.limit) = (sent, limit);
            }
        }
    }
    judgement.used_share = sent / allowed_in_all;
    judgement
}

fn assert_within_limit(release: Release) {
    let judgement = judge(release);
    assert!(judgement.sent > 0.0, "no server in slow start was sent a request: {release:?}");
    assert!(judgement.sent <= judgement.limit, "{release:?} {judgement:?}");
}

#[test]
fn a_release_that_leaves_few_servers_warm_does_not_overload_those_that_start() {
    for (dispatchers, capacity, seed) in
        [(1, 12.0, 1), (3, 12.0, 2), (3, 40.0, 3), (4, 25.0, 4), (12, 40.0, 5), (30, 25.0, 6), (30, 80.0, 7)]
    {
        assert_within_limit(Release { dispatchers, capacity, seed, ..RELEASE });
    }
}

#[test]
fn a_release_in_an_overload_does_not_overload_servers_that_start() {
    for (dispatchers, load, seed) in [(1, 0.95, 11), (3, 0.95, 12), (3, 1.3, 13), (30, 0.95, 14)] {
        assert_within_limit(Release { dispatchers, load, capacity: 30.0, seed, ..RELEASE });
    }
}

/// While no server is warm, nothing but the traffic itself shows what servers can take, and most of it is repeats.
#[test]
fn servers_that_all_start_under_four_times_their_load_are_not_overloaded() {
    for (dispatchers, capacity, seed) in [(1, 100.0, 901), (3, 12.0, 901), (30, 12.0, 901)] {
        assert_within_limit(Release { dispatchers, capacity, load: 4.0, all_start: true, seed, ..RELEASE });
    }
}

#[test]
fn a_server_that_starts_again_and_again_is_not_overloaded() {
    for (dispatchers, interval, seed) in
        [(1, 3_400_000, 21), (3, 3_400_000, 22), (3, 600_000, 23), (30, 900_000, 24)]
    {
        let restart_loop = Some(interval);
        assert_within_limit(Release { dispatchers, restart_loop, capacity: 30.0, seed, ..RELEASE });
    }
}

#[test]
fn servers_with_a_colder_start_are_not_overloaded_in_a_release() {
    for (dispatchers, capacity, seed) in [(1, 30.0, 31), (3, 60.0, 32), (25, 60.0, 33)] {
        assert_within_limit(Release { dispatchers, capacity, slow_start_min_share: 0.1, seed, ..RELEASE });
    }
}

/// Connections that come up late bring together at the server what was decided at different times.
#[test]
fn connections_that_come_up_late_do_not_overload_servers_that_start() {
    for (dispatchers, slow_start_min_share, restart_loop, seed) in
        [(1, 0.26, None, 41), (3, 0.1, None, 115), (3, 0.26, None, 42), (30, 0.1, Some(700_000), 104)]
    {
        let connections_are_late = true;
        assert_within_limit(Release {
            dispatchers,
            slow_start_min_share,
            restart_loop,
            connections_are_late,
            capacity: 30.0,
            seed,
            ..RELEASE
        });
    }
}

/// A small server takes less than the warm ones from which its capacity is estimated.
#[test]
fn small_servers_are_not_overloaded_as_they_start() {
    for (dispatchers, capacity, load, slow_start_min_share, seed) in [
        (1, 100.0, 0.95, 0.1, 169),
        (3, 100.0, 0.95, 0.1, 132),
        (3, 30.0, 0.65, 0.26, 51),
        (30, 12.0, 0.95, 0.26, 153),
        (30, 100.0, 0.65, 0.26, 191),
    ] {
        assert_within_limit(Release {
            dispatchers,
            capacity,
            load,
            slow_start_min_share,
            sizes_differ: true,
            seed,
            ..RELEASE
        });
    }
}

/// Draws a release in which several of its troubles may come together.
fn draw(seed: u64) -> Release {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw_below = |count: u64| (rng.next_u64() % count) as usize;
    Release {
        dispatchers: [1, 2, 3, 3, 4, 12, 30][draw_below(7)],
        servers_per_role: 6,
        capacity: [6.0, 12.0, 30.0, 100.0][draw_below(4)],
        load: [0.65, 0.95][draw_below(2)],
        slow_start_min_share: [0.26, 0.26, 0.1][draw_below(3)],
        restart_loop: [None, Some(700_000), Some(3_400_000)][draw_below(3)],
        sizes_differ: draw_below(3) == 0,
        connections_are_late: draw_below(3) == 0,
        dispatchers_restart: draw_below(4) == 0,
        all_start: draw_below(5) == 0,
        seed,
    }
}

#[test]
fn servers_that_start_in_releases_with_several_troubles_are_not_overloaded() {
    for seed in SEEDS {
        assert_within_limit(draw(seed));
    }
}
