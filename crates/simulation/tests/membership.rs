//! How membership handles deaths, pauses, one-way failures, message loss and partitions, in virtual time, each over
//! many seeds. The probe interval is 1 s, so that times in
//! seconds are times in probe intervals.

use dewladder_membership::{MemberState, Micros, Settings};
use dewladder_simulation::{Simulation, SECOND};

/// A probe each second, and anti-entropy every 5 s.
fn settings() -> Settings {
    Settings { sync_interval: 5 * SECOND, ..Settings::default() }
}

/// A cluster in which all instances record each other as alive.
fn formed_cluster(count: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(count, settings(), seed);
    assert!(
        simulation.advance_until(60 * SECOND, Simulation::all_alive).is_some(),
        "seed {seed}: the cluster does not form"
    );
    simulation
}

/// The bound on the time until all instances know of a death, as in `docs/design/membership.md`: the longest time
/// between two probes of a member (two rounds), the maximum suspicion timeout, and the dissemination to the last
/// instance.
fn detection_bound(count: usize) -> Micros {
    let settings = settings();
    let round = 2 * count as Micros * settings.probe_interval;
    let (min, max) = settings.suspicion_bounds(count);
    round + max + min + 5 * settings.probe_interval
}

#[test]
fn a_death_is_known_to_all_within_the_bound_and_nobody_else_is_declared_dead() {
    for seed in 0..40 {
        let mut simulation = formed_cluster(5, seed);
        simulation.kill(3);
        let known_to_all = |simulation: &Simulation| {
            simulation.running().iter().all(|&at| simulation.state_of(at, 3) == Some(MemberState::Dead))
        };
        assert!(simulation.advance_until(detection_bound(5), known_to_all).is_some(), "seed {seed}");
        assert_eq!(simulation.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn a_paused_instance_refutes_when_it_is_resumed_and_declares_nobody_dead() {
    for seed in 0..40 {
        let mut simulation = formed_cluster(5, seed);
        simulation.pause(2);
        simulation.advance(3 * SECOND);
        simulation.resume(2);
        assert!(
            simulation.advance_until(10 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: all should be alive again"
        );
        assert_eq!(simulation.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn an_instance_that_was_paused_for_long_declares_nobody_dead_and_is_alive_again() {
    for seed in 0..40 {
        let mut simulation = formed_cluster(5, seed);
        // Instance 2 is cut off just before the pause, so that it suspects a member when the pause begins.
        simulation.network.blocked.extend((0..5).flat_map(|other| [(2, other), (other, 2)]));
        simulation.advance(2 * SECOND);
        simulation.pause(2);
        simulation.network.blocked.clear();
        simulation.advance(120 * SECOND);
        simulation.resume(2);
        let deaths = simulation
            .changes()
            .filter(|(at, _, change)| *at == 2 && change.state == MemberState::Dead)
            .count();
        assert_eq!(deaths, 0, "seed {seed}: deaths declared when it was resumed");
        assert!(
            simulation.advance_until(20 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: all should be alive again"
        );
        let deaths = simulation
            .changes()
            .filter(|(at, _, change)| *at == 2 && change.state == MemberState::Dead)
            .count();
        assert_eq!(deaths, 0, "seed {seed}");
    }
}

#[test]
fn nobody_is_suspected_if_one_direction_between_two_instances_is_blocked() {
    for seed in 0..20 {
        let mut simulation = formed_cluster(5, seed);
        simulation.network.blocked.insert((0, 1));
        simulation.advance(120 * SECOND);
        // Indirect probes are answered, so that nobody is even suspected.
        let suspected = simulation.changes().filter(|(_, _, change)| change.state != MemberState::Alive);
        assert_eq!(suspected.count(), 0, "seed {seed}");
    }
}

#[test]
fn losing_a_fifth_of_all_messages_for_a_minute_leads_to_no_false_death() {
    for seed in 0..20 {
        let mut simulation = formed_cluster(5, seed);
        simulation.network.loss = 0.2;
        simulation.advance(60 * SECOND);
        assert_eq!(simulation.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn two_sides_of_a_partition_merge_within_20_s_after_it_ends() {
    for seed in 0..20 {
        let mut simulation = formed_cluster(5, seed);
        simulation.partition(&[0, 1], true);
        let is_partitioned = |simulation: &Simulation| {
            [0, 1].iter().all(|&a| {
                [2, 3, 4].iter().all(|&b| {
                    simulation.state_of(a, b) == Some(MemberState::Dead)
                        && simulation.state_of(b, a) == Some(MemberState::Dead)
                })
            })
        };
        assert!(
            simulation.advance_until(2 * detection_bound(5), is_partitioned).is_some(),
            "seed {seed}: each side should declare the other dead"
        );
        simulation.partition(&[0, 1], false);
        // Each instance tries to contact one dead member about every 5 s.
        assert!(
            simulation.advance_until(20 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: the sides should merge"
        );
        simulation.advance(30 * SECOND);
        // The death declarations of the other side have not led to deaths on its own side.
        let side = |at: usize| at < 2;
        let deaths_on_own_side = simulation.changes().filter(|(at, _, change)| {
            let other = change.name[1..].parse::<usize>().expect("the name ends in the number");
            change.state == MemberState::Dead && side(*at) == side(other)
        });
        assert_eq!(deaths_on_own_side.count(), 0, "seed {seed}");
    }
}

#[test]
fn an_instance_that_leaves_is_not_suspected_and_one_that_restarts_is_alive_again() {
    for seed in 0..20 {
        let mut simulation = formed_cluster(5, seed);
        simulation.leave(4);
        let left_everywhere =
            |simulation: &Simulation| (0..4).all(|at| simulation.state_of(at, 4) == Some(MemberState::Left));
        assert!(simulation.advance_until(10 * SECOND, left_everywhere).is_some(), "seed {seed}");
        simulation.kill(3);
        simulation.advance(detection_bound(5));
        simulation.start(3);
        simulation.start(4);
        assert!(
            simulation.advance_until(20 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: both are alive again"
        );
        let suspected = |(_, _, change): &(usize, Micros, &dewladder_membership::MemberChange)| {
            change.name == "n4" && matches!(change.state, MemberState::Suspect | MemberState::Dead)
        };
        assert_eq!(simulation.changes().filter(suspected).count(), 0, "seed {seed}");
    }
}

#[test]
fn an_instance_that_receives_nothing_raises_its_local_health_score() {
    // Instance 2 receives nothing at all. Its local health score must rise, which stretches its timeouts, while that
    // of the others stays low.
    let mut simulation = formed_cluster(5, 3);
    simulation.network.blocked.extend((0..5).map(|other| (other, 2)));
    simulation.advance(6 * SECOND);
    let score = simulation.membership(2).expect("instance is running").health_score();
    assert!(score > 2, "score {score}");
    let other = simulation.membership(0).expect("instance is running").health_score();
    assert!(other <= 2, "score {other}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut simulation = formed_cluster(7, 11);
        simulation.network.loss = 0.3;
        simulation.kill(2);
        simulation.advance(40 * SECOND);
        let changes: Vec<_> =
            simulation.changes().map(|(at, time, change)| (at, time, change.clone())).collect();
        (changes, (0..7).map(|at| simulation.bytes_sent(at)).collect::<Vec<_>>())
    };
    assert_eq!(run(), run());
}

#[test]
fn dead_members_are_removed_by_all_and_are_not_added_again_by_updates() {
    for seed in 0..12 {
        let short_retention = Settings { dead_retention: 60 * SECOND, ..settings() };
        let mut simulation = Simulation::new(5, short_retention, seed);
        assert!(simulation.advance_until(60 * SECOND, Simulation::all_alive).is_some());
        simulation.kill(3);
        simulation.advance(detection_bound(5) + 60 * SECOND);
        for _ in 0..20 {
            assert!(
                simulation.running().iter().all(|&at| simulation.state_of(at, 3).is_none()),
                "seed {seed}: a removed member came back"
            );
            simulation.advance(SECOND);
        }
    }
}
