//! The idempotency store as tasks share it: behind a mutex, together with the wakers of tasks that wait for
//! changes of an entry.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use dewladder_idempotency::{
    Admission, Effect, EntryId, IdempotencyStore, IncomingRequest, Outcome, Policy, ReadResult, RunInfo,
    Stats,
};
use dewladder_router::mix;
use tokio::sync::oneshot;

use crate::edge::clock::Clock;
use crate::interface::Micros;

/// Maximum size of one chunk that a reader gets (bytes).
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// The result of reading an answer; unlike [`ReadResult`], the data is copied out of the store.
pub(crate) enum AnswerRead {
    /// More bytes of the answer.
    Data(Bytes),
    /// The run ended with this outcome; there are no more bytes.
    Ended(Outcome),
    /// The reader was too slow: bytes that it has not read have been discarded.
    Overrun,
    /// The run is not known any more: the request is to be submitted again.
    Gone,
}

struct State {
    store: IdempotencyStore,
    /// Wakers of the tasks that wait for changes of an entry, by [`EntryId::index`].
    waiters: HashMap<u32, Vec<Waker>>,
    /// Channels that tell the tasks recording a run that it is canceled.
    cancel_senders: HashMap<EntryId, oneshot::Sender<()>>,
    /// The state of the random number generator, which is also the last number drawn.
    random: u64,
}

/// The store, its clock and the tasks that wait for it.
pub(crate) struct SharedStore {
    clock: Clock,
    state: Mutex<State>,
}

impl SharedStore {
    pub(crate) fn new(policy: Policy, clock: Clock, now: Micros, random: u64) -> Self {
        let state = State {
            store: IdempotencyStore::new(policy, now),
            waiters: HashMap::new(),
            cancel_senders: HashMap::new(),
            random,
        };
        Self { clock, state: Mutex::new(state) }
    }

    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs an operation on the store at the current time, then applies the effects that it caused.
    pub(crate) fn update<T>(&self, operation: impl FnOnce(&mut IdempotencyStore, Micros) -> T) -> T {
        let mut state = self.lock();
        let result = operation(&mut state.store, self.clock.now());
        apply_effects(state);
        result
    }

    /// Decides what to do with a request.
    pub(crate) fn admit(&self, request: &IncomingRequest) -> Admission {
        let mut state = self.lock();
        state.random = mix(state.random);
        let random = state.random;
        let admission = state.store.admit(self.clock.now(), request, random);
        apply_effects(state);
        admission
    }

    /// Records that a run begins. The receiver gets a message when the run is to be canceled.
    pub(crate) fn begin_run(&self, id: EntryId, request_id: u64) -> oneshot::Receiver<()> {
        let (cancel, canceled) = oneshot::channel();
        let mut state = self.lock();
        let run_info = RunInfo { request_id, started_us: self.clock.now() };
        state.store.set_run_info(id, run_info);
        state.cancel_senders.insert(id, cancel);
        canceled
    }

    /// Records the outcome of a run whose task is ending.
    pub(crate) fn finish_run(&self, id: EntryId, outcome: Outcome) {
        self.lock().cancel_senders.remove(&id);
        self.update(|store, now| store.finish(now, id, outcome));
    }

    /// Records more of an answer and advances `data` past the recorded bytes. Pending until readers have
    /// freed space for the rest.
    pub(crate) fn poll_record(&self, context: &Context<'_>, id: EntryId, data: &mut &[u8]) -> Poll<()> {
        let mut state = self.lock();
        let taken = state.store.record(self.clock.now(), id, data);
        *data = &data[taken..];
        if !data.is_empty() {
            state.waiters.entry(id.index()).or_default().push(context.waker().clone());
        }
        apply_effects(state);
        if data.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Reads the answer from a byte offset. Pending while no bytes are there and the run has not ended.
    pub(crate) fn poll_read(&self, context: &Context<'_>, id: EntryId, position: u64) -> Poll<AnswerRead> {
        let mut state = self.lock();
        let read_result = match state.store.read(id, position, MAX_CHUNK_BYTES) {
            ReadResult::Data(chunk) => Poll::Ready(AnswerRead::Data(Bytes::copy_from_slice(chunk))),
            ReadResult::Ended(outcome) => Poll::Ready(AnswerRead::Ended(outcome)),
            ReadResult::Overrun => Poll::Ready(AnswerRead::Overrun),
            ReadResult::Gone => Poll::Ready(AnswerRead::Gone),
            ReadResult::Pending => {
                let waiters = state.waiters.entry(id.index()).or_default();
                if !waiters.iter().any(|waker| waker.will_wake(context.waker())) {
                    waiters.push(context.waker().clone());
                }
                Poll::Pending
            }
        };
        apply_effects(state);
        read_result
    }

    /// Statistics of the store.
    pub(crate) fn stats(&self) -> Stats {
        self.lock().store.stats()
    }
}

/// Applies the effects that the store asks for. Tasks are woken only after the lock has been released.
fn apply_effects(mut state: MutexGuard<'_, State>) {
    let effects: Vec<Effect> = state.store.effects().collect();
    let mut wakers = Vec::new();
    for effect in effects {
        match effect {
            Effect::Wake(id) => wakers.extend(state.waiters.remove(&id.index()).unwrap_or_default()),
            Effect::Cancel(id) => {
                if let Some(cancel) = state.cancel_senders.remove(&id) {
                    let _ = cancel.send(()); // fails if the run has just ended, which is harmless
                }
            }
        }
    }
    drop(state);
    wakers.into_iter().for_each(Waker::wake);
}
