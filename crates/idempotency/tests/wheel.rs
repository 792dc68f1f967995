//! The timing wheel, compared with a map from timers to the times at which they are due.

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

    /// No timer fires early, none is still pending two ticks after it is due, and a timer that was moved or canceled
    /// follows its last setting.
    #[test]
    fn the_wheel_fires_the_timers_that_are_due(
        start in prop_oneof![Just(0u64), any::<u32>().prop_map(u64::from), Just(1u64 << 50)],
        steps in prop::collection::vec(
            (0u32..40, prop_oneof![
                4 => 0u64..3_000_000, 2 => 0u64..400_000_000, 1 => 0u64..1 << 45, 1 => Just(u64::MAX / 2),
            ], 0u8..8),
            1..200,
        ),
    ) {
        let (mut wheel, mut expected) = (TimingWheel::new(start), BTreeMap::new());
        let mut now = start;
        for (timer, delay, operation) in steps {
            match operation {
                0..=3 => {
                    wheel.set(timer, now.saturating_add(delay));
                    expected.insert(timer, now.saturating_add(delay));
                }
                4 => {
                    wheel.cancel(timer);
                    expected.remove(&timer);
                }
                _ => {
                    now += delay % (1 << 40);
                    let mut fired = Vec::new();
                    wheel.advance(now, &mut fired);
                    let fired: BTreeSet<u32> = fired.into_iter().collect();
                    for timer in &fired {
                        let due = expected.remove(timer);
                        prop_assert!(due.is_some_and(|due| due <= now), "due {due:?}, fired at {now}");
                    }
                    let overdue = expected.values().find(|&&due| due + 2 * TICK_US <= now);
                    prop_assert_eq!(overdue, None, "timer has not fired at {}", now);
                }
            }
            prop_assert_eq!(wheel.len(), expected.len());
            let earliest = expected.values().min().copied();
            prop_assert_eq!(wheel.next_due().is_some(), earliest.is_some());
            if let (Some(reported), Some(earliest)) = (wheel.next_due(), earliest) {
                prop_assert!(reported <= earliest.max(now) + 2 * TICK_US, "next_due() is too late");
            }
        }
    }
}
