//! One client's connection as the limits see it: what it does, how long it may wait for a request, and whether it may be
//! evicted where slots are short.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::edge::clients::framing::{BodyFraming, RequestFraming};

/// A client is owed an error or a close 3 s after it has connected: a request that is not whole by then, body and all, is
/// not waited for. Counted from its first byte on a connection that has been served before.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_700);
/// A connection on which nothing has come at all is closed after this.
pub const SILENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection that has been served may be idle for so long.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection over capacity has so long to ask and be refused.
const OVER_CAPACITY_TIMEOUT: Duration = Duration::from_millis(500);
/// One that has been served is not evicted before it has been idle for so long.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// One on which nothing has come yet is not evicted before this: clients connect to ask.
const MIN_SILENT: Duration = Duration::from_millis(150);
/// One within a request, of which nothing more has come for so long, may be evicted: half-written requests that are left
/// lying would take all slots. Clients that write slowly, in pieces, are passed over as long as pieces come.
const MIN_STALLED: Duration = Duration::from_millis(400);

/// Where a connection stands with its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// It waits for one.
    Waiting,
    /// One has begun to come, then, and no front has it yet.
    Receiving { since: Instant },
    /// Fronts have so many, until their answers have been handed over.
    Serving { open: usize },
}

/// How a connection ends, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    Open,
    /// The client has ended its side, or the connection has broken: nothing can come any more.
    ClientClosed,
    /// It leaves to make room for another.
    Evicted,
    /// It is being closed: what still comes is read and dropped.
    Lingering,
}

#[derive(Debug)]
struct State {
    framing: RequestFraming,
    request: RequestState,
    close: CloseState,
    /// Since when it has waited for a request, or for its answer to be written.
    waiting_since: Instant,
    /// When something last came.
    received_at: Instant,
    /// A request of it has been answered.
    was_served: bool,
    /// An answer that has been handed over is not written whole yet: the client takes in no more for now.
    is_write_blocked: bool,
    /// How long it may have waited to be accepted, until its first request is taken.
    accept_delay: Duration,
    /// Woken once the open request has been answered: more has come behind it.
    answered_waker: Option<Waker>,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// A front has a request of it.
    Serving,
    /// A request comes.
    Receiving,
    /// It waits for one.
    Idle,
}

/// Who is evicted first: the lesser rank, then the one that has waited longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    class: EvictionClass,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// It is being closed.
    Lingering,
    /// It has been served, and is idle.
    Idle,
    /// Nothing has come, or it is over capacity.
    Silent,
    /// A request has begun to come, and nothing more of it.
    Stalled,
}

/// A request that a front takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenRequest {
    /// What its head says of where it ends.
    pub framing: BodyFraming,
    /// By when it must have come whole.
    pub whole_by: Instant,
}

/// A connection's slot. It is written by the connection's task and the fronts, and read where slots are short.
#[derive(Debug)]
pub struct ConnectionSlot {
    state: Mutex<State>,
    /// The task that has the connection; it ends with the slot's eviction.
    task: Mutex<Option<AbortHandle>>,
    /// No slot was free: whatever it asks, it is refused.
    pub over_capacity: bool,
}

/// Locks a mutex, also after a panic elsewhere: what it guards is changed in whole steps.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionSlot {
    pub(crate) fn new(now: Instant, over_capacity: bool) -> Self {
        let state = State {
            framing: RequestFraming::default(),
            request: RequestState::Waiting,
            close: CloseState::Open,
            waiting_since: now,
            received_at: now,
            was_served: false,
            is_write_blocked: false,
            accept_delay: Duration::ZERO,
            answered_waker: None,
        };
        Self { state: Mutex::new(state), task: Mutex::new(None), over_capacity }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Whether a front has a request that has come whole: what comes now belongs to none that a front may have yet.
    #[must_use]
    pub fn serves_whole_request(&self) -> bool {
        let state = self.state();
        state.is_serving() && !state.framing.is_within_request()
    }

    /// Takes in what the client has sent, up to the end of a request; returns how many of the bytes that is.
    pub fn received(&self, now: Instant, bytes: &[u8]) -> usize {
        let mut state = self.state();
        let taken = state.framing.push_one(bytes);
        state.received_at = now;
        if state.request == RequestState::Waiting && !bytes.is_empty() {
            let since = if state.was_served { now } else { state.waiting_since };
            state.request = RequestState::Receiving { since };
        }
        taken
    }

    /// Something has been written, or all that can be for now (`is_blocked`).
    pub fn written(&self, now: Instant, is_blocked: bool) {
        let mut state = self.state();
        let was_blocked = std::mem::replace(&mut state.is_write_blocked, is_blocked);
        if was_blocked && !state.is_serving() {
            state.waiting_since = now;
        }
    }

    /// The connection may have waited so long to be accepted.
    pub fn set_accept_delay(&self, delay: Duration) {
        self.state().accept_delay = delay;
    }

    /// How long the request that is taken now may have waited for its connection to be accepted: the first one only.
    #[must_use]
    pub fn take_accept_delay(&self) -> Duration {
        std::mem::take(&mut self.state().accept_delay)
    }

    /// A front takes the next request.
    pub fn request_taken(&self, now: Instant) -> TakenRequest {
        let mut state = self.state();
        let (since, open) = match state.request {
            RequestState::Waiting => (now, 1),
            RequestState::Receiving { since } => (since, 1),
            RequestState::Serving { open } => (now, open + 1),
        };
        state.request = RequestState::Serving { open };
        TakenRequest { framing: state.framing.next_body_framing(), whole_by: since + REQUEST_TIMEOUT }
    }

    /// A request's answer has been handed over, or has ended without.
    pub fn request_answered(&self, now: Instant) {
        let mut state = self.state();
        (state.was_served, state.waiting_since) = (true, now);
        state.request = match state.request {
            RequestState::Serving { open } if open > 1 => RequestState::Serving { open: open - 1 },
            _ if state.framing.is_within_request() => RequestState::Receiving { since: now },
            _ => RequestState::Waiting,
        };
        let waker = state.answered_waker.take();
        drop(state);
        waker.iter().for_each(Waker::wake_by_ref);
    }

    /// Has this woken as the open request has been answered: hyper waits for bytes to come, and those behind that request
    /// have come already.
    pub fn wake_when_answered(&self, waker: &Waker) {
        self.state().answered_waker = Some(waker.clone());
    }

    /// When the connection has waited long enough for a request; `None` while one is open or its answer is written.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let state = self.state();
        if state.is_write_blocked {
            return None;
        }
        let wait = match state.was_served {
            _ if self.over_capacity => OVER_CAPACITY_TIMEOUT,
            true => IDLE_TIMEOUT,
            false => SILENT_TIMEOUT,
        };
        match state.request {
            RequestState::Waiting => Some(state.waiting_since + wait),
            RequestState::Receiving { since } => Some(since + REQUEST_TIMEOUT),
            RequestState::Serving { .. } => None,
        }
    }

    /// The client has ended its side, or its connection has broken.
    pub fn client_closed(&self) {
        let mut state = self.state();
        if state.close != CloseState::Lingering {
            state.close = CloseState::ClientClosed;
        }
    }

    /// Whether a close has to linger: bytes that nobody will read may still come, and a close over them is a reset that can
    /// take the answer along. That is so until the client has ended its side; an evicted connection lingers only within a
    /// request, as a flood of connections must not be kept by their number.
    #[must_use]
    pub fn lingers(&self) -> bool {
        let state = self.state();
        match state.close {
            CloseState::ClientClosed => false,
            CloseState::Evicted => state.framing.is_within_request(),
            CloseState::Open | CloseState::Lingering => true,
        }
    }

    /// This task serves the connection; it is ended with the slot's eviction.
    pub fn set_task(&self, task: AbortHandle) {
        *lock(&self.task) = Some(task);
    }

    /// From now on this task has the connection, only to read and drop what still comes.
    pub fn set_lingering_task(&self, task: AbortHandle) {
        self.state().close = CloseState::Lingering;
        self.set_task(task);
    }

    pub(crate) fn activity(&self) -> Activity {
        match self.state().request {
            RequestState::Serving { .. } => Activity::Serving,
            RequestState::Receiving { .. } => Activity::Receiving,
            RequestState::Waiting => Activity::Idle,
        }
    }

    /// Ends the connection. Its task ends before anything else of it runs: it closes with no answer cut.
    pub(crate) fn evict(&self) {
        let mut state = self.state();
        if state.close != CloseState::ClientClosed {
            state.close = CloseState::Evicted;
        }
        drop(state);
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
    }

    /// How soon it is evicted where slots are short, if it may be.
    pub(crate) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let state = self.state();
        if state.close == CloseState::Lingering {
            return Some(EvictionRank { class: EvictionClass::Lingering, since: state.waiting_since });
        }
        if state.is_write_blocked {
            return None;
        }
        let (class, min_wait, since) = match state.request {
            RequestState::Serving { .. } => return None,
            RequestState::Receiving { .. } => (EvictionClass::Stalled, MIN_STALLED, state.received_at),
            RequestState::Waiting if self.over_capacity => {
                (EvictionClass::Silent, Duration::ZERO, state.waiting_since)
            }
            RequestState::Waiting if state.was_served => (EvictionClass::Idle, MIN_IDLE, state.waiting_since),
            RequestState::Waiting => (EvictionClass::Silent, MIN_SILENT, state.waiting_since),
        };
        (now >= since + min_wait).then_some(EvictionRank { class, since })
    }
}

impl State {
    fn is_serving(&self) -> bool {
        matches!(self.request, RequestState::Serving { .. })
    }
}
