//! Two processes start, read each other, are told to shut down and die in any order: their shares never add up to
//! more than the limits.

use dewladder_hot_restart::{
    next_generation, Announcement, HotRestart, Peer, Stage, FULL_SHARE, HALF_SHARE, STARTUP_SHARE,
};
use proptest::prelude::*;

#[derive(Debug)]
struct Process {
    restart: HotRestart,
    announced: Announcement,
    /// What the process last read of the other one and has not acted on yet.
    read: Option<Peer>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]
    #[test]
    fn shares_never_exceed_the_limits(
        steps in proptest::collection::vec((0usize..2, 0u8..8, 0u16..1_200), 1..120),
    ) {
        let mut processes: [Option<Process>; 2] = [None, None];
        for (now, (lock, action, in_use)) in steps.into_iter().enumerate() {
            let now = now as u64 * 200_000 + 1;
            let peer = match &processes[1 - lock] {
                None => Peer::Absent,
                Some(_) if action == 7 => Peer::Unreadable,
                Some(process) => Peer::Announced(process.announced),
            };
            match (&mut processes[lock], action) {
                (empty @ None, 0..=2) => {
                    let restart = HotRestart::start(now, now);
                    *empty = Some(Process { announced: restart.announcement(), restart, read: None });
                }
                (Some(_), 0) => processes[lock] = None,
                (Some(process), 1) => {
                    process.restart.begin_leaving();
                    process.announced = process.restart.announcement();
                }
                (Some(process), 2 | 3) => process.read = Some(peer),
                (Some(process), _) => {
                    // The state that was read may be out of date by now. Acting on it and announcing the result are
                    // one step.
                    let peer = process.read.take().unwrap_or(peer);
                    process.restart.observe(now, peer, in_use.min(process.announced.share));
                    process.announced = process.restart.announcement();
                }
                (None, _) => {}
            }
            let shares: u32 = processes.iter().flatten().map(|process| u32::from(process.announced.share)).sum();
            prop_assert!(shares <= u32::from(FULL_SHARE), "{processes:?}");
            prop_assert!(processes.iter().flatten().all(|process| process.announced.share >= STARTUP_SHARE));
        }
        // A process that is alone, and was not told to shut down, gets back all shares but that of a starting
        // process.
        processes[1] = None;
        if let Some(process) = &mut processes[0] {
            process.restart.observe(u64::MAX / 2, Peer::Absent, 0);
            let announced = process.restart.announcement();
            prop_assert!(announced.stage == Stage::Leaving || (announced.share, announced.stage) == (FULL_SHARE - STARTUP_SHARE, Stage::Serving));
        }
    }

    #[test]
    fn announcement_lines_round_trip_and_truncated_lines_are_rejected(
        generation: u64, share in 0..=FULL_SHARE, cut in 0usize..20,
    ) {
        let announced = Announcement { generation, stage: Stage::Leaving, share, acknowledged_peer: generation / 2 };
        let line = announced.to_line();
        prop_assert_eq!(Announcement::from_line(&line), Some(announced));
        if cut < line.len() {
            prop_assert_eq!(Announcement::from_line(&line[..cut]), None);
        }
    }
}

#[test]
fn a_new_process_takes_over() {
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
        "the old process has not given up a share yet"
    );
    old.observe(11, Peer::Announced(new.announcement()), 100);
    new.observe(12, Peer::Announced(old.announcement()), 0);
    assert_eq!(new.announcement().stage, Stage::Serving);
    old.begin_leaving();

    old.observe(13, Peer::Announced(new.announcement()), 100);
    assert_eq!(old.announcement().share, HALF_SHARE);
    assert!(old.announcement().share <= HALF_SHARE && new.announcement().share >= HALF_SHARE);
    // An old process that gives up no share does not keep the new one from serving for ever.
    let mut blocked = HotRestart::start(20, 20);
    let busy_peer = Announcement {
        generation: 1,
        stage: Stage::Serving,
        share: FULL_SHARE - STARTUP_SHARE,
        acknowledged_peer: 20,
    };
    blocked.observe(21, Peer::Announced(busy_peer), 0);
    assert_eq!(blocked.announcement().stage, Stage::Joining);
    blocked.observe(20 + 3_000_000, Peer::Announced(busy_peer), 0);
    assert_eq!((blocked.announcement().stage, blocked.announcement().share), (Stage::Serving, STARTUP_SHARE));
}

#[test]
fn a_starting_process_gets_a_higher_generation_than_all_it_finds() {
    let announced = |generation, acknowledged_peer| {
        Some(Announcement { generation, stage: Stage::Serving, share: HALF_SHARE, acknowledged_peer })
    };
    // Earlier versions used microseconds of Unix time as the generation.
    let unix_time = 1_790_000_000_000_000;
    for (own, peer) in [
        (None, None),
        (None, announced(5, 0)),
        (announced(7, 9), announced(4, 7)),
        (announced(3, 0), announced(unix_time, 0)),
    ] {
        let highest = [own, peer]
            .into_iter()
            .flatten()
            .map(|announced| announced.generation.max(announced.acknowledged_peer))
            .max()
            .unwrap_or(0);
        let generations = [0, 1].map(|lock| next_generation(lock, [own, peer], false));
        assert!(
            generations.iter().all(|generation| *generation > highest),
            "{own:?} {peer:?}: {generations:?}"
        );
        assert_ne!(generations[0], generations[1], "two processes that start at the same moment");
    }
    assert!(
        next_generation(0, [None, None], true) > unix_time,
        "a process that can't be read started earlier"
    );
}
