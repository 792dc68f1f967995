//! When new work is refused early, and when it is not; each test fails without the defence that it names.

mod common;

use common::serving::serve;
use common::*;
use dewladder_router::interface::*;

#[test]
fn overload_is_answered_by_early_rejection_and_ends_with_it() {
    let mut world = World::new(settings(), fleet(false));
    for id in 0..40 {
        serve(&mut world, id, id);
    }
    // Readers take two seconds where they took 40 ms.
    for id in 100..116 {
        world.send_default_request(id);
    }
    world.pass(2 * SECOND - 400_000);
    let refused = |world: &World| world.count(|action| matches!(action, Action::Reject { .. }));
    for id in 200..240 {
        world.send_default_request(id);
    }
    assert!(refused(&world) >= 20, "{} of 56 refused", refused(&world));
    for id in (100..116).chain(200..240) {
        world.disconnect(RequestId(id));
        world.end(RequestId(id), Outcome::Cancelled);
    }
    let before = refused(&world);
    world.pass(20 * SECOND);
    for id in 300..320 {
        serve(&mut world, id, id);
    }
    assert_eq!(refused(&world), before, "nothing is refused once the queue is gone");
}

/// One of 200 dispatchers, which has served some requests.
fn warm_dispatcher_of_many() -> World {
    let mut world = World::new(Settings { dispatcher_count: 200, ..settings() }, fleet(false));
    for id in 0..40 {
        serve(&mut world, id, id);
    }
    world
}

fn leave(world: &mut World, id: RequestId) {
    world.disconnect(id);
    world.end(id, Outcome::Cancelled);
}

/// How many of 40 requests are refused, one at a time.
fn refused_of_40(world: &mut World) -> usize {
    let refused = |id: &u64| {
        let id = world.send_default_request(*id);
        let refused = world.in_flight(id).is_none();
        leave(world, id);
        refused
    };
    (200..240).filter(refused).count()
}

#[test]
fn a_dispatcher_with_few_requests_in_flight_sees_overload_by_what_comes_back() {
    let mut world = warm_dispatcher_of_many();
    // One request at a time: nothing of its own ever queues, yet each comes back just before its time-out.
    for id in 100..110 {
        let id = world.send_default_request(id);
        if world.in_flight(id).is_some() {
            world.pass(950_000);
            world.end(id, Outcome::Read);
        }
        leave(&mut world, id);
    }
    let refused = refused_of_40(&mut world);
    assert!(refused > 10, "{refused} of 40 refused"); // queueing 0.91 s, of which 0.4 s are permitted
}

/// Of ten reads, those that `lost` names time out, the others come back at once; how many of 40 further ones
/// are refused.
fn refused_after(lost: impl Fn(u64) -> bool) -> usize {
    let mut world = warm_dispatcher_of_many();
    for id in 100..110 {
        let id = world.send_default_request(id);
        if lost(id.0) {
            let until = world.in_flight(id).map_or(world.now, |in_flight| in_flight.until);
            world.pass(until - world.now);
            world.end(id, Outcome::Timeout);
        } else {
            world.pass(40_000);
            world.end(id, Outcome::Read);
        }
        leave(&mut world, id);
    }
    refused_of_40(&mut world)
}

#[test]
fn overload_does_not_hide_behind_the_few_reads_that_come_back() {
    assert!(refused_after(|id| id % 5 != 0) > 20, "four of five reads are lost");
}

#[test]
fn some_unresponsive_readers_are_no_overload() {
    assert_eq!(refused_after(|id| id % 3 == 0), 0, "a third of the reads is lost, the others are prompt");
}

#[test]
fn a_busy_pool_keeps_its_matches() {
    let mut world = World::new(settings(), fleet(false));
    let reader = serve(&mut world, 1, 5);
    for id in 10..50 {
        serve(&mut world, id, id);
    }
    // All readers queue for 0.3 s: that is no reason to read elsewhere anew what one keeps.
    for id in 100..140 {
        let id = world.send_default_request(id);
        world.pass(350_000);
        world.end(id, Outcome::Read);
        leave(&mut world, id);
    }
    let again = |id: u64, now: Micros| RequestInfo {
        session: Some(Key(5)),
        prompt_tokens: 6_000,
        ..request_info(id, now)
    };
    world.send_request(again(200, world.now));
    world.send_request(again(201, world.now));
    assert_eq!(world.in_flight(RequestId(200)).map(|in_flight| in_flight.server), Some(reader));
    assert_eq!(
        world.in_flight(RequestId(201)).map(|in_flight| in_flight.server),
        Some(reader),
        "read anew elsewhere"
    );
}

#[test]
fn where_all_readers_are_late_text_is_still_read_where_it_is_kept() {
    let mut world = World::new(settings(), fleet(false));
    let kept: Vec<(u64, ServerId)> =
        (1..40).map(|session| (session, serve(&mut world, session, session))).collect();
    // Readers are fast, so that what waits is no jam.
    for id in 50..90 {
        let id = world.send_default_request(id);
        world.pass(12_000);
        world.end(id, Outcome::Read);
        leave(&mut world, id);
    }
    // One silent read at each reader.
    let mut stuck = std::collections::BTreeSet::new();
    for id in 100..200 {
        let id = world.send_default_request(id);
        if !stuck.insert(world.in_flight(id).expect("sent").server) {
            leave(&mut world, id);
        }
    }
    assert_eq!(stuck.len(), 4, "a read is out at each");
    world.pass(700_000);
    for &(session, reader) in kept.iter().take(8) {
        world.send_request(RequestInfo {
            session: Some(Key(session)),
            ..request_info(300 + session, world.now)
        });
        let id = RequestId(300 + session);
        assert_eq!(world.in_flight(id).map(|in_flight| in_flight.server), Some(reader), "session {session}");
        leave(&mut world, id);
    }
}
