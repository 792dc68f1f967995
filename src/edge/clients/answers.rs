//! Answers of the second front: from the streams of servers, or what is recorded of them, to what a client gets.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dewladder_chat::{
    AnswerMetadata, CollectedAnswer, EventParser, Request, RequestKind, ResponseStore, ServerEvent,
    StoredResponse, StreamWriter,
};
use dewladder_resume::{
    AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Policy, ResumableStream,
};
use http_body::{Body, Frame};
use log::info;
use serde_json::{json, Value};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, Instant, Sleep};

use crate::edge::clients::repeats::Reader;
use crate::edge::clock::Clock;
use crate::edge::servers::{Cut, Relay};
use crate::interface::Micros;

/// The most that is put together for a client that wants no stream, or of a response (bytes).
const MOST_ANSWER: usize = 1 << 20;
const STILL_HERE: &[u8] = b": waiting\n\n";

/// Where an answer comes from.
pub enum Source {
    /// A server's stream, with the place that its request holds.
    Relay(Box<Relay>, OwnedSemaphorePermit),
    /// What is recorded of one.
    Reader(Reader),
}

impl Source {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        let frame = match self {
            Self::Relay(relay, _) => ready!(Pin::new(&mut **relay).poll_frame(context)),
            Self::Reader(reader) => ready!(Pin::new(reader).poll_frame(context)),
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default())))
    }
}

/// Where a response is kept once it is whole.
#[derive(Clone)]
pub struct Keeping {
    /// The store.
    pub store: Arc<Mutex<ResponseStore>>,
    /// Whose it is.
    pub tenant: u32,
    /// Its id.
    pub id: String,
    /// The items of its input.
    pub input: Vec<Value>,
}

impl Keeping {
    fn keep(self, response: Value, output: Vec<Value>) {
        let items = self.input.into_iter().chain(output).collect();
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.insert(self.tenant, &self.id, StoredResponse { response, items });
    }
}

/// What the rest of an answer comes from, or when to ask again where it was refused (`None` where it failed).
pub type Asked = Result<Source, Option<Micros>>;
/// Asks for the rest of a choice: what the client has had, the most tokens, by when it must begin, and how long
/// to wait before.
pub type Ask = Arc<
    dyn Fn(usize, String, u64, Micros, Micros) -> Pin<Box<dyn Future<Output = Asked> + Send>> + Send + Sync,
>;

/// How choices go on elsewhere whose server breaks off.
#[derive(Clone)]
pub struct Resuming {
    /// Within which bounds.
    pub policy: Policy,
    /// What the choices are like.
    pub traits: ChoiceTraits,
    /// Asks for the rest.
    pub ask: Ask,
    /// Tells the time.
    pub clock: Clock,
}

struct Part {
    choice: usize,
    /// Taken once it has ended.
    source: Option<Source>,
    events: EventParser,
    stream: Option<ResumableStream>,
    /// The rest, while it has not begun.
    asking: Option<Pin<Box<dyn Future<Output = Asked> + Send>>>,
}

impl Part {
    /// The next of what its servers send, or how the choice ends.
    fn poll(
        &mut self,
        resuming: Option<&Resuming>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Vec<Value>, String>>> {
        loop {
            if let Some(asking) = &mut self.asking {
                let asked = ready!(asking.as_mut().poll(context));
                self.asking = None;
                match (asked, resuming, &mut self.stream) {
                    (Ok(source), ..) => {
                        self.source = Some(source);
                        self.events = EventParser::default();
                    }
                    (Err(retry_in), Some(resuming), Some(stream)) => {
                        let then = stream.on_resume_failed(resuming.clock.now(), retry_in);
                        if let Some(end) =
                            self.then(then, resuming, retry_in.unwrap_or(0), "no server had room")
                        {
                            return Poll::Ready(end);
                        }
                    }
                    (Err(_), ..) => return Poll::Ready(Some(Err("no server had room".to_owned()))),
                }
                continue;
            }
            let Some(source) = &mut self.source else { return Poll::Ready(None) };
            let mut found = Vec::new();
            let (taken, over) = match ready!(source.poll(context)) {
                Some(Ok(data)) => (self.events.push(&data, &mut found), None),
                Some(Err(cut)) => (Ok(()), Some(Err(cut))),
                None => (self.events.finish(&mut found), Some(Ok(()))),
            };
            if let Err(bad) = taken {
                return Poll::Ready(Some(Err(bad.message)));
            }
            let events = found.into_iter().filter_map(|found| match found {
                ServerEvent::Data(event) => Some(event),
                ServerEvent::Done => None,
            });
            let mut events: Vec<Value> = events.collect();
            if let Some(stream) = &mut self.stream {
                match passed(stream, events) {
                    Ok(passed) => events = passed,
                    Err(why) => return Poll::Ready(Some(Err(said(why).to_owned()))),
                }
            }
            // What came before the break is passed on first: the break is found again with the next poll.
            let Some(over) = over else {
                if events.is_empty() {
                    continue;
                }
                return Poll::Ready(Some(Ok(events)));
            };
            self.source = None;
            let cut = match over {
                Ok(()) if self.stream.as_ref().is_none_or(ResumableStream::ended_whole) => {
                    if events.is_empty() {
                        return Poll::Ready(None);
                    }
                    return Poll::Ready(Some(Ok(events)));
                }
                Ok(()) => "the server's stream ended before what it had told",
                Err(cut) => &cut.to_string(),
            };
            let (Some(resuming), Some(stream)) = (resuming, &mut self.stream) else {
                return Poll::Ready(Some(Err(cut.to_owned())));
            };
            let then = stream.on_break(resuming.clock.now());
            if let Some(end) = self.then(then, resuming, 0, cut) {
                return Poll::Ready(end);
            }
        }
    }

    /// Does what is decided where a part has broken off; how the choice ends, if it does.
    fn then(
        &mut self,
        then: BreakDecision,
        resuming: &Resuming,
        wait: Micros,
        cut: &str,
    ) -> Option<Option<Result<Vec<Value>, String>>> {
        match then {
            BreakDecision::Resume { text, max_tokens, deadline_us } => {
                info!(choice = self.choice, bytes = text.len(); "an answer broke off ({cut}): its rest is asked for");
                self.asking = Some((resuming.ask)(self.choice, text, max_tokens, deadline_us, wait));
                None
            }
            BreakDecision::Finished => Some(None),
            BreakDecision::TokenLimitReached => {
                let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]});
                Some(Some(Ok(vec![end])))
            }
            BreakDecision::Cut(
                CutReason::AtMostOnce
                | CutReason::MoreThanText
                | CutReason::TooLong
                | CutReason::LimitReached,
            ) => Some(Some(Err(cut.to_owned()))),
            BreakDecision::Cut(why) => Some(Some(Err(said(why).to_owned()))),
        }
    }
}

fn said(why: CutReason) -> &'static str {
    match why {
        CutReason::Diverged => "another server came to other words",
        CutReason::NoServer => "the server's stream broke, and no other server had room",
        _ => "the server's stream broke",
    }
}

/// What of a server's events the client gets, now that others may have come before.
fn passed(stream: &mut ResumableStream, events: Vec<Value>) -> Result<Vec<Value>, CutReason> {
    let mut passed = Vec::with_capacity(events.len());
    for mut event in events {
        // Never by an index that is written to: what servers send may be of any shape.
        let Some(choice) = event.get_mut("choices").and_then(|choices| choices.get_mut(0)) else {
            passed.push(event);
            continue;
        };
        let delta = &choice["delta"];
        let more = ["tool_calls", "refusal", "function_call"].iter().any(|name| !delta[*name].is_null());
        let seen = stream.on_event(AnswerEvent {
            text: delta["content"].as_str().unwrap_or(""),
            has_more_than_text: more || !choice["logprobs"].is_null(),
            is_last: !choice["finish_reason"].is_null(),
        });
        match seen {
            Forward::Unchanged => passed.push(event),
            Forward::WithText(text) => {
                if let Some(delta) = choice.get_mut("delta").and_then(Value::as_object_mut) {
                    delta.insert("content".to_owned(), Value::String(text));
                }
                passed.push(event);
            }
            Forward::Nothing => {}
            Forward::Cut(why) => return Err(why),
        }
    }
    Ok(passed)
}

/// The events of all choices, as they come.
struct Parts {
    parts: Vec<Part>,
    resuming: Option<Resuming>,
    /// Which part is looked at first: in turns, so that no choice holds up the others.
    next: usize,
    ready: VecDeque<(usize, Value)>,
}

impl Parts {
    fn new(sources: Vec<Source>, resuming: Option<Resuming>) -> Self {
        let part = |(choice, source)| Part {
            choice,
            source: Some(source),
            events: EventParser::default(),
            stream: resuming.as_ref().map(|resuming| ResumableStream::new(resuming.policy, resuming.traits)),
            asking: None,
        };
        let parts = sources.into_iter().enumerate().map(part).collect();
        Self { parts, resuming, next: 0, ready: VecDeque::new() }
    }

    /// The next event of any choice; `None` once all have ended in good order.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<(usize, Value), String>>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Poll::Ready(Some(Ok(event)));
            }
            let (count, mut open, mut moved) = (self.parts.len(), false, false);
            for step in 0..count {
                let part = &mut self.parts[(self.next + step) % count];
                if part.source.is_none() && part.asking.is_none() {
                    continue;
                }
                open = true;
                let choice = part.choice;
                match part.poll(self.resuming.as_ref(), context) {
                    Poll::Pending => continue,
                    Poll::Ready(Some(Ok(events))) => {
                        self.ready.extend(events.into_iter().map(|event| (choice, event)));
                    }
                    Poll::Ready(Some(Err(what))) => return Poll::Ready(Some(Err(what))),
                    Poll::Ready(None) => {}
                }
                self.next = (self.next + step + 1) % count;
                moved = true;
                break;
            }
            if !open {
                return Poll::Ready(None);
            }
            if !moved {
                return Poll::Pending;
            }
        }
    }
}

/// A client's stream: where a server's breaks or stalls, one error ends it, and the others are let go.
pub struct Answering {
    /// `None` once the stream is over.
    parts: Option<Parts>,
    writer: StreamWriter,
    opened: bool,
    keeping: Option<Keeping>,
    /// A comment is due where nothing has come for so long.
    quiet: Option<(Duration, Pin<Box<Sleep>>)>,
}

impl Answering {
    /// The stream of these sources, one for each choice. `quiet` is the time after which a comment shows the
    /// client that it is still served.
    #[must_use]
    pub fn new(
        sources: Vec<Source>,
        writer: StreamWriter,
        keeping: Option<Keeping>,
        resuming: Option<Resuming>,
        quiet: Option<Duration>,
    ) -> Self {
        let quiet = quiet.map(|quiet| (quiet, Box::pin(sleep_until(Instant::now() + quiet))));
        Self { parts: Some(Parts::new(sources, resuming)), writer, opened: false, keeping, quiet }
    }

    fn next(&mut self, context: &mut Context<'_>) -> Poll<Option<String>> {
        if !std::mem::replace(&mut self.opened, true) {
            let text = self.writer.open();
            if !text.is_empty() {
                return Poll::Ready(Some(text));
            }
        }
        loop {
            let Some(parts) = &mut self.parts else { return Poll::Ready(None) };
            let text = match ready!(parts.poll(context)) {
                Some(Ok(_)) if self.writer.text_bytes() > MOST_ANSWER => {
                    self.parts = None;
                    self.writer.cut("stream_cut", "the answer is too long")
                }
                Some(Ok((choice, event))) => self.writer.event(choice, &event),
                // Dropped with all others: a choice that goes on would never be seen.
                Some(Err(what)) => {
                    self.parts = None;
                    self.writer.cut("stream_cut", &what)
                }
                None => {
                    self.parts = None;
                    let text = self.writer.close();
                    if let (Some(keeping), Some(response)) = (self.keeping.take(), self.writer.response()) {
                        keeping.keep(response, self.writer.output_items());
                    }
                    text
                }
            };
            if !text.is_empty() {
                return Poll::Ready(Some(text));
            }
        }
    }
}

impl Body for Answering {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let data = match self.next(context) {
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(text)) => Bytes::from(text),
            Poll::Pending => {
                let Some((_, sleep)) = &mut self.quiet else { return Poll::Pending };
                ready!(sleep.as_mut().poll(context));
                Bytes::from_static(STILL_HERE)
            }
        };
        if let Some((quiet, sleep)) = &mut self.quiet {
            let due = Instant::now() + *quiet;
            sleep.as_mut().reset(due);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// Puts the answer together for a client that wants no stream.
///
/// # Errors
/// What broke a server's stream.
pub async fn whole(
    sources: Vec<Source>,
    request: &Request,
    metadata: AnswerMetadata,
    keeping: Option<Keeping>,
    resuming: Option<Resuming>,
) -> Result<Value, String> {
    let mut parts = Parts::new(sources, resuming);
    let (mut collected, mut writer) =
        (CollectedAnswer::default(), StreamWriter::new(request, metadata.clone()));
    while let Some(event) = std::future::poll_fn(|context| parts.poll(context)).await {
        let (choice, event) = event?;
        match request.kind {
            RequestKind::Response => drop(writer.event(choice, &event)),
            RequestKind::Chat | RequestKind::Completion => collected.push(choice, &event),
        }
        if collected.text_bytes() + writer.text_bytes() > MOST_ANSWER {
            return Err("the answer is too long".to_owned());
        }
    }
    let prompt = |choice: usize| {
        let prompt = request.prompt_of(choice);
        if request.echo {
            prompt[0].text.clone()
        } else {
            String::new()
        }
    };
    Ok(match request.kind {
        RequestKind::Chat => collected.chat(&metadata),
        RequestKind::Completion => collected.completion(&metadata, prompt),
        RequestKind::Response => {
            let response = writer.response().unwrap_or_default();
            if let Some(keeping) = keeping {
                keeping.keep(response.clone(), writer.output_items());
            }
            response
        }
    })
}
