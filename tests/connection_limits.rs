//! Which connections get a slot, which are evicted when no slot is free, and how long each may wait for a request.

use std::time::Duration;

use dewladder::edge::clients::connection_limits::{ConnectionLimits, SlotGuard, MAX_OVER_CAPACITY};
use dewladder::edge::clients::connection_slot::{IDLE_TIMEOUT, REQUEST_TIMEOUT, SILENT_TIMEOUT};
use dewladder::edge::clients::framing::BodyFraming;
use dewladder::edge::clients::memory_budget::MemoryBudget;
use tokio::time::Instant;

/// Memory for what clients make the process hold (bytes).
const CLIENT_MEMORY: usize = 4 << 20;
const MS: Duration = Duration::from_millis(1);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";

/// In a benchmark, clients that kept their connection open after one request took all slots, and four in ten of the
/// other clients were rejected because none was free.
#[tokio::test]
async fn the_longest_idle_connection_is_evicted_and_none_with_an_open_request() {
    let (limits, start) = (ConnectionLimits::new(3, MemoryBudget::new(CLIENT_MEMORY)), Instant::now());
    let kept: Vec<SlotGuard> = (0..3).filter_map(|at| limits.admit(start + at * MS)).collect();
    for guard in &kept {
        guard.slot.received(start, REQUEST);
        assert_eq!(guard.slot.request_taken(start).framing, BodyFraming::KnownLength);
    }
    assert!(limits.admit(start + 9_000 * MS).unwrap().slot.over_capacity, "all have an open request");
    kept[1].slot.request_answered(start + 100 * MS);
    kept[2].slot.request_answered(start + 50 * MS);
    assert!(limits.admit(start + 2_000 * MS).unwrap().slot.over_capacity, "none has been idle for 2 s");
    let new = limits.admit(start + 2_200 * MS).unwrap();
    assert!(!new.slot.over_capacity);
    assert_eq!(
        limits.slot_ids(),
        [kept[0].id(), kept[1].id(), new.id()],
        "the connection that was idle longest is evicted"
    );
}

/// In a benchmark, 72 of 144 slots were taken by requests of which only one half had arrived, while ordinary clients
/// were rejected because no slot was free.
#[tokio::test]
async fn a_stalled_partial_request_is_evicted_and_a_slow_one_is_not() {
    let (limits, start) = (ConnectionLimits::new(3, MemoryBudget::new(CLIENT_MEMORY)), Instant::now());
    let guards: Vec<SlotGuard> = (0..3).filter_map(|_| limits.admit(start)).collect();
    for guard in &guards {
        guard.slot.received(start, &REQUEST[..9]);
    }
    guards[0].slot.received(start + 300 * MS, &REQUEST[9..12]);
    guards[1].slot.received(start + 600 * MS, &REQUEST[9..]);
    let _ = guards[1].slot.request_taken(start + 600 * MS);
    assert!(
        limits.admit(start + 399 * MS).unwrap().slot.over_capacity,
        "no request has stalled for long enough"
    );
    let first = limits.admit(start + 650 * MS).unwrap();
    assert!(!first.slot.over_capacity, "the third request has stalled for longest");
    assert_eq!(limits.slot_ids(), [guards[0].id(), guards[1].id(), first.id()]);
    assert!(
        limits.admit(start + 690 * MS).unwrap().slot.over_capacity,
        "the slow client last sent 390 ms ago"
    );
    let (_second, complete) = (limits.admit(start + 700 * MS).unwrap(), &guards[1]);
    assert!(limits.slot_ids().contains(&complete.id()), "a complete request is never evicted");
}

#[tokio::test]
async fn silent_connections_are_limited_in_number_and_time() {
    let (limits, start) = (ConnectionLimits::new(2, MemoryBudget::new(CLIENT_MEMORY)), Instant::now());
    let silent: Vec<SlotGuard> = (0..300).filter_map(|_| limits.admit(start)).collect();
    assert_eq!((silent.len(), limits.slot_ids().len()), (300, 2 + MAX_OVER_CAPACITY));
    assert_eq!(silent[0].slot.deadline(), Some(start + SILENT_TIMEOUT));
    assert!(
        !limits.admit(start + 200 * MS).unwrap().slot.over_capacity,
        "a silent connection has been evicted"
    );
    for rejected in &silent[2..] {
        rejected.slot.received(start, REQUEST);
        let _ = rejected.slot.request_taken(start);
    }
    let taken = [(); 2].map(|()| limits.admit(start + 210 * MS).unwrap());
    assert!(limits.admit(start + 210 * MS).is_none(), "further connections are closed at once");
    drop((silent, taken));
    let slow = limits.admit(start).unwrap();
    slow.slot.received(start + 2_000 * MS, &REQUEST[..9]);
    assert_eq!(slow.slot.deadline(), Some(start + REQUEST_TIMEOUT), "counted from the connect");
    slow.slot.received(start + 2_100 * MS, &REQUEST[9..]);
    assert_eq!(slow.slot.request_taken(start + 2_100 * MS).receive_deadline, start + REQUEST_TIMEOUT);
    assert_eq!(slow.slot.deadline(), None, "its request is open");
    slow.slot.request_answered(start + 3_000 * MS);
    assert_eq!(slow.slot.deadline(), Some(start + 3_000 * MS + IDLE_TIMEOUT));
}
