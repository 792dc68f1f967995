//! Streams a writer's answer.

use std::time::Duration;

use serde_json::{json, Value};
use tokio::time::sleep;

use super::connection::{load_report, Connection};
use super::{lock, Fault};
use crate::http::{chunk, LAST_CHUNK, STREAM_HEAD};

/// The events of an answer to write: from position `from` up to, but not including, `to`.
struct EventRange {
    from: usize,
    to: usize,
}

impl EventRange {
    /// The events that a request asks for. It can limit their number, and with `continue_final_message` have the answer
    /// continue its last assistant message, each word of which counts as one event.
    fn of(request: &Value, default_events: usize) -> Self {
        let limits = ["max_completion_tokens", "max_tokens"];
        let limit = limits.iter().find_map(|name| request[name].as_u64()).unwrap_or(u64::MAX) as usize;
        let last = request["messages"].as_array().and_then(|messages| messages.last());
        let last = last.cloned().unwrap_or_default();
        if request["continue_final_message"] != true || last["role"] != "assistant" {
            return Self { from: 0, to: default_events.min(limit) };
        }
        let from = last["content"].as_str().unwrap_or("").split_whitespace().count();
        Self { from, to: default_events.min(from + limit) }
    }
}

/// The content event at position `event`; the last one has a `finish_reason`.
fn content_event(event: usize, is_last: bool) -> String {
    let finish = if is_last { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{event} \"}},\"finish_reason\":{finish}}}]}}\n\n"
    )
}

/// The events of an answer that calls a tool twice; the fragments of both calls are interleaved.
fn tool_call_events(tool: &str) -> [Value; 7] {
    let fragment = |index: usize, is_first: bool, arguments: &str| {
        let mut call = json!({"index": index, "function": {"arguments": arguments}});
        if is_first {
            call["id"] = json!(format!("call_{index}"));
            call["type"] = json!("function");
            call["function"]["name"] = json!(tool);
        }
        json!({"choices": [{"index": 0, "delta": {"tool_calls": [call]}, "finish_reason": null}]})
    };
    [
        fragment(0, true, ""),
        fragment(1, true, "{\"day\":"),
        fragment(0, false, "{\"day\":\"fri"),
        fragment(1, false, "\"sat\"}"),
        fragment(0, false, "\"}"),
        json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "tool_calls"}]}),
        json!({"choices": [], "usage": {"prompt_tokens": 9, "completion_tokens": 8, "total_tokens": 17}}),
    ]
}

impl Connection {
    /// Streams an answer; returns whether the connection stays open. `started` is the request's position in
    /// [`State::started`](super::State).
    pub(super) async fn stream_answer(&mut self, started: usize, fault: Fault, body: &str) -> bool {
        let request: Value = serde_json::from_str(body).unwrap_or_default();
        let max_events = match fault {
            Fault::Cuts(events) | Fault::Stalls(events) => events,
            _ => usize::MAX,
        };
        if !self.write(STREAM_HEAD).await {
            return false;
        }
        if request["tool_choice"] == "required" {
            return self.stream_tool_calls(started, &request, max_events).await;
        }
        let range = EventRange::of(&request, self.shape.events);
        if !self.stream_events(started, &range, max_events).await {
            return false;
        }
        let tail = self.tail(range.to, body.len() / 4);
        self.end_stream(started, &tail).await
    }

    /// Writes the events of a range, at most `max_events`; returns whether all of the range were written.
    async fn stream_events(&mut self, started: usize, range: &EventRange, max_events: usize) -> bool {
        for event in range.from..range.to {
            if event - range.from >= max_events {
                return false;
            }
            if !self.write(&chunk(&content_event(event, event + 1 == range.to))).await {
                return false;
            }
            lock(&self.state).started[started].events = event + 1;
            if self.shape.pause > Duration::ZERO {
                sleep(self.shape.pause).await;
            }
        }
        true
    }

    /// Streams an answer with two tool calls, at most `max_events` events; returns whether it was written completely.
    async fn stream_tool_calls(&mut self, started: usize, request: &Value, max_events: usize) -> bool {
        let tool = request["tools"][0]["function"]["name"].as_str().unwrap_or("none");
        for (written, event) in tool_call_events(tool).iter().enumerate() {
            if written >= max_events || !self.write(&chunk(&format!("data: {event}\n\n"))).await {
                return false;
            }
            lock(&self.state).started[started].events = written + 1;
        }
        self.end_stream(started, "data: [DONE]\n\n").await
    }

    /// The end of an answer: the usage, `[DONE]` and the load report as a comment.
    fn tail(&self, events: usize, prompt_tokens: usize) -> String {
        let usage = json!({"choices": [], "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": events,
            "total_tokens": prompt_tokens + events, "prompt_tokens_details": {"cached_tokens": 0}}});
        let report = load_report(&lock(&self.state), &self.shape);
        format!("data: {usage}\n\ndata: [DONE]\n\n: X-Pressure: {report}\n\n")
    }

    /// Writes the end of a stream and the last chunk, and records whether that succeeded.
    async fn end_stream(&mut self, started: usize, tail: &str) -> bool {
        let complete = self.write(&(chunk(tail) + LAST_CHUNK)).await;
        lock(&self.state).started[started].complete = complete;
        complete
    }
}
