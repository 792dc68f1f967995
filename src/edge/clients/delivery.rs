//! Whether the client of a recorded run got its answer, as far as its connection shows.
//!
//! A client has lost its answer if its connection was seen to break before all of the answer had been written, or afterwards
//! by a reset. Everything else is no proof of a loss: a client that closes its connection in good order, or keeps it.

use std::sync::{Arc, Mutex, PoisonError};

use dewladder_idempotency::{Delivery, EntryId};

use crate::edge::clients::shared_store::SharedStore;

/// The answer of a run on its way to a client. Dropping it reports that the client has lost it.
pub struct PendingAnswer {
    store: Arc<SharedStore>,
    id: EntryId,
    /// What is reported when this is dropped.
    delivery: Delivery,
}

impl PendingAnswer {
    pub(crate) fn new(store: Arc<SharedStore>, id: EntryId) -> Self {
        Self { store, id, delivery: Delivery::Lost }
    }

    /// Records that all of the answer has been handed to the client's connection.
    #[must_use]
    pub fn hand_over(mut self) -> HandedOverAnswer {
        self.delivery = Delivery::Made;
        HandedOverAnswer(self)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.store.update(|store, _| store.delivery_ended(self.id, self.delivery));
    }
}

/// An answer that has been handed to the client's connection, which may still break. Dropping it reports that no loss
/// was seen.
pub struct HandedOverAnswer(PendingAnswer);

impl HandedOverAnswer {
    /// Reports that the connection has broken.
    pub fn lost(mut self) {
        self.0.delivery = Delivery::Lost;
    }
}

impl std::fmt::Debug for HandedOverAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_tuple("HandedOverAnswer").field(&self.0.id).finish()
    }
}

/// Carries a pending answer with its response, as an extension, to the connection that writes it.
#[derive(Clone)]
pub struct AnswerTracker(Arc<Mutex<Option<PendingAnswer>>>);

impl AnswerTracker {
    /// A tracker for this answer.
    #[must_use]
    pub fn new(answer: PendingAnswer) -> Self {
        Self(Arc::new(Mutex::new(Some(answer))))
    }

    /// Takes the answer out; `None` if it has been taken.
    #[must_use]
    pub fn take(&self) -> Option<PendingAnswer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
