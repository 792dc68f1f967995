//! The wheel against a sorted set.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_idempotency::timing_wheel::{TimingWheel, TICK_US};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Nothing fires early, nothing is more than a tick late, and what was moved or cancelled fires as it was
    /// last set.
    #[test]
    fn the_wheel_fires_what_a_sorted_set_does(
        start in prop_oneof![Just(0u64), any::<u32>().prop_map(u64::from), Just(1u64 << 50)],
        steps in prop::collection::vec(
            (0u32..40, prop_oneof![
                4 => 0u64..3_000_000, 2 => 0u64..400_000_000, 1 => 0u64..1 << 45, 1 => Just(u64::MAX / 2),
            ], 0u8..8),
            1..200,
        ),
    ) {
        let (mut wheel, mut plain) = (TimingWheel::new(start), BTreeMap::new());
        let mut now = start;
        for (member, time, what) in steps {
            match what {
                0..=3 => {
                    wheel.set(member, now.saturating_add(time));
                    plain.insert(member, now.saturating_add(time));
                }
                4 => {
                    wheel.cancel(member);
                    plain.remove(&member);
                }
                _ => {
                    now += time % (1 << 40);
                    let mut fired = Vec::new();
                    wheel.advance(now, &mut fired);
                    let fired: BTreeSet<u32> = fired.into_iter().collect();
                    for member in &fired {
                        let due = plain.remove(member);
                        prop_assert!(due.is_some_and(|due| due <= now), "early: {due:?} at {now}");
                    }
                    let late = plain.values().find(|&&due| due + 2 * TICK_US <= now);
                    prop_assert_eq!(late, None, "at {}", now);
                }
            }
            prop_assert_eq!(wheel.len(), plain.len());
            let first = plain.values().min().copied();
            prop_assert_eq!(wheel.next_due().is_some(), first.is_some());
            if let (Some(told), Some(first)) = (wheel.next_due(), first) {
                prop_assert!(told <= first.max(now) + 2 * TICK_US, "woken too late");
            }
        }
    }
}
