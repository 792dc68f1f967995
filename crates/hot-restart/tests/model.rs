//! Two processes, any order of starts, looks, signals and deaths: the shares never add up to more than the whole.

use dewladder_hot_restart::{
    next_generation, Announcement, HotRestart, Peer, Stage, FULL_SHARE, HALF_SHARE, STARTUP_SHARE,
};
use proptest::prelude::*;

#[derive(Debug)]
struct Process {
    restart: HotRestart,
    announced: Announcement,
    /// What it last read of the other seat, to be acted on later.
    read: Option<Peer>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]
    #[test]
    fn the_parts_never_pass_the_whole(
        steps in proptest::collection::vec((0usize..2, 0u8..8, 0u16..1_200), 1..120),
    ) {
        let mut processes: [Option<Process>; 2] = [None, None];
        for (now, (seat, what, use_or_time)) in steps.into_iter().enumerate() {
            let now = now as u64 * 200_000 + 1;
            let other = match &processes[1 - seat] {
                None => Peer::Absent,
                Some(_) if what == 7 => Peer::Unreadable,
                Some(process) => Peer::Announced(process.announced),
            };
            match (&mut processes[seat], what) {
                (free @ None, 0..=2) => {
                    let restart = HotRestart::start(now, now);
                    *free = Some(Process { announced: restart.announcement(), restart, read: None });
                }
                (Some(_), 0) => processes[seat] = None,
                (Some(process), 1) => {
                    process.restart.begin_leaving();
                    process.announced = process.restart.announcement();
                }
                (Some(process), 2 | 3) => process.read = Some(other),
                (Some(process), _) => {
                    // What was read may be old by now; it is acted on and said in one go.
                    let other = process.read.take().unwrap_or(other);
                    process.restart.observe(now, other, use_or_time.min(process.announced.share));
                    process.announced = process.restart.announcement();
                }
                (None, _) => {}
            }
            let shares: u32 = processes.iter().flatten().map(|process| u32::from(process.announced.share)).sum();
            prop_assert!(shares <= u32::from(FULL_SHARE), "{processes:?}");
            prop_assert!(processes.iter().flatten().all(|process| process.announced.share >= STARTUP_SHARE));
        }
        // Whoever is left alone and not told to end has it all back.
        processes[1] = None;
        if let Some(process) = &mut processes[0] {
            process.restart.observe(u64::MAX / 2, Peer::Absent, 0);
            let announced = process.restart.announcement();
            prop_assert!(announced.stage == Stage::Leaving || (announced.share, announced.stage) == (FULL_SHARE - STARTUP_SHARE, Stage::Serving));
        }
    }

    #[test]
    fn a_line_is_read_as_it_was_said_and_nothing_else_is(generation: u64, share in 0..=FULL_SHARE, cut in 0usize..20) {
        let announced = Announcement { generation, stage: Stage::Leaving, share, acknowledged_peer: generation / 2 };
        let line = announced.to_line();
        prop_assert_eq!(Announcement::from_line(&line), Some(announced));
        if cut < line.len() {
            prop_assert_eq!(Announcement::from_line(&line[..cut]), None);
        }
    }
}

#[test]
fn a_new_version_takes_over() {
    let (mut old, mut new) = (HotRestart::start(1, 1), HotRestart::start(9, 9));
    old.observe(2, Peer::Absent, 0);
    assert_eq!(
        (old.announcement().stage, old.announcement().share),
        (Stage::Serving, FULL_SHARE - STARTUP_SHARE)
    );
    new.observe(10, Peer::Announced(old.announcement()), 0);
    assert_eq!(
        (new.announcement().stage, new.announcement().share),
        (Stage::Joining, STARTUP_SHARE),
        "nothing is free yet"
    );
    old.observe(11, Peer::Announced(new.announcement()), 100);
    new.observe(12, Peer::Announced(old.announcement()), 0);
    assert_eq!(new.announcement().stage, Stage::Serving);
    old.begin_leaving();

    old.observe(13, Peer::Announced(new.announcement()), 100);
    assert_eq!(old.announcement().share, HALF_SHARE);
    assert!(old.announcement().share <= HALF_SHARE && new.announcement().share >= HALF_SHARE);
    // A full house does not keep it for ever.
    let mut late = HotRestart::start(20, 20);
    let full = Announcement {
        generation: 1,
        stage: Stage::Serving,
        share: FULL_SHARE - STARTUP_SHARE,
        acknowledged_peer: 20,
    };
    late.observe(21, Peer::Announced(full), 0);
    assert_eq!(late.announcement().stage, Stage::Joining);
    late.observe(20 + 3_000_000, Peer::Announced(full), 0);
    assert_eq!((late.announcement().stage, late.announcement().share), (Stage::Serving, STARTUP_SHARE));
}

#[test]
fn a_process_that_starts_is_later_than_all_that_it_finds() {
    let announced = |generation, acknowledged_peer| {
        Some(Announcement { generation, stage: Stage::Serving, share: HALF_SHARE, acknowledged_peer })
    };
    // Of an earlier version: microseconds of Unix time.
    let unix = 1_790_000_000_000_000;
    for (own, other) in [
        (None, None),
        (None, announced(5, 0)),
        (announced(7, 9), announced(4, 7)),
        (announced(3, 0), announced(unix, 0)),
    ] {
        let highest = [own, other]
            .into_iter()
            .flatten()
            .map(|announced| announced.generation.max(announced.acknowledged_peer))
            .max()
            .unwrap_or(0);
        let numbers = [0, 1].map(|seat| next_generation(seat, [own, other], false));
        assert!(numbers.iter().all(|number| *number > highest), "{own:?} {other:?}: {numbers:?}");
        assert_ne!(numbers[0], numbers[1], "two that start at once");
    }
    assert!(next_generation(0, [None, None], true) > unix, "one that can't be read was there first");
}
