//! Messages as bytes, what is refused, and which of two sayings holds.

use dewladder_membership::codec::{Codec, Refused, MOST_BYTES};
use dewladder_membership::{
    BadSettings, Body, Effect, Event, MemberId, Membership, Message, Place, Settings, Standing, Update,
};
use proptest::prelude::*;

fn codec() -> Codec {
    Codec::new("pond", &[1; 16]).expect("a key")
}

fn update(name: &str, incarnation: u64, standing: Standing) -> Update {
    let place = Place { ip: [127, 0, 0, 1], port: 4_000 };
    Update {
        id: MemberId::of(name),
        name: name.to_owned(),
        place,
        incarnation,
        standing,
        by: MemberId(9),
        age_s: 0,
    }
}

fn message(updates: Vec<Update>) -> Message {
    Message {
        from: update("a", 3, Standing::Alive),
        body: Body::Ping { nonce: 7, target: MemberId(5) },
        updates,
    }
}

#[test]
fn what_is_not_of_this_cluster_and_version_is_refused_by_its_cause() {
    let bytes = codec().seal(&message(vec![update("b", 1, Standing::Suspect)])).expect("it fits");
    assert_eq!(codec().open(&bytes), Ok(message(vec![update("b", 1, Standing::Suspect)])));
    let other = Codec::new("lake", &[1; 16]).expect("a key");
    assert_eq!(other.open(&bytes), Err(Refused::Cluster));
    let other = Codec::new("pond", &[2; 16]).expect("a key");
    assert_eq!(other.open(&bytes), Err(Refused::Mac));
    let mut newer = bytes.clone();
    newer[2] = 2;
    assert_eq!(codec().open(&newer), Err(Refused::Version(2)));
    assert_eq!(codec().open(b"GET / HTTP/1.1"), Err(Refused::Foreign));
    assert_eq!(codec().open(&codec().seal_body(&"no message").expect("it fits")), Err(Refused::Body));
    assert!(Codec::new("pond", &[1; 15]).is_err());
}

proptest! {
    #[test]
    fn any_changed_byte_is_refused(at in 0usize..200, bit in 0u8..8) {
        let mut bytes = codec().seal(&message(vec![update("b", 1, Standing::Dead)])).expect("it fits");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(codec().open(&bytes).is_err());
    }

    #[test]
    fn bytes_of_any_kind_are_refused_and_harm_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..1_600)) {
        prop_assert!(codec().open(&bytes).is_err());
    }

    /// News in any order, some of them twice, leave the same behind.
    #[test]
    fn the_order_of_news_makes_no_difference(
        news in proptest::collection::vec((0u64..3, 0u64..4, 0usize..4), 1..12),
        lots in proptest::collection::vec(any::<usize>(), 24),
    ) {
        let standings = [Standing::Alive, Standing::Suspect, Standing::Dead, Standing::Left];
        let said: Vec<Update> = news
            .iter()
            .map(|&(who, incarnation, at)| update(&format!("m{who}"), incarnation, standings[at]))
            .collect();
        let mut other = said.clone();
        for (at, lot) in lots.iter().enumerate() {
            let length = other.len();
            other.swap(at % length, lot % length);
        }
        other.extend(said.iter().take(3).cloned());
        prop_assert_eq!(after(&said), after(&other));
    }

    /// However many are known, and however long their names, each message fits into a datagram.
    #[test]
    fn every_message_fits_into_a_datagram(count in 1usize..120, length in 1usize..48, seed: u64) {
        let mut one = Membership::new(Settings::default(), seed, 0).expect("settings");
        let mut effects = Vec::new();
        for at in 0..count {
            let name = format!("{at:0>length$}");
            let from = update(&name[name.len() - length.min(name.len())..], u64::MAX - 1, Standing::Alive);
            one.handle(1, Event::Heard(Message { from, body: Body::Sync { want: true }, updates: vec![] }), &mut effects);
        }
        for tick in 0..200u64 {
            one.handle(tick * 50_000, Event::Tick, &mut effects);
        }
        for effect in effects {
            if let Effect::Send { message, .. } = effect {
                let bytes = codec().seal(&message);
                prop_assert!(bytes.is_some_and(|bytes| bytes.len() <= MOST_BYTES));
            }
        }
    }
}

fn after(said: &[Update]) -> Vec<(MemberId, u64, Standing)> {
    let mut one = Membership::new(Settings::default(), 1, 0).expect("settings");
    let mut effects = Vec::new();
    for update in said {
        one.handle(1, Event::Heard(message(vec![update.clone()])), &mut effects);
    }
    // Whether one that another holds for dead is dead here, or has its time to refute, is told by the clock.
    let doubted = |standing| if standing == Standing::Dead { Standing::Suspect } else { standing };
    one.others().map(|(id, member)| (id, member.incarnation, doubted(member.standing))).collect()
}

#[test]
fn what_is_said_of_oneself_is_refuted_in_a_higher_incarnation_and_an_old_saying_is_not() {
    let settings = Settings { name: "b".to_owned(), incarnation: 4, ..Settings::default() };
    let mut one = Membership::new(settings, 1, 0).expect("settings");
    let mut effects = Vec::new();
    one.handle(1, Event::Heard(message(vec![update("b", 3, Standing::Dead)])), &mut effects);
    assert_eq!(one.me().incarnation, 4, "that was another life");
    one.handle(1, Event::Heard(message(vec![update("b", 7, Standing::Suspect)])), &mut effects);
    assert_eq!((one.me().incarnation, one.counts().refuted), (8, 1));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Refuted { incarnation: 8, .. })));
}

#[test]
fn settings_that_can_not_be_are_told_by_name() {
    let base = Settings::default;
    let field = |settings: Settings| settings.check().map_err(|BadSettings { field, .. }| field);
    assert_eq!(field(base()), Ok(()));
    assert_eq!(field(Settings { name: String::new(), ..base() }), Err("name"));
    assert_eq!(field(Settings { name: "n".repeat(49), ..base() }), Err("name"));
    assert_eq!(field(Settings { place: Place { ip: [0; 4], port: 0 }, ..base() }), Err("advertise"));
    assert_eq!(field(Settings { probe_every: 0, ..base() }), Err("probe_every_s"));
    assert_eq!(field(Settings { probe_timeout: 600_000, ..base() }), Err("probe_timeout_s"));
    assert_eq!(field(Settings { probe_timeout: 100_000, ..base() }), Err("probe_timeout_s"));
    assert_eq!(field(Settings { indirect: 17, ..base() }), Err("indirect"));
    assert_eq!(field(Settings { suspicion: f64::NAN, ..base() }), Err("suspicion"));
    assert_eq!(field(Settings { suspicion_most: 0.5, ..base() }), Err("suspicion_most"));
    assert_eq!(field(Settings { retransmit: 0, ..base() }), Err("retransmit"));
    assert_eq!(field(Settings { forget_after: 16_000_000, ..base() }), Err("forget_after_s"));
}
