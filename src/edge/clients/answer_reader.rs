//! Reads a recorded answer for one client, while it is being recorded or afterwards.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use dewladder_idempotency::{EntryId, Outcome};
use http_body::{Body, Frame};

use crate::edge::clients::delivery::PendingAnswer;
use crate::edge::clients::shared_store::{AnswerRead, SharedStore};
use crate::edge::servers::Cut;
use crate::interface::{Micros, RequestId};

/// What [`AnswerReader::start`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerStart {
    /// The answer has begun, or has ended without any bytes.
    Streaming,
    /// The run ended with this outcome and without an answer.
    Ended(Outcome),
    /// The record is gone, or the answer has outgrown the store before this reader got its first byte: the
    /// request is to be submitted again.
    SubmitAgain,
}

/// The answer as one client reads it, and the body of its response. Dropping it tells the store that this
/// reader has left.
pub struct AnswerReader {
    store: Arc<SharedStore>,
    id: EntryId,
    /// Offset of the next byte to read from the store.
    position: u64,
    /// A chunk that has been read from the store and not been returned yet.
    buffered: Option<Bytes>,
}

impl AnswerReader {
    pub(crate) fn new(store: Arc<SharedStore>, id: EntryId) -> Self {
        Self { store, id, position: 0, buffered: None }
    }

    pub(crate) fn id(&self) -> EntryId {
        self.id
    }

    /// Tracks whether the client of this reader gets the answer.
    #[must_use]
    pub fn pending_answer(&self) -> PendingAnswer {
        PendingAnswer::new(self.store.clone(), self.id)
    }

    /// The id under which the request was sent to servers, and when it began to run (us). Both are the same
    /// for all readers of this answer.
    #[must_use]
    pub fn request(&self) -> (RequestId, Micros) {
        let run_info = self.store.update(|store, _| store.run_info(self.id));
        (RequestId(run_info.request_id), run_info.started_us)
    }

    /// Waits until the answer begins, or until it is known that there is none.
    pub async fn start(&mut self) -> AnswerStart {
        match poll_fn(|context| self.poll_answer(context)).await {
            AnswerRead::Data(chunk) => {
                self.buffered = Some(chunk);
                AnswerStart::Streaming
            }
            // An answer without any bytes is a valid answer.
            AnswerRead::Ended(Outcome::Completed | Outcome::Interrupted(_)) => AnswerStart::Streaming,
            AnswerRead::Ended(outcome) => AnswerStart::Ended(outcome),
            AnswerRead::Gone | AnswerRead::Overrun => AnswerStart::SubmitAgain,
        }
    }

    fn poll_answer(&mut self, context: &Context<'_>) -> Poll<AnswerRead> {
        if let Some(chunk) = self.buffered.take() {
            return Poll::Ready(AnswerRead::Data(chunk));
        }
        let read_result = self.store.poll_read(context, self.id, self.position);
        if let Poll::Ready(AnswerRead::Data(chunk)) = &read_result {
            self.position += chunk.len() as u64;
        }
        read_result
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
        self.poll_answer(context).map(|read_result| match read_result {
            AnswerRead::Data(chunk) => Some(Ok(Frame::data(chunk))),
            AnswerRead::Ended(Outcome::Completed) => None,
            AnswerRead::Ended(Outcome::Interrupted(code)) => Some(Err(cut_from_code(code))),
            AnswerRead::Overrun => Some(Err(Cut::ClientTooSlow)),
            AnswerRead::Ended(_) | AnswerRead::Gone => Some(Err(Cut::Broken)),
        })
    }
}

/// The number by which the store records why an answer broke off; [`cut_from_code`] is the inverse.
pub(crate) fn cut_code(cut: Cut) -> u8 {
    match cut {
        Cut::Broken => 0,
        Cut::Stalled => 1,
        Cut::Malformed => 2,
        Cut::ClientTooSlow => 3,
    }
}

fn cut_from_code(code: u8) -> Cut {
    match code {
        0 => Cut::Broken,
        1 => Cut::Stalled,
        2 => Cut::Malformed,
        _ => Cut::ClientTooSlow,
    }
}
