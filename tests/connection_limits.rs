//! Which connections get a slot, which are evicted where slots are short, and how long each may wait for a request.

use std::time::Duration;

use dewladder::edge::clients::connection_limits::{ConnectionLimits, SlotGuard, MAX_OVER_CAPACITY};
use dewladder::edge::clients::connection_slot::{IDLE_TIMEOUT, REQUEST_TIMEOUT, SILENT_TIMEOUT};
use dewladder::edge::clients::framing::BodyFraming;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";

/// Seen on the bench: clients that ask once and keep their connection took all slots, and four in ten of the
/// others were told that there is none.
#[tokio::test]
async fn the_connection_that_is_idle_longest_is_evicted_and_none_that_is_served() {
    let (limits, start) = (ConnectionLimits::new(3), Instant::now());
    let kept: Vec<SlotGuard> = (0..3).filter_map(|at| limits.admit(start + at * MS)).collect();
    for guard in &kept {
        guard.slot.received(start, REQUEST);
        assert_eq!(guard.slot.request_taken(start).framing, BodyFraming::KnownLength);
    }
    assert!(limits.admit(start + 9_000 * MS).unwrap().slot.over_capacity, "all are served");
    kept[1].slot.request_answered(start + 100 * MS);
    kept[2].slot.request_answered(start + 50 * MS);
    assert!(limits.admit(start + 2_000 * MS).unwrap().slot.over_capacity, "none has been idle for 2 s");
    let new = limits.admit(start + 2_200 * MS).unwrap();
    assert!(!new.slot.over_capacity);
    assert_eq!(limits.slot_ids(), [kept[0].id(), kept[1].id(), new.id()], "the oldest has gone");
}

/// Seen on the bench: 72 of 144 slots were held by requests of which half had come and nothing more, while
/// usual clients were told that there is none.
#[tokio::test]
async fn half_a_request_that_is_left_lying_is_evicted_and_one_that_comes_slowly_is_not() {
    let (limits, start) = (ConnectionLimits::new(3), Instant::now());
    let guards: Vec<SlotGuard> = (0..3).filter_map(|_| limits.admit(start)).collect();
    for guard in &guards {
        guard.slot.received(start, &REQUEST[..9]);
    }
    guards[0].slot.received(start + 300 * MS, &REQUEST[9..12]);
    guards[1].slot.received(start + 600 * MS, &REQUEST[9..]);
    let _ = guards[1].slot.request_taken(start + 600 * MS);
    assert!(limits.admit(start + 399 * MS).unwrap().slot.over_capacity, "all may still go on");
    let first = limits.admit(start + 650 * MS).unwrap();
    assert!(!first.slot.over_capacity, "the third has stalled for longest");
    assert_eq!(limits.slot_ids(), [guards[0].id(), guards[1].id(), first.id()]);
    assert!(limits.admit(start + 690 * MS).unwrap().slot.over_capacity, "the slow one has sent 390 ms ago");
    let (_second, whole) = (limits.admit(start + 700 * MS).unwrap(), &guards[1]);
    assert!(limits.slot_ids().contains(&whole.id()), "a whole one is never in question");
}

#[tokio::test]
async fn silent_connections_take_neither_all_slots_nor_all_time() {
    let (limits, start) = (ConnectionLimits::new(2), Instant::now());
    let silent: Vec<SlotGuard> = (0..300).filter_map(|_| limits.admit(start)).collect();
    assert_eq!((silent.len(), limits.slot_ids().len()), (300, 2 + MAX_OVER_CAPACITY));
    assert_eq!(silent[0].slot.deadline(), Some(start + SILENT_TIMEOUT));
    assert!(!limits.admit(start + 200 * MS).unwrap().slot.over_capacity, "a silent one has been evicted");
    for refused in &silent[2..] {
        refused.slot.received(start, REQUEST);
        let _ = refused.slot.request_taken(start);
    }
    let taken = [(); 2].map(|()| limits.admit(start + 210 * MS).unwrap());
    assert!(limits.admit(start + 210 * MS).is_none(), "any more are closed at once");
    drop((silent, taken));
    let slow = limits.admit(start).unwrap();
    slow.slot.received(start + 2_000 * MS, &REQUEST[..9]);
    assert_eq!(slow.slot.deadline(), Some(start + REQUEST_TIMEOUT), "from when it connected");
    slow.slot.received(start + 2_100 * MS, &REQUEST[9..]);
    assert_eq!(slow.slot.request_taken(start + 2_100 * MS).receive_deadline, start + REQUEST_TIMEOUT);
    assert_eq!(slow.slot.deadline(), None, "its request is open");
    slow.slot.request_answered(start + 3_000 * MS);
    assert_eq!(slow.slot.deadline(), Some(start + 3_000 * MS + IDLE_TIMEOUT));
}
