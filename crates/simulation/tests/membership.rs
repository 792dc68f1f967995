//! The faults that membership is for, in virtual time, each over many seeds. Times are in probe intervals.

use dewladder_membership::{MemberState, Micros, Settings};
use dewladder_simulation::{Simulation, SECOND};

/// A probe each second, whole states every 5 s.
fn settings() -> Settings {
    Settings { sync_interval: 5 * SECOND, ..Settings::default() }
}

/// A cluster in which all know each other.
fn formed(count: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(count, settings(), seed);
    assert!(simulation.advance_until(60 * SECOND, Simulation::all_alive).is_some(), "seed {seed}: it forms");
    simulation
}

/// The bound of the design note: a round of probes, the longest suspicion, and the dissemination to the last one.
fn bound(count: usize) -> Micros {
    let settings = settings();
    let round = 2 * count as Micros * settings.probe_interval;
    let (min, max) = settings.suspicion_bounds(count);
    round + max + min + 5 * settings.probe_interval
}

#[test]
fn a_death_is_known_to_all_within_the_bound_and_nobody_else_is_declared_dead() {
    for seed in 0..40 {
        let mut simulation = formed(5, seed);
        simulation.kill(3);
        let known = |simulation: &Simulation| {
            simulation.running().iter().all(|&at| simulation.state_of(at, 3) == Some(MemberState::Dead))
        };
        assert!(simulation.advance_until(bound(5), known).is_some(), "seed {seed}");
        assert_eq!(simulation.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn a_paused_instance_refutes_when_it_is_resumed_and_declares_nobody_dead() {
    for seed in 0..40 {
        let mut simulation = formed(5, seed);
        simulation.pause(2);
        simulation.advance(3 * SECOND);
        simulation.resume(2);
        assert!(
            simulation.advance_until(10 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: alive everywhere"
        );
        assert_eq!(simulation.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn an_instance_that_was_paused_for_long_declares_nobody_dead_and_is_alive_again() {
    for seed in 0..40 {
        let mut simulation = formed(5, seed);
        // Just before: it suspects one that has not answered.
        simulation.network.blocked.extend((0..5).flat_map(|other| [(2, other), (other, 2)]));
        simulation.advance(2 * SECOND);
        simulation.pause(2);
        simulation.network.blocked.clear();
        simulation.advance(120 * SECOND);
        simulation.resume(2);
        let by_it = simulation
            .changes()
            .filter(|(at, _, change)| *at == 2 && change.state == MemberState::Dead)
            .count();
        assert_eq!(by_it, 0, "seed {seed}: it declares nobody dead for the time of its pause");
        assert!(
            simulation.advance_until(20 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: alive everywhere"
        );
        let by_it = simulation
            .changes()
            .filter(|(at, _, change)| *at == 2 && change.state == MemberState::Dead)
            .count();
        assert_eq!(by_it, 0, "seed {seed}");
    }
}

#[test]
fn nobody_is_suspected_where_one_direction_is_blocked() {
    for seed in 0..20 {
        let mut simulation = formed(5, seed);
        simulation.network.blocked.insert((0, 1));
        simulation.advance(120 * SECOND);
        // Others are asked, and they get answers: nobody is even suspected.
        let suspected = simulation.changes().filter(|(_, _, change)| change.state != MemberState::Alive);
        assert_eq!(suspected.count(), 0, "seed {seed}");
    }
}

#[test]
fn losing_a_fifth_of_all_messages_for_a_minute_leads_to_no_death() {
    for seed in 0..20 {
        let mut simulation = formed(5, seed);
        simulation.network.loss = 0.2;
        simulation.advance(60 * SECOND);
        assert_eq!(simulation.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn two_sides_of_a_partition_are_one_cluster_again_within_the_bound() {
    for seed in 0..20 {
        let mut simulation = formed(5, seed);
        simulation.partition(&[0, 1], true);
        let apart = |simulation: &Simulation| {
            [0, 1].iter().all(|&a| {
                [2, 3, 4].iter().all(|&b| {
                    simulation.state_of(a, b) == Some(MemberState::Dead)
                        && simulation.state_of(b, a) == Some(MemberState::Dead)
                })
            })
        };
        assert!(
            simulation.advance_until(2 * bound(5), apart).is_some(),
            "seed {seed}: each side declares the other dead"
        );
        simulation.partition(&[0, 1], false);
        // Each looks for one of its lost ones about every 5 s.
        assert!(
            simulation.advance_until(20 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: one cluster again"
        );
        simulation.advance(30 * SECOND);
        // What the other side held of them has killed nobody on its own side.
        let side = |at: usize| at < 2;
        let own = simulation.changes().filter(|(at, _, change)| {
            let other = change.name[1..].parse::<usize>().expect("a number");
            change.state == MemberState::Dead && side(*at) == side(other)
        });
        assert_eq!(own.count(), 0, "seed {seed}");
    }
}

#[test]
fn an_instance_that_leaves_is_not_suspected_and_one_that_restarts_is_alive_again() {
    for seed in 0..20 {
        let mut simulation = formed(5, seed);
        simulation.leave(4);
        let left =
            |simulation: &Simulation| (0..4).all(|at| simulation.state_of(at, 4) == Some(MemberState::Left));
        assert!(simulation.advance_until(10 * SECOND, left).is_some(), "seed {seed}");
        simulation.kill(3);
        simulation.advance(bound(5));
        simulation.start(3);
        simulation.start(4);
        assert!(
            simulation.advance_until(20 * SECOND, Simulation::all_alive).is_some(),
            "seed {seed}: both are back"
        );
        let suspected = |(_, _, change): &(usize, Micros, &dewladder_membership::Change)| {
            change.name == "n4" && matches!(change.state, MemberState::Suspect | MemberState::Dead)
        };
        assert_eq!(simulation.changes().filter(suspected).count(), 0, "seed {seed}");
    }
}

#[test]
fn an_instance_that_receives_nothing_gives_others_more_time() {
    // One member hears nothing at all: it must give others more and more time.
    let mut simulation = formed(5, 3);
    simulation.network.blocked.extend((0..5).map(|other| (other, 2)));
    simulation.advance(6 * SECOND);
    let score = simulation.membership(2).expect("it runs").health_score();
    assert!(score > 2, "score {score}");
    let other = simulation.membership(0).expect("it runs").health_score();
    assert!(other <= 2, "score {other}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut simulation = formed(7, 11);
        simulation.network.loss = 0.3;
        simulation.kill(2);
        simulation.advance(40 * SECOND);
        let changes: Vec<_> =
            simulation.changes().map(|(at, when, change)| (at, when, change.clone())).collect();
        (changes, (0..7).map(|at| simulation.bytes_sent(at)).collect::<Vec<_>>())
    };
    assert_eq!(run(), run());
}

#[test]
fn dead_members_are_forgotten_by_all_and_are_not_brought_back_by_updates() {
    for seed in 0..12 {
        let short = Settings { dead_retention: 60 * SECOND, ..settings() };
        let mut simulation = Simulation::new(5, short, seed);
        assert!(simulation.advance_until(60 * SECOND, Simulation::all_alive).is_some());
        simulation.kill(3);
        simulation.advance(bound(5) + 60 * SECOND);
        for _ in 0..20 {
            assert!(
                simulation.running().iter().all(|&at| simulation.state_of(at, 3).is_none()),
                "seed {seed}: brought back"
            );
            simulation.advance(SECOND);
        }
    }
}
