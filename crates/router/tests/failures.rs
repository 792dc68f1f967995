//! One test for each failure that was found in benchmark runs. Each test fails if the protection that it covers is
//! removed.

mod common;

use std::collections::BTreeMap;

use common::serving::serve;
use common::*;
use dewladder_router::interface::*;

#[test]
fn an_unresponsive_reader_is_skipped_before_the_attempt_times_out() {
    let mut world = World::new(settings(), fleet(false));
    let unresponsive = serve(&mut world, 1, 5);
    let mut info = request_info(2, world.now);
    info.session = Some(Key(5));
    world.send_request(info);
    assert_eq!(world.in_flight(RequestId(2)).unwrap().server, unresponsive);
    world.pass(600_000);
    assert_ne!(serve(&mut world, 3, 5), unresponsive, "its oldest attempt has been unanswered for too long");
}

#[test]
fn failed_connections_eject_a_server_and_then_one_request_at_a_time_probes_it() {
    let mut world = World::new(settings(), fleet(false));
    let id = world.send_default_request(1);
    let failing = world.in_flight(id).unwrap().server;
    world.end(id, Outcome::ConnectFailed);
    assert_ne!(world.in_flight(id).unwrap().server, failing);
    let mut later = (2..10).map(|other| world.send_default_request(other)).collect::<Vec<_>>();
    later.retain(|&id| world.in_flight(id).unwrap().server == failing);
    world.end(later[0], Outcome::ConnectFailed);
    // The server gets no attempts but those that were sent to it before the second failure.
    let sent_before = 1 + later.len();
    let sent_to_failing = |world: &World| world.sends.iter().filter(|&&(_, to, _)| to == failing).count();
    for other in 10..30 {
        world.send_default_request(other);
        world.pass(5_000);
    }
    assert_eq!(sent_to_failing(&world), sent_before);
    world.pass(SECOND);
    for other in 40..60 {
        world.send_default_request(other);
    }
    assert!(sent_to_failing(&world) <= sent_before + 1, "at most one probe at a time");
}

#[test]
fn a_reader_that_lost_its_cache_is_not_believed_to_hold_older_prefixes() {
    let mut world = World::new(settings(), fleet(false));
    let with_shared = |id: u64, session: u64, shared: u64, now: Micros| RequestInfo {
        session: Some(Key(session)),
        shared: Some(Key(shared)),
        shared_tokens: 100,
        ..request_info(id, now)
    };
    // Prompts of the sessions 0 and `other` were read at one reader, the shared prefix at another.
    let reader = serve(&mut world, 1, 0);
    let other = (1..99).find(|&session| serve(&mut world, 100 + session, session) == reader).unwrap();
    let shared = (500..599)
        .find(|&shared| {
            let id = RequestId(shared);
            world.send_request(with_shared(shared, 1_000 + shared, shared, world.now));
            let elsewhere = world.in_flight(id).unwrap().server != reader;
            world.pass(40_000);
            world.end_with(id, Outcome::Read, 0);
            world.end(id, Outcome::Served);
            elsewhere
        })
        .unwrap();
    for id in 2..4 {
        world.pass(SECOND);
        let mut info = request_info(id, world.now);
        info.session = Some(Key(0));
        world.send_request(info);
        assert_eq!(world.in_flight(RequestId(id)).unwrap().server, reader);
        world.pass(40_000);
        world.end_with(RequestId(id), Outcome::Read, 0);
        world.end(RequestId(id), Outcome::Served);
    }
    world.send_request(with_shared(9, other, shared, world.now));
    assert_ne!(
        world.in_flight(RequestId(9)).unwrap().server,
        reader,
        "the reader must not count as caching the session's prompt, a longer prefix"
    );
}

#[test]
fn a_missing_held_state_is_released_and_the_prompt_is_read_again() {
    let mut world = World::new(settings(), fleet(false));
    let id = world.send_default_request(1);
    world.end(id, Outcome::Read);
    world.end(id, Outcome::NoState);
    assert_eq!(world.count(|action| *action == Action::ReleaseHeldState(id)), 1);
    assert!(world.in_flight(id).unwrap().reads);
}

#[test]
fn a_write_in_another_cell_has_a_longer_attempt_timeout() {
    // The attempt timeout of a write in `cell`, of a state that is held in cell 0.
    let far = |cell: u32| {
        let mut world =
            World::new(settings(), vec![entry(0, 0), ServerEntry { cell: CellId(cell), ..entry(10, 1) }]);
        let id = world.send_default_request(1);
        world.end(id, Outcome::Read);
        let in_flight = world.in_flight(id).unwrap();
        in_flight.until - in_flight.at
    };
    assert_eq!(far(1), 3 * far(0));
}

#[test]
fn a_pool_whose_servers_are_all_ejected_still_serves() {
    let mut world = World::new(settings(), fleet(false));
    // All attempts of these requests fail: any that were still in flight would count as a queue, for which the
    // request below would be rejected.
    for id in 1..9 {
        world.send_default_request(id);
        while world.in_flight(RequestId(id)).is_some() {
            world.end(RequestId(id), Outcome::ConnectFailed);
        }
    }
    assert_eq!(world.router.avoided_servers(), 4, "all readers have failed often enough to be ejected");
    let id = world.send_default_request(50);
    assert!(world.in_flight(id).is_some(), "the request must be sent to one of the ejected readers");
}

#[test]
fn with_slow_links_a_reader_without_a_writer_in_its_cell_is_skipped() {
    let remote_reader = ServerEntry { cell: CellId(7), ..entry(0, 0) };
    let mut world = World::new(settings(), vec![remote_reader, entry(2, 0), entry(10, 1)]);
    let local_count =
        (100..120).filter(|&session| serve(&mut world, session, session) == ServerId(2)).count();
    assert!(local_count > 2, "remote fetches are compared with fetches within a cell");
    let far = (0..99).find(|&session| serve(&mut world, session, session) == ServerId(0)).unwrap();
    let mut later = request_info(500, world.now);
    later.session = Some(Key(far));
    world.send_request(later.clone());
    assert_eq!(world.in_flight(RequestId(500)).unwrap().server, ServerId(0), "this reader caches the prompt");
    world.end(RequestId(500), Outcome::Read);
    world.pass(900_000);
    world.stream_first_token(RequestId(500));
    world.end(RequestId(500), Outcome::Served);
    later.id = RequestId(501);
    later.not_after = world.now + 5 * SECOND;
    world.send_request(later);
    assert_eq!(
        world.in_flight(RequestId(501)).unwrap().server,
        ServerId(2),
        "the remote fetch from the other reader was slow"
    );
}

#[test]
fn one_own_attempt_does_not_make_a_server_look_at_capacity_among_many_dispatchers() {
    let mut settings = settings();
    settings.dispatcher_count = 200;
    let mut world = World::new(settings, fleet(false));
    let reader = serve(&mut world, 1, 5);
    let mut first = request_info(2, world.now);
    first.session = Some(Key(5));
    world.send_request(first);
    let mut second = request_info(3, world.now);
    second.session = Some(Key(5));
    world.send_request(second);
    assert_eq!(world.in_flight(RequestId(2)).unwrap().server, reader);
    assert_eq!(
        world.in_flight(RequestId(3)).unwrap().server,
        reader,
        "one own attempt in flight must not exclude the reader that caches the prompt"
    );
}

#[test]
fn success_in_one_class_does_not_end_the_ejection_for_another_class() {
    // One writer fails requests of class 0 only; the other fails none.
    let list = [entry(0, 0), entry(10, 1), entry(12, 1)];
    let mut world = World::new(settings(), list.into());
    let failing_writer = ServerId(10);
    let is_sent_to_failing_writer = |world: &mut World, id: u64, class: u32| {
        let mut info = request_info(id, world.now);
        info.class = class;
        world.send_request(info);
        world.end(RequestId(id), Outcome::Read);
        let writer = world.in_flight(RequestId(id)).unwrap().server;
        if writer == failing_writer && class == 0 {
            world.end(RequestId(id), Outcome::Error);
        }
        world.stream_first_token(RequestId(id));
        world.end(RequestId(id), Outcome::Served);
        writer == failing_writer
    };
    for id in 1..40 {
        is_sent_to_failing_writer(&mut world, id, if id % 2 == 0 { 0 } else { 3 });
    }
    let count_at_failing_writer = |world: &mut World, from: u64, class: u32| {
        (from..from + 20).filter(|&id| is_sent_to_failing_writer(world, id, class)).count()
    };
    assert_eq!(count_at_failing_writer(&mut world, 100, 0), 0, "the writer must be ejected for class 0");
    assert!(count_at_failing_writer(&mut world, 200, 3) > 0, "the writer must still serve class 3");
}

/// What happens to the attempts of requests that have no time left.
#[derive(Clone, Copy, Debug)]
enum NoTimeLeft {
    /// Their servers answer as to any other request, which is too late.
    TooLate,
    /// Their servers say that the request is over.
    TurnedAway,
    /// Their servers can't be reached within the time.
    NotConnected,
}

/// An idle fleet that serves each request in 52 ms; the first five of each hundred requests have 30 ms left. Returns how
/// many of the others get no attempt.
fn refused_beside_requests_without_time(case: NoTimeLeft, classes: u32, interval_us: Micros) -> usize {
    let mut world = World::new(settings(), fleet(false));
    let (mut refused, mut open) = (0, BTreeMap::new());
    for id in 1..=400u64 {
        let is_short = id % 100 < 5;
        let mut info = request_info(id, world.now);
        info.class = (id / 3 % u64::from(classes)) as u32;
        info.not_after = world.now + if is_short { 30_000 } else { 5 * SECOND };
        world.send_request(info);
        if !is_short && world.in_flight(RequestId(id)).is_none() {
            refused += 1;
        }
        open.insert(RequestId(id), is_short);
        let until = world.now + interval_us;
        while world.now < until {
            world.pass(2_000);
            open.retain(|&id, &mut is_short| {
                let Some(sent) = world.in_flight(id) else { return false };
                let waited = world.now - sent.at;
                match case {
                    NoTimeLeft::TurnedAway if is_short => world.end(id, Outcome::Full),
                    NoTimeLeft::NotConnected if is_short && waited >= 28_000 => {
                        world.end(id, Outcome::ConnectFailed);
                    }
                    _ if sent.reads && waited >= 40_000 => world.end_with(id, Outcome::Read, 1_000),
                    _ if !sent.reads && waited >= 12_000 => {
                        world.stream_first_token(id);
                        world.end(id, Outcome::Served);
                    }
                    _ => {}
                }
                true
            });
        }
    }
    refused
}

/// That a request with no time left ends without an answer says nothing about its server: 5 such requests in 100 had 75 of
/// 190 others refused on an idle fleet.
#[test]
fn requests_without_time_left_have_no_other_request_refused() {
    for case in [NoTimeLeft::TooLate, NoTimeLeft::TurnedAway, NoTimeLeft::NotConnected] {
        for classes in [1, 4] {
            for interval_us in [10_000, 20_000, 100_000] {
                let refused = refused_beside_requests_without_time(case, classes, interval_us);
                assert_eq!(refused, 0, "{case:?}, {classes} classes, every {interval_us} us");
            }
        }
    }
}

/// A server that hangs is ejected even where no request has as much time as the latency objective of its class.
#[test]
fn a_hanging_reader_is_ejected_by_requests_with_short_deadlines() {
    let mut settings = settings();
    for class in settings.classes.values_mut() {
        class.default_timeout = 400_000;
    }
    let mut world = World::new(settings, fleet(false));
    let hanging = ServerId(0);
    let mut late = 0;
    for id in 1..200 {
        let info = RequestInfo { not_after: world.now + 300_000, ..request_info(id, world.now) };
        world.send_request(info);
        let id = RequestId(id);
        if world.in_flight(id).is_some_and(|sent| sent.server == hanging) {
            world.pass(300_000);
            late += 1;
            continue;
        }
        world.pass(5_000);
        world.end_with(id, Outcome::Read, 1_000);
        world.pass(5_000);
        world.stream_first_token(id);
        world.end(id, Outcome::Served);
    }
    assert!(late < 10, "{late} of 199 requests were sent to a reader that hangs");
}
