//! The chat request that is sent to servers for one choice, whichever request the client made.

use serde_json::{json, Value};

use crate::request::{Request, RequestKind};

/// Fields that mean the same under the same name to servers.
const PASSED_ON: [&str; 7] =
    ["temperature", "top_p", "presence_penalty", "frequency_penalty", "seed", "stop", "user"];

impl Request {
    /// The body that is sent to servers for one choice: always a chat request for one streamed answer.
    ///
    /// # Panics
    /// If there is no such choice.
    #[must_use]
    pub fn server_body(&self, choice: usize) -> Value {
        let mut body = match self.kind {
            RequestKind::Chat => self.body.clone(),
            RequestKind::Completion | RequestKind::Response => self.as_chat(choice),
        };
        body["stream"] = Value::Bool(true);
        if let Some(fields) = body.as_object_mut() {
            fields.remove("n");
            fields.remove("stream_options");
        }
        body
    }

    /// A completion request, or one for a response, as a chat request.
    fn as_chat(&self, choice: usize) -> Value {
        let messages: Vec<Value> = self
            .prompt_of(choice)
            .iter()
            .map(|message| json!({"role": message.role, "content": message.text}))
            .collect();
        let mut chat = json!({"model": self.model, "messages": messages});
        for name in PASSED_ON {
            if let Some(value) = self.body.get(name).filter(|value| !value.is_null()) {
                chat[name] = value.clone();
            }
        }
        if self.kind == RequestKind::Response {
            convert_tools(&self.body, &mut chat);
            convert_format(&self.body["text"]["format"], &mut chat);
            if let Some(effort) = self.body["reasoning"]["effort"].as_str() {
                chat["reasoning_effort"] = json!(effort);
            }
        }
        if let Some(max_tokens) = self.max_tokens {
            chat["max_tokens"] = json!(max_tokens);
        }
        chat
    }
}

/// Tools of a request for a response, and the choice among them, in the form of a chat request.
fn convert_tools(body: &Value, chat: &mut Value) {
    let Some(tools) = body["tools"].as_array().filter(|tools| !tools.is_empty()) else { return };
    let convert = |tool: &Value| json!({"type": "function", "function": without_type(tool)});
    chat["tools"] = tools.iter().map(convert).collect();
    for name in ["parallel_tool_calls", "tool_choice"] {
        match &body[name] {
            Value::Null => {}
            Value::Object(choice) => {
                chat[name] = json!({"type": "function", "function": {"name": choice["name"]}});
            }
            plain => chat[name] = plain.clone(),
        }
    }
}

/// `text.format` of a request for a response as `response_format`.
fn convert_format(format: &Value, chat: &mut Value) {
    match format["type"].as_str() {
        Some("json_schema") => {
            chat["response_format"] = json!({"type": "json_schema", "json_schema": without_type(format)});
        }
        Some(format_type) => chat["response_format"] = json!({"type": format_type}),
        None => {}
    }
}

fn without_type(object: &Value) -> Value {
    let mut object = object.clone();
    if let Some(fields) = object.as_object_mut() {
        fields.remove("type");
    }
    object
}
