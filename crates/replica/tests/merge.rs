//! Copies are merged in any order: merging is commutative, associative and idempotent, and stages never move back.

use dewladder_membership::MemberId;
use dewladder_replica::{
    AttemptId, Note, NoteStore, Outcome, Record, RecordId, RecordStore, ServerStatus, Settings, Stage,
    Timestamp,
};
use proptest::prelude::*;

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Offered),
        Just(Stage::Executing),
        Just(Stage::NeverExecuted),
        Just(Stage::MayHaveExecuted),
        (any::<bool>(), 0u64..3).prop_map(|(complete, digest)| Stage::Executed(Outcome { complete, digest })),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    let said = (0u64..3, 0u64..2, stage(), 1u64..5);
    proptest::collection::vec(said, 1..5).prop_map(|said| {
        let copies = said.into_iter().map(|(owner, number, stage, expires)| {
            Record::new(AttemptId { owner: MemberId(owner), incarnation: 1, number }, stage, expires * 1_000)
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
    fn merging_moves_no_stage_back_and_makes_no_status_freer(a in record(), b in record()) {
        let after = merged(a.clone(), &b);
        for owner in 0..3 {
            for number in 0..2 {
                let attempt = AttemptId { owner: MemberId(owner), incarnation: 1, number };
                prop_assert!(after.stage(attempt) >= a.stage(attempt));
            }
        }
        // Only the attempt's own end can free a request: one that merely offered and never ran.
        let ended = |record: &Record| (0..3).any(|owner| (0..2).any(|number| {
            record.stage(AttemptId { owner: MemberId(owner), incarnation: 1, number }) == Some(Stage::NeverExecuted)
        }));
        prop_assert!(after.status() >= a.status() || ended(&b));
        prop_assert!(after.expires >= a.expires);
    }

    /// The digests of a store depend on its records alone, not on the order of merging.
    #[test]
    fn digests_are_equal_if_and_only_if_the_records_are(
        copies in proptest::collection::vec((0u8..6, record()), 1..12),
        at in 1u64..6,
    ) {
        let id = |key: u8| RecordId::of("t", &key.to_string());
        let (mut one, mut other) = (RecordStore::default(), RecordStore::default());
        for (key, copy) in &copies {
            one.merge(id(*key), copy, 0);
        }
        for (key, copy) in copies.iter().rev().chain(copies.iter()) {
            other.merge(id(*key), copy, 0);
        }
        let all = |store: &RecordStore| (0..64).map(|range| store.digests(range)).collect::<Vec<_>>();
        prop_assert_eq!(all(&one), all(&other));
        other.expire(at * 1_000);
        let same = one.iter().eq(other.iter());
        prop_assert_eq!(all(&one) == all(&other), same);
        other.expire(u64::MAX);
        prop_assert!(all(&other).iter().flatten().all(|digest| *digest == 0));
    }

    #[test]
    fn notes_merged_in_any_order_keep_the_last_writers(
        said in proptest::collection::vec((0u64..3, 0u64..5, 0u32..3, 0u64..3), 1..10),
    ) {
        let note = |(server, wall_ms, counter, by): (u64, u64, u32, u64)| Note {
            server,
            status: ServerStatus::SlowStartSince(wall_ms * 100 + u64::from(counter) * 10 + by),
            timestamp: Timestamp { wall_ms, counter, writer: MemberId(by) },
            expires: 1_000_000_000,
        };
        let (mut one, mut other) = (NoteStore::default(), NoteStore::default());
        for &what in &said {
            one.merge(note(what), 0);
        }
        for &what in said.iter().rev().chain(&said) {
            other.merge(note(what), 0);
        }
        prop_assert!((0..3).all(|server| one.status(server) == other.status(server)));
    }
}

#[test]
fn a_note_from_far_ahead_is_refused_and_one_written_after_reading_is_later() {
    let mut notes = NoteStore::default();
    let ahead = Timestamp { wall_ms: 20_001, counter: 0, writer: MemberId(2) };
    let note = Note { server: 1, status: ServerStatus::Gone, timestamp: ahead, expires: 90_000_000 };
    assert!(!notes.merge(note, 10_000_000));
    let near = Note { timestamp: Timestamp { wall_ms: 19_000, ..ahead }, ..note };
    assert!(notes.merge(near, 10_000_000));
    let own = notes.write(1, ServerStatus::Cleared, MemberId(1), 10_000_000, 90_000_000);
    assert!(own.timestamp > near.timestamp, "though this clock is behind");
    assert_eq!(notes.status(1), ServerStatus::Cleared);
}

#[test]
fn an_invalid_setting_is_reported_with_its_field() {
    let base = Settings {
        own_id: MemberId(1),
        incarnation: 1,
        members: vec![MemberId(1), MemberId(2), MemberId(3)],
        copies: 3,
        quorum: 2,
        retention: 100_000_000,
        max_records: 10,
        max_hints: 10,
        settle_time: 1_000_000,
        retry_after: 50_000,
        compare_interval: 100_000,
    };
    let field = |settings: Settings| settings.check().map_err(|bad| bad.field);
    assert_eq!(field(base.clone()), Ok(()));
    assert_eq!(field(Settings { own_id: MemberId(4), ..base.clone() }), Err("members"));
    assert_eq!(field(Settings { members: vec![MemberId(1), MemberId(1)], ..base.clone() }), Err("members"));
    assert_eq!(field(Settings { copies: 4, ..base.clone() }), Err("copies"));
    assert_eq!(field(Settings { quorum: 1, ..base.clone() }), Err("quorum"));
    assert_eq!(field(Settings { quorum: 4, ..base.clone() }), Err("quorum"));
    assert_eq!(field(Settings { settle_time: 100_000, ..base.clone() }), Err("settle_s"));
    assert_eq!(field(Settings { retention: 1_000_000, ..base.clone() }), Err("window_s"));
    assert_eq!(field(Settings { max_records: 0, ..base }), Err("most_records"));
}
