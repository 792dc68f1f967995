//! The stream of a response: its typed events, numbered, with items that begin and end.

use serde_json::{json, Value};

use crate::answer_metadata::AnswerMetadata;
use crate::collected_answer::{tool_call_index, Choice, CollectedAnswer};
use crate::request::Request;

/// An item of the output, in the order in which items began: its place is its `output_index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputItem {
    Message,
    /// By the index that the server gave the call.
    FunctionCall(u64),
}

/// The published statuses of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    InProgress,
    Completed,
    Incomplete,
    Failed,
}

impl Status {
    fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::Incomplete => "incomplete",
            Self::Failed => "failed",
        }
    }
}

/// Writes the events of one response.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    metadata: AnswerMetadata,
    /// Fields of the request that the response repeats: all but its input.
    settings: Value,
    next_sequence_number: u64,
    items: Vec<OutputItem>,
    /// Text and calls, which the last events repeat.
    collected: CollectedAnswer,
}

impl ResponseStream {
    pub(crate) fn new(request: &Request, metadata: AnswerMetadata) -> Self {
        // Guards memory: inputs held for as long as streams last would add up.
        let settings = match request.body.as_object() {
            Some(fields) => {
                let kept = fields.iter().filter(|(name, _)| *name != "input");
                kept.map(|(name, value)| (name.clone(), value.clone())).collect()
            }
            None => Value::Null,
        };
        Self {
            metadata,
            settings,
            next_sequence_number: 0,
            items: Vec::new(),
            collected: CollectedAnswer::default(),
        }
    }

    /// The first events, before a server has sent anything.
    pub(crate) fn open(&mut self) -> String {
        let mut text = String::new();
        for event_type in ["response.created", "response.in_progress"] {
            let response = self.response(Status::InProgress);
            self.write_event(&mut text, event_type, json!({"response": response}));
        }
        text
    }

    /// The events that follow from a server's event.
    pub(crate) fn event(&mut self, event: &Value) -> String {
        let mut text = String::new();
        let delta = &event["choices"][0]["delta"];
        if let Some(piece) = delta["content"].as_str().filter(|piece| !piece.is_empty()) {
            self.write_text(&mut text, piece);
        }
        for (at, piece) in delta["tool_calls"].as_array().into_iter().flatten().enumerate() {
            self.write_tool_call(&mut text, tool_call_index(piece, at), piece);
        }
        self.collected.push(0, event);
        text
    }

    /// The last events of a response that has come whole.
    pub(crate) fn close(&mut self) -> String {
        let mut text = String::new();
        for (output_index, (kind, item)) in self.finished_items().into_iter().enumerate() {
            self.write_item_end(&mut text, output_index, kind, item);
        }
        let status = self.end_status();
        let response = self.response(status);
        let event_type = format!("response.{}", status.as_str());
        self.write_event(&mut text, &event_type, json!({"response": response}));
        text
    }

    /// The last event of a response whose servers broke off.
    pub(crate) fn fail(&mut self, message: &str) -> String {
        let mut text = String::new();
        let mut response = self.response(Status::Failed);
        response["error"] = json!({"code": "server_error", "message": message});
        self.write_event(&mut text, "response.failed", json!({"response": response}));
        text
    }

    /// The whole response of what has come.
    pub(crate) fn finished_response(&self) -> Value {
        self.response(self.end_status())
    }

    /// Items of the output, in the order in which they began.
    pub(crate) fn output(&self) -> Vec<Value> {
        self.finished_items().into_iter().map(|(_, item)| item).collect()
    }

    /// Bytes that are held of the request.
    pub(crate) fn request_bytes(&self) -> usize {
        self.settings.to_string().len()
    }

    /// Bytes of the answer's text that are held.
    pub(crate) fn text_bytes(&self) -> usize {
        self.collected.text_bytes()
    }

    fn write_event(&mut self, text: &mut String, event_type: &str, mut fields: Value) {
        fields["type"] = json!(event_type);
        fields["sequence_number"] = json!(self.next_sequence_number);
        self.next_sequence_number += 1;
        text.push_str(&format!("event: {event_type}\ndata: {fields}\n\n"));
    }

    /// The `output_index` of an item, and whether it begins with this.
    fn index_of(&mut self, item: OutputItem) -> (usize, bool) {
        if let Some(index) = self.items.iter().position(|known| *known == item) {
            return (index, false);
        }
        self.items.push(item);
        (self.items.len() - 1, true)
    }

    fn message_id(&self) -> String {
        format!("msg_{}", self.metadata.id)
    }

    fn function_call_id(&self, index: u64) -> String {
        format!("fc_{}_{index}", self.metadata.id)
    }

    fn write_text(&mut self, text: &mut String, piece: &str) {
        let item_id = self.message_id();
        let (output_index, begins) = self.index_of(OutputItem::Message);
        if begins {
            let item = json!({"id": item_id, "type": "message", "status": "in_progress", "role": "assistant",
                "content": []});
            let added = json!({"output_index": output_index, "item": item});
            self.write_event(text, "response.output_item.added", added);
            let part = json!({"type": "output_text", "text": "", "annotations": [], "logprobs": []});
            let added = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
                "part": part});
            self.write_event(text, "response.content_part.added", added);
        }
        let delta = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
            "delta": piece, "logprobs": []});
        self.write_event(text, "response.output_text.delta", delta);
    }

    fn write_tool_call(&mut self, text: &mut String, index: u64, piece: &Value) {
        let item_id = self.function_call_id(index);
        let (output_index, begins) = self.index_of(OutputItem::FunctionCall(index));
        if begins {
            let item = json!({"id": item_id, "type": "function_call", "status": "in_progress",
                "call_id": piece["id"], "name": piece["function"]["name"], "arguments": ""});
            let added = json!({"output_index": output_index, "item": item});
            self.write_event(text, "response.output_item.added", added);
        }
        let arguments = piece["function"]["arguments"].as_str().unwrap_or("");
        if !arguments.is_empty() {
            let delta = json!({"item_id": item_id, "output_index": output_index, "delta": arguments});
            self.write_event(text, "response.function_call_arguments.delta", delta);
        }
    }

    fn write_item_end(&mut self, text: &mut String, output_index: usize, kind: OutputItem, item: Value) {
        let item_id = item["id"].clone();
        match kind {
            OutputItem::FunctionCall(_) => {
                let done = json!({"item_id": item_id, "output_index": output_index, "name": item["name"],
                    "arguments": item["arguments"]});
                self.write_event(text, "response.function_call_arguments.done", done);
            }
            OutputItem::Message => {
                let part = item["content"][0].clone();
                let done = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
                    "text": part["text"], "logprobs": []});
                self.write_event(text, "response.output_text.done", done);
                let done = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
                    "part": part});
                self.write_event(text, "response.content_part.done", done);
            }
        }
        let done = json!({"output_index": output_index, "item": item});
        self.write_event(text, "response.output_item.done", done);
    }

    fn finished_items(&self) -> Vec<(OutputItem, Value)> {
        let Some(choice) = self.collected.choices.get(&0) else { return Vec::new() };
        let finished = |&item: &OutputItem| Some((item, self.finished_item(item, choice)?));
        self.items.iter().filter_map(finished).collect()
    }

    fn finished_item(&self, item: OutputItem, choice: &Choice) -> Option<Value> {
        match item {
            OutputItem::Message => {
                let part = json!({"type": "output_text", "text": choice.content, "annotations": [],
                    "logprobs": []});
                Some(json!({"id": self.message_id(), "type": "message", "status": "completed",
                    "role": "assistant", "content": [part]}))
            }
            OutputItem::FunctionCall(index) => {
                let call = choice.tool_calls.get(&index)?;
                Some(json!({"id": self.function_call_id(index), "type": "function_call",
                    "status": "completed", "call_id": call.id, "name": call.name,
                    "arguments": call.arguments}))
            }
        }
    }

    /// How the response ends, by why the server's answer did.
    fn end_status(&self) -> Status {
        let choice = self.collected.choices.values().next();
        match choice.and_then(|choice| choice.finish_reason.as_deref()) {
            Some("length" | "content_filter") => Status::Incomplete,
            _ => Status::Completed,
        }
    }

    /// The response object: with its output and usage once it has ended.
    fn response(&self, status: Status) -> Value {
        let settings = &self.settings;
        let setting_or = |name: &str, default: Value| {
            if settings[name].is_null() {
                default
            } else {
                settings[name].clone()
            }
        };
        let (output, usage) = match status {
            Status::Completed | Status::Incomplete => {
                (self.output(), self.collected.usage.to_response_json())
            }
            Status::InProgress | Status::Failed => (Vec::new(), Value::Null),
        };
        let incomplete_details = match status {
            Status::Incomplete => json!({"reason": "max_output_tokens"}),
            _ => Value::Null,
        };
        json!({
            "id": format!("resp_{}", self.metadata.id), "object": "response",
            "created_at": self.metadata.created_unix_s, "status": status.as_str(), "error": null,
            "incomplete_details": incomplete_details, "instructions": settings["instructions"],
            "max_output_tokens": settings["max_output_tokens"], "model": self.metadata.model, "output": output,
            "parallel_tool_calls": setting_or("parallel_tool_calls", json!(true)),
            "previous_response_id": settings["previous_response_id"],
            "reasoning": setting_or("reasoning", json!({"effort": null, "summary": null})),
            "store": setting_or("store", json!(true)), "temperature": setting_or("temperature", json!(1.0)),
            "text": setting_or("text", json!({"format": {"type": "text"}})),
            "tool_choice": setting_or("tool_choice", json!("auto")), "tools": setting_or("tools", json!([])),
            "top_p": setting_or("top_p", json!(1.0)), "truncation": "disabled", "usage": usage,
            "user": settings["user"], "metadata": setting_or("metadata", json!({})),
        })
    }
}
