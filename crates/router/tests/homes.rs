//! Home readers of sessions and shared prefixes, and the balance between readers and writers of cells. Each test
//! fails if the protection that it covers is removed.

mod common;

use common::serving::serve;
use common::*;
use dewladder_router::interface::*;

#[test]
fn all_dispatchers_agree_on_the_home_and_a_session_stays_with_its_reader() {
    for session in 0..20 {
        let mut first = World::new(settings(), fleet(false));
        let mut second = World::new(settings(), fleet(false));
        second.restart(4_711);
        let home = serve(&mut first, 1, session);
        assert_eq!(home, serve(&mut second, 1, session));
        assert_eq!(home, serve(&mut first, 2, session));
    }
}

#[test]
fn all_dispatchers_agree_on_the_server_that_replaces_a_failed_home() {
    let second_choice = |seed: u64| {
        let mut world = World::new(settings(), fleet(false));
        world.restart(seed);
        let mut info = request_info(1, world.now);
        info.shared = Some(Key(77));
        info.shared_tokens = 800;
        world.send_request(info);
        world.end(RequestId(1), Outcome::ConnectFailed);
        world.in_flight(RequestId(1)).unwrap().server
    };
    let first = second_choice(1);
    assert!((2..20).all(|seed| second_choice(seed) == first));
}

#[test]
fn a_cell_keeps_only_the_states_that_its_writers_can_take() {
    // Cell 0: four readers and one writer; cell 1: one reader and four writers.
    let place = |mut entry: ServerEntry, cell: u32| {
        entry.cell = CellId(cell);
        entry.zone = ZoneId(0);
        entry
    };
    let readers = (0..5).map(|id| place(entry(id, 0), u32::from(id == 4)));
    let writers = (10..15).map(|id| place(entry(id, 1), u32::from(id != 10)));
    let mut world = World::new(settings(), readers.chain(writers).collect());
    let (mut to_only_writer, mut all) = (0, 0);
    for id in 1..200 {
        world.send_default_request(id);
        let Some(read) = world.in_flight(RequestId(id)) else { continue };
        if read.server.0 < 4 {
            world.end(RequestId(id), Outcome::Read);
            all += 1;
            to_only_writer += u32::from(world.in_flight(RequestId(id)).unwrap().server == ServerId(10));
            world.stream_first_token(RequestId(id));
        }
        world.end(RequestId(id), Outcome::Served);
        world.pass(300_000);
    }
    assert!(all > 50, "only {all} states were read in the cell");
    assert!(to_only_writer * 2 < all, "{to_only_writer} of {all} states of the cell went to its only writer");
}

#[test]
fn a_zone_keeps_only_the_states_that_its_other_cells_have_spare_writers_for() {
    // Zone 0: a cell of two readers and six writers, and two cells of four readers and two writers each;
    // zone 1: one reader and ten writers. The first cell has 0.3 of all writers.
    let cells = [(0, 0, 2, 6), (1, 0, 4, 2), (2, 0, 4, 2), (3, 1, 1, 10)];
    let mut list = Vec::new();
    for (cell, zone, readers, writers) in cells {
        for (kind, count) in [(0, readers), (1, writers)] {
            let from = 100 * (kind + 1) + 20 * cell;
            let place = |id| ServerEntry { cell: CellId(cell), zone: ZoneId(zone), ..entry(id, kind) };
            list.extend((from..from + count).map(place));
        }
    }
    // The share varies from 0.16 to 0.31 between single seeds, so it is taken over sixteen seeds.
    let (mut first, mut all) = (0, 0);
    for seed in 1..=16 {
        let mut world = World::with_seed(settings(), list.clone(), seed);
        for id in 1..=600 {
            world.send_default_request(id);
            world.end(RequestId(id), Outcome::Read);
            world.stream_first_token(RequestId(id));
            world.end(RequestId(id), Outcome::Served);
            world.pass(50_000);
        }
        let sends_to =
            |from: u32, to: u32| world.sends.iter().filter(|s| (from..to).contains(&s.1 .0)).count();
        (first, all) = (first + sends_to(200, 220), all + sends_to(200, 300));
    }
    assert!(all > 16 * 500, "only {all} states were sent to writers of the zone");
    assert!(first * 100 < all * 28, "{first} of {all} states went to the cell with 0.3 of the writers");
    assert!(first * 100 > all * 20, "{first} of {all} states went to the cell with 0.3 of the writers");
}

/// Simulates three equal cells, where the first token takes 600 ms in cells for which `is_queueing` holds, and 20 ms
/// in the others. Of the last 60 states that were read in cell 0, returns how many went to a writer of cell 0, and
/// how many went to any writer.
fn states_kept_in_cell_0(seed: u64, is_queueing: impl Fn(u32) -> bool) -> (usize, usize) {
    let place = |id: u32, kind| ServerEntry { cell: CellId(id % 3), zone: ZoneId(0), ..entry(id, kind) };
    let list = (0..6).map(|id| place(id, 0)).chain((30..39).map(|id| place(id, 1))).collect();
    let mut world = World::with_seed(settings(), list, seed);
    // The cells of the writers that the states of cell 0 were sent to.
    let mut to = Vec::new();
    for id in 1..400 {
        world.send_default_request(id);
        let Some(read) = world.in_flight(RequestId(id)) else { continue };
        world.end(RequestId(id), Outcome::Read);
        let writer = world.in_flight(RequestId(id)).unwrap().server.0;
        if read.server.0 % 3 == 0 {
            to.push(writer % 3);
        }
        world.pass(if is_queueing(writer % 3) { 600_000 } else { 20_000 });
        world.stream_first_token(RequestId(id));
        world.end(RequestId(id), Outcome::Served);
        world.pass(20_000);
    }
    let last = &to[to.len().saturating_sub(60)..];
    (last.iter().filter(|&&cell| cell == 0).count(), last.len())
}

#[test]
fn a_cell_whose_writers_queue_keeps_fewer_of_its_states() {
    // The share varies from 0.61 to 0.82 between single seeds, so it is taken over eight seeds.
    let (mut kept, mut all) = (0, 0);
    for seed in 7..15 {
        let (of_seed, read) = states_kept_in_cell_0(seed, |cell| cell == 0);
        assert!(read > 40, "only {read} states were read in cell 0");
        (kept, all) = (kept + of_seed, all + read);
        let (kept, all) = states_kept_in_cell_0(seed, |_| false);
        assert!(all > 40 && kept == all, "{kept} of {all} stayed although no cell queues");
    }
    assert!(kept * 100 < all * 76, "{kept} of {all} stayed");
}

#[test]
fn a_shared_prefix_too_popular_for_one_reader_has_several_homes() {
    let mut world = World::new(settings(), fleet(false));
    let mut readers_used = std::collections::BTreeSet::new();
    for id in 1..60 {
        let mut info = request_info(id, world.now);
        info.shared = Some(Key(77));
        info.shared_tokens = 900;
        world.send_request(info);
        readers_used.insert(world.in_flight(RequestId(id)).unwrap().server);
        world.pass(20_000);
        world.end_with(RequestId(id), Outcome::Read, 900);
        world.stream_first_token(RequestId(id));
        world.end(RequestId(id), Outcome::Served);
        world.pass(100_000);
    }
    assert!(
        readers_used.len() >= 3,
        "all requests have one shared prefix, but were read only at {readers_used:?}"
    );
}

#[test]
fn new_dispatchers_spread_a_shared_prefix_over_the_same_homes() {
    let list: Vec<ServerEntry> =
        (0..24).map(|id| entry(id, 0)).chain((30..40).map(|id| entry(id, 1))).collect();
    let mut readers_used = std::collections::BTreeSet::new();
    for session in 0..40 {
        let mut world = World::new(settings(), list.clone());
        let shared =
            RequestInfo { shared: Some(Key(77)), shared_tokens: 900, ..request_info(session, world.now) };
        world.send_request(shared);
        readers_used.insert(world.in_flight(RequestId(session)).unwrap().server);
    }
    assert_eq!(readers_used.len(), 3, "of 24 readers, the prefix was read at {readers_used:?}");
}

/// Simulates eight readers and 12 requests per second: one minute in which each request has a shared prefix of its
/// own, then ten seconds in which two of five requests have the same new prefix. Returns the readers of that prefix
/// in the last two seconds.
fn readers_of_a_prefix_that_became_popular() -> std::collections::BTreeSet<ServerId> {
    let list = (0..8).map(|id| entry(id, 0)).chain((10..14).map(|id| entry(id, 1))).collect();
    let mut world = World::new(settings(), list);
    let mut readers_used = std::collections::BTreeSet::new();
    for id in 0..840 {
        let mut info = request_info(id, world.now);
        let is_popular = id >= 720 && id % 5 < 2;
        info.shared = Some(Key(if is_popular { 77 } else { 10_000 + id }));
        info.shared_tokens = 900;
        world.send_request(info);
        let id = RequestId(id);
        if is_popular && id.0 >= 816 {
            readers_used.extend(world.in_flight(id).map(|in_flight| in_flight.server));
        }
        world.pass(20_000);
        world.end_with(id, Outcome::Read, if is_popular { 900 } else { 0 });
        world.stream_first_token(id);
        world.end(id, Outcome::Served);
        world.pass(63_000);
    }
    readers_used
}

#[test]
fn a_prefix_that_becomes_popular_gets_more_homes_within_seconds() {
    let readers_used = readers_of_a_prefix_that_became_popular();
    assert!(
        readers_used.len() >= 2,
        "two of five requests have the prefix, but it is read only at {readers_used:?}"
    );
}
