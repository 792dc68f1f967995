//! Bounds how many requests that clients have sent behind each other are begun in one turn of the runtime, over all
//! connections.
//!
//! The runtime polls its ready tasks one after the other. If hundreds of connections each begin the next of their buffered
//! requests in every turn, an event of a stream waits for all of them, several times on its way from a server to its client.
//! Requests that come singly are not affected.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Maximum number of buffered requests that are begun in a turn.
const MAX_PER_TURN: usize = 8;

/// The turns of all connections. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct PipelineTurns(Arc<Mutex<State>>);

/// The place of a connection in the queue for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

#[derive(Debug, Default)]
struct State {
    /// Requests that have been begun in this turn, or may be.
    begun: usize,
    /// The tasks of the connections that wait, in the order of their tickets.
    waiting: VecDeque<Waker>,
    /// The number of tickets issued so far.
    issued: u64,
    /// The number of tickets whose holders may begin a request.
    admitted: u64,
    /// Whether the task that ends the turns is running.
    is_running: bool,
}

impl PipelineTurns {
    /// Ready if a connection may begin its next buffered request now. Otherwise the connection keeps the ticket, and is woken
    /// when it may. Must be called within a runtime.
    pub fn poll_begin(&self, ticket: &mut Option<Ticket>, context: &Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if let Some(Ticket(number)) = *ticket {
            if number >= state.admitted {
                return Poll::Pending;
            }
            *ticket = None;
            return Poll::Ready(());
        }
        if state.begun < MAX_PER_TURN && state.waiting.is_empty() {
            state.begun += 1;
            return Poll::Ready(());
        }
        *ticket = Some(Ticket(state.issued));
        state.issued += 1;
        state.waiting.push_back(context.waker().clone());
        if !std::mem::replace(&mut state.is_running, true) {
            tokio::spawn(self.clone().end_turns());
        }
        Poll::Pending
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends a turn each time the runtime has polled all other ready tasks, until no connection waits.
    async fn end_turns(self) {
        loop {
            tokio::task::yield_now().await;
            let admitted = self.lock().begin_turn();
            if admitted.is_empty() {
                return;
            }
            admitted.into_iter().for_each(Waker::wake);
        }
    }
}

impl State {
    /// Begins a turn, and returns the tasks of the connections that may begin a request in it.
    fn begin_turn(&mut self) -> Vec<Waker> {
        let admitted = self.waiting.len().min(MAX_PER_TURN);
        self.begun = admitted;
        self.admitted += admitted as u64;
        self.is_running = admitted > 0;
        self.waiting.drain(..admitted).collect()
    }
}
