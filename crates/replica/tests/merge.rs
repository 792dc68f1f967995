//! Copies become one in any order: merging is commutative, associative and idempotent, and stages never move back.

use dewladder_membership::MemberId;
use dewladder_replica::{AttemptId, Note, Notes, Ran, Record, RecordId, Said, Settings, Stage, Stamp, Store};
use proptest::prelude::*;

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Offered),
        Just(Stage::Running),
        Just(Stage::NeverRan),
        Just(Stage::MayHaveRun),
        (any::<bool>(), 0u64..3).prop_map(|(whole, digest)| Stage::Ran(Ran { whole, digest })),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    let said = (0u64..3, 0u64..2, stage(), 1u64..5);
    proptest::collection::vec(said, 1..5).prop_map(|said| {
        let copies = said.into_iter().map(|(owner, number, stage, expires)| {
            Record::new(AttemptId { owner: MemberId(owner), life: 1, number }, stage, expires * 1_000)
        });
        copies
            .reduce(|mut one, other| {
                one.merge(&other);
                one
            })
            .expect("one at least")
    })
}

fn merged(mut one: Record, other: &Record) -> Record {
    one.merge(other);
    one
}

proptest! {
    #[test]
    fn merging_records_is_commutative_associative_and_idempotent(a in record(), b in record(), c in record()) {
        prop_assert_eq!(merged(a.clone(), &b), merged(b.clone(), &a));
        prop_assert_eq!(merged(merged(a.clone(), &b), &c), merged(a.clone(), &merged(b.clone(), &c)));
        let once = merged(a.clone(), &b);
        prop_assert_eq!(merged(once.clone(), &b), once);
    }

    #[test]
    fn no_stage_moves_back_and_no_verdict_becomes_freer(a in record(), b in record()) {
        let after = merged(a.clone(), &b);
        for owner in 0..3 {
            for number in 0..2 {
                let attempt = AttemptId { owner: MemberId(owner), life: 1, number };
                prop_assert!(after.stage(attempt) >= a.stage(attempt));
            }
        }
        // Only the attempt's own end can free a request: one that merely offered and never ran.
        let ended = |record: &Record| (0..3).any(|owner| (0..2).any(|number| {
            record.stage(AttemptId { owner: MemberId(owner), life: 1, number }) == Some(Stage::NeverRan)
        }));
        prop_assert!(after.verdict() >= a.verdict() || ended(&b));
        prop_assert!(after.expires >= a.expires);
    }

    /// A store's digests tell of its content alone, not of the way there.
    #[test]
    fn digests_are_equal_where_and_only_where_content_is(
        copies in proptest::collection::vec((0u8..6, record()), 1..12),
        at in 1u64..6,
    ) {
        let id = |key: u8| RecordId::of("t", &key.to_string());
        let (mut one, mut other) = (Store::default(), Store::default());
        for (key, copy) in &copies {
            one.merge(id(*key), copy, 0);
        }
        for (key, copy) in copies.iter().rev().chain(copies.iter()) {
            other.merge(id(*key), copy, 0);
        }
        let all = |store: &Store| (0..64).map(|range| store.digests(range)).collect::<Vec<_>>();
        prop_assert_eq!(all(&one), all(&other));
        other.expire(at * 1_000);
        let same = one.iter().eq(other.iter());
        prop_assert_eq!(all(&one) == all(&other), same);
        other.expire(u64::MAX);
        prop_assert!(all(&other).iter().flatten().all(|digest| *digest == 0));
    }

    #[test]
    fn notes_in_any_order_leave_the_last_writers(
        said in proptest::collection::vec((0u64..3, 0u64..5, 0u32..3, 0u64..3), 1..10),
    ) {
        let note = |(server, wall_ms, count, by): (u64, u64, u32, u64)| Note {
            server,
            said: Said::ColdSince(wall_ms * 100 + u64::from(count) * 10 + by),
            stamp: Stamp { wall_ms, count, by: MemberId(by) },
            expires: 1_000_000_000,
        };
        let (mut one, mut other) = (Notes::default(), Notes::default());
        for &what in &said {
            one.take(note(what), 0);
        }
        for &what in said.iter().rev().chain(&said) {
            other.take(note(what), 0);
        }
        prop_assert!((0..3).all(|server| one.of(server) == other.of(server)));
    }
}

#[test]
fn a_note_from_far_ahead_is_not_taken_and_one_written_after_reading_comes_later() {
    let mut notes = Notes::default();
    let ahead = Stamp { wall_ms: 20_001, count: 0, by: MemberId(2) };
    let note = Note { server: 1, said: Said::Gone, stamp: ahead, expires: 90_000_000 };
    assert!(!notes.take(note, 10_000_000));
    let near = Note { stamp: Stamp { wall_ms: 19_000, ..ahead }, ..note };
    assert!(notes.take(near, 10_000_000));
    let own = notes.write(1, Said::Nothing, MemberId(1), 10_000_000, 90_000_000);
    assert!(own.stamp > near.stamp, "though this clock is behind");
    assert_eq!(notes.of(1), Said::Nothing);
}

#[test]
fn settings_that_can_not_be_are_told_by_name() {
    let base = Settings {
        me: MemberId(1),
        life: 1,
        members: vec![MemberId(1), MemberId(2), MemberId(3)],
        copies: 3,
        quorum: 2,
        window: 100_000_000,
        most_records: 10,
        most_hints: 10,
        settle: 1_000_000,
        again_after: 50_000,
        compare_every: 100_000,
    };
    let field = |settings: Settings| settings.check().map_err(|bad| bad.field);
    assert_eq!(field(base.clone()), Ok(()));
    assert_eq!(field(Settings { me: MemberId(4), ..base.clone() }), Err("members"));
    assert_eq!(field(Settings { members: vec![MemberId(1), MemberId(1)], ..base.clone() }), Err("members"));
    assert_eq!(field(Settings { copies: 4, ..base.clone() }), Err("copies"));
    assert_eq!(field(Settings { quorum: 1, ..base.clone() }), Err("quorum"));
    assert_eq!(field(Settings { quorum: 4, ..base.clone() }), Err("quorum"));
    assert_eq!(field(Settings { settle: 100_000, ..base.clone() }), Err("settle_s"));
    assert_eq!(field(Settings { window: 1_000_000, ..base.clone() }), Err("window_s"));
    assert_eq!(field(Settings { most_records: 0, ..base }), Err("most_records"));
}
