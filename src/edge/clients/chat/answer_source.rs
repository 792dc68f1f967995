//! Sources of a choice's event stream (a server, or the recording of another run), the errors that end an answer
//! early, and the storage of finished responses.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use dewladder_chat::{RequestError, ResponseStore, StoredResponse};
use http_body::Body as _;
use serde_json::Value;
use tokio::sync::OwnedSemaphorePermit;

use crate::edge::clients::answer_reader::AnswerReader;
use crate::edge::clients::memory_budget::Reservation;
use crate::edge::servers::{Cut, Relay};

/// Maximum size of the text of an answer that is collected in memory (bytes): for clients that want no stream, and of
/// responses.
pub(super) const MAX_TEXT_BYTES: usize = 1 << 20;

/// Where the event stream of a choice comes from.
pub(super) enum AnswerSource {
    /// The stream of a server that runs the request for this client.
    Relay {
        relay: Box<Relay>,
        /// Counts against the tenant's limit of open requests while the stream lasts.
        _permit: OwnedSemaphorePermit,
    },
    /// The recorded stream of a run, which several clients may read.
    Recorded(AnswerReader),
}

impl AnswerSource {
    /// The next bytes of the server's stream; `None` at its end.
    pub(super) fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        let frame = match self {
            Self::Relay { relay, .. } => ready!(Pin::new(&mut **relay).poll_frame(context)),
            Self::Recorded(reader) => ready!(Pin::new(reader).poll_frame(context)),
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default())))
    }
}

/// Why an answer is incomplete. The `Display` text is sent to the client.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// A server's stream broke off.
    #[error(transparent)]
    Cut(#[from] Cut),
    /// A server sent an event that could not be parsed.
    #[error("{0}")]
    Unreadable(#[from] RequestError),
    /// The stream of a resumed choice ended before it had repeated all text that the client already has.
    #[error("the server's stream ended before what it had told")]
    EndedEarly,
    /// The request for the rest of the answer was refused or failed.
    #[error("no server had room")]
    ResumeFailed,
    /// No server accepted the rest of the answer within the time and the number of resumptions that are allowed.
    #[error("the server's stream broke, and no other server had room")]
    NoOtherServer,
    /// The resumed part does not repeat the text that the client already has.
    #[error("another server came to other words")]
    Diverged,
    /// The answer broke off for a reason that has no text of its own.
    #[error("the server's stream broke")]
    Broken,
    /// The text of the answer exceeds [`MAX_TEXT_BYTES`].
    #[error("the answer is too long")]
    TooLong,
}

/// Stores one response once it is complete, so that the client can fetch it and later requests can continue it.
#[derive(Clone)]
pub(super) struct ResponseSaver {
    pub(super) store: Arc<Mutex<ResponseStore>>,
    /// The number of the tenant, which alone can read the response.
    pub(super) tenant: u32,
    /// The response's id, `resp_` and the request id.
    pub(super) id: String,
    /// The items of the request's input, which are stored before the output items.
    pub(super) input_items: Vec<Value>,
    /// The memory of the items.
    pub(super) _memory: Arc<Reservation>,
}

impl ResponseSaver {
    /// Stores the response, with the items of its input and output.
    pub(super) fn save(self, response: Value, output_items: Vec<Value>) {
        let items = self.input_items.into_iter().chain(output_items).collect();
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.insert(self.tenant, &self.id, StoredResponse { response, items });
    }
}
