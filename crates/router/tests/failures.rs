//! One test for each failure found on the bench's days; each fails without the defence that it names.

mod common;

use common::serving::serve;
use common::*;
use dewladder_router::interface::*;

#[test]
fn an_unresponsive_reader_is_passed_over_before_its_time_out_and_ejected_after_it() {
    let mut world = World::new(settings(), fleet(false));
    let silent = serve(&mut world, 1, 5);
    let mut info = request_info(2, world.now);
    info.session = Some(Key(5));
    world.send_request(info);
    assert_eq!(world.in_flight(RequestId(2)).unwrap().server, silent);
    world.pass(600_000);
    assert_ne!(serve(&mut world, 3, 5), silent, "the oldest attempt there has been silent for too long");
}

#[test]
fn failed_connections_eject_a_server_and_one_request_at_a_time_tries_it() {
    let mut world = World::new(settings(), fleet(false));
    let id = world.send_default_request(1);
    let dead = world.in_flight(id).unwrap().server;
    world.end(id, Outcome::ConnectFailed);
    assert_ne!(world.in_flight(id).unwrap().server, dead);
    let mut again = (2..10).map(|other| world.send_default_request(other)).collect::<Vec<_>>();
    again.retain(|&id| world.in_flight(id).unwrap().server == dead);
    world.end(again[0], Outcome::ConnectFailed);
    // Those that had gone there before the second failure are all that it gets.
    let before = 1 + again.len();
    let sent_to_dead = |world: &World| world.sends.iter().filter(|&&(_, to, _)| to == dead).count();
    for other in 10..30 {
        world.send_default_request(other);
        world.pass(5_000);
    }
    assert_eq!(sent_to_dead(&world), before);
    world.pass(SECOND);
    for other in 40..60 {
        world.send_default_request(other);
    }
    assert!(sent_to_dead(&world) <= before + 1, "one trial at a time");
}

#[test]
fn a_reader_that_forgot_is_not_believed_about_older_prompts_either() {
    let mut world = World::new(settings(), fleet(false));
    let with_shared = |id: u64, session: u64, shared: u64, now: Micros| RequestInfo {
        session: Some(Key(session)),
        shared: Some(Key(shared)),
        shared_tokens: 100,
        ..request_info(id, now)
    };
    // Sessions 0 and `other` were read at one reader, the shared beginning at another.
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
    assert_ne!(world.in_flight(RequestId(9)).unwrap().server, reader, "its longer match is not believed");
}

#[test]
fn a_state_reported_missing_is_released_and_the_prompt_read_again() {
    let mut world = World::new(settings(), fleet(false));
    let id = world.send_default_request(1);
    world.end(id, Outcome::Read);
    world.end(id, Outcome::NoState);
    assert_eq!(world.count(|action| *action == Action::ReleaseHeldState(id)), 1);
    assert!(world.in_flight(id).unwrap().reads);
}

#[test]
fn a_state_that_leaves_its_cell_has_more_time() {
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
fn most_of_a_pool_is_never_ejected() {
    let mut world = World::new(settings(), fleet(false));
    // To the last attempt: what is still out of them would be a queue, and refused for another reason.
    for id in 1..9 {
        world.send_default_request(id);
        while world.in_flight(RequestId(id)).is_some() {
            world.end(RequestId(id), Outcome::ConnectFailed);
        }
    }
    assert_eq!(world.router.avoided_servers(), 4, "all readers have failed often enough to rest");
    let id = world.send_default_request(50);
    assert!(world.in_flight(id).is_some(), "it is sent somewhere all the same");
}

#[test]
fn over_slow_links_a_reader_without_a_writer_in_its_cell_is_passed() {
    let lone = ServerEntry { cell: CellId(7), ..entry(0, 0) };
    let mut world = World::new(settings(), vec![lone, entry(2, 0), entry(10, 1)]);
    let near = (100..120).filter(|&session| serve(&mut world, session, session) == ServerId(2)).count();
    assert!(near > 2, "moves within the cell are the yardstick");
    let far = (0..99).find(|&session| serve(&mut world, session, session) == ServerId(0)).unwrap();
    let mut again = request_info(500, world.now);
    again.session = Some(Key(far));
    world.send_request(again.clone());
    assert_eq!(world.in_flight(RequestId(500)).unwrap().server, ServerId(0), "its match is there");
    world.end(RequestId(500), Outcome::Read);
    world.pass(900_000);
    world.stream_first_token(RequestId(500));
    world.end(RequestId(500), Outcome::Served);
    again.id = RequestId(501);
    again.not_after = world.now + 5 * SECOND;
    world.send_request(again);
    assert_eq!(world.in_flight(RequestId(501)).unwrap().server, ServerId(2), "the move from there took long");
}

#[test]
fn one_own_request_among_many_dispatchers_does_not_make_a_server_full() {
    let mut crowd = settings();
    crowd.dispatcher_count = 200;
    let mut world = World::new(crowd, fleet(false));
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
        "the match is kept beside one own read"
    );
}

#[test]
fn success_in_one_class_does_not_clear_another_class() {
    // One writer only fails class 0; the other fails nothing.
    let list = [entry(0, 0), entry(10, 1), entry(12, 1)];
    let mut world = World::new(settings(), list.into());
    let sick = ServerId(10);
    let write = |world: &mut World, id: u64, class: u32| {
        let mut asked = request_info(id, world.now);
        asked.class = class;
        world.send_request(asked);
        world.end(RequestId(id), Outcome::Read);
        let writer = world.in_flight(RequestId(id)).unwrap().server;
        if writer == sick && class == 0 {
            world.end(RequestId(id), Outcome::Error);
        }
        world.stream_first_token(RequestId(id));
        world.end(RequestId(id), Outcome::Served);
        writer == sick
    };
    for id in 1..40 {
        write(&mut world, id, if id % 2 == 0 { 0 } else { 3 });
    }
    let met = |world: &mut World, from: u64, class: u32| {
        (from..from + 20).filter(|&id| write(world, id, class)).count()
    };
    assert_eq!(met(&mut world, 100, 0), 0, "it rests for the class that it fails");
    assert!(met(&mut world, 200, 3) > 0, "it serves the other class");
}
