//! Checks the events of a stream, and their order, against the published format of its API.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::events::{parse_events, Event};
use crate::violation::{ensure, Violation};

const DONE: &str = "[DONE]";
const CHAT_OBJECT: &str = "chat.completion.chunk";
const COMPLETION_OBJECT: &str = "text_completion";
/// A stream of a response has at least: `response.created`, `response.in_progress`, an event that adds an output item,
/// one that completes the item, and the final event.
const MIN_RESPONSE_EVENTS: usize = 5;

/// Checks a stream against a grammar: `chat`, `completion` or `response`; `cut` (chunks) or `cut-response` for a stream
/// that ends early with an error. `choices` and `usage`, the expected number of choices and whether a usage chunk is
/// expected, matter to `chat` and `completion` only.
///
/// # Errors
/// The first deviation from the published format.
pub(crate) fn check(grammar: &str, body: &str, choices: usize, usage: bool) -> Result<(), Violation> {
    match grammar {
        "chat" => check_chunks(body, CHAT_OBJECT, choices, usage),
        "completion" => check_chunks(body, COMPLETION_OBJECT, choices, usage),
        "response" => check_response(body),
        "cut" => check_cut_chunks(body),
        "cut-response" => check_cut_response(body),
        other => Err(Violation::UnknownGrammar(other.to_owned())),
    }
}

/// A stream of chunks that ends early: at least one chunk, then exactly one error event; no `finish_reason` and no
/// `[DONE]`, either of which a client would take for a complete answer.
fn check_cut_chunks(body: &str) -> Result<(), Violation> {
    let events = parse_events(body)?;
    let (last, before) = events.split_last().ok_or(Violation::NoEvents)?;
    ensure(!before.is_empty(), || Violation::NoChunkBeforeError)?;
    for event in before {
        ensure(event.data != DONE, || Violation::DoneInCutStream)?;
        let chunk = event.json()?;
        ensure(chunk["error"].is_null(), || Violation::SecondError)?;
        let finish_reason = &chunk["choices"][0]["finish_reason"];
        let violation = || Violation::FinishReasonInCutStream(finish_reason.clone());
        ensure(finish_reason.is_null(), violation)?;
    }
    let error = &last.json()?["error"];
    let is_error =
        error["message"].is_string() && error["type"] == "server_error" && error["code"].is_string();
    ensure(is_error, || Violation::MissingError(last.data.clone()))
}

/// A stream of a response that ends early: numbered events, the last one `response.failed` with an error message.
fn check_cut_response(body: &str) -> Result<(), Violation> {
    let events = parse_events(body)?;
    let (last, before) = events.split_last().ok_or(Violation::NoEvents)?;
    for (at, event) in events.iter().enumerate() {
        let number = &event.json()?["sequence_number"];
        ensure(*number == at, || Violation::WrongSequenceNumber { at, number: number.clone() })?;
    }
    let is_completion = |event: &Event| event.name.as_deref() == Some("response.completed");
    ensure(!before.iter().any(is_completion), || Violation::EventsAfterCompletion)?;
    let response = &last.json()?["response"];
    let is_failure = response["status"] == "failed" && response["error"]["message"].is_string();
    let is_named = last.name.as_deref() == Some("response.failed");
    ensure(is_failure && is_named, || Violation::MissingFailure(last.data.clone()))
}

fn check_chunks(body: &str, object: &'static str, choices: usize, usage: bool) -> Result<(), Violation> {
    let events = parse_events(body)?;
    let (last, chunks) = events.split_last().ok_or(Violation::NoEvents)?;
    ensure(last.data == DONE, || Violation::MissingDone(last.data.clone()))?;
    let mut checker = ChunkChecker { object, choices, ..ChunkChecker::default() };
    for (at, event) in chunks.iter().enumerate() {
        ensure(event.data != DONE, || Violation::MisplacedDone)?;
        checker.check_chunk(&event.json()?, at + 1 == chunks.len())?;
    }
    checker.check_end(usage)
}

/// Checks the chunks of one stream in order; holds what was seen so far.
#[derive(Default)]
struct ChunkChecker {
    object: &'static str,
    choices: usize,
    /// Whether each choice has had its `finish_reason`, by index.
    ended: BTreeMap<usize, bool>,
    /// `id`, `model` and `created` of the first chunk, which all others must repeat.
    metadata: Option<[Value; 3]>,
    usage_events: usize,
}

impl ChunkChecker {
    fn check_chunk(&mut self, chunk: &Value, is_last: bool) -> Result<(), Violation> {
        ensure(chunk["error"].is_null(), || Violation::UnexpectedError(chunk["error"].clone()))?;
        ensure(chunk["object"] == self.object, || Violation::WrongObject(chunk["object"].clone()))?;
        ensure(chunk["created"].is_u64(), || Violation::InvalidCreated(chunk["created"].clone()))?;
        self.check_metadata(chunk)?;
        let choices = chunk["choices"].as_array().ok_or(Violation::ChoicesNotArray)?;
        if choices.is_empty() {
            self.usage_events += 1;
            ensure(chunk["usage"]["total_tokens"].is_u64(), || Violation::UsageMissing)?;
            return ensure(is_last, || Violation::MisplacedUsage);
        }
        ensure(chunk["usage"].is_null(), || Violation::UsageWithChoices)?;
        for choice in choices {
            self.check_choice(choice)?;
        }
        Ok(())
    }

    fn check_metadata(&mut self, chunk: &Value) -> Result<(), Violation> {
        let metadata = [chunk["id"].clone(), chunk["model"].clone(), chunk["created"].clone()];
        ensure(metadata[0].is_string() && metadata[1].is_string(), || Violation::IdOrModelNotString)?;
        let first = self.metadata.get_or_insert_with(|| metadata.clone());
        ensure(*first == metadata, || Violation::MetadataChanged)
    }

    fn check_choice(&mut self, choice: &Value) -> Result<(), Violation> {
        let index = choice["index"].as_u64().ok_or(Violation::ChoiceWithoutIndex)? as usize;
        let choices = self.choices;
        ensure(index < choices, || Violation::ChoiceOutOfRange { index, choices })?;
        if self.object == CHAT_OBJECT {
            ensure(choice["delta"].is_object(), || Violation::ChoiceWithoutDelta)?;
            let role = &choice["delta"]["role"];
            let is_first = !self.ended.contains_key(&index);
            ensure(!is_first || role == "assistant", || Violation::WrongFirstRole(role.clone()))?;
            ensure(is_first || role.is_null(), || Violation::RepeatedRole)?;
        } else {
            ensure(choice["text"].is_string(), || Violation::ChoiceWithoutText)?;
        }
        let has_ended = self.ended.entry(index).or_default();
        ensure(!*has_ended, || Violation::ChoiceAfterEnd(index))?;
        *has_ended = !choice["finish_reason"].is_null();
        Ok(())
    }

    fn check_end(&self, usage: bool) -> Result<(), Violation> {
        let (found, expected) = (self.ended.len(), self.choices);
        ensure(found == expected, || Violation::WrongChoiceCount { found, expected })?;
        ensure(self.ended.values().all(|has_ended| *has_ended), || Violation::MissingFinishReason)?;
        ensure(self.usage_events == usize::from(usage), || Violation::WrongUsageCount(self.usage_events))
    }
}

fn check_response(body: &str) -> Result<(), Violation> {
    let events = parse_events(body)?;
    let mut checker = ResponseChecker::default();
    for (at, event) in events.iter().enumerate() {
        checker.check_event(event, at, events.len())?;
    }
    ensure(events.len() >= MIN_RESPONSE_EVENTS, || Violation::TooFewEvents(events.len()))
}

/// Checks the events of one response in order; holds what was seen so far.
#[derive(Default)]
struct ResponseChecker {
    /// Concatenated deltas, by item id.
    texts: BTreeMap<String, String>,
    /// Ids of output items that were added and are not yet done.
    open: Vec<String>,
    /// Number of output items that are done.
    ended: usize,
}

impl ResponseChecker {
    /// Checks the event at position `at` of `events`.
    fn check_event(&mut self, event: &Event, at: usize, events: usize) -> Result<(), Violation> {
        let value = event.json()?;
        let event_type = value["type"].as_str().ok_or(Violation::EventWithoutType)?;
        ensure(event.name.as_deref() == Some(event_type), || Violation::EventNameMismatch {
            name: event.name.clone(),
            event_type: event_type.to_owned(),
        })?;
        let number = &value["sequence_number"];
        ensure(*number == at, || Violation::WrongSequenceNumber { at, number: number.clone() })?;
        let is_final = matches!(event_type, "response.completed" | "response.incomplete" | "response.failed");
        ensure(is_final == (at + 1 == events), || Violation::MisplacedFinalEvent {
            event_type: event_type.to_owned(),
            at,
            events,
        })?;
        match at {
            0 => ensure(event_type == "response.created", || Violation::FirstEvent(event_type.to_owned()))?,
            1 => ensure(event_type == "response.in_progress", || {
                Violation::SecondEvent(event_type.to_owned())
            })?,
            _ => {}
        }
        self.check_by_type(event_type, &value)
    }

    /// Checks the rules that apply to events of this type.
    fn check_by_type(&mut self, event_type: &str, value: &Value) -> Result<(), Violation> {
        let item = value["item_id"].as_str().or_else(|| value["item"]["id"].as_str()).unwrap_or("");
        let concatenated = self.texts.get(item).map_or("", String::as_str);
        match event_type {
            "response.output_item.added" => {
                self.open.push(item.to_owned());
                Ok(())
            }
            "response.output_text.delta" | "response.function_call_arguments.delta" => {
                self.add_delta(event_type, item, &value["delta"])
            }
            "response.output_text.done" => ensure(value["text"] == concatenated, || Violation::TextMismatch),
            "response.function_call_arguments.done" => {
                ensure(value["arguments"] == concatenated, || Violation::ArgumentsMismatch)
            }
            "response.output_item.done" => {
                ensure(self.is_open(item), || Violation::DoneForUnopenedItem)?;
                self.open.retain(|open| open != item);
                self.ended += 1;
                Ok(())
            }
            "response.completed" | "response.incomplete" => self.check_end(event_type, &value["response"]),
            _ => Ok(()),
        }
    }

    fn is_open(&self, item: &str) -> bool {
        self.open.iter().any(|open| open == item)
    }

    fn add_delta(&mut self, event_type: &str, item: &str, delta: &Value) -> Result<(), Violation> {
        ensure(self.is_open(item), || Violation::DeltaForUnopenedItem(event_type.to_owned()))?;
        let delta = delta.as_str().ok_or(Violation::DeltaNotString)?;
        self.texts.entry(item.to_owned()).or_default().push_str(delta);
        Ok(())
    }

    fn check_end(&self, event_type: &str, response: &Value) -> Result<(), Violation> {
        ensure(self.open.is_empty(), || Violation::UnfinishedItem)?;
        let (output, ended) = (response["output"].as_array().map_or(0, Vec::len), self.ended);
        ensure(output == ended && ended > 0, || Violation::OutputCountMismatch { output, ended })?;
        let status = response["status"].as_str().unwrap_or("");
        ensure(event_type.ends_with(status) && !status.is_empty(), || Violation::StatusMismatch {
            event_type: event_type.to_owned(),
            status: status.to_owned(),
        })?;
        ensure(response["usage"]["total_tokens"].is_u64(), || Violation::MissingFinalUsage)
    }
}
