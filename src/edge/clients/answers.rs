//! Answers of the second front: from the streams of servers, or what is recorded of them, to what a client gets.

use std::collections::VecDeque;
use std::future::Future as _;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dewladder_chat::{Collected, Events, Incoming, Kept, Names, Request, Shape, Store, Writer};
use http_body::{Body, Frame};
use serde_json::Value;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, Instant, Sleep};

use crate::edge::clients::repeats::Reader;
use crate::edge::servers::{Cut, Relay};

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
    pub store: Arc<Mutex<Store>>,
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
        store.keep(self.tenant, &self.id, Kept { response, items });
    }
}

struct Part {
    choice: usize,
    /// Taken once it has ended.
    source: Option<Source>,
    events: Events,
}

/// The events of all choices, as they come.
struct Parts {
    parts: Vec<Part>,
    /// Which part is looked at first: in turns, so that no choice holds up the others.
    next: usize,
    ready: VecDeque<(usize, Value)>,
}

impl Parts {
    fn new(sources: Vec<Source>) -> Self {
        let part = |(choice, source)| Part { choice, source: Some(source), events: Events::default() };
        Self { parts: sources.into_iter().enumerate().map(part).collect(), next: 0, ready: VecDeque::new() }
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
                let Some(source) = &mut part.source else { continue };
                open = true;
                let mut found = Vec::new();
                let taken = match source.poll(context) {
                    Poll::Pending => continue,
                    Poll::Ready(Some(Ok(data))) => part.events.take(&data, &mut found),
                    Poll::Ready(Some(Err(cut))) => return Poll::Ready(Some(Err(cut.to_string()))),
                    Poll::Ready(None) => {
                        part.source = None;
                        part.events.end(&mut found)
                    }
                };
                if let Err(bad) = taken {
                    return Poll::Ready(Some(Err(bad.message)));
                }
                let choice = part.choice;
                self.ready.extend(found.into_iter().filter_map(|found| match found {
                    Incoming::Event(event) => Some((choice, event)),
                    Incoming::Done => None,
                }));
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
    writer: Writer,
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
        writer: Writer,
        keeping: Option<Keeping>,
        quiet: Option<Duration>,
    ) -> Self {
        let quiet = quiet.map(|quiet| (quiet, Box::pin(sleep_until(Instant::now() + quiet))));
        Self { parts: Some(Parts::new(sources)), writer, opened: false, keeping, quiet }
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
                Some(Ok(_)) if self.writer.bytes() > MOST_ANSWER => {
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
                    if let Some(keeping) = self.keeping.take() {
                        keeping.keep(self.writer.response(), self.writer.items());
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
    names: Names,
    keeping: Option<Keeping>,
) -> Result<Value, String> {
    let mut parts = Parts::new(sources);
    let (mut collected, mut writer) = (Collected::default(), Writer::new(request, names.clone()));
    while let Some(event) = std::future::poll_fn(|context| parts.poll(context)).await {
        let (choice, event) = event?;
        match request.shape {
            Shape::Response => drop(writer.event(choice, &event)),
            Shape::Chat | Shape::Completion => collected.take(choice, &event),
        }
        if collected.bytes() + writer.bytes() > MOST_ANSWER {
            return Err("the answer is too long".to_owned());
        }
    }
    let prompt = |choice: usize| {
        let part = &request.prompts[choice / request.choices as usize];
        if request.echo {
            part[0].1.clone()
        } else {
            String::new()
        }
    };
    Ok(match request.shape {
        Shape::Chat => collected.chat(&names),
        Shape::Completion => collected.completion(&names, prompt),
        Shape::Response => {
            let response = writer.response();
            if let Some(keeping) = keeping {
                keeping.keep(response.clone(), writer.items());
            }
            response
        }
    })
}
