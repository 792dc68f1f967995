//! Requests for responses: their input as a chat prompt, and what of them goes on to servers.

use serde_json::{json, Value};

use crate::check::{field, metadata, name, At, Field};
use crate::request::{flag, model, most_tokens, object, ranges, tool_choice, Limits, Request, Shape};
use crate::Bad;

const RESPONSE: [&str; 30] = [
    "model",
    "input",
    "instructions",
    "background",
    "conversation",
    "include",
    "max_output_tokens",
    "max_tool_calls",
    "metadata",
    "parallel_tool_calls",
    "previous_response_id",
    "prompt",
    "prompt_cache_key",
    "prompt_cache_retention",
    "reasoning",
    "safety_identifier",
    "service_tier",
    "store",
    "stream",
    "stream_options",
    "temperature",
    "text",
    "tool_choice",
    "tools",
    "top_logprobs",
    "top_p",
    "truncation",
    "user",
    "verbosity",
    "context_management",
];

impl Request {
    /// Reads a request for a response.
    ///
    /// # Errors
    /// The first field at fault, by its path.
    pub fn response(body: Value, limits: &Limits) -> Result<Self, Bad> {
        let fields = object(&body)?;
        if let Some(unknown) = fields.keys().find(|name| !RESPONSE.contains(&name.as_str())) {
            return Err(Bad::unknown(unknown));
        }
        let model = model(fields)?;
        ranges(fields)?;
        for (name, why) in [
            ("conversation", "go on with previous_response_id"),
            ("prompt", "no prompts are kept"),
            ("top_logprobs", "ask the chat API for them"),
            ("max_tool_calls", "tools are called by the client"),
            ("context_management", "nothing is shortened"),
        ] {
            if field(fields, name).is_some() {
                return Err(Bad::unsupported(name, why));
            }
        }
        if flag(fields, "background")? {
            return Err(Bad::unsupported("background", "responses are made while their client waits"));
        }
        if let Some(include) = field(fields, "include") {
            for (at, value) in include.list()?.iter().enumerate() {
                Field { value, path: &format!("include[{at}]") }.text()?;
            }
        }
        if let Some(truncation) = field(fields, "truncation") {
            if truncation.one_of(&["auto", "disabled"])? == "auto" {
                return Err(Bad::unsupported("truncation", "nothing is cut out of prompts"));
            }
        }
        if let Some(tier) = field(fields, "service_tier") {
            if !matches!(tier.one_of(&["auto", "default", "flex", "scale", "priority"])?, "auto" | "default")
            {
                return Err(Bad::unsupported("service_tier", "there is one tier"));
            }
        }
        for name in ["user", "prompt_cache_key", "prompt_cache_retention", "safety_identifier"] {
            if let Some(field) = field(fields, name) {
                field.text()?;
            }
        }
        if let Some(pairs) = field(fields, "metadata") {
            metadata(pairs)?;
        }
        let stream = flag(fields, "stream")?;
        if let Some(options) = field(fields, "stream_options") {
            if !stream {
                return Err(Bad::value("stream_options", "absent where no stream is wanted"));
            }
            At::new(options.value, "stream_options".to_owned())?.only(&["include_obfuscation"])?;
        }
        if let Some(reasoning) = field(fields, "reasoning") {
            let reasoning = At::new(reasoning.value, "reasoning".to_owned())?;
            reasoning.only(&["effort", "summary", "generate_summary"])?;
            let efforts = ["none", "minimal", "low", "medium", "high", "xhigh"];
            reasoning.maybe("effort", |effort| effort.one_of(&efforts).map(drop))?;
        }
        if let Some(text) = field(fields, "text") {
            let text = At::new(text.value, "text".to_owned())?;
            text.only(&["format", "verbosity"])?;
            text.maybe("verbosity", |verbosity| verbosity.one_of(&["low", "medium", "high"]).map(drop))?;
            text.maybe("format", |format| {
                let format = At::new(format.value, format.path.to_owned())?;
                let kinds = ["text", "json_object", "json_schema"];
                if format.must("type", |kind| kind.one_of(&kinds).map(str::to_owned))? == "json_schema" {
                    format.must("name", name)?;
                    format.must("schema", |schema| schema.object().map(drop))?;
                }
                Ok(())
            })?;
        }
        let mut names = Vec::new();
        if let Some(tools) = field(fields, "tools") {
            for (at, tool) in tools.list()?.iter().enumerate() {
                let tool = At::new(tool, format!("tools[{at}]"))?;
                if tool.must("type", |kind| kind.text().map(str::to_owned))? != "function" {
                    return Err(Bad::unsupported(&tool.name("type"), "tools are functions"));
                }
                tool.only(&["type", "name", "description", "parameters", "strict"])?;
                tool.maybe("parameters", |parameters| parameters.object().map(drop))?;
                names.push(tool.must("name", name)?);
            }
        }
        if let Some(choice) = field(fields, "tool_choice") {
            tool_choice(choice, &names, false)?;
        }
        flag(fields, "parallel_tool_calls")?;
        let mut prompt = Vec::new();
        if let Some(instructions) = field(fields, "instructions") {
            prompt.push(("developer".to_owned(), instructions.text()?.to_owned()));
        }
        let input = field(fields, "input").ok_or_else(|| Bad::missing("input"))?;
        let items = match input.value {
            Value::String(text) => vec![json!({"type": "message", "role": "user", "content": text})],
            Value::Array(items) if items.is_empty() || items.len() > limits.most_messages => {
                return Err(Bad::value("input", format!("1 to {} items", limits.most_messages)));
            }
            Value::Array(items) => items.clone(),
            _ => return Err(Bad::kind("input", "a string or an array of items")),
        };
        for (at, item) in items.iter().enumerate() {
            prompt.push(read_item(item, format!("input[{at}]"))?);
        }
        let previous =
            field(fields, "previous_response_id").map(|id| id.text().map(str::to_owned)).transpose()?;
        Ok(Self {
            shape: Shape::Response,
            model,
            stream,
            include_usage: false,
            max_tokens: most_tokens(fields, "max_output_tokens")?,
            prompts: vec![prompt],
            choices: 1,
            echo: false,
            previous,
            store: field(fields, "store").map_or(Ok(true), Field::flag)?,
            input: items,
            body,
        })
    }

    /// Puts items of responses before into the prompt, after the instructions and before the input: those of
    /// responses before are not carried on, as published.
    pub fn go_on_from(&mut self, items: &[Value]) {
        let at = self.prompts[0].len() - self.input.len();
        let before = items.iter().filter_map(|item| read_item(item, String::new()).ok());
        self.prompts[0].splice(at..at, before);
        let mut input = items.to_vec();
        input.append(&mut self.input);
        self.input = input;
    }
}

/// The role and the text of an item of the input.
fn read_item(item: &Value, path: String) -> Result<(String, String), Bad> {
    let item = At::new(item, path)?;
    let kind = item.maybe("type", |kind| kind.text().map(str::to_owned))?;
    match kind.as_deref() {
        None | Some("message") => {
            let known = ["system", "developer", "user", "assistant"];
            let role = item.must("role", |role| role.one_of(&known).map(str::to_owned))?;
            let text = item.must("content", |content| match content.value {
                Value::String(text) => Ok(text.clone()),
                Value::Array(parts) => {
                    let mut text = String::new();
                    for (at, part) in parts.iter().enumerate() {
                        let part = At::new(part, format!("{}[{at}]", content.path))?;
                        let known = [
                            "input_text",
                            "output_text",
                            "refusal",
                            "input_image",
                            "input_file",
                            "input_audio",
                        ];
                        match part.must("type", |kind| kind.one_of(&known).map(str::to_owned))?.as_str() {
                            "input_text" | "output_text" => text.push_str(&part.text("text")?),
                            "refusal" => text.push_str(&part.text("refusal")?),
                            _ => return Err(Bad::unsupported(&part.name("type"), "prompts are text")),
                        }
                    }
                    Ok(text)
                }
                _ => Err(Bad::kind(content.path, "a string or an array of parts")),
            })?;
            Ok((role, text))
        }
        Some("function_call") => {
            item.text("call_id")?;
            item.must("name", name)?;
            Ok(("assistant".to_owned(), item.text("arguments")?))
        }
        Some("function_call_output") => {
            item.text("call_id")?;
            Ok(("tool".to_owned(), item.text("output")?))
        }
        Some(_) => Err(Bad::unsupported(&item.name("type"), "input is messages and calls of functions")),
    }
}

/// What of a request for a response means the same under another name to servers.
pub(crate) fn to_chat(body: &Value, chat: &mut Value, shape: Shape) {
    if shape != Shape::Response {
        return;
    }
    if let Some(tools) = body["tools"].as_array().filter(|tools| !tools.is_empty()) {
        let tool = |tool: &Value| {
            let mut function = tool.clone();
            if let Some(fields) = function.as_object_mut() {
                fields.remove("type");
            }
            json!({"type": "function", "function": function})
        };
        chat["tools"] = tools.iter().map(tool).collect();
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
    let format = &body["text"]["format"];
    match format["type"].as_str() {
        Some("json_schema") => {
            let mut schema = format.clone();
            if let Some(fields) = schema.as_object_mut() {
                fields.remove("type");
            }
            chat["response_format"] = json!({"type": "json_schema", "json_schema": schema});
        }
        Some(kind) => chat["response_format"] = json!({"type": kind}),
        None => {}
    }
    if let Some(effort) = body["reasoning"]["effort"].as_str() {
        chat["reasoning_effort"] = json!(effort);
    }
}
