//! Collects the events of all choices into a whole chat or completion answer.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::answer_metadata::AnswerMetadata;

/// The size that is counted for the log probabilities of one token, since their actual size is not measured (bytes).
const LOGPROB_ENTRY_BYTES: usize = 64;

/// A tool call, whose strings arrive in pieces and are concatenated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ToolCall {
    pub(crate) id: String,
    pub(crate) name: String,
    pub(crate) arguments: String,
}

/// One choice, as far as it has arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Choice {
    pub(crate) content: String,
    pub(crate) refusal: Option<String>,
    /// By the index that the server gives each call; pieces of different calls may arrive interleaved.
    pub(crate) tool_calls: BTreeMap<u64, ToolCall>,
    pub(crate) logprobs: Option<Vec<Value>>,
    pub(crate) finish_reason: Option<String>,
}

/// The token counts that servers reported, summed over all choices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UsageTotal {
    prompt_tokens: u64,
    completion_tokens: u64,
    cached_tokens: u64,
}

/// The token usage of an answer; `None` until a server has reported any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage(Option<UsageTotal>);

impl Usage {
    /// Adds the `usage` of an event; anything but an object is ignored.
    pub(crate) fn add(&mut self, usage: &Value) {
        if !usage.is_object() {
            return;
        }
        let tokens = |value: &Value| value.as_u64().unwrap_or(0);
        let total = self.0.get_or_insert_default();
        total.prompt_tokens += tokens(&usage["prompt_tokens"]);
        total.completion_tokens += tokens(&usage["completion_tokens"]);
        total.cached_tokens += tokens(&usage["prompt_tokens_details"]["cached_tokens"]);
    }

    /// The `usage` of a chat or completion answer; `null` if none was reported.
    pub(crate) fn to_json(self) -> Value {
        let Some(UsageTotal { prompt_tokens, completion_tokens, cached_tokens }) = self.0 else {
            return Value::Null;
        };
        json!({"prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": cached_tokens}})
    }

    /// The `usage` of a response; `null` if none was reported.
    pub(crate) fn to_response_json(self) -> Value {
        let Some(UsageTotal { prompt_tokens, completion_tokens, cached_tokens }) = self.0 else {
            return Value::Null;
        };
        json!({"input_tokens": prompt_tokens, "input_tokens_details": {"cached_tokens": cached_tokens},
            "output_tokens": completion_tokens, "output_tokens_details": {"reasoning_tokens": 0},
            "total_tokens": prompt_tokens + completion_tokens})
    }
}

/// An answer that is collected from the events of its choices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CollectedAnswer {
    pub(crate) choices: BTreeMap<usize, Choice>,
    pub(crate) usage: Usage,
    text_bytes: usize,
}

impl CollectedAnswer {
    /// Adds a server's event for the choice with this index.
    pub fn push(&mut self, choice: usize, event: &Value) {
        self.usage.add(&event["usage"]);
        let piece = &event["choices"][0];
        if piece.is_null() {
            return;
        }
        let choice = self.choices.entry(choice).or_default();
        self.text_bytes += choice.push(piece);
    }

    /// The bytes of text and tool calls collected so far, with an estimate for log probabilities. Callers use it to
    /// limit the size of an answer.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        self.text_bytes
    }

    /// The answer to a chat request, as far as it has been collected.
    #[must_use]
    pub fn chat(&self, metadata: &AnswerMetadata) -> Value {
        let choices: Vec<Value> =
            self.choices.iter().map(|(index, choice)| choice.to_chat_json(*index)).collect();
        json!({"id": format!("chatcmpl-{}", metadata.id), "object": "chat.completion",
            "created": metadata.created_unix_s, "model": metadata.model, "choices": choices,
            "usage": self.usage.to_json()})
    }

    /// The answer to a completion request, as far as it has been collected. `echo` returns the text to put before that
    /// of the choice with the given index.
    #[must_use]
    pub fn completion(&self, metadata: &AnswerMetadata, echo: impl Fn(usize) -> String) -> Value {
        let to_json = |(index, choice): (&usize, &Choice)| {
            let text = echo(*index) + &choice.content;
            json!({"index": index, "text": text, "logprobs": null, "finish_reason": choice.finish_reason})
        };
        let choices: Vec<Value> = self.choices.iter().map(to_json).collect();
        json!({"id": format!("cmpl-{}", metadata.id), "object": "text_completion",
            "created": metadata.created_unix_s, "model": metadata.model, "choices": choices,
            "usage": self.usage.to_json()})
    }
}

impl Choice {
    /// Adds the choice of a server's event. Returns the bytes that it adds to [`CollectedAnswer::text_bytes`].
    fn push(&mut self, piece: &Value) -> usize {
        let mut bytes = 0;
        let delta = &piece["delta"];
        if let Some(text) = delta["content"].as_str() {
            self.content.push_str(text);
            bytes += text.len();
        }
        if let Some(text) = delta["refusal"].as_str() {
            self.refusal.get_or_insert_default().push_str(text);
            bytes += text.len();
        }
        bytes += self.push_tool_calls(&delta["tool_calls"]);
        if let Some(tokens) = piece["logprobs"]["content"].as_array() {
            self.logprobs.get_or_insert_default().extend(tokens.iter().cloned());
            bytes += LOGPROB_ENTRY_BYTES * tokens.len();
        }
        if let Some(reason) = piece["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
        bytes
    }

    /// Adds the `tool_calls` of a delta. Returns the bytes of text in them.
    fn push_tool_calls(&mut self, pieces: &Value) -> usize {
        let mut bytes = 0;
        for (fallback_index, piece) in pieces.as_array().into_iter().flatten().enumerate() {
            let call = self.tool_calls.entry(tool_call_index(piece, fallback_index)).or_default();
            for (text, joined) in [
                (&piece["id"], &mut call.id),
                (&piece["function"]["name"], &mut call.name),
                (&piece["function"]["arguments"], &mut call.arguments),
            ] {
                let text = text.as_str().unwrap_or("");
                joined.push_str(text);
                bytes += text.len();
            }
        }
        bytes
    }

    fn to_chat_json(&self, index: usize) -> Value {
        let only_calls = self.content.is_empty() && !self.tool_calls.is_empty();
        let content = if only_calls { Value::Null } else { json!(self.content) };
        let mut message = json!({"role": "assistant", "content": content, "refusal": self.refusal});
        if !self.tool_calls.is_empty() {
            let to_json = |call: &ToolCall| {
                json!({"id": call.id, "type": "function",
                    "function": {"name": call.name, "arguments": call.arguments}})
            };
            message["tool_calls"] = self.tool_calls.values().map(to_json).collect();
        }
        let logprobs = self.logprobs.as_ref().map(|content| json!({"content": content, "refusal": null}));
        json!({"index": index, "message": message, "logprobs": logprobs, "finish_reason": self.finish_reason})
    }
}

/// The index that the server gives a tool call in `piece`, or else `fallback_index`: its position in the event.
pub(crate) fn tool_call_index(piece: &Value, fallback_index: usize) -> u64 {
    piece["index"].as_u64().unwrap_or(fallback_index as u64)
}
