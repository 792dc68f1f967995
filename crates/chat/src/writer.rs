//! A client's stream, written from the events of servers.

use serde_json::{json, Value};

use crate::answer::Collected;
use crate::request::{Request, Shape};

/// What stands in every answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// The request's id, without a prefix.
    pub id: String,
    /// The model, as the client named it.
    pub model: String,
    /// When it was made (Unix time, seconds).
    pub created: u64,
}

/// Writes the stream of one request, whatever its kind.
#[derive(Debug)]
pub struct Writer {
    names: Names,
    shape: Shape,
    include_usage: bool,
    echo: Vec<String>,
    /// Choices of which something has been written.
    begun: Vec<bool>,
    /// Usage; of a response also its text and calls, which its last events tell again.
    collected: Collected,
    response: Response,
}

/// What the events of a response tell besides its text.
#[derive(Debug, Default)]
struct Response {
    request: Value,
    sequence: u64,
    /// The message's place among the items, once it has begun; then calls by their index.
    message: Option<usize>,
    calls: Vec<(u64, usize)>,
    items: usize,
}

/// The published statuses of a response.
fn status(collected: &Collected) -> &'static str {
    match collected.choices.values().next().and_then(|choice| choice.finish.as_deref()) {
        Some("length" | "content_filter") => "incomplete",
        _ => "completed",
    }
}

impl Writer {
    /// Writes for this request.
    #[must_use]
    pub fn new(request: &Request, names: Names) -> Self {
        let echo = if request.echo {
            let prompt = |part: usize| request.prompts[part / request.choices as usize][0].1.clone();
            (0..request.parts()).map(prompt).collect()
        } else {
            Vec::new()
        };
        // Guards memory: prompts held for as long as streams last would add up. A response tells all but its input.
        let mut told = Value::Null;
        if let (Shape::Response, Some(fields)) = (request.shape, request.body.as_object()) {
            let fields = fields.iter().filter(|(name, _)| *name != "input");
            told = fields.map(|(name, value)| (name.clone(), value.clone())).collect();
        }
        let response = Response { request: told, ..Response::default() };
        Self {
            names,
            shape: request.shape,
            include_usage: request.include_usage,
            echo,
            begun: vec![false; request.parts()],
            collected: Collected::default(),
            response,
        }
    }

    /// What the stream begins with, before anything has come.
    #[must_use]
    pub fn open(&mut self) -> String {
        if self.shape != Shape::Response {
            return String::new();
        }
        let mut text = String::new();
        for kind in ["response.created", "response.in_progress"] {
            let response = self.response_object("in_progress");
            self.typed(&mut text, kind, json!({"response": response}));
        }
        text
    }

    /// An event of a choice, as the client gets it; empty where it gets none.
    #[must_use]
    pub fn event(&mut self, choice: usize, event: &Value) -> String {
        match self.shape {
            Shape::Response => {
                let mut text = String::new();
                self.response_event(event, &mut text);
                self.collected.take(0, event);
                text
            }
            Shape::Chat | Shape::Completion => {
                self.collected.add_usage(&event["usage"]);
                let found = &event["choices"][0];
                if found.is_null() {
                    return String::new(); // usage is told once, at the end, where it is asked for
                }
                let first = !std::mem::replace(&mut self.begun[choice], true);
                data(&self.chunk(choice, found, first))
            }
        }
    }

    fn chunk(&self, choice: usize, found: &Value, first: bool) -> Value {
        let mut chunk = if self.shape == Shape::Chat {
            let mut delta = found["delta"].as_object().cloned().unwrap_or_default();
            if first {
                delta.insert("role".to_owned(), json!("assistant"));
            }
            json!({"id": format!("chatcmpl-{}", self.names.id), "object": "chat.completion.chunk",
                "choices": [{"index": choice, "delta": delta, "logprobs": found["logprobs"],
                    "finish_reason": found["finish_reason"]}]})
        } else {
            let echo = self.echo.get(choice).filter(|_| first).map_or("", String::as_str);
            let text = echo.to_owned() + found["delta"]["content"].as_str().unwrap_or("");
            json!({"id": format!("cmpl-{}", self.names.id), "object": "text_completion",
                "choices": [{"index": choice, "text": text, "logprobs": null,
                    "finish_reason": found["finish_reason"]}]})
        };
        chunk["created"] = json!(self.names.created);
        chunk["model"] = json!(self.names.model);
        if self.include_usage {
            chunk["usage"] = Value::Null;
        }
        chunk
    }

    /// What a whole stream ends with.
    #[must_use]
    pub fn close(&mut self) -> String {
        let mut text = String::new();
        match self.shape {
            Shape::Response => {
                self.close_response(&mut text);
                let status = status(&self.collected);
                let response = self.response_object(status);
                self.typed(&mut text, &format!("response.{status}"), json!({"response": response}));
            }
            Shape::Chat | Shape::Completion => {
                if self.include_usage {
                    let mut chunk = self.chunk(0, &Value::Null, false);
                    chunk["choices"] = json!([]);
                    chunk["usage"] = self.collected.usage();
                    text = data(&chunk);
                }
                text.push_str("data: [DONE]\n\n");
            }
        }
        text
    }

    /// What a stream ends with that was cut: one error, and nothing that looks like an end.
    #[must_use]
    pub fn cut(&mut self, code: &str, message: &str) -> String {
        let mut text = String::new();
        if self.shape == Shape::Response {
            let mut response = self.response_object("failed");
            response["error"] = json!({"code": "server_error", "message": message});
            self.typed(&mut text, "response.failed", json!({"response": response}));
        } else {
            let error = json!({"message": message, "type": "server_error", "param": null, "code": code});
            text = data(&json!({"error": error}));
        }
        text
    }

    /// The whole response of what has been collected: to be kept, or told where no stream is wanted.
    #[must_use]
    pub fn response(&mut self) -> Value {
        self.response_object(status(&self.collected))
    }

    /// Items of the answer, as a response that goes on from this one is given them.
    #[must_use]
    pub fn items(&self) -> Vec<Value> {
        self.output()
    }

    /// Bytes that the writer itself holds of the request.
    #[must_use]
    pub fn of_request(&self) -> usize {
        self.echo.iter().map(String::len).sum::<usize>() + self.response.request.to_string().len()
    }

    /// Bytes of text that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.collected.bytes()
    }

    fn typed(&mut self, text: &mut String, kind: &str, mut fields: Value) {
        fields["type"] = json!(kind);
        fields["sequence_number"] = json!(self.response.sequence);
        self.response.sequence += 1;
        text.push_str(&format!("event: {kind}\n{}", data(&fields)));
    }

    fn response_event(&mut self, event: &Value, text: &mut String) {
        let delta = &event["choices"][0]["delta"];
        if let Some(piece) = delta["content"].as_str().filter(|piece| !piece.is_empty()) {
            let item_id = format!("msg_{}", self.names.id);
            if self.response.message.is_none() {
                let at = self.response.items;
                self.response.message = Some(at);
                self.response.items += 1;
                let item = json!({"id": item_id, "type": "message", "status": "in_progress", "role": "assistant",
                    "content": []});
                self.typed(text, "response.output_item.added", json!({"output_index": at, "item": item}));
                let part = json!({"type": "output_text", "text": "", "annotations": [], "logprobs": []});
                let fields =
                    json!({"item_id": item_id, "output_index": at, "content_index": 0, "part": part});
                self.typed(text, "response.content_part.added", fields);
            }
            let at = self.response.message.unwrap_or(0);
            let fields = json!({"item_id": item_id, "output_index": at, "content_index": 0, "delta": piece,
                "logprobs": []});
            self.typed(text, "response.output_text.delta", fields);
        }
        for (place, piece) in delta["tool_calls"].as_array().into_iter().flatten().enumerate() {
            let index = piece["index"].as_u64().unwrap_or(place as u64);
            let item_id = format!("fc_{}_{index}", self.names.id);
            let known = self.response.calls.iter().find(|(known, _)| *known == index).map(|(_, at)| *at);
            let at = known.unwrap_or(self.response.items);
            if known.is_none() {
                self.response.calls.push((index, at));
                self.response.items += 1;
                let item = json!({"id": item_id, "type": "function_call", "status": "in_progress",
                    "call_id": piece["id"], "name": piece["function"]["name"], "arguments": ""});
                self.typed(text, "response.output_item.added", json!({"output_index": at, "item": item}));
            }
            if let Some(more) = piece["function"]["arguments"].as_str().filter(|more| !more.is_empty()) {
                let fields = json!({"item_id": item_id, "output_index": at, "delta": more});
                self.typed(text, "response.function_call_arguments.delta", fields);
            }
        }
    }

    fn close_response(&mut self, text: &mut String) {
        let items = self.output();
        let mut places: Vec<(usize, Option<u64>)> = Vec::new();
        places.extend(self.response.message.map(|at| (at, None)));
        places.extend(self.response.calls.iter().map(|&(index, at)| (at, Some(index))));
        places.sort_unstable();
        for ((at, call), item) in places.into_iter().zip(items) {
            let id = item["id"].clone();
            if call.is_some() {
                let fields = json!({"item_id": id, "output_index": at, "name": item["name"],
                    "arguments": item["arguments"]});
                self.typed(text, "response.function_call_arguments.done", fields);
            } else {
                let part = item["content"][0].clone();
                let fields = json!({"item_id": id, "output_index": at, "content_index": 0, "text": part["text"],
                    "logprobs": []});
                self.typed(text, "response.output_text.done", fields);
                let fields = json!({"item_id": id, "output_index": at, "content_index": 0, "part": part});
                self.typed(text, "response.content_part.done", fields);
            }
            self.typed(text, "response.output_item.done", json!({"output_index": at, "item": item}));
        }
    }

    /// Items in the order in which they began.
    fn output(&self) -> Vec<Value> {
        let Some(choice) = self.collected.choices.get(&0) else { return Vec::new() };
        let mut items: Vec<(usize, Value)> = Vec::new();
        if let Some(at) = self.response.message {
            let part =
                json!({"type": "output_text", "text": choice.content, "annotations": [], "logprobs": []});
            items.push((
                at,
                json!({"id": format!("msg_{}", self.names.id), "type": "message",
                "status": "completed", "role": "assistant", "content": [part]}),
            ));
        }
        for &(index, at) in &self.response.calls {
            let Some(call) = choice.calls.get(&index) else { continue };
            items.push((
                at,
                json!({"id": format!("fc_{}_{index}", self.names.id), "type": "function_call",
                "status": "completed", "call_id": call.id, "name": call.name, "arguments": call.arguments}),
            ));
        }
        items.sort_by_key(|(at, _)| *at);
        items.into_iter().map(|(_, item)| item).collect()
    }

    fn response_object(&self, status: &str) -> Value {
        let asked = &self.response.request;
        let or = |name: &str, absent: Value| if asked[name].is_null() { absent } else { asked[name].clone() };
        let over = matches!(status, "completed" | "incomplete");
        let incomplete =
            if status == "incomplete" { json!({"reason": "max_output_tokens"}) } else { Value::Null };
        json!({
            "id": format!("resp_{}", self.names.id), "object": "response", "created_at": self.names.created,
            "status": status, "error": null, "incomplete_details": incomplete,
            "instructions": asked["instructions"], "max_output_tokens": asked["max_output_tokens"],
            "model": self.names.model, "output": if over { json!(self.output()) } else { json!([]) },
            "parallel_tool_calls": or("parallel_tool_calls", json!(true)),
            "previous_response_id": asked["previous_response_id"],
            "reasoning": or("reasoning", json!({"effort": null, "summary": null})),
            "store": or("store", json!(true)), "temperature": or("temperature", json!(1.0)),
            "text": or("text", json!({"format": {"type": "text"}})),
            "tool_choice": or("tool_choice", json!("auto")), "tools": or("tools", json!([])),
            "top_p": or("top_p", json!(1.0)), "truncation": "disabled",
            "usage": if over { self.collected.response_usage() } else { Value::Null },
            "user": asked["user"], "metadata": or("metadata", json!({})),
        })
    }
}

fn data(event: &Value) -> String {
    format!("data: {event}\n\n")
}
