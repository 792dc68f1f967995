//! Merging of records and notes: it is commutative, associative and idempotent, so copies may be merged in any order,
//! and the stage of an attempt never moves back. Also the checks of the settings.

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

/// A record merged of one to four copies with few distinct attempts, so that drawn records overlap.
fn record() -> impl Strategy<Value = Record> {
    let drawn = (0u64..3, 0u64..2, stage(), 1u64..5);
    proptest::collection::vec(drawn, 1..5).prop_map(|drawn| {
        let copies = drawn.into_iter().map(|(owner, number, stage, expires)| {
            Record::new(AttemptId { owner: MemberId(owner), incarnation: 1, number }, stage, expires * 1_000)
        });
        copies
            .reduce(|mut one, other| {
                one.merge(&other);
                one
            })
            .expect("at least one copy is drawn")
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
        // The status may move back only if `b` has the final stage of an attempt that was offered and never executed.
        let has_unexecuted = |record: &Record| (0..3).any(|owner| (0..2).any(|number| {
            record.stage(AttemptId { owner: MemberId(owner), incarnation: 1, number }) == Some(Stage::NeverExecuted)
        }));
        prop_assert!(after.status() >= a.status() || has_unexecuted(&b));
        prop_assert!(after.expires >= a.expires);
    }

    /// The digests of a store depend only on its records, not on the order in which copies were merged.
    #[test]
    fn digests_are_equal_if_and_only_if_the_records_are(
        copies in proptest::collection::vec((0u8..6, record()), 1..12),
        now_ms in 1u64..6,
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
        other.expire(now_ms * 1_000);
        let records_equal = one.iter().eq(other.iter());
        prop_assert_eq!(all(&one) == all(&other), records_equal);
        other.expire(u64::MAX);
        prop_assert!(all(&other).iter().flatten().all(|digest| *digest == 0));
    }

    #[test]
    fn notes_merged_in_any_order_keep_the_last_writers(
        drawn in proptest::collection::vec((0u64..3, 0u64..5, 0u32..3, 0u64..3), 1..10),
    ) {
        let note = |(server, wall_ms, counter, writer_id): (u64, u64, u32, u64)| Note {
            server,
            status: ServerStatus::SlowStartSince(wall_ms * 100 + u64::from(counter) * 10 + writer_id),
            timestamp: Timestamp { wall_ms, counter, writer: MemberId(writer_id) },
            expires: 1_000_000_000,
        };
        let (mut one, mut other) = (NoteStore::default(), NoteStore::default());
        for &fields in &drawn {
            one.merge(note(fields), 0);
        }
        for &fields in drawn.iter().rev().chain(&drawn) {
            other.merge(note(fields), 0);
        }
        prop_assert!((0..3).all(|server| one.status(server) == other.status(server)));
    }
}

#[test]
fn a_note_from_too_far_ahead_is_rejected_and_one_written_after_reading_another_is_later() {
    let mut notes = NoteStore::default();
    let ahead = Timestamp { wall_ms: 20_001, counter: 0, writer: MemberId(2) };
    let note = Note { server: 1, status: ServerStatus::Gone, timestamp: ahead, expires: 90_000_000 };
    assert!(!notes.merge(note, 10_000_000));
    let near = Note { timestamp: Timestamp { wall_ms: 19_000, ..ahead }, ..note };
    assert!(notes.merge(near, 10_000_000));
    let own = notes.write(1, ServerStatus::Cleared, MemberId(1), 10_000_000, 90_000_000);
    assert!(own.timestamp > near.timestamp, "later, although this clock is behind");
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
    let field = |settings: Settings| settings.check().map_err(|error| error.field);
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
