//! The stream of a response: typed, numbered events, in which each output item is added, filled by deltas and finished.

use serde_json::{json, Value};

use crate::answer_metadata::AnswerMetadata;
use crate::collected_answer::{tool_call_index, Choice, CollectedAnswer};
use crate::request::Request;

/// An item of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputItem {
    Message,
    /// The tool call with this index in the server's events.
    FunctionCall(u64),
}

/// The value of `status` in a response object.
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

/// Writes the event stream of one response.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    metadata: AnswerMetadata,
    /// The fields of the request that response objects may repeat: all but `input`.
    settings: Value,
    next_sequence_number: u64,
    /// The output items in the order in which they were added; an item's position is its `output_index`.
    items: Vec<OutputItem>,
    /// The text and tool calls so far, which the last events repeat as a whole.
    collected: CollectedAnswer,
}

impl ResponseStream {
    pub(crate) fn new(request: &Request, metadata: AnswerMetadata) -> Self {
        // `input` is not kept: inputs held for as long as their streams last would add up to a lot of memory.
        let settings = match request.body.as_object() {
            Some(fields) => {
                let repeated = fields.iter().filter(|(name, _)| *name != "input");
                repeated.map(|(name, value)| (name.clone(), value.clone())).collect()
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

    /// The events that start the stream, before any event of a server.
    pub(crate) fn open(&mut self) -> String {
        let mut out = String::new();
        for event_type in ["response.created", "response.in_progress"] {
            let response = self.response(Status::InProgress);
            self.write_event(&mut out, event_type, json!({"response": response}));
        }
        out
    }

    /// Translates a server's event into events of the response.
    pub(crate) fn event(&mut self, event: &Value) -> String {
        let mut out = String::new();
        let delta = &event["choices"][0]["delta"];
        if let Some(piece) = delta["content"].as_str().filter(|piece| !piece.is_empty()) {
            self.write_text_delta(&mut out, piece);
        }
        for (fallback_index, piece) in delta["tool_calls"].as_array().into_iter().flatten().enumerate() {
            self.write_tool_call_delta(&mut out, tool_call_index(piece, fallback_index), piece);
        }
        self.collected.push(0, event);
        out
    }

    /// The events that end a complete response: those that finish each item, then that of the final status.
    pub(crate) fn close(&mut self) -> String {
        let mut out = String::new();
        for (output_index, (kind, item)) in self.finished_items().into_iter().enumerate() {
            self.write_item_done(&mut out, output_index, kind, item);
        }
        let status = self.final_status();
        let response = self.response(status);
        let event_type = format!("response.{}", status.as_str());
        self.write_event(&mut out, &event_type, json!({"response": response}));
        out
    }

    /// The event that ends a response whose server failed.
    pub(crate) fn fail(&mut self, message: &str) -> String {
        let mut out = String::new();
        let mut response = self.response(Status::Failed);
        response["error"] = json!({"code": "server_error", "message": message});
        self.write_event(&mut out, "response.failed", json!({"response": response}));
        out
    }

    /// The finished response, built from all events so far.
    pub(crate) fn finished_response(&self) -> Value {
        self.response(self.final_status())
    }

    /// The output items, in the order in which they were added.
    pub(crate) fn output(&self) -> Vec<Value> {
        self.finished_items().into_iter().map(|(_, item)| item).collect()
    }

    /// The bytes of the request that are held.
    pub(crate) fn request_bytes(&self) -> usize {
        self.settings.to_string().len()
    }

    /// The bytes of the answer that are held.
    pub(crate) fn text_bytes(&self) -> usize {
        self.collected.text_bytes()
    }

    /// Appends an event of this type to `out`, with the next sequence number.
    fn write_event(&mut self, out: &mut String, event_type: &str, mut fields: Value) {
        fields["type"] = json!(event_type);
        fields["sequence_number"] = json!(self.next_sequence_number);
        self.next_sequence_number += 1;
        out.push_str(&format!("event: {event_type}\ndata: {fields}\n\n"));
    }

    /// The `output_index` of an item, and whether the item is new; a new item is appended to the output.
    fn output_index_of(&mut self, item: OutputItem) -> (usize, bool) {
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

    /// Appends a delta of the message's text to `out`, after the events that add the message if it is new.
    fn write_text_delta(&mut self, out: &mut String, piece: &str) {
        let item_id = self.message_id();
        let (output_index, is_new) = self.output_index_of(OutputItem::Message);
        if is_new {
            let item = json!({"id": item_id, "type": "message", "status": "in_progress", "role": "assistant",
                "content": []});
            let added = json!({"output_index": output_index, "item": item});
            self.write_event(out, "response.output_item.added", added);
            let part = json!({"type": "output_text", "text": "", "annotations": [], "logprobs": []});
            let added = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
                "part": part});
            self.write_event(out, "response.content_part.added", added);
        }
        let delta = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
            "delta": piece, "logprobs": []});
        self.write_event(out, "response.output_text.delta", delta);
    }

    /// Appends a delta of a function call to `out`, after the event that adds the call if it is new.
    fn write_tool_call_delta(&mut self, out: &mut String, index: u64, piece: &Value) {
        let item_id = self.function_call_id(index);
        let (output_index, is_new) = self.output_index_of(OutputItem::FunctionCall(index));
        if is_new {
            let item = json!({"id": item_id, "type": "function_call", "status": "in_progress",
                "call_id": piece["id"], "name": piece["function"]["name"], "arguments": ""});
            let added = json!({"output_index": output_index, "item": item});
            self.write_event(out, "response.output_item.added", added);
        }
        let arguments = piece["function"]["arguments"].as_str().unwrap_or("");
        if !arguments.is_empty() {
            let delta = json!({"item_id": item_id, "output_index": output_index, "delta": arguments});
            self.write_event(out, "response.function_call_arguments.delta", delta);
        }
    }

    /// Appends the events that finish an item to `out`.
    fn write_item_done(&mut self, out: &mut String, output_index: usize, kind: OutputItem, item: Value) {
        let item_id = item["id"].clone();
        match kind {
            OutputItem::FunctionCall(_) => {
                let done = json!({"item_id": item_id, "output_index": output_index, "name": item["name"],
                    "arguments": item["arguments"]});
                self.write_event(out, "response.function_call_arguments.done", done);
            }
            OutputItem::Message => {
                let part = item["content"][0].clone();
                let done = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
                    "text": part["text"], "logprobs": []});
                self.write_event(out, "response.output_text.done", done);
                let done = json!({"item_id": item_id, "output_index": output_index, "content_index": 0,
                    "part": part});
                self.write_event(out, "response.content_part.done", done);
            }
        }
        let done = json!({"output_index": output_index, "item": item});
        self.write_event(out, "response.output_item.done", done);
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

    /// The final status of the response, by the server's `finish_reason`.
    fn final_status(&self) -> Status {
        let choice = self.collected.choices.values().next();
        match choice.and_then(|choice| choice.finish_reason.as_deref()) {
            Some("length" | "content_filter") => Status::Incomplete,
            _ => Status::Completed,
        }
    }

    /// The response object. It has output and usage only if it is completed or incomplete.
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
