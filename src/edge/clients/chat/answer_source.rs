//! Where a choice of an answer comes from.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use dewladder_chat::{RequestError, ResponseStore, StoredResponse};
use http_body::Body as _;
use serde_json::Value;
use tokio::sync::OwnedSemaphorePermit;

use crate::edge::clients::answer_reader::AnswerReader;
use crate::edge::servers::{Cut, Relay};

/// The most that is put together for a client that wants no stream, or of a response (bytes).
pub(super) const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Where a choice comes from.
pub(super) enum AnswerSource {
    /// A server's stream.
    Relay {
        relay: Box<Relay>,
        /// Its tenant's leave for one open request, held for as long.
        _permit: OwnedSemaphorePermit,
    },
    /// What is recorded of one.
    Recorded(AnswerReader),
}

impl AnswerSource {
    /// More of the server's stream; `None` at its end.
    pub(super) fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        let frame = match self {
            Self::Relay { relay, .. } => ready!(Pin::new(&mut **relay).poll_frame(context)),
            Self::Recorded(reader) => ready!(Pin::new(reader).poll_frame(context)),
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default())))
    }
}

/// Why an answer ends before its end. `Display` writes what the client reads.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// A server's stream was cut.
    #[error(transparent)]
    Cut(#[from] Cut),
    /// A server sent what can't be read.
    #[error("{0}")]
    Unreadable(#[from] RequestError),
    /// A server's stream ended while it still repeated what the client had.
    #[error("the server's stream ended before what it had told")]
    EndedEarly,
    /// The rest of the answer was requested, and refused.
    #[error("no server had room")]
    NoRoom,
    /// The rest of the answer was requested until no time was left.
    #[error("the server's stream broke, and no other server had room")]
    NoOtherServer,
    /// The resumed part does not repeat what the client had.
    #[error("another server came to other words")]
    Diverged,
    /// The answer can't be put together.
    #[error("the server's stream broke")]
    Broken,
    /// It is longer than what is put together.
    #[error("the answer is too long")]
    TooLong,
}

/// Keeps a response once it is whole.
#[derive(Clone)]
pub(super) struct ResponseKeeper {
    pub(super) store: Arc<Mutex<ResponseStore>>,
    /// The tenant's number.
    pub(super) tenant: u32,
    /// The response's id.
    pub(super) id: String,
    /// The items of its input.
    pub(super) input_items: Vec<Value>,
}

impl ResponseKeeper {
    pub(super) fn keep(self, response: Value, output_items: Vec<Value>) {
        let items = self.input_items.into_iter().chain(output_items).collect();
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.insert(self.tenant, &self.id, StoredResponse { response, items });
    }
}
