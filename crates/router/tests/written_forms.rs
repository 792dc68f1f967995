//! Compatibility of everything that the router writes for readers outside the process: the state that it hands over
//! in a hot restart (old and new versions read each other's), the load gossip between dispatchers, and texts that
//! operators and metrics rely on.

mod common;

use common::*;
use dewladder_router::interface::*;
use dewladder_router::settings::{from_key_values, SettingsError};
use dewladder_router::{EndReason, Handover, Load, LoadUpdate};

/// A handover written by the program before identifiers in its code were renamed. It keeps the outer names fixed.
const HANDOVER: &str = include_str!("golden/handover.json");
/// The same handover after the program has read it and written it again. Some numbers differ in the last bit because
/// parsing them is not exact.
const REWRITTEN_HANDOVER: &str = include_str!("golden/handover_rewritten.json");
/// A handover written by this version, which counts the rate of each server from when it was first listed.
const OBSERVED_HANDOVER: &str = include_str!("golden/handover_observed.json");
/// The same after a router has taken it and written it again, as above.
const REWRITTEN_OBSERVED_HANDOVER: &str = include_str!("golden/handover_observed_rewritten.json");
/// The same handover as written by a version without `calls_lately`.
const OLDER_HANDOVER: &str = include_str!("golden/handover_without_calls_lately.json");

/// Settings of one of three dispatchers that exchange load gossip.
fn with_gossip() -> Settings {
    Settings { gossip_allowed: true, dispatcher_count: 3, ..settings() }
}

/// Reads and answers one request of a session, mostly with a shared prefix.
fn serve_turn(world: &mut World, id: u64, cached_tokens: u64) {
    let mut info = request_info(id, world.now);
    info.session = Some(Key(id % 5));
    info.shared = (!id.is_multiple_of(3)).then_some(Key(70 + id % 2));
    info.shared_tokens = 600;
    world.send_request(info);
    world.pass(30_000 + 1_000 * (id % 7));
    world.end_with(RequestId(id), Outcome::Read, cached_tokens);
    world.pass(40_000);
    world.stream_first_token(RequestId(id));
    world.pass(20_000);
    world.end(RequestId(id), Outcome::Served);
}

/// A router with values in every part of its handover: paces, rates, sessions and shared prefixes, and a server that
/// has evicted the prefixes that it was sent.
fn router_with_history() -> World {
    let mut list = fleet(true);
    list[1].started = Some(900 * SECOND);
    let mut world = World::new(with_gossip(), list);
    for id in 1..16 {
        serve_turn(&mut world, id, 900);
    }
    for id in 16..24 {
        serve_turn(&mut world, id, 0);
    }
    let failing = world.send_default_request(40);
    world.end(failing, Outcome::Timeout);
    world.pass(10_000);
    world.end(failing, Outcome::ConnectFailed);
    let update =
        LoadUpdate { server: dewladder_router::tag(ServerId(2)), load: Load::Queued(400_000), at: world.now };
    world.handle_event(Event::GossipReceived(update.to_bytes().to_vec()));
    world.pass(25_000);
    world.handle_event(Event::Ignored);
    world
}

#[test]
fn the_handover_is_written_as_recorded() {
    let written = serde_json::to_string(&router_with_history().router.export_state()).unwrap();
    assert_eq!(written, OBSERVED_HANDOVER.trim_end());
}

#[test]
fn a_recorded_handover_is_read_and_written_again_as_recorded() {
    let read: Handover = serde_json::from_str(HANDOVER).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), REWRITTEN_HANDOVER.trim_end());
}

#[test]
fn a_router_that_takes_a_recorded_handover_hands_the_same_on() {
    let old = router_with_history();
    let mut world = World::new(with_gossip(), old.list.values().cloned().collect());
    world.now = old.now;
    world.handle_event(Event::StateImported(Box::new(serde_json::from_str(OBSERVED_HANDOVER).unwrap())));
    let handed_on = serde_json::to_string(&world.router.export_state()).unwrap();
    assert_eq!(handed_on, REWRITTEN_OBSERVED_HANDOVER.trim_end());
}

#[test]
fn a_handover_of_a_version_without_recent_calls_is_read_with_none() {
    let older: Handover = serde_json::from_str(OLDER_HANDOVER).unwrap();
    let mut expected: serde_json::Value = serde_json::from_str(HANDOVER).unwrap();
    expected["calls_lately"] = serde_json::json!({"value": 0.0, "at": 0, "since": null});
    assert_eq!(serde_json::to_value(&older).unwrap(), expected);
}

#[test]
fn load_updates_are_sent_in_these_bytes() {
    let updates = [
        (0, Load::Sent(0), 0),
        (0x1234, Load::Sent(1_000), SECOND),
        (0xffff, Load::Queued(250_000), 1_000 * SECOND),
        (7, Load::Queued(60 * SECOND), 77 * SECOND),
        (7, Load::Sent(3_600 * SECOND), 77 * SECOND),
    ];
    let sent = updates.map(|(server, load, at)| LoadUpdate { server, load, at }.to_bytes());
    let recorded = [
        [42, 0, 0, 0, 0],
        [185, 52, 18, 61, 0],
        [60, 255, 255, 107, 192],
        [91, 7, 0, 91, 255],
        [219, 7, 0, 91, 127],
    ];
    assert_eq!(sent, recorded);
    assert_eq!([0, 1, 13, 4_000_000].map(|id| dewladder_router::tag(ServerId(id))), [0, 1509, 33233, 34421]);
}

#[test]
fn load_updates_are_read_from_these_bytes() {
    let bytes = LoadUpdate { server: 0xffff, load: Load::Queued(250_000), at: 1_000 * SECOND }.to_bytes();
    let read = LoadUpdate::read(&bytes, 1_000 * SECOND + 20_000).unwrap();
    assert_eq!(read, LoadUpdate { server: 0xffff, load: Load::Queued(256_000), at: 999_997_440 });
}

#[test]
fn reasons_have_these_names_in_this_order() {
    let names = [
        "deadline",
        "attempts_spent",
        "no_servers",
        "may_not_repeat",
        "no_writer",
        "overloaded",
        "no_server_ready",
        "not_allowed",
        "too_many_open",
        "class_gone",
        "leaving",
        "id_not_exclusive",
        "no_room_for_id",
    ];
    assert_eq!(EndReason::ALL.map(EndReason::name), names);
}

fn error(path: &'static str, value: &'static str) -> SettingsError {
    let pairs = [("lanes.count", "1"), ("limits.max_retry_after_s", "1"), (path, value)];
    from_key_values(pairs.into_iter().collect()).expect_err(path)
}

#[test]
fn settings_that_can_not_be_read_are_refused_with_these_texts() {
    let cases = [
        ("balancers", "many", "settings balancers: 'many' is not a valid number for this setting"),
        ("balancers", "0", "settings balancers: must be between 1 and 100000, got 0"),
        ("balancers", "100001", "settings balancers: must be between 1 and 100000, got 100001"),
        ("locality", "-1", "settings locality: '-1' is not a valid number for this setting"),
        ("lanes.count", "x", "settings lanes.count: 'x' is not a valid number for this setting"),
        (
            "discovery",
            "ask",
            "settings discovery: 'ask' is not a valid way (expected subscribe or automatic)",
        ),
        (
            "rules.must_ask_in_s",
            "soon",
            "settings rules.must_ask_in_s: 'soon' is not a valid duration (seconds, from 0 to below 1e12)",
        ),
        (
            "rules.must_ask_in_s",
            "-1",
            "settings rules.must_ask_in_s: '-1' is not a valid duration (seconds, from 0 to below 1e12)",
        ),
        (
            "resolution_s",
            "1e13",
            "settings resolution_s: '1e13' is not a valid duration (seconds, from 0 to below 1e12)",
        ),
        ("limits.cancel", "yes", "settings limits.cancel: must be true or false, got 'yes'"),
        ("prices.peer", "-0.5", "settings prices.peer: must be a finite number of at least 0, got -0.5"),
        ("prices.peer", "cheap", "settings prices.peer: 'cheap' is not a valid number for this setting"),
        ("rules.cold_from", "1.5", "settings rules.cold_from: must be between 0 and 1, got 1.5"),
        (
            "rules.fall_multiple",
            "2e12",
            "settings rules.fall_multiple: must be between 0 and 1000000000000, got 2000000000000",
        ),
        (
            "lanes.0.effect",
            "once",
            "settings lanes.0.effect: 'once' is not a valid effect \
             (expected idempotent, at_most_once or deduplicated)",
        ),
        (
            "lanes.0.group",
            "rack",
            "settings lanes.0.group: 'rack' is not a valid group (expected zone, cell or all)",
        ),
        (
            "lanes.0.aim_s",
            "x",
            "settings lanes.0.aim_s: 'x' is not a valid duration (seconds, from 0 to below 1e12)",
        ),
        ("lanes.0.worth", "x", "settings lanes.0.worth: 'x' is not a valid number for this setting"),
        (
            "limits.max_attempts",
            "-1",
            "settings limits.max_attempts: '-1' is not a valid number for this setting",
        ),
        ("domain.token_aim_s", "x", "settings domain.token_aim_s: 'x' is not a number below 1e12"),
        ("domain.token_aim_s", "-1", "settings domain.token_aim_s: must be a duration of at least 0, got -1"),
        (
            "domain.role_by_kind",
            "reads",
            "settings domain.role_by_kind: 'reads' is not a valid role (expected read, write or both)",
        ),
        ("kinds", "a,b,a", "settings kinds: the name 'a' is used more than once"),
    ];
    for (path, value, message) in cases {
        assert_eq!(error(path, value).to_string(), message);
        assert_eq!(error(path, value).path, path);
    }
    let kind = |memory| {
        from_key_values([("kinds", "a"), ("domain.kind_memory_tokens", memory)].into_iter().collect())
    };
    let message = "settings domain.kind_memory_tokens: must be a positive number, got 0 for kind 0";
    assert_eq!(kind("0").unwrap_err().to_string(), message);
    let message = "settings domain.kind_memory_tokens: '1e12' is not a number below 1e12";
    assert_eq!(kind("1e12").unwrap_err().to_string(), message);
}
