//! Guards compatibility between versions of the program that run in one cluster. The encoding of every message must
//! not change: postcard encodes variants by their position and fields in their order, without names. Nor may the
//! values that two versions must compute alike: record ids, the holders of ranges, and the digests by which copies
//! are compared.

use std::fmt::Write as _;

use dewladder_membership::MemberId;
use dewladder_replica::{
    AttemptId, Message, Note, Outcome, Placement, Record, RecordId, RecordStore, ServerStatus, Stage,
    Timestamp, RANGES,
};

const GOLDEN: &str = include_str!("golden/datagrams.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string can't fail");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal"))
        .collect()
}

fn attempt(number: u64) -> AttemptId {
    AttemptId { owner: MemberId(0x1122_3344_5566_7788), incarnation: 1_700_000_000_000_000, number }
}

/// A copy of a record with an attempt in each stage, and two in the stage with an outcome.
fn record() -> Record {
    let stages = [
        Stage::Offered,
        Stage::Executing,
        Stage::NeverExecuted,
        Stage::MayHaveExecuted,
        Stage::Executed(Outcome { complete: true, digest: 0 }),
        Stage::Executed(Outcome { complete: false, digest: u64::MAX }),
    ];
    let mut merged = Record::new(attempt(0), stages[0], 9_000_000);
    for (number, stage) in stages.into_iter().enumerate() {
        merged.merge(&Record::new(attempt(number as u64), stage, 9_000_000 + number as u64));
    }
    merged
}

fn note(status: ServerStatus) -> Note {
    let timestamp = Timestamp { wall_ms: 1_700_000_000_000, counter: 3, writer: MemberId(200) };
    Note { server: 0xfeed, status, timestamp, expires: 77_000 }
}

/// Each kind of message, with the name of its line in the golden file.
fn messages() -> Vec<(&'static str, Message)> {
    let (id, attempt) = (RecordId::of("tenant", "key"), attempt(300));
    let status = [
        ServerStatus::Cleared,
        ServerStatus::Draining,
        ServerStatus::Gone,
        ServerStatus::SlowStartSince(1_700_000_000_456),
    ];
    vec![
        ("offer", Message::Offer { id, attempt, expires: 600_000_000 }),
        ("held", Message::OfferAccepted { id, attempt }),
        ("found", Message::OfferRefused { id, attempt, known: Some(record()) }),
        ("found-no-room", Message::OfferRefused { id, attempt, known: None }),
        ("behind", Message::NotCaughtUp { id, attempt }),
        ("put", Message::Write { number: 129, records: vec![(id, record())] }),
        ("taken", Message::WriteAcknowledged { number: 129 }),
        ("compare", Message::CompareDigests { range: 63, digests: vec![0, 1, u64::MAX] }),
        (
            "compared-equal",
            Message::DigestsCompared { range: 0, equal: true, caught_up: false, differing: 0 },
        ),
        (
            "compared-differing",
            Message::DigestsCompared { range: 9, equal: false, caught_up: true, differing: 1 << 63 },
        ),
        ("notes", Message::Notes(status.map(note).to_vec())),
    ]
}

/// The bytes of a message in the golden file, in hexadecimal.
fn golden(name: &str) -> &'static str {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no golden line for {name}"))
}

/// The encoding of a message together with its sender, as a datagram carries it.
fn encoded(message: &Message) -> Vec<u8> {
    postcard::to_allocvec(&(MemberId(7), message)).expect("a message can be encoded")
}

#[test]
fn each_message_is_encoded_as_its_golden_bytes() {
    let text: String =
        messages().iter().map(|(name, one)| format!("{name} {}\n", hex(&encoded(one)))).collect();
    assert_eq!(text, GOLDEN);
}

#[test]
fn each_golden_line_decodes_to_its_message() {
    for (name, message) in messages() {
        let read: (MemberId, Message) = postcard::from_bytes(&bytes(golden(name))).expect(name);
        assert_eq!(read, (MemberId(7), message), "{name}");
    }
}

#[test]
fn a_request_has_the_same_id_at_every_instance() {
    let ids = [("tenant", "key"), ("", "")].map(|(tenant, key)| hex(&RecordId::of(tenant, key).0));
    assert_eq!(ids, ["05ed230e2b8654f9b9e8956a2bd468cb", "af5570f5a1810b7af78caf4bc70a660f"]);
}

#[test]
fn each_range_has_the_same_holders_at_every_instance() {
    let members: Vec<MemberId> = (0..5).map(|at| MemberId::of(&format!("n{at}"))).collect();
    let placement = Placement::new(&members, 3);
    let holders: Vec<String> = (0..RANGES)
        .map(|range| {
            let at = |id: &MemberId| members.iter().position(|one| one == id).expect("a member").to_string();
            placement.holders(range).iter().map(at).collect::<String>()
        })
        .collect();
    assert_eq!(
        holders.join(" "),
        "301 012 023 043 104 412 034 140 210 402 041 304 034 342 342 130 103 124 134 034 203 342 301 102 401 302 \
         423 124 013 234 204 013 034 134 421 204 031 130 420 231 013 103 412 024 123 023 321 214 432 230 310 134 \
         410 041 042 432 321 042 230 041 210 431 013 320"
    );
    assert_eq!(Placement::range_of(RecordId([0x7f; 16])), 63);
}

#[test]
fn digests_of_equal_records_are_the_same_at_every_instance() {
    let mut store = RecordStore::default();
    let (one, other) = (RecordId([5; 16]), RecordId([6; 16]));
    store.merge(one, &record(), 0);
    store.merge(other, &Record::new(attempt(1), Stage::Offered, 10), 0);
    let digests =
        [store.digests(5)[RecordStore::bucket_of(one)], store.digests(6)[RecordStore::bucket_of(other)]];
    assert_eq!(digests, [578_917_391_079_517_639, 12_805_864_076_106_418_075]);
}
