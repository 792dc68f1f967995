//! What one dispatcher has learnt, taken over by another on the same machine.

mod common;

use common::*;
use dewladder_router::interface::*;
use dewladder_router::Handover;

/// A dispatcher that has had sessions read, and what it hands over, as text and back.
fn learnt() -> (World, Handover) {
    let mut world = World::new(settings(), fleet(false));
    for id in 1..40 {
        world.send_default_request(id);
        world.pass(30_000);
        world.end(RequestId(id), Outcome::Read);
        world.pass(40_000);
        world.stream_first_token(RequestId(id));
        world.end(RequestId(id), Outcome::Served);
    }
    let text = serde_json::to_string(&world.router.export_state()).unwrap();
    (world, serde_json::from_str(&text).unwrap())
}

/// Where a dispatcher sends the next turn of a session.
fn reader_of(world: &mut World, session: u64, id: u64) -> ServerId {
    let mut info = request_info(id, world.now);
    info.session = Some(Key(session));
    world.send_request(info);
    let to = world.in_flight(RequestId(id)).expect("it is sent").server;
    world.pass(30_000);
    world.end_with(RequestId(id), Outcome::Read, 1_000);
    world.pass(40_000);
    world.stream_first_token(RequestId(id));
    world.end(RequestId(id), Outcome::Served);
    to
}

#[test]
fn a_session_goes_on_where_its_text_is_kept() {
    let (mut old, handover) = learnt();
    // The readers' homes differ for the new dispatcher, as two servers were listed after those sessions were read.
    let mut list = fleet(false);
    list.extend([entry(4, 0), entry(5, 0), entry(6, 0), entry(7, 0)]);
    let fresh = |now| {
        let mut world = World::new(settings(), list.clone());
        world.now = now;
        world
    };
    let (mut with, mut without) = (fresh(old.now), fresh(old.now));
    with.handle_event(Event::StateImported(Box::new(handover)));
    let mut agrees = [0, 0];
    for session in 1..40 {
        let kept = reader_of(&mut old, session, 100 + session);
        agrees[0] += usize::from(reader_of(&mut with, session, 100 + session) == kept);
        agrees[1] += usize::from(reader_of(&mut without, session, 100 + session) == kept);
    }
    assert!(agrees[0] >= 35, "{agrees:?}");
    assert!(agrees[1] < 30, "without it, homes have moved: {agrees:?}");
}

/// What is of the future, of another life of a server, or no figure at all changes nothing.
#[test]
fn what_can_not_be_is_not_taken() {
    let (old, handover) = learnt();
    let take = |now: Micros, change: &dyn Fn(&mut serde_json::Value), list: Vec<ServerEntry>| {
        let mut text = serde_json::to_value(&handover).unwrap();
        change(&mut text);
        let mut world = World::new(settings(), list);
        world.now = now;
        let before = serde_json::to_value(world.router.export_state()).unwrap();
        if let Ok(handover) = serde_json::from_value(text) {
            world.handle_event(Event::StateImported(Box::new(handover)));
        }
        let after = serde_json::to_value(world.router.export_state()).unwrap();
        let prefixes = |of: &serde_json::Value| {
            of["servers"]
                .as_array()
                .unwrap()
                .iter()
                .map(|server| server["prefixes"].as_array().unwrap().len())
                .sum::<usize>()
        };
        (prefixes(&before), prefixes(&after), after)
    };
    assert!(take(old.now, &|_| (), fleet(false)).1 >= 39);
    assert_eq!(take(old.now - SECOND, &|_| (), fleet(false)).1, 0, "of the future");
    for ahead in [3_600 * SECOND as i64, -(SECOND as i64)] {
        let shifted = handover.clone().with_clock_shifted(ahead);
        let other = old.now.checked_add_signed(ahead).unwrap();
        let on_that_clock = |text: &mut serde_json::Value| *text = serde_json::to_value(&shifted).unwrap();
        assert!(take(other, &on_that_clock, fleet(false)).1 >= 39, "by a clock that is {ahead} us ahead");
    }
    let restarted =
        fleet(false).into_iter().map(|entry| ServerEntry { started: Some(old.now - 10), ..entry }).collect();
    assert_eq!(take(old.now, &|_| (), restarted).1, 0, "another life");
    assert_eq!(take(old.now, &|text| text["stages"] = serde_json::json!([]), fleet(false)).1, 0);
    for bad in [serde_json::json!(-1.0), serde_json::json!(0.0)] {
        let (.., after) = take(old.now, &|text| text["stages"][0]["best"] = bad.clone(), fleet(false));
        assert!(after["stages"][0]["best"].as_f64().unwrap() > 0.0);
    }
}
