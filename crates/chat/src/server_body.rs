//! The chat request that is sent to a server for one choice. Servers get chat requests for all three endpoints.

use serde_json::{json, Value};

use crate::request::{Request, RequestKind};

/// Fields of completion requests and requests for responses that are copied to the chat request unchanged, as their
/// name and meaning are the same there.
const PASSTHROUGH_FIELDS: [&str; 7] =
    ["temperature", "top_p", "presence_penalty", "frequency_penalty", "seed", "stop", "user"];

impl Request {
    /// The body that is sent to a server for the choice with this index: a chat request for one streamed choice. The
    /// fields of a chat request are sent as received, other than `stream`, `n` and `stream_options`. Other requests are
    /// converted, and only the fields that this module names are sent.
    ///
    /// # Panics
    /// If `choice` is not less than [`Request::choice_count`], unless the client sent a chat request.
    #[must_use]
    pub fn server_body(&self, choice: usize) -> Value {
        let mut body = match self.kind {
            RequestKind::Chat => self.body.clone(),
            RequestKind::Completion | RequestKind::Response => self.to_chat_body(choice),
        };
        body["stream"] = Value::Bool(true);
        if let Some(fields) = body.as_object_mut() {
            fields.remove("n");
            fields.remove("stream_options");
        }
        body
    }

    /// Converts one choice of a completion request, or a request for a response, to a chat request.
    fn to_chat_body(&self, choice: usize) -> Value {
        let messages: Vec<Value> = self
            .prompt_of(choice)
            .iter()
            .map(|message| json!({"role": message.role, "content": message.text}))
            .collect();
        let mut chat_body = json!({"model": self.model, "messages": messages});
        for name in PASSTHROUGH_FIELDS {
            if let Some(value) = self.body.get(name).filter(|value| !value.is_null()) {
                chat_body[name] = value.clone();
            }
        }
        if self.kind == RequestKind::Response {
            convert_tools(&self.body, &mut chat_body);
            convert_format(&self.body["text"]["format"], &mut chat_body);
            if let Some(effort) = self.body["reasoning"]["effort"].as_str() {
                chat_body["reasoning_effort"] = json!(effort);
            }
        }
        if let Some(max_tokens) = self.max_tokens {
            chat_body["max_tokens"] = json!(max_tokens);
        }
        chat_body
    }
}

/// Adds the tools of a request for a response, and the choice among them, in the format of a chat request.
fn convert_tools(body: &Value, chat_body: &mut Value) {
    let Some(tools) = body["tools"].as_array().filter(|tools| !tools.is_empty()) else { return };
    let convert = |tool: &Value| json!({"type": "function", "function": without_type(tool)});
    chat_body["tools"] = tools.iter().map(convert).collect();
    for name in ["parallel_tool_calls", "tool_choice"] {
        match &body[name] {
            Value::Null => {}
            Value::Object(choice) => {
                chat_body[name] = json!({"type": "function", "function": {"name": choice["name"]}});
            }
            scalar => chat_body[name] = scalar.clone(),
        }
    }
}

/// Adds `text.format` of a request for a response as `response_format`.
fn convert_format(format: &Value, chat_body: &mut Value) {
    match format["type"].as_str() {
        Some("json_schema") => {
            chat_body["response_format"] =
                json!({"type": "json_schema", "json_schema": without_type(format)});
        }
        Some(format_type) => chat_body["response_format"] = json!({"type": format_type}),
        None => {}
    }
}

/// A copy of the object without its `type` field.
fn without_type(object: &Value) -> Value {
    let mut object = object.clone();
    if let Some(fields) = object.as_object_mut() {
        fields.remove("type");
    }
    object
}
