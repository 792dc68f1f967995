//! A whole answer, put together from the events of its choices.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::writer::Names;

/// A call of a tool, its arguments in pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) name: String,
    pub(crate) arguments: String,
}

/// One choice as far as it has come.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Choice {
    pub(crate) content: String,
    pub(crate) refusal: Option<String>,
    /// By the index that the server gives them, in whatever order pieces come.
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) logprobs: Option<Vec<Value>>,
    pub(crate) finish: Option<String>,
}

/// An answer as it comes together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Collected {
    pub(crate) choices: BTreeMap<usize, Choice>,
    usage: [u64; 3],
    used: bool,
    bytes: usize,
}

impl Collected {
    /// Takes in an event of a choice.
    pub fn take(&mut self, choice: usize, event: &Value) {
        self.add_usage(&event["usage"]);
        let found = &event["choices"][0];
        if found.is_null() {
            return;
        }
        let to = self.choices.entry(choice).or_default();
        let delta = &found["delta"];
        if let Some(text) = delta["content"].as_str() {
            to.content.push_str(text);
            self.bytes += text.len();
        }
        if let Some(text) = delta["refusal"].as_str() {
            to.refusal.get_or_insert_default().push_str(text);
            self.bytes += text.len();
        }
        for (at, piece) in delta["tool_calls"].as_array().into_iter().flatten().enumerate() {
            let call = to.calls.entry(piece["index"].as_u64().unwrap_or(at as u64)).or_default();
            for (from, into) in [
                (&piece["id"], &mut call.id),
                (&piece["function"]["name"], &mut call.name),
                (&piece["function"]["arguments"], &mut call.arguments),
            ] {
                let text = from.as_str().unwrap_or("");
                into.push_str(text);
                self.bytes += text.len();
            }
        }
        if let Some(more) = found["logprobs"]["content"].as_array() {
            to.logprobs.get_or_insert_default().extend(more.iter().cloned());
            self.bytes += 64 * more.len();
        }
        if let Some(finish) = found["finish_reason"].as_str() {
            to.finish = Some(finish.to_owned());
        }
    }

    /// Adds a server's usage to that of the answer.
    pub(crate) fn add_usage(&mut self, usage: &Value) {
        if usage.is_object() {
            self.used = true;
            let cached = &usage["prompt_tokens_details"]["cached_tokens"];
            let told = [&usage["prompt_tokens"], &usage["completion_tokens"], cached];
            for (sum, told) in self.usage.iter_mut().zip(told) {
                *sum += told.as_u64().unwrap_or(0);
            }
        }
    }

    /// Bytes of text that it holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn usage(&self) -> Value {
        let [prompt, completion, cached] = self.usage;
        if !self.used {
            return Value::Null;
        }
        json!({"prompt_tokens": prompt, "completion_tokens": completion, "total_tokens": prompt + completion,
            "prompt_tokens_details": {"cached_tokens": cached}})
    }

    pub(crate) fn response_usage(&self) -> Value {
        let [input, output, cached] = self.usage;
        if !self.used {
            return Value::Null;
        }
        json!({"input_tokens": input, "input_tokens_details": {"cached_tokens": cached}, "output_tokens": output,
            "output_tokens_details": {"reasoning_tokens": 0}, "total_tokens": input + output})
    }

    /// The answer to a chat request.
    #[must_use]
    pub fn chat(&self, names: &Names) -> Value {
        let choice = |(index, choice): (&usize, &Choice)| {
            let content = if choice.content.is_empty() && !choice.calls.is_empty() {
                Value::Null
            } else {
                json!(choice.content)
            };
            let mut message = json!({"role": "assistant", "content": content, "refusal": choice.refusal});
            if !choice.calls.is_empty() {
                let call = |call: &Call| {
                    json!({"id": call.id, "type": "function",
                        "function": {"name": call.name, "arguments": call.arguments}})
                };
                message["tool_calls"] = choice.calls.values().map(call).collect();
            }
            let logprobs =
                choice.logprobs.as_ref().map(|content| json!({"content": content, "refusal": null}));
            json!({"index": index, "message": message, "logprobs": logprobs, "finish_reason": choice.finish})
        };
        json!({"id": format!("chatcmpl-{}", names.id), "object": "chat.completion", "created": names.created,
            "model": names.model, "choices": self.choices.iter().map(choice).collect::<Vec<_>>(),
            "usage": self.usage()})
    }

    /// The answer to a completion request; `echo` stands before each choice's text.
    #[must_use]
    pub fn completion(&self, names: &Names, echo: impl Fn(usize) -> String) -> Value {
        let choice = |(index, choice): (&usize, &Choice)| {
            let text = echo(*index) + &choice.content;
            json!({"index": index, "text": text, "logprobs": null, "finish_reason": choice.finish})
        };
        json!({"id": format!("cmpl-{}", names.id), "object": "text_completion", "created": names.created,
            "model": names.model, "choices": self.choices.iter().map(choice).collect::<Vec<_>>(),
            "usage": self.usage()})
    }
}
