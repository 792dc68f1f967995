//! Which datagrams are rejected, the order of updates, the size of messages, refutation, and the validation of
//! settings.

use dewladder_membership::codec::{Codec, OpenError, MAX_DATAGRAM_BYTES};
use dewladder_membership::{
    Address, Body, Effect, Event, InvalidSettings, MemberId, MemberState, Membership, Message, Settings,
    Update,
};
use proptest::prelude::*;

fn codec() -> Codec {
    Codec::new("pond", &[1; 16]).expect("a valid key")
}

fn update(name: &str, incarnation: u64, state: MemberState) -> Update {
    let address = Address { ip: [127, 0, 0, 1], port: 4_000 };
    Update {
        id: MemberId::of(name),
        name: name.to_owned(),
        address,
        incarnation,
        state,
        reported_by: MemberId(9),
        age_s: 0,
    }
}

fn message(updates: Vec<Update>) -> Message {
    Message {
        sender: update("a", 3, MemberState::Alive),
        body: Body::Ping { nonce: 7, target: MemberId(5) },
        updates,
    }
}

#[test]
fn a_datagram_of_another_cluster_key_or_version_is_rejected_with_the_reason() {
    let bytes =
        codec().seal(&message(vec![update("b", 1, MemberState::Suspect)])).expect("fits into a datagram");
    assert_eq!(codec().open(&bytes), Ok(message(vec![update("b", 1, MemberState::Suspect)])));
    let other = Codec::new("lake", &[1; 16]).expect("a valid key");
    assert_eq!(other.open(&bytes), Err(OpenError::OtherCluster));
    let other = Codec::new("pond", &[2; 16]).expect("a valid key");
    assert_eq!(other.open(&bytes), Err(OpenError::WrongHmac));
    let mut newer = bytes.clone();
    newer[2] = 2;
    assert_eq!(codec().open(&newer), Err(OpenError::UnknownVersion(2)));
    assert_eq!(codec().open(b"GET / HTTP/1.1"), Err(OpenError::NotThisProtocol));
    assert_eq!(
        codec().open(&codec().seal_body(&"no message").expect("fits into a datagram")),
        Err(OpenError::UnreadableBody)
    );
    assert!(Codec::new("pond", &[1; 15]).is_err());
}

proptest! {
    #[test]
    fn a_datagram_with_any_bit_flipped_is_rejected(index in 0usize..200, bit in 0u8..8) {
        let mut bytes =
            codec().seal(&message(vec![update("b", 1, MemberState::Dead)])).expect("fits into a datagram");
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        prop_assert!(codec().open(&bytes).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..1_600)) {
        prop_assert!(codec().open(&bytes).is_err());
    }

    /// Updates lead to the same member table in any order, and even if some of them arrive twice.
    #[test]
    fn updates_lead_to_the_same_member_table_in_any_order(
        inputs in proptest::collection::vec((0u64..3, 0u64..4, 0usize..4), 1..12),
        swap_targets in proptest::collection::vec(any::<usize>(), 24),
    ) {
        let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
        let updates: Vec<Update> = inputs
            .iter()
            .map(|&(number, incarnation, index)| update(&format!("m{number}"), incarnation, states[index]))
            .collect();
        let mut other = updates.clone();
        for (index, swap_target) in swap_targets.iter().enumerate() {
            let length = other.len();
            other.swap(index % length, swap_target % length);
        }
        other.extend(updates.iter().take(3).cloned());
        prop_assert_eq!(table_after(&updates), table_after(&other));
    }

    /// Each message fits into a datagram, however many members are known and however long their names are.
    #[test]
    fn every_message_fits_into_a_datagram(count in 1usize..120, length in 1usize..48, seed: u64) {
        let mut membership = Membership::new(Settings::default(), seed, 0).expect("valid settings");
        let mut effects = Vec::new();
        for index in 0..count {
            let name = format!("{index:0>length$}");
            let sender = update(&name[name.len() - length.min(name.len())..], u64::MAX - 1, MemberState::Alive);
            membership.handle(
                1,
                Event::MessageReceived(Message { sender, body: Body::Sync { wants_reply: true }, updates: vec![] }),
                &mut effects,
            );
        }
        for tick in 0..200u64 {
            membership.handle(tick * 50_000, Event::Tick, &mut effects);
        }
        for effect in effects {
            if let Effect::Send { message, .. } = effect {
                let bytes = codec().seal(&message);
                prop_assert!(bytes.is_some_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES));
            }
        }
    }
}

fn table_after(updates: &[Update]) -> Vec<(MemberId, u64, MemberState)> {
    let mut membership = Membership::new(Settings::default(), 1, 0).expect("valid settings");
    let mut effects = Vec::new();
    for update in updates {
        membership.handle(1, Event::MessageReceived(message(vec![update.clone()])), &mut effects);
    }
    // A member that another instance declared dead is dead or still suspect here, depending on when the updates
    // arrive. Both are compared as suspect.
    let dead_as_suspect = |state| if state == MemberState::Dead { MemberState::Suspect } else { state };
    membership.others().map(|(id, member)| (id, member.incarnation, dead_as_suspect(member.state))).collect()
}

#[test]
fn a_claim_about_this_instance_is_refuted_in_a_higher_incarnation_unless_it_is_about_an_old_one() {
    let settings = Settings { name: "b".to_owned(), incarnation: 4, ..Settings::default() };
    let mut membership = Membership::new(settings, 1, 0).expect("valid settings");
    let mut effects = Vec::new();
    membership.handle(
        1,
        Event::MessageReceived(message(vec![update("b", 3, MemberState::Dead)])),
        &mut effects,
    );
    assert_eq!(
        membership.own_update().incarnation,
        4,
        "a claim about an earlier incarnation needs no refutation"
    );
    membership.handle(
        1,
        Event::MessageReceived(message(vec![update("b", 7, MemberState::Suspect)])),
        &mut effects,
    );
    assert_eq!((membership.own_update().incarnation, membership.counters().refutations), (8, 1));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Refuted { incarnation: 8, .. })));
}

#[test]
fn an_invalid_setting_is_reported_with_its_field() {
    let base = Settings::default;
    let field = |settings: Settings| settings.check().map_err(|InvalidSettings { field, .. }| field);
    assert_eq!(field(base()), Ok(()));
    assert_eq!(field(Settings { name: String::new(), ..base() }), Err("name"));
    assert_eq!(field(Settings { name: "n".repeat(49), ..base() }), Err("name"));
    assert_eq!(field(Settings { address: Address { ip: [0; 4], port: 0 }, ..base() }), Err("advertise"));
    assert_eq!(field(Settings { probe_interval: 0, ..base() }), Err("probe_every_s"));
    assert_eq!(field(Settings { probe_timeout: 600_000, ..base() }), Err("probe_timeout_s"));
    assert_eq!(field(Settings { probe_timeout: 100_000, ..base() }), Err("probe_timeout_s"));
    assert_eq!(field(Settings { indirect_probes: 17, ..base() }), Err("indirect"));
    assert_eq!(field(Settings { suspicion_multiplier: f64::NAN, ..base() }), Err("suspicion"));
    assert_eq!(field(Settings { max_suspicion_multiplier: 0.5, ..base() }), Err("suspicion_most"));
    assert_eq!(field(Settings { retransmit_multiplier: 0, ..base() }), Err("retransmit"));
    assert_eq!(field(Settings { dead_retention: 16_000_000, ..base() }), Err("forget_after_s"));
}
