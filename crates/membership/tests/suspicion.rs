//! The suspicion timeout: how much time a suspected member has to refute.

use dewladder_membership::{MemberId, Settings, Suspicion};

#[test]
fn suspicion_timeout_shortens_with_each_independent_confirmation_down_to_the_minimum() {
    let settings = Settings::default();
    let (min, max) = settings.suspicion_bounds(9);
    let mut suspicion = Suspicion::new(MemberId(1), 0);
    let mut ends = vec![suspicion.ends_at(9, &settings)];
    for reporter in [1, 2, 2, 3, 4, 5] {
        suspicion.confirm(MemberId(reporter), &settings);
        ends.push(suspicion.ends_at(9, &settings));
    }
    assert_eq!(ends[0], max);
    assert_eq!(ends[1], max, "the first reporter does not confirm its own suspicion");
    assert!(ends[2] < max && ends[3] == ends[2], "an instance that confirms twice counts once");
    assert_eq!(&ends[5..], [min, min]);
}

#[test]
fn suspicion_timeout_is_the_minimum_if_no_other_member_can_confirm() {
    let settings = Settings::default();
    assert_eq!(Suspicion::new(MemberId(1), 7).ends_at(2, &settings), 7 + settings.suspicion_bounds(2).0);
}
