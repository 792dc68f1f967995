//! Handover of the learnt state from one dispatcher to another on the same machine (hot restart).

mod common;

use common::*;
use dewladder_router::interface::*;
use dewladder_router::Handover;

/// A dispatcher that has served 39 sessions, and its exported state after a round trip through JSON.
fn world_with_learnt_state() -> (World, Handover) {
    let mut world = World::new(settings(), fleet(false));
    for id in 1..40 {
        world.send_default_request(id);
        world.pass(30_000);
        world.end(RequestId(id), Outcome::Read);
        world.pass(40_000);
        world.stream_first_token(RequestId(id));
        world.end(RequestId(id), Outcome::Served);
    }
    let json = serde_json::to_string(&world.router.export_state()).unwrap();
    (world, serde_json::from_str(&json).unwrap())
}

/// Serves the next turn of a session, and returns the reader that it was sent to.
fn serve_turn(world: &mut World, session: u64, id: u64) -> ServerId {
    let mut info = request_info(id, world.now);
    info.session = Some(Key(session));
    world.send_request(info);
    let reader = world.in_flight(RequestId(id)).expect("sent to a reader").server;
    world.pass(30_000);
    world.end_with(RequestId(id), Outcome::Read, 1_000);
    world.pass(40_000);
    world.stream_first_token(RequestId(id));
    world.end(RequestId(id), Outcome::Served);
    reader
}

/// Without the import, the new dispatcher would read the prompts of most sessions again at other readers.
#[test]
fn imported_state_sends_sessions_to_the_readers_that_cache_their_prompts() {
    let (mut old, handover) = world_with_learnt_state();
    // The new dispatcher knows of four more readers, listed after those sessions were served, so that some of the
    // sessions have another home reader.
    let mut list = fleet(false);
    list.extend([entry(4, 0), entry(5, 0), entry(6, 0), entry(7, 0)]);
    let new_world = |now| {
        let mut world = World::new(settings(), list.clone());
        world.now = now;
        world
    };
    let (mut with_import, mut without_import) = (new_world(old.now), new_world(old.now));
    with_import.handle_event(Event::StateImported(Box::new(handover)));
    // Turns sent to the reader that caches the session's prompt, with and without the import.
    let mut same_reader = [0, 0];
    for session in 1..40 {
        let caching_reader = serve_turn(&mut old, session, 100 + session);
        same_reader[0] += usize::from(serve_turn(&mut with_import, session, 100 + session) == caching_reader);
        same_reader[1] +=
            usize::from(serve_turn(&mut without_import, session, 100 + session) == caching_reader);
    }
    assert!(same_reader[0] >= 35, "{same_reader:?}");
    assert!(
        same_reader[1] < 30,
        "without the import, sessions must move to their new homes: {same_reader:?}"
    );
}

/// Values with times in the future, of a server that has restarted since, or that are no valid numbers must be
/// skipped.
#[test]
fn implausible_state_is_not_imported() {
    let (old, handover) = world_with_learnt_state();
    // Imports the handover, modified by `change`, into a dispatcher that starts at `now`. Returns the number of
    // prefixes before and after, and the exported state.
    let import_prefix_count =
        |now: Micros, change: &dyn Fn(&mut serde_json::Value), list: Vec<ServerEntry>| {
            let mut json = serde_json::to_value(&handover).unwrap();
            change(&mut json);
            let mut world = World::new(settings(), list);
            world.now = now;
            let before = serde_json::to_value(world.router.export_state()).unwrap();
            if let Ok(handover) = serde_json::from_value(json) {
                world.handle_event(Event::StateImported(Box::new(handover)));
            }
            let after = serde_json::to_value(world.router.export_state()).unwrap();
            let count_prefixes = |exported: &serde_json::Value| {
                exported["servers"]
                    .as_array()
                    .unwrap()
                    .iter()
                    .map(|server| server["prefixes"].as_array().unwrap().len())
                    .sum::<usize>()
            };
            (count_prefixes(&before), count_prefixes(&after), after)
        };
    assert!(import_prefix_count(old.now, &|_| (), fleet(false)).1 >= 39);
    assert_eq!(import_prefix_count(old.now - SECOND, &|_| (), fleet(false)).1, 0, "written in the future");
    for ahead_us in [3_600 * SECOND as i64, -(SECOND as i64)] {
        let shifted = handover.clone().with_clock_shifted(ahead_us);
        let shifted_now = old.now.checked_add_signed(ahead_us).unwrap();
        let use_shifted = |json: &mut serde_json::Value| *json = serde_json::to_value(&shifted).unwrap();
        assert!(
            import_prefix_count(shifted_now, &use_shifted, fleet(false)).1 >= 39,
            "on a clock that is {ahead_us} us ahead"
        );
    }
    let restarted =
        fleet(false).into_iter().map(|entry| ServerEntry { started: Some(old.now - 10), ..entry }).collect();
    assert_eq!(import_prefix_count(old.now, &|_| (), restarted).1, 0, "the servers have restarted");
    assert_eq!(
        import_prefix_count(old.now, &|json| json["stages"] = serde_json::json!([]), fleet(false)).1,
        0
    );
    for invalid in [serde_json::json!(-1.0), serde_json::json!(0.0)] {
        let (.., after) =
            import_prefix_count(old.now, &|json| json["stages"][0]["best"] = invalid.clone(), fleet(false));
        assert!(after["stages"][0]["best"].as_f64().unwrap() > 0.0);
    }
}
