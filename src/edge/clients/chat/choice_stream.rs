//! The events of an answer's choices, whichever servers they come from.

use std::collections::VecDeque;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use dewladder_chat::{EventParser, ServerEvent};
use dewladder_resume::{AnswerEvent, BreakDecision, CutReason, Forward, ResumableStream};
use log::info;
use serde_json::{json, Value};

use crate::edge::clients::chat::answer_source::{AnswerError, AnswerSource};
use crate::edge::clients::chat::resumption::{RestError, RestFuture, RestRequest, Resumption};
use crate::edge::servers::Cut;
use crate::interface::Micros;

/// Fields of a delta that are more than text.
const MORE_THAN_TEXT: [&str; 3] = ["tool_calls", "refusal", "function_call"];

/// Where the next events of a choice come from.
enum Input {
    Source(AnswerSource),
    /// Its rest has been requested, and has not begun.
    Requested(RestFuture),
    Ended,
}

/// What has come of a choice.
enum Progress {
    /// Events for the client.
    Events(Vec<Value>),
    /// It has ended in good order.
    Ended,
    /// It has ended before its end.
    Failed(AnswerError),
}

/// One choice.
struct ChoiceStream {
    choice: usize,
    input: Input,
    parser: EventParser,
    /// What the client has had, where the choice may be resumed.
    resumable: Option<ResumableStream>,
}

impl ChoiceStream {
    fn has_ended(&self) -> bool {
        matches!(self.input, Input::Ended)
    }

    fn poll(&mut self, resumption: Option<&Resumption>, context: &mut Context<'_>) -> Poll<Progress> {
        loop {
            let progress = match &mut self.input {
                Input::Ended => return Poll::Ready(Progress::Ended),
                Input::Requested(rest) => {
                    let rest = ready!(rest.as_mut().poll(context));
                    self.rest_arrived(rest, resumption)
                }
                Input::Source(source) => {
                    let data = ready!(source.poll_data(context));
                    self.data_arrived(data, resumption)
                }
            };
            if let Some(progress) = progress {
                return Poll::Ready(progress);
            }
        }
    }

    /// The rest that was requested has begun, or has not.
    fn rest_arrived(
        &mut self,
        rest: Result<AnswerSource, RestError>,
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
            return Some(Progress::Failed(AnswerError::NoRoom));
        };
        let retry_after_us = error.retry_after_us();
        let decision = resumable.on_resume_failed(resumption.clock.now(), retry_after_us);
        self.apply(decision, resumption, retry_after_us.unwrap_or(0), AnswerError::NoRoom)
    }

    /// More of the server's stream has come, or its end.
    fn data_arrived(
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
            Err(reason) => return Some(Progress::Failed(error_of(reason))),
        };
        let error = match data {
            Some(Ok(_)) => return (!events.is_empty()).then_some(Progress::Events(events)),
            Some(Err(cut)) => AnswerError::Cut(cut),
            None if self.resumable.as_ref().is_none_or(ResumableStream::ended_whole) => {
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

    /// Does what is decided where the choice has broken off with this error; how it goes on, but for a resumption.
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
                let rest = RestRequest { choice, text, max_tokens, deadline_us, wait_us };
                self.input = Input::Requested((resumption.request_rest)(rest));
                None
            }
            BreakDecision::Finished => Some(Progress::Ended),
            BreakDecision::TokenLimitReached => {
                let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]});
                Some(Progress::Events(vec![end]))
            }
            BreakDecision::Cut(reason @ (CutReason::Diverged | CutReason::NoServer)) => {
                Some(Progress::Failed(error_of(reason)))
            }
            BreakDecision::Cut(_) => Some(Progress::Failed(error)),
        }
    }

    /// What of a server's events the client gets, now that others may have come before.
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

/// What of a server's event the client gets.
fn forward_event(resumable: &mut ResumableStream, mut event: Value) -> Result<Option<Value>, CutReason> {
    // Never by an index that is written to: what servers send may be of any shape.
    let Some(choice) = event.get_mut("choices").and_then(|choices| choices.get_mut(0)) else {
        return Ok(Some(event));
    };
    let delta = &choice["delta"];
    let has_more = MORE_THAN_TEXT.iter().any(|name| !delta[*name].is_null());
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

fn error_of(reason: CutReason) -> AnswerError {
    match reason {
        CutReason::Diverged => AnswerError::Diverged,
        CutReason::NoServer => AnswerError::NoOtherServer,
        _ => AnswerError::Broken,
    }
}

/// The events of all choices, as they come.
pub(super) struct ChoiceStreams {
    choices: Vec<ChoiceStream>,
    resumption: Option<Resumption>,
    /// Which choice is looked at first: in turns, so that none holds up the others.
    next: usize,
    ready: VecDeque<(usize, Value)>,
}

impl ChoiceStreams {
    /// The choices of an answer, each from its source.
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

    /// The next event of any choice, with its index; `None` once all have ended in good order.
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

    /// The next progress of any choice that has not ended.
    fn poll_choices(&mut self, context: &mut Context<'_>) -> Poll<(usize, Progress)> {
        let count = self.choices.len();
        for step in 0..count {
            let at = (self.next + step) % count;
            let choice = &mut self.choices[at];
            if choice.has_ended() {
                continue;
            }
            if let Poll::Ready(progress) = choice.poll(self.resumption.as_ref(), context) {
                self.next = (at + 1) % count;
                return Poll::Ready((at, progress));
            }
        }
        Poll::Pending
    }
}
