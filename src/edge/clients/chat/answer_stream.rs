//! A client's stream, as the body of its HTTP response.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dewladder_chat::StreamWriter;
use http_body::{Body, Frame};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::edge::clients::chat::answer_source::{
    AnswerError, AnswerSource, ResponseKeeper, MAX_ANSWER_BYTES,
};
use crate::edge::clients::chat::choice_stream::ChoiceStreams;
use crate::edge::clients::chat::resumption::Resumption;

/// The comment that keeps a stream alive.
const KEEPALIVE: &[u8] = b": waiting\n\n";
/// The code of the error that ends a stream before its end.
const CUT_CODE: &str = "stream_cut";

/// A client's stream: where a choice's server breaks off for good, one error ends it, and the others are dropped.
pub(super) struct AnswerStream {
    /// `None` once the stream has ended.
    choices: Option<ChoiceStreams>,
    writer: StreamWriter,
    is_open: bool,
    keeper: Option<ResponseKeeper>,
    keepalive: Option<Keepalive>,
}

/// Shows the client that it is still served, where nothing has come for a while.
struct Keepalive {
    interval: Duration,
    sleep: Pin<Box<Sleep>>,
}

impl AnswerStream {
    /// The stream of these sources, one for each choice.
    pub(super) fn new(
        sources: Vec<AnswerSource>,
        writer: StreamWriter,
        keeper: Option<ResponseKeeper>,
        resumption: Option<Resumption>,
        keepalive: Option<Duration>,
    ) -> Self {
        let keepalive = keepalive
            .map(|interval| Keepalive { interval, sleep: Box::pin(sleep_until(Instant::now() + interval)) });
        let choices = Some(ChoiceStreams::new(sources, resumption));
        Self { choices, writer, is_open: false, keeper, keepalive }
    }

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
                Some(Ok(_)) if self.writer.text_bytes() > MAX_ANSWER_BYTES => self.cut(&AnswerError::TooLong),
                Some(Ok((choice, event))) => self.writer.event(choice, &event),
                Some(Err(error)) => self.cut(&error),
                None => self.close(),
            };
            if !text.is_empty() {
                return Poll::Ready(Some(text));
            }
        }
    }

    /// Ends the stream with an error. All choices are dropped: one that went on would never be seen.
    fn cut(&mut self, error: &AnswerError) -> String {
        self.choices = None;
        self.writer.cut(CUT_CODE, &error.to_string())
    }

    /// Ends the stream in good order.
    fn close(&mut self) -> String {
        self.choices = None;
        let text = self.writer.close();
        if let (Some(keeper), Some(response)) = (self.keeper.take(), self.writer.response()) {
            keeper.keep(response, self.writer.output_items());
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
