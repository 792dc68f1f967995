//! Reads the event streams of an answer's choices, resumes choices whose server broke off, and merges the events of all
//! choices into one sequence.

use std::collections::VecDeque;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use dewladder_chat::{EventParser, ServerEvent};
use dewladder_resume::{AnswerEvent, BreakDecision, CutReason, Forward, ResumableStream};
use log::info;
use serde_json::{json, Value};

use crate::edge::clients::chat::answer_source::{AnswerError, AnswerSource};
use crate::edge::clients::chat::resumption::{ResumeError, ResumeFuture, ResumeRequest, Resumption};
use crate::edge::servers::Cut;
use crate::interface::Micros;

/// Fields of a delta that hold something other than text. An answer with one of them can't be resumed.
const NON_TEXT_FIELDS: [&str; 3] = ["tool_calls", "refusal", "function_call"];

/// Where the next events of a choice come from.
enum Input {
    /// An open stream.
    Source(AnswerSource),
    /// The rest of the answer has been requested and has not begun.
    Resuming(ResumeFuture),
    /// No more events follow.
    Ended,
}

/// The result of polling a choice.
enum Progress {
    /// Events for the client.
    Events(Vec<Value>),
    /// The choice is complete.
    Ended,
    /// The choice broke off and is not resumed.
    Failed(AnswerError),
}

/// One choice of an answer, across all servers that generate parts of it.
struct ChoiceStream {
    /// Index of the choice within the answer.
    choice: usize,
    input: Input,
    /// Parses the current input.
    parser: EventParser,
    /// Tracks what the client has received; `None` if the answer is not resumed.
    resumable: Option<ResumableStream>,
}

impl ChoiceStream {
    fn has_ended(&self) -> bool {
        matches!(self.input, Input::Ended)
    }

    /// Polls the input until there is something for the client.
    fn poll(&mut self, resumption: Option<&Resumption>, context: &mut Context<'_>) -> Poll<Progress> {
        loop {
            let progress = match &mut self.input {
                Input::Ended => return Poll::Ready(Progress::Ended),
                Input::Resuming(rest) => {
                    let rest = ready!(rest.as_mut().poll(context));
                    self.on_resume_result(rest, resumption)
                }
                Input::Source(source) => {
                    let data = ready!(source.poll_data(context));
                    self.on_data(data, resumption)
                }
            };
            if let Some(progress) = progress {
                return Poll::Ready(progress);
            }
        }
    }

    /// Handles the result of a request for the rest of the answer.
    fn on_resume_result(
        &mut self,
        rest: Result<AnswerSource, ResumeError>,
        resumption: Option<&Resumption>,
    ) -> Option<Progress> {
        self.input = Input::Ended;
        let error = match rest {
            Ok(source) => {
                self.input = Input::Source(source);
                self.parser = EventParser::default();
                return None;
            }
            Err(error) => error,
        };
        let (Some(resumption), Some(resumable)) = (resumption, &mut self.resumable) else {
            return Some(Progress::Failed(AnswerError::ResumeFailed));
        };
        let retry_after_us = error.retry_after_us();
        let decision = resumable.on_resume_failed(resumption.clock.now(), retry_after_us);
        self.apply(decision, resumption, retry_after_us.unwrap_or(0), AnswerError::ResumeFailed)
    }

    /// Handles bytes of a server's stream, or its end (`None`). A stream that ends with an error, or too early, is
    /// resumed if possible.
    fn on_data(
        &mut self,
        data: Option<Result<Bytes, Cut>>,
        resumption: Option<&Resumption>,
    ) -> Option<Progress> {
        let mut events = Vec::new();
        let parsed = match &data {
            Some(Ok(data)) => self.parser.push(data, &mut events),
            Some(Err(_)) => Ok(()),
            None => self.parser.finish(&mut events),
        };
        if let Err(error) = parsed {
            return Some(Progress::Failed(error.into()));
        }
        let events = match self.forward(events) {
            Ok(events) => events,
            Err(reason) => return Some(Progress::Failed(cut_error(reason))),
        };
        let error = match data {
            Some(Ok(_)) => return (!events.is_empty()).then_some(Progress::Events(events)),
            Some(Err(cut)) => AnswerError::Cut(cut),
            None if self.resumable.as_ref().is_none_or(ResumableStream::is_complete_at_end) => {
                self.input = Input::Ended;
                return Some(if events.is_empty() { Progress::Ended } else { Progress::Events(events) });
            }
            None => AnswerError::EndedEarly,
        };
        self.input = Input::Ended;
        let (Some(resumption), Some(resumable)) = (resumption, &mut self.resumable) else {
            return Some(Progress::Failed(error));
        };
        let decision = resumable.on_break(resumption.clock.now());
        self.apply(decision, resumption, 0, error)
    }

    /// Carries out the decision on a choice that has broken off with `error`. Returns `None` if the choice is
    /// resumed, and otherwise how it ends. A resumption waits `wait_us` before it sends its request.
    fn apply(
        &mut self,
        decision: BreakDecision,
        resumption: &Resumption,
        wait_us: Micros,
        error: AnswerError,
    ) -> Option<Progress> {
        match decision {
            BreakDecision::Resume { text, max_tokens, deadline_us } => {
                let choice = self.choice;
                let request_id = resumption.request_id;
                info!(request_id:% = request_id, choice, text_bytes = text.len(), reason:% = error;
                    "chat: answer broke off, rest requested");
                let rest = ResumeRequest { choice, text, max_tokens, deadline_us, wait_us };
                self.input = Input::Resuming((resumption.resume_choice)(rest));
                None
            }
            BreakDecision::Finished => Some(Progress::Ended),
            BreakDecision::TokenLimitReached => {
                let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]});
                Some(Progress::Events(vec![end]))
            }
            BreakDecision::Cut(reason @ (CutReason::Diverged | CutReason::NoServer)) => {
                Some(Progress::Failed(cut_error(reason)))
            }
            BreakDecision::Cut(_) => Some(Progress::Failed(error)),
        }
    }

    /// Converts a server's events into those that the client gets: text that the client already has is left out.
    fn forward(&mut self, events: Vec<ServerEvent>) -> Result<Vec<Value>, CutReason> {
        let mut forwarded = Vec::with_capacity(events.len());
        for event in events {
            let ServerEvent::Data(event) = event else { continue };
            let event = match &mut self.resumable {
                Some(resumable) => forward_event(resumable, event)?,
                None => Some(event),
            };
            forwarded.extend(event);
        }
        Ok(forwarded)
    }
}

/// The part of a server's event that the client gets; `None` if the client already has all of it.
fn forward_event(resumable: &mut ResumableStream, mut event: Value) -> Result<Option<Value>, CutReason> {
    // Indexing a `Value` mutably would insert missing fields, and panics on other types; a server may send any JSON.
    let Some(choice) = event.get_mut("choices").and_then(|choices| choices.get_mut(0)) else {
        return Ok(Some(event));
    };
    let delta = &choice["delta"];
    let has_more = NON_TEXT_FIELDS.iter().any(|name| !delta[*name].is_null());
    let forward = resumable.on_event(AnswerEvent {
        text: delta["content"].as_str().unwrap_or(""),
        has_more_than_text: has_more || !choice["logprobs"].is_null(),
        is_last: !choice["finish_reason"].is_null(),
    });
    match forward {
        Forward::Unchanged => Ok(Some(event)),
        Forward::WithText(text) => {
            if let Some(delta) = choice.get_mut("delta").and_then(Value::as_object_mut) {
                delta.insert("content".to_owned(), Value::String(text));
            }
            Ok(Some(event))
        }
        Forward::Nothing => Ok(None),
        Forward::Cut(reason) => Err(reason),
    }
}

/// The error that a client gets if a choice is cut for this reason.
fn cut_error(reason: CutReason) -> AnswerError {
    match reason {
        CutReason::Diverged => AnswerError::Diverged,
        CutReason::NoServer => AnswerError::NoOtherServer,
        _ => AnswerError::Broken,
    }
}

/// The events of all choices, in the order in which they arrive.
pub(super) struct ChoiceStreams {
    choices: Vec<ChoiceStream>,
    /// `None` if choices are not resumed.
    resumption: Option<Resumption>,
    /// Index of the choice that is polled first. It advances past each choice that had something (round robin), so that
    /// no choice starves the others.
    next: usize,
    /// Events that have been read and not been returned yet, with the index of their choice.
    ready: VecDeque<(usize, Value)>,
}

impl ChoiceStreams {
    /// Creates the choices of an answer, one for each source.
    pub(super) fn new(sources: Vec<AnswerSource>, resumption: Option<Resumption>) -> Self {
        let new_choice = |(choice, source)| ChoiceStream {
            choice,
            input: Input::Source(source),
            parser: EventParser::default(),
            resumable: resumption
                .as_ref()
                .map(|resumption| ResumableStream::new(resumption.policy, resumption.traits)),
        };
        let choices = sources.into_iter().enumerate().map(new_choice).collect();
        Self { choices, resumption, next: 0, ready: VecDeque::new() }
    }

    /// The next event of any choice, with the choice's index; `None` once all choices are complete.
    pub(super) fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<(usize, Value), AnswerError>>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Poll::Ready(Some(Ok(event)));
            }
            if self.choices.iter().all(ChoiceStream::has_ended) {
                return Poll::Ready(None);
            }
            let (choice, progress) = ready!(self.poll_choices(context));
            match progress {
                Progress::Events(events) => {
                    self.ready.extend(events.into_iter().map(|event| (choice, event)));
                }
                Progress::Ended => {}
                Progress::Failed(error) => return Poll::Ready(Some(Err(error))),
            }
        }
    }

    /// Polls the choices that have not ended in turn, and returns the first result with the choice's index.
    fn poll_choices(&mut self, context: &mut Context<'_>) -> Poll<(usize, Progress)> {
        let count = self.choices.len();
        for offset in 0..count {
            let index = (self.next + offset) % count;
            let choice = &mut self.choices[index];
            if choice.has_ended() {
                continue;
            }
            if let Poll::Ready(progress) = choice.poll(self.resumption.as_ref(), context) {
                self.next = (index + 1) % count;
                return Poll::Ready((index, progress));
            }
        }
        Poll::Pending
    }
}
