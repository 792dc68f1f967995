//! The idempotency store as tasks share it: behind a lock, with those that wait for news of an entry.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use dewladder_idempotency::{
    Admission, Effect, EntryId, Execution, IdempotencyStore, IncomingRequest, Outcome, Policy, ReadResult,
    Stats,
};
use dewladder_router::mix;
use tokio::sync::oneshot;

use crate::edge::clock::Clock;
use crate::interface::Micros;

/// Given to a reader at once, at most (bytes).
const MAX_PIECE_BYTES: usize = 16 << 10;

/// What a reader finds; data is copied out of the store.
pub(crate) enum Found {
    /// More of the answer.
    Data(Bytes),
    /// The run ended so.
    Ended(Outcome),
    /// The answer went on without this reader.
    Overrun,
    /// The request is to be submitted again.
    Gone,
}

struct State {
    store: IdempotencyStore,
    /// Tasks that wait for news of an entry, by its place.
    waiters: HashMap<u32, Vec<Waker>>,
    /// Tells the tasks that record a run that it is canceled.
    cancel_senders: HashMap<EntryId, oneshot::Sender<()>>,
    /// The last random number drawn.
    random: u64,
}

/// The store, its clock and those that wait.
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

    /// Reports to the store, and carries out what follows.
    pub(crate) fn update<T>(&self, report: impl FnOnce(&mut IdempotencyStore, Micros) -> T) -> T {
        let mut state = self.lock();
        let result = report(&mut state.store, self.clock.now());
        carry_out_effects(state);
        result
    }

    /// What is to be done with a request.
    pub(crate) fn admit(&self, request: &IncomingRequest) -> Admission {
        let mut state = self.lock();
        state.random = mix(state.random);
        let random = state.random;
        let admission = state.store.admit(self.clock.now(), request, random);
        carry_out_effects(state);
        admission
    }

    /// A run begins; the receiver tells when it is canceled.
    pub(crate) fn begin_run(&self, id: EntryId, request_id: u64) -> oneshot::Receiver<()> {
        let (cancel, canceled) = oneshot::channel();
        let mut state = self.lock();
        let execution = Execution { request_id, started_us: self.clock.now() };
        state.store.set_execution(id, execution);
        state.cancel_senders.insert(id, cancel);
        canceled
    }

    /// A run that its task has ended.
    pub(crate) fn finish_run(&self, id: EntryId, outcome: Outcome) {
        self.lock().cancel_senders.remove(&id);
        self.update(|store, now| store.finish(now, id, outcome));
    }

    /// Records more of an answer; `data` moves on behind what was taken in. Pending until readers have made room for the
    /// rest.
    pub(crate) fn poll_record(&self, context: &Context<'_>, id: EntryId, data: &mut &[u8]) -> Poll<()> {
        let mut state = self.lock();
        let taken = state.store.record(self.clock.now(), id, data);
        *data = &data[taken..];
        if !data.is_empty() {
            state.waiters.entry(id.index()).or_default().push(context.waker().clone());
        }
        carry_out_effects(state);
        if data.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// What is at a place of an answer.
    pub(crate) fn poll_read(&self, context: &Context<'_>, id: EntryId, from: u64) -> Poll<Found> {
        let mut state = self.lock();
        let found = match state.store.read(id, from, MAX_PIECE_BYTES) {
            ReadResult::Data(piece) => Poll::Ready(Found::Data(Bytes::copy_from_slice(piece))),
            ReadResult::Ended(outcome) => Poll::Ready(Found::Ended(outcome)),
            ReadResult::Overrun => Poll::Ready(Found::Overrun),
            ReadResult::Gone => Poll::Ready(Found::Gone),
            ReadResult::Pending => {
                let waiters = state.waiters.entry(id.index()).or_default();
                if !waiters.iter().any(|waker| waker.will_wake(context.waker())) {
                    waiters.push(context.waker().clone());
                }
                Poll::Pending
            }
        };
        carry_out_effects(state);
        found
    }

    /// What the store holds and has done.
    pub(crate) fn stats(&self) -> Stats {
        self.lock().store.stats()
    }
}

/// Carries out what the store asks for; nobody is woken while it is locked.
fn carry_out_effects(mut state: MutexGuard<'_, State>) {
    let effects: Vec<Effect> = state.store.effects().collect();
    let mut woken = Vec::new();
    for effect in effects {
        match effect {
            Effect::Wake(id) => woken.extend(state.waiters.remove(&id.index()).unwrap_or_default()),
            Effect::Cancel(id) => {
                if let Some(cancel) = state.cancel_senders.remove(&id) {
                    let _ = cancel.send(()); // a run that has just ended needs it no more
                }
            }
        }
    }
    drop(state);
    woken.into_iter().for_each(Waker::wake);
}
