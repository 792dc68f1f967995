//! Overload control: when new requests are rejected early, and when not. Each test fails if the protection that it
//! covers is removed.

mod common;

use common::serving::serve;
use common::*;
use dewladder_router::interface::*;

#[test]
fn new_requests_are_rejected_only_while_readers_are_overloaded() {
    let mut world = World::new(settings(), fleet(false));
    for id in 0..40 {
        serve(&mut world, id, id);
    }
    // Reads take two seconds instead of 40 ms.
    for id in 100..116 {
        world.send_default_request(id);
    }
    world.pass(2 * SECOND - 400_000);
    let rejected = |world: &World| world.count(|action| matches!(action, Action::Reject { .. }));
    for id in 200..240 {
        world.send_default_request(id);
    }
    assert!(rejected(&world) >= 20, "{} of 56 rejected", rejected(&world));
    for id in (100..116).chain(200..240) {
        world.disconnect(RequestId(id));
        world.end(RequestId(id), Outcome::Cancelled);
    }
    let before = rejected(&world);
    world.pass(20 * SECOND);
    for id in 300..320 {
        serve(&mut world, id, id);
    }
    assert_eq!(rejected(&world), before, "nothing may be rejected after the queue is gone");
}

/// One of 200 dispatchers, after it has served 40 requests without any failure.
fn warm_dispatcher_of_many() -> World {
    let mut world = World::new(Settings { dispatcher_count: 200, ..settings() }, fleet(false));
    for id in 0..40 {
        serve(&mut world, id, id);
    }
    world
}

/// The client of a request disconnects, and its attempt in flight is cancelled.
fn disconnect_and_cancel(world: &mut World, id: RequestId) {
    world.disconnect(id);
    world.end(id, Outcome::Cancelled);
}

/// Sends 40 requests one at a time, and returns how many are rejected.
fn rejected_of_40(world: &mut World) -> usize {
    let rejected = |id: &u64| {
        let id = world.send_default_request(*id);
        let rejected = world.in_flight(id).is_none();
        disconnect_and_cancel(world, id);
        rejected
    };
    (200..240).filter(rejected).count()
}

#[test]
fn a_dispatcher_with_few_requests_in_flight_detects_overload_by_late_answers() {
    let mut world = warm_dispatcher_of_many();
    // One request at a time, so none queues behind another of this dispatcher. Still, each read ends just before its
    // attempt timeout.
    for id in 100..110 {
        let id = world.send_default_request(id);
        if world.in_flight(id).is_some() {
            world.pass(950_000);
            world.end(id, Outcome::Read);
        }
        disconnect_and_cancel(&mut world, id);
    }
    let rejected = rejected_of_40(&mut world);
    assert!(rejected > 10, "{rejected} of 40 rejected"); // queueing of 0.91 s; 0.4 s are permitted
}

/// Of ten reads, those for which `times_out` holds time out, and the others end after 40 ms. Returns how many of 40
/// further requests are rejected.
fn rejected_after(times_out: impl Fn(u64) -> bool) -> usize {
    let mut world = warm_dispatcher_of_many();
    for id in 100..110 {
        let id = world.send_default_request(id);
        if times_out(id.0) {
            let until = world.in_flight(id).map_or(world.now, |in_flight| in_flight.until);
            world.pass(until - world.now);
            world.end(id, Outcome::Timeout);
        } else {
            world.pass(40_000);
            world.end(id, Outcome::Read);
        }
        disconnect_and_cancel(&mut world, id);
    }
    rejected_of_40(&mut world)
}

#[test]
fn overload_is_detected_although_some_reads_are_fast() {
    assert!(rejected_after(|id| id % 5 != 0) > 20, "four of five reads time out, which is overload");
}

#[test]
fn reads_lost_at_some_unresponsive_readers_are_no_overload() {
    assert_eq!(rejected_after(|id| id % 3 == 0), 0, "a third of the reads time out, and the others are fast");
}

#[test]
fn in_a_busy_pool_sessions_stay_with_the_reader_that_caches_their_prompt() {
    let mut world = World::new(settings(), fleet(false));
    let reader = serve(&mut world, 1, 5);
    for id in 10..50 {
        serve(&mut world, id, id);
    }
    // Reads queue for 0.3 s at all readers. That is no reason to read a prompt again that one of them caches.
    for id in 100..140 {
        let id = world.send_default_request(id);
        world.pass(350_000);
        world.end(id, Outcome::Read);
        disconnect_and_cancel(&mut world, id);
    }
    let next_turn = |id: u64, now: Micros| RequestInfo {
        session: Some(Key(5)),
        prompt_tokens: 6_000,
        ..request_info(id, now)
    };
    world.send_request(next_turn(200, world.now));
    world.send_request(next_turn(201, world.now));
    assert_eq!(world.in_flight(RequestId(200)).map(|in_flight| in_flight.server), Some(reader));
    assert_eq!(
        world.in_flight(RequestId(201)).map(|in_flight| in_flight.server),
        Some(reader),
        "must not be read again elsewhere"
    );
}

#[test]
fn in_an_unresponsive_pool_sessions_stay_with_the_reader_that_caches_their_prompt() {
    let mut world = World::new(settings(), fleet(false));
    let cached_at: Vec<(u64, ServerId)> =
        (1..40).map(|session| (session, serve(&mut world, session, session))).collect();
    // Reads are fast, so that the unanswered reads below do not count as overload.
    for id in 50..90 {
        let id = world.send_default_request(id);
        world.pass(12_000);
        world.end(id, Outcome::Read);
        disconnect_and_cancel(&mut world, id);
    }
    // One unanswered read at each reader.
    let mut busy_readers = std::collections::BTreeSet::new();
    for id in 100..200 {
        let id = world.send_default_request(id);
        if !busy_readers.insert(world.in_flight(id).expect("the request must be sent").server) {
            disconnect_and_cancel(&mut world, id);
        }
    }
    assert_eq!(busy_readers.len(), 4, "a read must be in flight at each reader");
    world.pass(700_000);
    for &(session, reader) in cached_at.iter().take(8) {
        world.send_request(RequestInfo {
            session: Some(Key(session)),
            ..request_info(300 + session, world.now)
        });
        let id = RequestId(300 + session);
        assert_eq!(world.in_flight(id).map(|in_flight| in_flight.server), Some(reader), "session {session}");
        disconnect_and_cancel(&mut world, id);
    }
}
