//! Room for clients' connections: who has a seat, how long each may wait for a request, and who leaves when
//! room is short. Times are instants; nothing is waited for here.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use log::warn;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::edge::clients::framing::{Framing, Verdict};

/// A client is owed an error or a close 3 s after it has connected: a request that is not whole by then, body
/// and all, is not waited for. Counted from its first byte on a connection that has been served before.
const WHOLE: Duration = Duration::from_millis(2_700);
/// A connection on which nothing has come at all is closed after this.
const SILENT: Duration = Duration::from_millis(2_500);
/// One that has been served may stand idle for so long, and for so long at the least even if room is short.
const IDLE: Duration = Duration::from_secs(15);
const IDLE_AT_LEAST: Duration = Duration::from_secs(2);
/// Where room is short, one on which nothing has come yet is waited for so long: clients connect to ask.
const SILENT_AT_LEAST: Duration = Duration::from_millis(150);
/// One within a request, of which nothing more has come for so long, may go too: half-written requests that are left
/// lying would take all room. Clients that write slowly, in pieces, are passed over as long as pieces come.
const STALLED_AT_LEAST: Duration = Duration::from_millis(400);
/// Time between two lines that say that there is no room.
const SAID: Duration = Duration::from_secs(1);
/// One beyond those that are served has so long to ask and be told so.
const CROWDED: Duration = Duration::from_millis(500);
/// Connections beyond those that are served that are told so; any more are closed at once.
const TOLD: usize = 16;

#[derive(Debug)]
struct Stage {
    framing: Framing,
    /// Requests in the hands of a front, until their answers have been handed over.
    open: usize,
    /// When the first byte of a request came that no front has yet.
    begun: Option<Instant>,
    /// Since when the connection has waited for a request.
    since: Instant,
    /// When something last came.
    heard: Instant,
    served: bool,
    /// An answer that has been handed over is not written whole yet: the client takes in no more for now.
    writing: bool,
    /// The connection is being closed: what still comes is read and dropped.
    closing: bool,
    /// The client has ended its side: nothing can come any more.
    ended: bool,
    /// It leaves to make room for another.
    evicted: bool,
    /// How long it may have waited to be accepted, until its first request is taken.
    waited: Duration,
    /// Woken once the open request has been answered: more has come behind it.
    waker: Option<Waker>,
}

/// A connection's place.
#[derive(Debug)]
pub struct Seat {
    stage: Mutex<Stage>,
    task: Mutex<Option<AbortHandle>>,
    /// There was no room: whatever it asks, it is told so.
    pub crowded: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Seat {
    fn new(now: Instant, crowded: bool) -> Self {
        let framing = Framing::default();
        let stage = Stage {
            framing,
            open: 0,
            begun: None,
            since: now,
            heard: now,
            served: false,
            writing: false,
            closing: false,
            ended: false,
            evicted: false,
            waited: Duration::ZERO,
            waker: None,
        };
        Self { stage: Mutex::new(stage), task: Mutex::new(None), crowded }
    }

    /// Whether a request is open that has come whole: what comes now is of none that a front may have yet.
    #[must_use]
    pub fn busy(&self) -> bool {
        let stage = lock(&self.stage);
        stage.open > 0 && !stage.framing.within()
    }

    /// Takes in what the client has sent, up to the end of a request; how many of the bytes that is.
    pub fn came(&self, now: Instant, bytes: &[u8]) -> usize {
        let mut stage = lock(&self.stage);
        let taken = stage.framing.take_one(bytes);
        stage.heard = now;
        if stage.open == 0 && stage.begun.is_none() && !bytes.is_empty() {
            stage.begun = Some(if stage.served { now } else { stage.since });
        }
        taken
    }

    /// Something has been written, or all that can be for now (`stuck`).
    pub fn wrote(&self, now: Instant, stuck: bool) {
        let mut stage = lock(&self.stage);
        if std::mem::replace(&mut stage.writing, stuck) && stage.open == 0 {
            stage.since = now;
        }
    }

    /// It may have waited so long to be accepted.
    pub fn has_waited(&self, time: Duration) {
        lock(&self.stage).waited = time;
    }

    /// How long the request that is taken now may have waited for that: its first one only.
    #[must_use]
    pub fn waited(&self) -> Duration {
        std::mem::take(&mut lock(&self.stage).waited)
    }

    /// A front takes the next request: what its head says, and by when it must be whole.
    pub fn taken(&self, now: Instant) -> (Verdict, Instant) {
        let mut stage = lock(&self.stage);
        stage.open += 1;
        let begun = stage.begun.take().unwrap_or(now);
        (stage.framing.verdict(), begun + WHOLE)
    }

    /// A request's answer has been handed over, or has ended without.
    pub fn answered(&self, now: Instant) {
        let mut stage = lock(&self.stage);
        stage.open -= 1;
        (stage.served, stage.since) = (true, now);
        stage.begun = Some(now).filter(|_| stage.framing.within());
        let waker = stage.waker.take();
        drop(stage);
        waker.iter().for_each(Waker::wake_by_ref);
    }

    /// Has this woken as the open request has been answered: hyper waits for bytes to come, and those behind that
    /// request have come already.
    pub fn wakes(&self, waker: &Waker) {
        lock(&self.stage).waker = Some(waker.clone());
    }

    /// When the connection has waited long enough for a request; `None` while one is open or its answer is written.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        let stage = lock(&self.stage);
        let wait = if self.crowded {
            CROWDED
        } else if stage.served {
            IDLE
        } else {
            SILENT
        };
        let due = stage.begun.map_or(stage.since + wait, |begun| begun + WHOLE);
        Some(due).filter(|_| stage.open == 0 && !stage.writing)
    }

    /// The client has ended its side, or its connection has broken.
    pub fn ended(&self) {
        lock(&self.stage).ended = true;
    }

    /// Whether a close has to linger: bytes that nobody will read may still come, and a close over them is a reset
    /// that can take the answer along. That is so until the client has ended its side; one that leaves to make room
    /// lingers only within a request, as a flood of connections must not be kept by their number.
    #[must_use]
    pub fn lingers(&self) -> bool {
        let stage = lock(&self.stage);
        !stage.ended && (!stage.evicted || stage.framing.within())
    }

    /// This task serves the connection; where room is short it may be ended.
    pub fn served_by(&self, task: AbortHandle) {
        *lock(&self.task) = Some(task);
    }

    /// From now on this task has the connection, only to read and drop what still comes.
    pub fn closing(&self, task: AbortHandle) {
        lock(&self.stage).closing = true;
        self.served_by(task);
    }

    /// How urgently it leaves where room is short, if it may: least first.
    fn rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let stage = lock(&self.stage);
        if stage.closing {
            return Some((0, stage.since));
        }
        if stage.open > 0 || stage.writing {
            return None;
        }
        if stage.begun.is_some() {
            return Some((3, stage.heard)).filter(|_| now >= stage.heard + STALLED_AT_LEAST);
        }
        let (rank, at_least, since) = match stage.served {
            _ if self.crowded => (2, Duration::ZERO, stage.since),
            true => (1, IDLE_AT_LEAST, stage.since),
            false => (2, SILENT_AT_LEAST, stage.since),
        };
        Some((rank, since)).filter(|_| now >= since + at_least)
    }
}

#[derive(Debug)]
struct Seats {
    next: u64,
    /// When it was last said that there is no room.
    said: Option<Instant>,
    taken: BTreeMap<u64, Arc<Seat>>,
}

impl Seats {
    fn count(&self, crowded: bool) -> usize {
        self.taken.values().filter(|seat| seat.crowded == crowded).count()
    }

    /// How many have an open request, have begun one, and wait.
    fn kinds(&self) -> [usize; 3] {
        let mut kinds = [0; 3];
        for seat in self.taken.values() {
            let stage = lock(&seat.stage);
            kinds[if stage.open > 0 { 0 } else { usize::from(stage.begun.is_none()) + 1 }] += 1;
        }
        kinds
    }

    /// Has the connection leave that may go first of those that are served, or of those that are only told so.
    fn make_room(&mut self, crowded: bool, now: Instant) -> bool {
        let of_these = self.taken.iter().filter(|(_, seat)| seat.crowded == crowded);
        let first = of_these.filter_map(|(&at, seat)| Some((seat.rank(now)?, at))).min();
        let seat = first.and_then(|(_, at)| self.taken.remove(&at));
        seat.iter().for_each(|seat| lock(&seat.stage).evicted = true);
        // Its task ends before anything else of it runs: the connection closes with no answer cut.
        let task = seat.as_ref().and_then(|seat| lock(&seat.task).take());
        task.iter().for_each(AbortHandle::abort);
        seat.is_some()
    }
}

/// Room for so many connections, shared by all fronts.
#[derive(Clone, Debug)]
pub struct Room {
    most: Arc<AtomicUsize>,
    /// Bytes that are kept for requests that have come behind open ones, on all connections.
    pub ahead: Arc<AtomicUsize>,
    seats: Arc<Mutex<Seats>>,
}

impl Room {
    /// Room for `most` connections that are served.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most: Arc::new(AtomicUsize::new(most)),
            ahead: Arc::default(),
            seats: Arc::new(Mutex::new(Seats { next: 0, said: None, taken: BTreeMap::new() })),
        }
    }

    /// Room for so many from now on.
    pub fn holds(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// Connections that have a place, with those that are only told that there is no room.
    #[must_use]
    pub fn held(&self) -> usize {
        lock(&self.seats).taken.len()
    }

    /// Has those leave that there is no room for any more, as far as they may.
    pub fn shrink(&self, now: Instant) {
        let mut seats = lock(&self.seats);
        while seats.count(false) > self.most.load(Ordering::Relaxed) && seats.make_room(false, now) {}
    }

    /// A place for a new connection. Where there is none, the connection that has waited longest for a request
    /// makes room; where none may go, the new one is only told so; `None` if those are too many as well.
    #[must_use]
    pub fn enter(&self, now: Instant) -> Option<Place> {
        let mut seats = lock(&self.seats);
        let served = seats.count(false);
        let crowded = served >= self.most.load(Ordering::Relaxed) && !seats.make_room(false, now);
        if crowded && seats.said.is_none_or(|said| now >= said + SAID) {
            seats.said = Some(now);
            let [open, begun, idle] = seats.kinds();
            warn!("room: {served} connections, no more: {open} with an open request, {begun} within one, {idle} idle");
        }
        if crowded && seats.count(true) >= TOLD && !seats.make_room(true, now) {
            return None;
        }
        let (at, seat) = (seats.next, Arc::new(Seat::new(now, crowded)));
        seats.next += 1;
        seats.taken.insert(at, seat.clone());
        Some(Place { at, seat, room: self.clone() })
    }
}

/// A seat that is given back when this is dropped.
#[derive(Debug)]
pub struct Place {
    at: u64,
    /// The seat.
    pub seat: Arc<Seat>,
    /// The room that it is in.
    pub room: Room,
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.room.seats).taken.remove(&self.at);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);
    const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";

    /// Seen on the bench: clients that ask once and keep their connection took all room, and four in ten of the
    /// others were told that there is none.
    #[tokio::test]
    async fn the_connection_that_is_idle_longest_makes_room_and_none_that_is_at_work() {
        let (room, start) = (Room::new(3), Instant::now());
        let kept: Vec<Place> = (0..3).filter_map(|at| room.enter(start + at * MS)).collect();
        for place in &kept {
            place.seat.came(start, REQUEST);
            assert_eq!(place.seat.taken(start).0, Verdict::Plain);
        }
        assert!(room.enter(start + 9_000 * MS).unwrap().seat.crowded, "all are at work");
        kept[1].seat.answered(start + 100 * MS);
        kept[2].seat.answered(start + 50 * MS);
        assert!(room.enter(start + 2_000 * MS).unwrap().seat.crowded, "none has been idle for 2 s");
        let new = room.enter(start + 2_200 * MS).unwrap();
        assert!(!new.seat.crowded);
        let seats = lock(&room.seats).taken.keys().copied().collect::<Vec<_>>();
        assert_eq!(seats, [kept[0].at, kept[1].at, new.at], "the oldest has gone");
    }

    /// Seen on the bench: 72 of 144 places were held by requests of which half had come and nothing more, while
    /// usual clients were told that there is no room.
    #[tokio::test]
    async fn half_a_request_that_is_left_lying_makes_room_and_one_that_comes_slowly_does_not() {
        let (room, start) = (Room::new(3), Instant::now());
        let places: Vec<Place> = (0..3).filter_map(|_| room.enter(start)).collect();
        for place in &places {
            place.seat.came(start, &REQUEST[..9]);
        }
        places[0].seat.came(start + 300 * MS, &REQUEST[9..12]);
        places[1].seat.came(start + 600 * MS, &REQUEST[9..]);
        let _ = places[1].seat.taken(start + 600 * MS);
        assert!(room.enter(start + 399 * MS).unwrap().seat.crowded, "all may still go on");
        let first = room.enter(start + 650 * MS).unwrap();
        assert!(!first.seat.crowded, "the third has stalled for longest");
        let seats = lock(&room.seats).taken.keys().copied().collect::<Vec<_>>();
        assert_eq!(seats, [places[0].at, places[1].at, first.at]);
        assert!(room.enter(start + 690 * MS).unwrap().seat.crowded, "the slow one has sent 390 ms ago");
        let (_second, whole) = (room.enter(start + 700 * MS).unwrap(), &places[1]);
        assert!(lock(&room.seats).taken.contains_key(&whole.at), "a whole one is never in question");
    }

    #[tokio::test]
    async fn silence_floods_neither_room_nor_time() {
        let (room, start) = (Room::new(2), Instant::now());
        let silent: Vec<Place> = (0..300).filter_map(|_| room.enter(start)).collect();
        assert_eq!((silent.len(), lock(&room.seats).taken.len()), (300, 2 + TOLD));
        assert_eq!(silent[0].seat.due(), Some(start + SILENT));
        assert!(!room.enter(start + 200 * MS).unwrap().seat.crowded, "silence has made room");
        for told in &silent[2..] {
            told.seat.came(start, REQUEST);
            let _ = told.seat.taken(start);
        }
        let taken = [(); 2].map(|()| room.enter(start + 210 * MS).unwrap());
        assert!(room.enter(start + 210 * MS).is_none(), "any more are closed at once");
        drop((silent, taken));
        let slow = room.enter(start).unwrap();
        slow.seat.came(start + 2_000 * MS, &REQUEST[..9]);
        assert_eq!(slow.seat.due(), Some(start + WHOLE), "from when it connected");
        slow.seat.came(start + 2_100 * MS, &REQUEST[9..]);
        assert_eq!(slow.seat.taken(start + 2_100 * MS).1, start + WHOLE);
        assert_eq!(slow.seat.due(), None, "its request is open");
        slow.seat.answered(start + 3_000 * MS);
        assert_eq!(slow.seat.due(), Some(start + 3_000 * MS + IDLE));
    }
}
