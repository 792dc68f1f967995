//! Validation of requests for responses: `POST /v1/responses`. Their input is converted to a chat prompt.

use serde_json::{json, Value};

use crate::fields::{
    check_metadata, check_strings, field, flag, object, reject_unknown, reject_unsupported, Field,
    NestedObject, Object,
};
use crate::request::{Limits, Message, Request, RequestKind};
use crate::sampling::{
    check_sampling_ranges, check_service_tier, read_max_tokens, read_model, REASONING_EFFORTS, VERBOSITIES,
};
use crate::tools::{check_tool_choice, ToolChoiceForm, FORMAT_TYPES};
use crate::RequestError;

/// The top-level fields that the API knows, unsupported ones included; any other field is rejected as unknown.
const KNOWN_FIELDS: [&str; 30] = [
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
/// Fields of the OpenAI API that this program does not support: `(name, reason)`.
const UNSUPPORTED: [(&str, &str); 5] = [
    ("conversation", "go on with previous_response_id"),
    ("prompt", "no prompts are kept"),
    ("top_logprobs", "ask the chat API for them"),
    ("max_tool_calls", "tools are called by the client"),
    ("context_management", "nothing is shortened"),
];
const INPUT_ROLES: [&str; 4] = ["system", "developer", "user", "assistant"];
const PART_TYPES: [&str; 6] =
    ["input_text", "output_text", "refusal", "input_image", "input_file", "input_audio"];

impl Request {
    /// Validates a request for a response.
    ///
    /// # Errors
    /// The first field that fails a check.
    pub fn response(body: Value, limits: &Limits) -> Result<Self, RequestError> {
        let fields = object(&body)?;
        reject_unknown(fields, &KNOWN_FIELDS)?;
        let model = read_model(fields)?;
        check_sampling_ranges(fields)?;
        check_unsupported(fields)?;
        check_strings(fields, &["user", "prompt_cache_key", "prompt_cache_retention", "safety_identifier"])?;
        check_metadata(fields)?;
        let stream = flag(fields, "stream")?;
        check_stream_options(fields, stream)?;
        check_reasoning(fields)?;
        check_text(fields)?;
        check_tools(fields)?;
        let (prompt, input_items) = read_prompt(fields, limits.max_messages)?;
        let previous_response_id = field(fields, "previous_response_id").map(Field::to_text).transpose()?;
        Ok(Self {
            kind: RequestKind::Response,
            model,
            stream,
            include_usage: false,
            max_tokens: read_max_tokens(fields, "max_output_tokens")?,
            prompts: vec![prompt],
            choices_per_prompt: 1,
            echo: false,
            previous_response_id,
            store: field(fields, "store").map_or(Ok(true), Field::as_bool)?,
            input_items,
            body,
        })
    }

    /// Inserts the items of the stored response that this request continues into the prompt, after the instructions and
    /// before the input. They include the items of the responses before that one, but no instructions: as in the OpenAI
    /// API, each request gives its own. An item that can't be read as a message stays out of the prompt, but is kept in
    /// the input items.
    pub fn prepend_items(&mut self, items: &[Value]) {
        let instruction_count = self.prompts[0].len() - self.input_items.len();
        let earlier_messages = items.iter().filter_map(|item| read_item(item, String::new()).ok());
        self.prompts[0].splice(instruction_count..instruction_count, earlier_messages);
        let mut all_items = items.to_vec();
        all_items.append(&mut self.input_items);
        self.input_items = all_items;
    }
}

/// Rejects the parts of the OpenAI API that this program does not support.
fn check_unsupported(fields: &Object) -> Result<(), RequestError> {
    reject_unsupported(fields, &UNSUPPORTED)?;
    if flag(fields, "background")? {
        return Err(RequestError::unsupported("background", "responses are made while their client waits"));
    }
    if let Some(include) = field(fields, "include") {
        for (index, value) in include.as_array()?.iter().enumerate() {
            Field { value, path: &format!("include[{index}]") }.as_str()?;
        }
    }
    if let Some(truncation) = field(fields, "truncation") {
        if truncation.one_of(&["auto", "disabled"])? == "auto" {
            return Err(RequestError::unsupported("truncation", "nothing is cut out of prompts"));
        }
    }
    check_service_tier(fields)
}

fn check_stream_options(fields: &Object, stream: bool) -> Result<(), RequestError> {
    let Some(options) = field(fields, "stream_options") else { return Ok(()) };
    if !stream {
        return Err(RequestError::invalid_value("stream_options", "absent where no stream is wanted"));
    }
    options.nested()?.reject_unknown(&["include_obfuscation"])
}

fn check_reasoning(fields: &Object) -> Result<(), RequestError> {
    let Some(reasoning) = field(fields, "reasoning") else { return Ok(()) };
    let reasoning = reasoning.nested()?;
    reasoning.reject_unknown(&["effort", "summary", "generate_summary"])?;
    reasoning.optional("effort", |effort| effort.one_of(&REASONING_EFFORTS).map(drop)).map(drop)
}

fn check_text(fields: &Object) -> Result<(), RequestError> {
    let Some(text) = field(fields, "text") else { return Ok(()) };
    let text = text.nested()?;
    text.reject_unknown(&["format", "verbosity"])?;
    text.optional("verbosity", |verbosity| verbosity.one_of(&VERBOSITIES).map(drop))?;
    text.optional("format", |format| {
        let format = format.nested()?;
        if format.required_one_of("type", &FORMAT_TYPES)? == "json_schema" {
            format.required_identifier("name")?;
            format.required("schema", |schema| schema.as_object().map(drop))?;
        }
        Ok(())
    })
    .map(drop)
}

fn check_tools(fields: &Object) -> Result<(), RequestError> {
    let mut tool_names = Vec::new();
    if let Some(tools) = field(fields, "tools") {
        for (index, tool) in tools.as_array()?.iter().enumerate() {
            let tool = NestedObject::new(tool, format!("tools[{index}]"))?;
            if tool.required_text("type")? != "function" {
                return Err(RequestError::unsupported(&tool.path_of("type"), "tools are functions"));
            }
            tool.reject_unknown(&["type", "name", "description", "parameters", "strict"])?;
            tool.optional("parameters", |parameters| parameters.as_object().map(drop))?;
            tool_names.push(tool.required_identifier("name")?);
        }
    }
    if let Some(choice) = field(fields, "tool_choice") {
        check_tool_choice(choice, &tool_names, ToolChoiceForm::Response)?;
    }
    flag(fields, "parallel_tool_calls").map(drop)
}

/// Reads the prompt and the input items. `instructions` becomes the first message of the prompt.
fn read_prompt(fields: &Object, max_items: usize) -> Result<(Vec<Message>, Vec<Value>), RequestError> {
    let mut prompt = Vec::new();
    if let Some(instructions) = field(fields, "instructions") {
        prompt.push(Message { role: "developer".to_owned(), text: instructions.to_text()? });
    }
    let items = read_items(fields, max_items)?;
    for (index, item) in items.iter().enumerate() {
        prompt.push(read_item(item, format!("input[{index}]"))?);
    }
    Ok((prompt, items))
}

/// Reads `input`. A string becomes a single user message.
fn read_items(fields: &Object, max_items: usize) -> Result<Vec<Value>, RequestError> {
    let input = field(fields, "input").ok_or_else(|| RequestError::missing("input"))?;
    match input.value {
        Value::String(text) => Ok(vec![json!({"type": "message", "role": "user", "content": text})]),
        Value::Array(items) if items.is_empty() || items.len() > max_items => {
            Err(RequestError::invalid_value("input", format!("1 to {max_items} items")))
        }
        Value::Array(items) => Ok(items.clone()),
        _ => Err(RequestError::invalid_type("input", "a string or an array of items")),
    }
}

/// Converts an input item to a message; `path` is its path for errors.
fn read_item(item: &Value, path: String) -> Result<Message, RequestError> {
    let item = NestedObject::new(item, path)?;
    let item_type = item.optional_text("type")?;
    match item_type.as_deref() {
        None | Some("message") => {
            let role = item.required_one_of("role", &INPUT_ROLES)?;
            let text = item.required("content", content_text)?;
            Ok(Message { role, text })
        }
        Some("function_call") => {
            item.required_text("call_id")?;
            item.required_identifier("name")?;
            Ok(Message { role: "assistant".to_owned(), text: item.required_text("arguments")? })
        }
        Some("function_call_output") => {
            item.required_text("call_id")?;
            Ok(Message { role: "tool".to_owned(), text: item.required_text("output")? })
        }
        Some(_) => {
            let path = item.path_of("type");
            Err(RequestError::unsupported(&path, "input is messages and calls of functions"))
        }
    }
}

/// The text of an item's `content`, which is a string or an array of parts.
fn content_text(content: Field<'_>) -> Result<String, RequestError> {
    let parts = match content.value {
        Value::String(text) => return Ok(text.clone()),
        Value::Array(parts) => parts,
        _ => return Err(RequestError::invalid_type(content.path, "a string or an array of parts")),
    };
    let mut text = String::new();
    for (index, part) in parts.iter().enumerate() {
        let part = NestedObject::new(part, format!("{}[{index}]", content.path))?;
        match part.required_one_of("type", &PART_TYPES)?.as_str() {
            "input_text" | "output_text" => text.push_str(&part.required_text("text")?),
            "refusal" => text.push_str(&part.required_text("refusal")?),
            _ => return Err(RequestError::unsupported(&part.path_of("type"), "prompts are text")),
        }
    }
    Ok(text)
}
