//! The bytes of every message, as other versions of the program send and read them. The body is in postcard: variants
//! stand as their number in order of declaration, fields in their order, without names.

use std::fmt::Write as _;

use dewladder_membership::codec::{Channel, Codec};
use dewladder_membership::{Address, Body, MemberId, MemberState, Message, Update};

const GOLDEN: &str = include_str!("golden/datagrams.txt");

fn codec() -> Codec {
    Codec::new("pond", b"0123456789abcdef").expect("a key")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("text takes all");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal"))
        .collect()
}

fn update(name: &str, state: MemberState) -> Update {
    Update {
        id: MemberId::of(name),
        name: name.to_owned(),
        address: Address { ip: [10, 20, 30, 40], port: 7_946 },
        incarnation: 1_700_000_000_123,
        state,
        reported_by: MemberId(0x0102_0304_0506_0708),
        age_s: 300,
    }
}

fn message(body: Body, updates: Vec<Update>) -> Message {
    Message { sender: update("a", MemberState::Alive), body, updates }
}

/// Each kind of message and each standing of a member, by the name that the golden file has for it.
fn messages() -> Vec<(&'static str, Message)> {
    let (nonce, target) = (0x8899_aabb, MemberId::of("b"));
    let address = Address { ip: [192, 168, 0, 1], port: 65_535 };
    let all = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    vec![
        ("ping", message(Body::Ping { nonce, target }, Vec::new())),
        ("ack", message(Body::Ack { nonce }, Vec::new())),
        ("nack", message(Body::Nack { nonce }, Vec::new())),
        ("indirect-ping", message(Body::IndirectPing { nonce, target, address }, Vec::new())),
        ("sync-wanting", message(Body::Sync { wants_reply: true }, vec![update("b", MemberState::Alive)])),
        (
            "sync-answering",
            message(Body::Sync { wants_reply: false }, vec![update("b", MemberState::Suspect)]),
        ),
        ("gossip", message(Body::Gossip, all.map(|state| update("b", state)).to_vec())),
    ]
}

fn golden(name: &str) -> &'static str {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no golden line for {name}"))
}

#[test]
fn each_message_is_sealed_as_the_golden_bytes() {
    let mut text = String::new();
    for (name, message) in messages() {
        writeln!(text, "{name} {}", hex(&codec().seal(&message).expect("it fits"))).expect("text takes all");
    }
    let replica = codec().on(Channel::Replica).seal_body(&(MemberId(1), 2u8)).expect("it fits");
    writeln!(text, "replica-channel {}", hex(&replica)).expect("text takes all");
    assert_eq!(text, GOLDEN);
}

#[test]
fn each_golden_datagram_is_opened_as_its_message() {
    for (name, message) in messages() {
        assert_eq!(codec().open(&bytes(golden(name))), Ok(message), "{name}");
    }
    let opened = codec().on(Channel::Replica).open_body::<(MemberId, u8)>(&bytes(golden("replica-channel")));
    assert_eq!(opened, Ok((MemberId(1), 2)));
}

#[test]
fn members_are_known_by_the_same_numbers_and_standings_by_the_same_words() {
    let ids = ["n0", "dewladder"].map(|name| MemberId::of(name).0);
    assert_eq!(ids, [16_059_159_448_129_433_833, 8_305_114_003_831_970_156]);
    let names = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left]
        .map(MemberState::name);
    assert_eq!(names, ["alive", "suspect", "dead", "left"]);
    assert_eq!(Address { ip: [10, 20, 30, 40], port: 7_946 }.to_string(), "10.20.30.40:7946");
}
