//! Two seats, any order of starts, looks, signals and deaths: the parts never add up to more than the whole.

use dewladder_hot_restart::{next_generation, Kin, Other, Said, Stage, HALF, RESERVE, WHOLE};
use proptest::prelude::*;

#[derive(Debug)]
struct Process {
    kin: Kin,
    said: Said,
    /// What it last read of the other seat, to be acted on later.
    read: Option<Other>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]
    #[test]
    fn the_parts_never_pass_the_whole(
        steps in proptest::collection::vec((0usize..2, 0u8..8, 0u16..1_200), 1..120),
    ) {
        let mut seats: [Option<Process>; 2] = [None, None];
        for (now, (seat, what, use_or_time)) in steps.into_iter().enumerate() {
            let now = now as u64 * 200_000 + 1;
            let other = match &seats[1 - seat] {
                None => Other::None,
                Some(_) if what == 7 => Other::Unclear,
                Some(process) => Other::Says(process.said),
            };
            match (&mut seats[seat], what) {
                (free @ None, 0..=2) => {
                    let kin = Kin::start(now, now);
                    *free = Some(Process { said: kin.says(), kin, read: None });
                }
                (Some(_), 0) => seats[seat] = None,
                (Some(process), 1) => {
                    process.kin.told_to_end();
                    process.said = process.kin.says();
                }
                (Some(process), 2 | 3) => process.read = Some(other),
                (Some(process), _) => {
                    // What was read may be old by now; it is acted on and said in one go.
                    let other = process.read.take().unwrap_or(other);
                    process.kin.sees(now, other, use_or_time.min(process.said.part));
                    process.said = process.kin.says();
                }
                (None, _) => {}
            }
            let parts: u32 = seats.iter().flatten().map(|process| u32::from(process.said.part)).sum();
            prop_assert!(parts <= u32::from(WHOLE), "{seats:?}");
            prop_assert!(seats.iter().flatten().all(|process| process.said.part >= RESERVE));
        }
        // Whoever is left alone and not told to end has it all back.
        seats[1] = None;
        if let Some(process) = &mut seats[0] {
            process.kin.sees(u64::MAX / 2, Other::None, 0);
            let said = process.kin.says();
            prop_assert!(said.stage == Stage::Leaving || (said.part, said.stage) == (WHOLE - RESERVE, Stage::Serving));
        }
    }

    #[test]
    fn a_line_is_read_as_it_was_said_and_nothing_else_is(born: u64, part in 0..=WHOLE, cut in 0usize..20) {
        let said = Said { born, stage: Stage::Leaving, part, knows: born / 2 };
        let line = said.to_line();
        prop_assert_eq!(Said::from_line(&line), Some(said));
        if cut < line.len() {
            prop_assert_eq!(Said::from_line(&line[..cut]), None);
        }
    }
}

#[test]
fn a_new_version_takes_over() {
    let (mut old, mut new) = (Kin::start(1, 1), Kin::start(9, 9));
    old.sees(2, Other::None, 0);
    assert_eq!((old.says().stage, old.says().part), (Stage::Serving, WHOLE - RESERVE));
    new.sees(10, Other::Says(old.says()), 0);
    assert_eq!((new.says().stage, new.says().part), (Stage::Joining, RESERVE), "nothing is free yet");
    old.sees(11, Other::Says(new.says()), 100);
    new.sees(12, Other::Says(old.says()), 0);
    assert_eq!(new.says().stage, Stage::Serving);
    old.told_to_end();

    old.sees(13, Other::Says(new.says()), 100);
    assert_eq!(old.says().part, HALF);
    assert!(old.says().part <= HALF && new.says().part >= HALF);
    // A full house does not keep it for ever.
    let mut late = Kin::start(20, 20);
    let full = Said { born: 1, stage: Stage::Serving, part: WHOLE - RESERVE, knows: 20 };
    late.sees(21, Other::Says(full), 0);
    assert_eq!(late.says().stage, Stage::Joining);
    late.sees(20 + 3_000_000, Other::Says(full), 0);
    assert_eq!((late.says().stage, late.says().part), (Stage::Serving, RESERVE));
}

#[test]
fn a_process_that_starts_is_later_than_all_that_it_finds() {
    let said = |born, knows| Some(Said { born, stage: Stage::Serving, part: HALF, knows });
    // Of an earlier version: microseconds of Unix time.
    let unix = 1_790_000_000_000_000;
    for (own, other) in
        [(None, None), (None, said(5, 0)), (said(7, 9), said(4, 7)), (said(3, 0), said(unix, 0))]
    {
        let highest =
            [own, other].into_iter().flatten().map(|said| said.born.max(said.knows)).max().unwrap_or(0);
        let numbers = [0, 1].map(|seat| next_generation(seat, [own, other], false));
        assert!(numbers.iter().all(|number| *number > highest), "{own:?} {other:?}: {numbers:?}");
        assert_ne!(numbers[0], numbers[1], "two that start at once");
    }
    assert!(next_generation(0, [None, None], true) > unix, "one that can't be read was there first");
}
