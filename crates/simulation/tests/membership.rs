//! The faults that membership is for, in virtual time, each over many seeds. Times are in probe times.

use dewladder_membership::{MemberState, Micros, Settings};
use dewladder_simulation::{Lab, SECOND};

/// Probe time 1 s, whole states every 5 s.
fn settings() -> Settings {
    Settings { sync_interval: 5 * SECOND, ..Settings::default() }
}

/// A cluster in which all know each other.
fn formed(count: usize, seed: u64) -> Lab {
    let mut lab = Lab::new(count, settings(), seed);
    assert!(lab.until(60 * SECOND, Lab::all_alive).is_some(), "seed {seed}: it forms");
    lab
}

/// The bound of the design note: a round of probes, the longest suspicion, and the news to the last.
fn bound(count: usize) -> Micros {
    let settings = settings();
    let round = 2 * count as Micros * settings.probe_interval;
    let (least, most) = settings.suspicion_bounds(count);
    round + most + least + 5 * settings.probe_interval
}

#[test]
fn a_death_is_known_to_all_within_the_bound_and_nobody_else_is_held_for_dead() {
    for seed in 0..40 {
        let mut lab = formed(5, seed);
        lab.kill(3);
        let known = |lab: &Lab| lab.running().iter().all(|&at| lab.held(at, 3) == Some(MemberState::Dead));
        assert!(lab.until(bound(5), known).is_some(), "seed {seed}");
        assert_eq!(lab.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn one_that_stood_still_refutes_on_waking_and_finds_fault_with_nobody() {
    for seed in 0..40 {
        let mut lab = formed(5, seed);
        lab.pause(2);
        lab.pass(3 * SECOND);
        lab.wake(2);
        assert!(lab.until(10 * SECOND, Lab::all_alive).is_some(), "seed {seed}: alive everywhere");
        assert_eq!(lab.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn one_that_stood_still_for_very_long_holds_nobody_for_dead_and_comes_back() {
    for seed in 0..40 {
        let mut lab = formed(5, seed);
        // Just before: it suspects one that has not answered.
        lab.net.cuts.extend((0..5).flat_map(|other| [(2, other), (other, 2)]));
        lab.pass(2 * SECOND);
        lab.pause(2);
        lab.net.cuts.clear();
        lab.pass(120 * SECOND);
        lab.wake(2);
        let by_it =
            lab.changes().filter(|(at, _, change)| *at == 2 && change.state == MemberState::Dead).count();
        assert_eq!(by_it, 0, "seed {seed}: it finds fault with nobody for the time that it stood still");
        assert!(lab.until(20 * SECOND, Lab::all_alive).is_some(), "seed {seed}: alive everywhere");
        let by_it =
            lab.changes().filter(|(at, _, change)| *at == 2 && change.state == MemberState::Dead).count();
        assert_eq!(by_it, 0, "seed {seed}");
    }
}

#[test]
fn where_one_way_is_cut_nobody_is_held_for_dead() {
    for seed in 0..20 {
        let mut lab = formed(5, seed);
        lab.net.cuts.insert((0, 1));
        lab.pass(120 * SECOND);
        // Others are asked, and they get answers: nobody is even suspected.
        let doubted = lab.changes().filter(|(_, _, change)| change.state != MemberState::Alive);
        assert_eq!(doubted.count(), 0, "seed {seed}");
    }
}

#[test]
fn a_fifth_of_all_messages_lost_for_a_minute_is_no_death() {
    for seed in 0..20 {
        let mut lab = formed(5, seed);
        lab.net.loss = 0.2;
        lab.pass(60 * SECOND);
        assert_eq!(lab.false_deaths(), 0, "seed {seed}");
    }
}

#[test]
fn two_sides_of_a_cut_find_together_again_within_the_bound() {
    for seed in 0..20 {
        let mut lab = formed(5, seed);
        lab.partition(&[0, 1], true);
        let apart = |lab: &Lab| {
            [0, 1].iter().all(|&a| {
                [2, 3, 4].iter().all(|&b| {
                    lab.held(a, b) == Some(MemberState::Dead) && lab.held(b, a) == Some(MemberState::Dead)
                })
            })
        };
        assert!(lab.until(2 * bound(5), apart).is_some(), "seed {seed}: each side holds the other for dead");
        lab.partition(&[0, 1], false);
        // Each looks for one of its lost ones about every 5 s.
        assert!(lab.until(20 * SECOND, Lab::all_alive).is_some(), "seed {seed}: one cluster again");
        lab.pass(30 * SECOND);
        // What the other side held of them has killed nobody on its own side.
        let side = |at: usize| at < 2;
        let own = lab.changes().filter(|(at, _, change)| {
            let other = change.name[1..].parse::<usize>().expect("a number");
            change.state == MemberState::Dead && side(*at) == side(other)
        });
        assert_eq!(own.count(), 0, "seed {seed}");
    }
}

#[test]
fn one_that_leaves_is_not_suspected_and_one_that_starts_again_is_alive_again() {
    for seed in 0..20 {
        let mut lab = formed(5, seed);
        lab.leave(4);
        let left = |lab: &Lab| (0..4).all(|at| lab.held(at, 4) == Some(MemberState::Left));
        assert!(lab.until(10 * SECOND, left).is_some(), "seed {seed}");
        lab.kill(3);
        lab.pass(bound(5));
        lab.start(3);
        lab.start(4);
        assert!(lab.until(20 * SECOND, Lab::all_alive).is_some(), "seed {seed}: both are back");
        let suspected = |(_, _, change): &(usize, Micros, &dewladder_membership::Change)| {
            change.name == "n4" && matches!(change.state, MemberState::Suspect | MemberState::Dead)
        };
        assert_eq!(lab.changes().filter(suspected).count(), 0, "seed {seed}");
    }
}

#[test]
fn a_slow_one_asks_itself_before_others_are_found_fault_with() {
    // One member hears nothing at all: it must give others more and more time.
    let mut lab = formed(5, 3);
    lab.net.cuts.extend((0..5).map(|other| (other, 2)));
    lab.pass(6 * SECOND);
    let score = lab.membership(2).expect("it runs").health_score();
    assert!(score > 2, "score {score}");
    let other = lab.membership(0).expect("it runs").health_score();
    assert!(other <= 2, "score {other}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut lab = formed(7, 11);
        lab.net.loss = 0.3;
        lab.kill(2);
        lab.pass(40 * SECOND);
        let changes: Vec<_> = lab.changes().map(|(at, when, change)| (at, when, change.clone())).collect();
        (changes, (0..7).map(|at| lab.bytes_out(at)).collect::<Vec<_>>())
    };
    assert_eq!(run(), run());
}

#[test]
fn dead_members_are_forgotten_by_all_and_do_not_come_back_by_hearsay() {
    for seed in 0..12 {
        let short = Settings { dead_retention: 60 * SECOND, ..settings() };
        let mut lab = Lab::new(5, short, seed);
        assert!(lab.until(60 * SECOND, Lab::all_alive).is_some());
        lab.kill(3);
        lab.pass(bound(5) + 60 * SECOND);
        for _ in 0..20 {
            assert!(lab.running().iter().all(|&at| lab.held(at, 3).is_none()), "seed {seed}: told of again");
            lab.pass(SECOND);
        }
    }
}
