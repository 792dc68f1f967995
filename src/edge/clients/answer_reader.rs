//! One client's reading of a recorded answer, live or kept.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use dewladder_idempotency::{EntryId, Outcome};
use http_body::{Body, Frame};

use crate::edge::clients::shared_store::{Found, SharedStore};
use crate::edge::servers::Cut;
use crate::interface::{Micros, RequestId};

/// How a reader's answer begins.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerStart {
    /// With its first bytes.
    Streaming,
    /// Not at all: the run ended so.
    Ended(Outcome),
    /// The request is to be submitted again.
    SubmitAgain,
}

/// One client's reading of an answer. A reader that is dropped before the end has left.
pub struct AnswerReader {
    store: Arc<SharedStore>,
    id: EntryId,
    /// How far it has read (bytes).
    position: u64,
    /// Read, and not given on yet.
    buffered: Option<Bytes>,
}

impl AnswerReader {
    pub(crate) fn new(store: Arc<SharedStore>, id: EntryId) -> Self {
        Self { store, id, position: 0, buffered: None }
    }

    pub(crate) fn id(&self) -> EntryId {
        self.id
    }

    /// The id under which the request was sent to servers, and when it began to run (us): the same for all its readers.
    #[must_use]
    pub fn request(&self) -> (RequestId, Micros) {
        let execution = self.store.update(|store, _| store.execution(self.id));
        (RequestId(execution.request_id), execution.started_us)
    }

    /// Waits until the answer begins, or turns out not to.
    pub async fn start(&mut self) -> AnswerStart {
        match poll_fn(|context| self.poll_found(context)).await {
            Found::Data(piece) => {
                self.buffered = Some(piece);
                AnswerStart::Streaming
            }
            // An answer without any bytes is one all the same.
            Found::Ended(Outcome::Completed | Outcome::Interrupted(_)) => AnswerStart::Streaming,
            Found::Ended(outcome) => AnswerStart::Ended(outcome),
            Found::Gone | Found::Overrun => AnswerStart::SubmitAgain,
        }
    }

    fn poll_found(&mut self, context: &Context<'_>) -> Poll<Found> {
        if let Some(piece) = self.buffered.take() {
            return Poll::Ready(Found::Data(piece));
        }
        let found = self.store.poll_read(context, self.id, self.position);
        if let Poll::Ready(Found::Data(piece)) = &found {
            self.position += piece.len() as u64;
        }
        found
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.store.update(|store, now| store.reader_left(now, self.id));
    }
}

impl Body for AnswerReader {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.poll_found(context).map(|found| match found {
            Found::Data(piece) => Some(Ok(Frame::data(piece))),
            Found::Ended(Outcome::Completed) => None,
            Found::Ended(Outcome::Interrupted(code)) => Some(Err(cut_of(code))),
            Found::Overrun => Some(Err(Cut::Behind)),
            Found::Ended(_) | Found::Gone => Some(Err(Cut::Broken)),
        })
    }
}

/// The number under which the store keeps why an answer broke off.
pub(crate) fn cut_code(cut: Cut) -> u8 {
    match cut {
        Cut::Broken => 0,
        Cut::Stalled => 1,
        Cut::Spoilt => 2,
        Cut::Behind => 3,
    }
}

fn cut_of(code: u8) -> Cut {
    match code {
        0 => Cut::Broken,
        1 => Cut::Stalled,
        2 => Cut::Spoilt,
        _ => Cut::Behind,
    }
}
