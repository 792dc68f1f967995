//! The encoding of every kind of message, compared with golden bytes, because other versions of the program send and
//! read it. The body is in postcard: a variant is encoded as its number in declaration order, and fields follow in
//! declaration order without names.

use std::fmt::Write as _;

use dewladder_membership::codec::{Channel, Codec};
use dewladder_membership::{Address, Body, MemberId, MemberState, Message, Update};

const GOLDEN: &str = include_str!("golden/datagrams.txt");

fn codec() -> Codec {
    Codec::new("pond", b"0123456789abcdef").expect("a valid key")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a String succeeds");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|index| u8::from_str_radix(&hex[index..index + 2], 16).expect("hexadecimal digits"))
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

/// Every kind of message and every member state, each with its name in the golden file.
fn messages() -> Vec<(&'static str, Message)> {
    let (nonce, target) = (0x8899_aabb, MemberId::of("b"));
    let address = Address { ip: [192, 168, 0, 1], port: 65_535 };
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
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
        ("gossip", message(Body::Gossip, states.map(|state| update("b", state)).to_vec())),
    ]
}

fn golden(name: &str) -> &'static str {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no golden line for {name}"))
}

#[test]
fn each_message_is_encoded_as_its_golden_bytes() {
    let mut text = String::new();
    for (name, message) in messages() {
        writeln!(text, "{name} {}", hex(&codec().seal(&message).expect("fits into a datagram")))
            .expect("writing to a String succeeds");
    }
    let replica =
        codec().for_channel(Channel::Replica).seal_body(&(MemberId(1), 2u8)).expect("fits into a datagram");
    writeln!(text, "replica-channel {}", hex(&replica)).expect("writing to a String succeeds");
    assert_eq!(text, GOLDEN);
}

#[test]
fn each_golden_datagram_decodes_to_its_message() {
    for (name, message) in messages() {
        assert_eq!(codec().open(&bytes(golden(name))), Ok(message), "{name}");
    }
    let opened =
        codec().for_channel(Channel::Replica).open_body::<(MemberId, u8)>(&bytes(golden("replica-channel")));
    assert_eq!(opened, Ok((MemberId(1), 2)));
}

#[test]
fn member_ids_and_state_names_are_stable() {
    let ids = ["n0", "dewladder"].map(|name| MemberId::of(name).0);
    assert_eq!(ids, [16_059_159_448_129_433_833, 8_305_114_003_831_970_156]);
    let names = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left]
        .map(MemberState::name);
    assert_eq!(names, ["alive", "suspect", "dead", "left"]);
    assert_eq!(Address { ip: [10, 20, 30, 40], port: 7_946 }.to_string(), "10.20.30.40:7946");
}
