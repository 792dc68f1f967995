//! The body of a streamed HTTP response: writes the events of all choices in the client's format, and comments that
//! keep the connection open while no event comes.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dewladder_chat::StreamWriter;
use http_body::{Body, Frame};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::edge::clients::chat::answer_source::{AnswerError, AnswerSource, ResponseSaver, MAX_TEXT_BYTES};
use crate::edge::clients::chat::choice_stream::ChoiceStreams;
use crate::edge::clients::chat::resumption::Resumption;

/// A comment line of the event stream, which clients ignore.
const KEEPALIVE: &[u8] = b": waiting\n\n";
/// The `code` of the error event that ends an incomplete stream.
const CUT_CODE: &str = "stream_cut";

/// The stream that answers one request, with all its choices. If one choice breaks off and is not resumed, a single
/// error event ends the stream, and the other choices are dropped.
pub(super) struct AnswerStream {
    /// The events still to come; `None` once the last event has been written.
    choices: Option<ChoiceStreams>,
    writer: StreamWriter,
    /// The events that start the stream have been written.
    is_open: bool,
    /// Stores the response at the end; `None` if the client did not ask for that.
    saver: Option<ResponseSaver>,
    /// `None` if no comments are to be sent.
    keepalive: Option<Keepalive>,
}

/// Sends a comment after each `interval` without an event, so that the client, or a proxy before it, does not take the
/// connection for dead.
struct Keepalive {
    interval: Duration,
    /// Ends when the next comment is due.
    sleep: Pin<Box<Sleep>>,
}

impl AnswerStream {
    /// Creates the stream from `sources`, one for each choice.
    pub(super) fn new(
        sources: Vec<AnswerSource>,
        writer: StreamWriter,
        saver: Option<ResponseSaver>,
        resumption: Option<Resumption>,
        keepalive: Option<Duration>,
    ) -> Self {
        let keepalive = keepalive
            .map(|interval| Keepalive { interval, sleep: Box::pin(sleep_until(Instant::now() + interval)) });
        let choices = Some(ChoiceStreams::new(sources, resumption));
        Self { choices, writer, is_open: false, saver, keepalive }
    }

    /// The next text to send; `None` after the end of the stream.
    fn poll_text(&mut self, context: &mut Context<'_>) -> Poll<Option<String>> {
        if !std::mem::replace(&mut self.is_open, true) {
            let text = self.writer.open();
            if !text.is_empty() {
                return Poll::Ready(Some(text));
            }
        }
        loop {
            let Some(choices) = &mut self.choices else { return Poll::Ready(None) };
            let text = match ready!(choices.poll_next(context)) {
                Some(Ok(_)) if self.writer.text_bytes() > MAX_TEXT_BYTES => self.fail(&AnswerError::TooLong),
                Some(Ok((choice, event))) => self.writer.event(choice, &event),
                Some(Err(error)) => self.fail(&error),
                None => self.close(),
            };
            if !text.is_empty() {
                return Poll::Ready(Some(text));
            }
        }
    }

    /// Ends the stream with an error event. Drops all choices, as the client would never see more of them.
    fn fail(&mut self, error: &AnswerError) -> String {
        self.choices = None;
        self.writer.fail(CUT_CODE, &error.to_string())
    }

    /// Ends the stream after all choices are complete, and stores the response if the client asked for that.
    fn close(&mut self) -> String {
        self.choices = None;
        let text = self.writer.close();
        if let (Some(saver), Some(response)) = (self.saver.take(), self.writer.response()) {
            saver.save(response, self.writer.output_items());
        }
        text
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let data = match self.poll_text(context) {
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(text)) => Bytes::from(text),
            Poll::Pending => {
                let Some(keepalive) = &mut self.keepalive else { return Poll::Pending };
                ready!(keepalive.sleep.as_mut().poll(context));
                Bytes::from_static(KEEPALIVE)
            }
        };
        if let Some(keepalive) = &mut self.keepalive {
            let next = Instant::now() + keepalive.interval;
            keepalive.sleep.as_mut().reset(next);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}
