//! The state of a client connection that the connection limits need: what it is doing, how long it may wait
//! for a request, and whether it may be evicted when there are too few slots.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::edge::clients::delivery::HandedOverAnswer;
use crate::edge::clients::framing::{BodyFraming, RequestFraming};
use crate::edge::clients::memory_budget::{MemoryBudget, Reservation};

/// A client must get an error or a close within 3 s of connecting, so a request whose head and body are not
/// complete after this time is given up. On a connection that has been served before, the time counts from
/// the first byte of the request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_700);
/// A connection on which no byte has been received is closed after this time.
pub const SILENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection that has been served is closed after it has been idle for this long.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection over capacity is closed if no request has begun on it within this time.
const OVER_CAPACITY_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection that has been served is not evicted before it has been idle for this long.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// A connection on which no byte has been received is not evicted before this time: its request is probably
/// on its way.
const MIN_SILENT: Duration = Duration::from_millis(150);
/// A connection may be evicted when no byte of a request that has begun has been received for this long:
/// otherwise abandoned, half-written requests could take all slots. A client that writes slowly is not
/// evicted while pieces of its request keep coming.
const MIN_STALLED: Duration = Duration::from_millis(400);

/// The part of a head for which the memory of its connection is enough (bytes).
const FREE_HEAD_BYTES: usize = 4 << 10;
/// How often a head is held while it is received: by hyper and by the framing.
const HEAD_COPIES: usize = 2;

/// The progress of a connection's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// No request has begun.
    Waiting,
    /// A request has begun to come and no front has taken it yet. Its [`REQUEST_TIMEOUT`] counts from
    /// `since`.
    Receiving { since: Instant },
    /// Fronts have taken `open` requests whose answers have not been handed over completely.
    Serving { open: usize },
}

/// Whether and how the connection is ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    Open,
    /// The client has closed its sending side, or the connection has broken: no further bytes can come.
    ClientClosed,
    /// It was evicted to free its slot.
    Evicted,
    /// A lingering close is in progress: received bytes are discarded.
    Lingering,
}

#[derive(Debug)]
struct State {
    framing: RequestFraming,
    /// The memory for the head that is being received, beyond [`FREE_HEAD_BYTES`].
    head_memory: Reservation,
    /// There was no memory for a head: the connection is to be closed.
    has_no_room: bool,
    request: RequestState,
    close: CloseState,
    /// Since when the connection has waited for its next request, or for its last answer to be written.
    waiting_since: Instant,
    /// When bytes were last received.
    received_at: Instant,
    /// Whether a request has been answered on this connection.
    was_served: bool,
    /// The last write was blocked: the client does not take in more of an answer for now.
    is_write_blocked: bool,
    /// The longest time that the connection may have been queued before it was accepted; reset to zero when
    /// its first request is taken.
    accept_delay: Duration,
    /// Woken once the open request has been answered, as bytes of the next one are buffered already.
    answered_waker: Option<Waker>,
    /// The latest answer, if it matters whether the client gets it and that has not been decided.
    handed_over: Option<HandedOverAnswer>,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// A front has taken a request of it.
    Serving,
    /// A request is being received.
    Receiving,
    /// It waits for a request.
    Idle,
}

/// The order of eviction: the lower class first, and within a class the connection that has waited longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    class: EvictionClass,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// A lingering close is in progress.
    Lingering,
    /// It has been served and is idle.
    Idle,
    /// No byte has been received, or it is over capacity and waits for a request.
    Silent,
    /// A request has begun, and no more of it has come for a while.
    Stalled,
}

/// A request that a front has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenRequest {
    /// How the end of its body is determined, according to its head.
    pub framing: BodyFraming,
    /// When the whole request, head and body, must have been received.
    pub receive_deadline: Instant,
}

/// The state of one connection's slot. The connection's task and the fronts update it;
/// [`ConnectionLimits`](super::connection_limits::ConnectionLimits) reads it when there are too few slots.
#[derive(Debug)]
pub struct ConnectionSlot {
    state: Mutex<State>,
    /// The task that owns the connection; it is aborted when the slot is evicted.
    task: Mutex<Option<AbortHandle>>,
    /// No slot was free for this connection: all its requests are refused.
    pub over_capacity: bool,
}

/// Locks a mutex even if it is poisoned: all updates of the guarded data are atomic, so a panic elsewhere
/// leaves no half-finished state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionSlot {
    pub(crate) fn new(now: Instant, over_capacity: bool, memory: &MemoryBudget) -> Self {
        let state = State {
            framing: RequestFraming::default(),
            head_memory: memory.reservation(),
            has_no_room: false,
            request: RequestState::Waiting,
            close: CloseState::Open,
            waiting_since: now,
            received_at: now,
            was_served: false,
            is_write_blocked: false,
            accept_delay: Duration::ZERO,
            answered_waker: None,
            handed_over: None,
        };
        Self { state: Mutex::new(state), task: Mutex::new(None), over_capacity }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Whether a front has a request that has been received completely. Bytes that come now belong to a later
    /// request, which no front may take yet.
    #[must_use]
    pub fn serves_complete_request(&self) -> bool {
        let state = self.state();
        state.is_serving() && !state.framing.is_within_request()
    }

    /// Whether no request has begun.
    #[must_use]
    pub fn waits_for_request(&self) -> bool {
        self.state().request == RequestState::Waiting
    }

    /// Records received bytes, up to the end of the current request. Returns how many of the bytes that is.
    pub fn received(&self, now: Instant, bytes: &[u8]) -> usize {
        let mut state = self.state();
        let consumed = state.framing.push_until_request_end(bytes);
        state.reserve_head();
        state.received_at = now;
        if state.request == RequestState::Waiting && !bytes.is_empty() {
            let since = if state.was_served { now } else { state.waiting_since };
            state.request = RequestState::Receiving { since };
        }
        consumed
    }

    /// Records a write. `is_blocked` means that the socket accepts no more bytes for now.
    pub fn written(&self, now: Instant, is_blocked: bool) {
        let mut state = self.state();
        let was_blocked = std::mem::replace(&mut state.is_write_blocked, is_blocked);
        if was_blocked && !state.is_serving() {
            state.waiting_since = now;
        }
    }

    /// Sets the longest time that the connection may have been queued before it was accepted.
    pub fn set_accept_delay(&self, delay: Duration) {
        self.state().accept_delay = delay;
    }

    /// The longest time that the request taken now may have waited for its connection to be accepted. Zero
    /// for all but the first request.
    #[must_use]
    pub fn take_accept_delay(&self) -> Duration {
        std::mem::take(&mut self.state().accept_delay)
    }

    /// Records that a front takes the next request.
    pub fn request_taken(&self, now: Instant) -> TakenRequest {
        let mut state = self.state();
        let (since, open) = match state.request {
            RequestState::Waiting => (now, 1),
            RequestState::Receiving { since } => (since, 1),
            RequestState::Serving { open } => (now, open + 1),
        };
        state.request = RequestState::Serving { open };
        TakenRequest { framing: state.framing.next_body_framing(), receive_deadline: since + REQUEST_TIMEOUT }
    }

    /// Records that the answer of a request has been handed over completely, or that the request ended
    /// without an answer.
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

    /// Wakes this task once the open request has been answered. Hyper then waits for bytes from the socket,
    /// but bytes behind that request are buffered already.
    pub fn wake_when_answered(&self, waker: &Waker) {
        self.state().answered_waker = Some(waker.clone());
    }

    /// When the connection is to be closed because a request has not begun or is not complete, or because there is
    /// no memory for its head; `None` while a request is open or its answer is being written.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let state = self.state();
        if state.has_no_room && !state.is_serving() {
            return Some(state.received_at);
        }
        if state.is_write_blocked {
            return None;
        }
        let timeout = match state.was_served {
            _ if self.over_capacity => OVER_CAPACITY_TIMEOUT,
            true => IDLE_TIMEOUT,
            false => SILENT_TIMEOUT,
        };
        match state.request {
            RequestState::Waiting => Some(state.waiting_since + timeout),
            RequestState::Receiving { since } => Some(since + REQUEST_TIMEOUT),
            RequestState::Serving { .. } => None,
        }
    }

    /// Records that all of an answer has been handed over to be written, and that it matters whether the client gets it.
    pub fn answer_handed_over(&self, answer: HandedOverAnswer) {
        // Dropped after the lock has been released.
        let _previous = self.state().handed_over.replace(answer);
    }

    /// Records that bytes have been received: the client has the latest answer, as it sends one request at a time.
    pub fn client_sent(&self) {
        let _delivered = self.state().handed_over.take();
    }

    /// Records that the client has closed its sending side.
    pub fn client_closed(&self) {
        let mut state = self.state();
        state.mark_client_closed();
        let answer = state.handed_over.take();
        let is_unwritten = state.is_write_blocked;
        drop(state);
        if let Some(answer) = answer.filter(|_| is_unwritten) {
            answer.lost();
        }
    }

    /// Records that the connection has broken.
    pub fn connection_broken(&self) {
        self.state().mark_client_closed();
        self.answer_lost();
    }

    /// Whether it matters if the client gets the latest answer, and that has not been decided.
    pub fn has_undelivered_answer(&self) -> bool {
        self.state().handed_over.is_some()
    }

    /// Records that the latest answer did not reach the client.
    pub fn answer_lost(&self) {
        let answer = self.state().handed_over.take();
        answer.into_iter().for_each(HandedOverAnswer::lost);
    }

    /// Whether the connection needs a lingering close: if bytes from the client are unread or still arrive
    /// when its socket is closed, the client gets a reset, which can destroy an answer on its way. Bytes may
    /// arrive until the client has closed its sending side. An evicted connection lingers only within a
    /// request, so that a flood of connections can't hold on to resources by its number.
    #[must_use]
    pub fn should_linger(&self) -> bool {
        let state = self.state();
        match state.close {
            CloseState::ClientClosed => false,
            CloseState::Evicted => state.framing.is_within_request(),
            CloseState::Open | CloseState::Lingering => true,
        }
    }

    /// Sets the task that serves the connection; it is aborted when the slot is evicted.
    pub fn set_task(&self, task: AbortHandle) {
        *lock(&self.task) = Some(task);
    }

    /// Sets the task that performs the lingering close, and from now on owns the connection.
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

    /// Evicts the connection by aborting its task before the task runs again, so that it can't take a request
    /// in between. No answer is cut: a connection with an open request or a blocked write is not evicted, see
    /// [`eviction_rank`](Self::eviction_rank).
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

    /// The connection's place in the order of eviction; `None` if it may not be evicted now.
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
    /// Takes the memory for a long head that is not complete, which hyper and the framing both hold.
    fn reserve_head(&mut self) {
        let head_bytes = self.framing.incomplete_head_bytes();
        if head_bytes <= FREE_HEAD_BYTES {
            self.head_memory.shrink_to(0);
        } else if self.head_memory.grow_to(HEAD_COPIES * head_bytes).is_err() {
            self.has_no_room = true;
        }
    }

    /// No further bytes can come from the client.
    fn mark_client_closed(&mut self) {
        if self.close != CloseState::Lingering {
            self.close = CloseState::ClientClosed;
        }
    }

    fn is_serving(&self) -> bool {
        matches!(self.request, RequestState::Serving { .. })
    }
}
