//! What clients may ask, and the chat request that goes on to servers for it.

use serde_json::{json, Value};

use crate::check::{field, metadata, name, At, Field, Object};
use crate::Bad;

/// What an installation allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most choices of one request.
    pub most_choices: u64,
    /// The most messages of one request.
    pub most_messages: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { most_choices: 8, most_messages: 2_048 }
    }
}

/// Which kind of request it is, and so of answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
    /// `/v1/responses`.
    Response,
}

/// A request that may be served.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its kind.
    pub shape: Shape,
    /// The model that it names.
    pub model: String,
    /// Whether a stream is wanted.
    pub stream: bool,
    /// Whether the stream is to tell the usage.
    pub include_usage: bool,
    /// The most tokens of each answer, if told.
    pub max_tokens: Option<u64>,
    /// Roles and texts of each prompt: one for each choice that has a prompt of its own.
    pub prompts: Vec<Vec<(String, String)>>,
    /// Choices for each prompt.
    pub choices: u64,
    /// Each answer begins with its prompt.
    pub echo: bool,
    /// The response that it goes on from.
    pub previous: Option<String>,
    /// Whether a response is to be kept.
    pub store: bool,
    /// The whole body as it came.
    pub body: Value,
    /// Items of the input, as a response keeps them.
    pub input: Vec<Value>,
}

/// Fields of all three that say how an answer is drawn. `(name, least, most)`.
const RANGES: [(&str, f64, f64); 4] = [
    ("temperature", 0.0, 2.0),
    ("top_p", 0.0, 1.0),
    ("presence_penalty", -2.0, 2.0),
    ("frequency_penalty", -2.0, 2.0),
];
const MOST_TOKENS: u64 = 1 << 20;
const EFFORTS: [&str; 6] = ["none", "minimal", "low", "medium", "high", "xhigh"];

const CHAT: [&str; 35] = [
    "messages",
    "model",
    "audio",
    "frequency_penalty",
    "function_call",
    "functions",
    "logit_bias",
    "logprobs",
    "max_completion_tokens",
    "max_tokens",
    "metadata",
    "modalities",
    "n",
    "parallel_tool_calls",
    "prediction",
    "presence_penalty",
    "prompt_cache_key",
    "prompt_cache_retention",
    "reasoning_effort",
    "response_format",
    "safety_identifier",
    "seed",
    "service_tier",
    "stop",
    "store",
    "stream",
    "stream_options",
    "temperature",
    "tool_choice",
    "tools",
    "top_logprobs",
    "top_p",
    "user",
    "verbosity",
    "web_search_options",
];

const COMPLETION: [&str; 18] = [
    "model",
    "prompt",
    "best_of",
    "echo",
    "frequency_penalty",
    "logit_bias",
    "logprobs",
    "max_tokens",
    "n",
    "presence_penalty",
    "seed",
    "stop",
    "stream",
    "stream_options",
    "suffix",
    "temperature",
    "top_p",
    "user",
];

fn only(body: &Object, known: &[&str]) -> Result<(), Bad> {
    match body.keys().find(|name| !known.contains(&name.as_str())) {
        Some(name) => Err(Bad::unknown(name)),
        None => Ok(()),
    }
}

pub(crate) fn object(body: &Value) -> Result<&Object, Bad> {
    body.as_object().ok_or_else(|| Bad::json("the body must be an object"))
}

pub(crate) fn model(body: &Object) -> Result<String, Bad> {
    let model = field(body, "model").ok_or_else(|| Bad::missing("model"))?.text()?;
    if model.is_empty() || model.len() > 256 {
        return Err(Bad::value("model", "1 to 256 bytes long"));
    }
    Ok(model.to_owned())
}

pub(crate) fn flag(body: &Object, name: &str) -> Result<bool, Bad> {
    field(body, name).map_or(Ok(false), Field::flag)
}

pub(crate) fn most_tokens(body: &Object, name: &str) -> Result<Option<u64>, Bad> {
    field(body, name).map(|field| field.whole(1, MOST_TOKENS)).transpose()
}

pub(crate) fn ranges(body: &Object) -> Result<(), Bad> {
    for (name, least, most) in RANGES {
        if let Some(field) = field(body, name) {
            field.number(least, most)?;
        }
    }
    Ok(())
}

/// What the chat and the completion request have alike.
fn alike(body: &Object) -> Result<bool, Bad> {
    ranges(body)?;
    if let Some(seed) = field(body, "seed") {
        seed.value.as_i64().ok_or_else(|| Bad::kind("seed", "a whole number"))?;
    }
    if let Some(user) = field(body, "user") {
        user.text()?;
    }
    if let Some(stop) = field(body, "stop") {
        match stop.value {
            Value::String(_) => {}
            Value::Array(all) if (1..=4).contains(&all.len()) => {
                for (at, value) in all.iter().enumerate() {
                    Field { value, path: &format!("stop[{at}]") }.text()?;
                }
            }
            Value::Array(_) => return Err(Bad::value("stop", "1 to 4 strings")),
            _ => return Err(Bad::kind("stop", "a string or an array of strings")),
        }
    }
    if let Some(bias) = field(body, "logit_bias") {
        for (name, value) in bias.object()? {
            let path = format!("logit_bias.{name}");
            Field { value, path: &path }.number(-100.0, 100.0)?;
        }
    }
    let stream = flag(body, "stream")?;
    match field(body, "stream_options") {
        Some(_) if !stream => Err(Bad::value("stream_options", "absent where no stream is wanted")),
        Some(options) => {
            let options = At::new(options.value, "stream_options".to_owned())?;
            options.only(&["include_usage", "include_obfuscation"])?;
            options.maybe("include_obfuscation", |field| field.flag())?;
            Ok(options.maybe("include_usage", |field| field.flag())?.unwrap_or(false))
        }
        None => Ok(false),
    }
}

impl Request {
    /// Reads a chat request.
    ///
    /// # Errors
    /// The first field at fault, by its path.
    pub fn chat(body: Value, limits: &Limits) -> Result<Self, Bad> {
        let fields = object(&body)?;
        only(fields, &CHAT)?;
        let model = model(fields)?;
        let include_usage = alike(fields)?;
        let (new, old) = (most_tokens(fields, "max_completion_tokens")?, most_tokens(fields, "max_tokens")?);
        if new.is_some() && old.is_some() {
            return Err(Bad::value("max_tokens", "absent beside max_completion_tokens"));
        }
        let choices = field(fields, "n").map_or(Ok(1), |n| n.whole(1, limits.most_choices))?;
        if let Some(top) = field(fields, "top_logprobs") {
            top.whole(0, 20)?;
            if !flag(fields, "logprobs")? {
                return Err(Bad::value("top_logprobs", "absent without logprobs"));
            }
        }
        flag(fields, "logprobs")?;
        if flag(fields, "store")? {
            return Err(Bad::unsupported("store", "chat completions are not kept"));
        }
        for (name, why) in [("audio", "answers are text"), ("web_search_options", "nothing is searched")] {
            if field(fields, name).is_some() {
                return Err(Bad::unsupported(name, why));
            }
        }
        if let Some(modalities) = field(fields, "modalities") {
            for (at, value) in modalities.list()?.iter().enumerate() {
                let path = format!("modalities[{at}]");
                if (Field { value, path: &path }).one_of(&["text", "audio"])? != "text" {
                    return Err(Bad::unsupported(&path, "answers are text"));
                }
            }
        }
        if let Some(effort) = field(fields, "reasoning_effort") {
            effort.one_of(&EFFORTS)?;
        }
        if let Some(verbosity) = field(fields, "verbosity") {
            verbosity.one_of(&["low", "medium", "high"])?;
        }
        if let Some(tier) = field(fields, "service_tier") {
            if !matches!(tier.one_of(&["auto", "default", "flex", "scale", "priority"])?, "auto" | "default")
            {
                return Err(Bad::unsupported("service_tier", "there is one tier"));
            }
        }
        for name in ["prompt_cache_key", "safety_identifier", "prompt_cache_retention"] {
            if let Some(field) = field(fields, name) {
                field.text()?;
            }
        }
        if let Some(pairs) = field(fields, "metadata") {
            metadata(pairs)?;
        }
        if let Some(prediction) = field(fields, "prediction") {
            let prediction = At::new(prediction.value, "prediction".to_owned())?;
            prediction.must("type", |kind| kind.one_of(&["content"]).map(drop))?;
        }
        if let Some(format) = field(fields, "response_format") {
            response_format(format)?;
        }
        tools(fields)?;
        let messages = field(fields, "messages").ok_or_else(|| Bad::missing("messages"))?.list()?;
        if messages.is_empty() || messages.len() > limits.most_messages {
            return Err(Bad::value("messages", format!("1 to {} messages", limits.most_messages)));
        }
        let prompt = read_messages(messages)?;
        Ok(Self {
            shape: Shape::Chat,
            model,
            stream: flag(fields, "stream")?,
            include_usage,
            max_tokens: new.or(old),
            prompts: vec![prompt],
            choices,
            echo: false,
            previous: None,
            store: false,
            input: Vec::new(),
            body,
        })
    }

    /// Reads a completion request.
    ///
    /// # Errors
    /// The first field at fault, by its path.
    pub fn completion(body: Value, limits: &Limits) -> Result<Self, Bad> {
        let fields = object(&body)?;
        only(fields, &COMPLETION)?;
        let model = model(fields)?;
        let include_usage = alike(fields)?;
        let choices = field(fields, "n").map_or(Ok(1), |n| n.whole(1, limits.most_choices))?;
        if field(fields, "best_of").map_or(Ok(1), |best| best.whole(1, limits.most_choices))? != 1 {
            return Err(Bad::unsupported("best_of", "answers are not ranked"));
        }
        for (name, why) in [("suffix", "nothing is inserted"), ("logprobs", "ask the chat API for them")] {
            if field(fields, name).is_some() {
                return Err(Bad::unsupported(name, why));
            }
        }
        let prompt = field(fields, "prompt").ok_or_else(|| Bad::missing("prompt"))?;
        let texts = match prompt.value {
            Value::String(text) => vec![text.clone()],
            Value::Array(all) if all.iter().any(Value::is_number) || all.iter().any(Value::is_array) => {
                return Err(Bad::unsupported("prompt", "texts are taken, not tokens"));
            }
            Value::Array(all) => {
                let text =
                    |(at, value)| Field { value, path: &format!("prompt[{at}]") }.text().map(str::to_owned);
                all.iter().enumerate().map(text).collect::<Result<Vec<_>, _>>()?
            }
            _ => return Err(Bad::kind("prompt", "a string or an array of strings")),
        };
        if texts.is_empty() || texts.len() as u64 * choices > limits.most_choices {
            let most = limits.most_choices;
            return Err(Bad::value("prompt", format!("1 to {most} prompts, those of each choice counted")));
        }
        Ok(Self {
            shape: Shape::Completion,
            model,
            stream: flag(fields, "stream")?,
            include_usage,
            max_tokens: most_tokens(fields, "max_tokens")?,
            prompts: texts.into_iter().map(|text| vec![("user".to_owned(), text)]).collect(),
            choices,
            echo: flag(fields, "echo")?,
            previous: None,
            store: false,
            input: Vec::new(),
            body,
        })
    }

    /// How many requests it makes, each with an answer of its own.
    #[must_use]
    pub fn parts(&self) -> usize {
        self.prompts.len() * self.choices as usize
    }

    /// The chat request of one part, as it goes to servers: always for one streamed answer.
    #[must_use]
    pub fn to_servers(&self, part: usize) -> Value {
        let mut body = match self.shape {
            Shape::Chat => self.body.clone(),
            Shape::Completion | Shape::Response => {
                let prompt = &self.prompts[part / self.choices as usize];
                let messages: Vec<Value> =
                    prompt.iter().map(|(role, text)| json!({"role": role, "content": text})).collect();
                let mut body = json!({"model": self.model, "messages": messages});
                for name in
                    ["temperature", "top_p", "presence_penalty", "frequency_penalty", "seed", "stop", "user"]
                {
                    if let Some(value) = self.body.get(name).filter(|value| !value.is_null()) {
                        body[name] = value.clone();
                    }
                }
                crate::responses::to_chat(&self.body, &mut body, self.shape);
                if let Some(most) = self.max_tokens {
                    body["max_tokens"] = json!(most);
                }
                body
            }
        };
        body["stream"] = Value::Bool(true);
        if let Some(fields) = body.as_object_mut() {
            fields.remove("n");
            fields.remove("stream_options");
        }
        body
    }
}

/// Roles and texts of messages, each checked.
fn read_messages(messages: &[Value]) -> Result<Vec<(String, String)>, Bad> {
    let mut prompt = Vec::new();
    // Calls of tools that have not been answered.
    let mut calls: Vec<String> = Vec::new();
    for (at, value) in messages.iter().enumerate() {
        let message = At::new(value, format!("messages[{at}]"))?;
        let known = ["system", "developer", "user", "assistant", "tool", "function"];
        let role = message.must("role", |role| role.one_of(&known).map(str::to_owned))?;
        message.maybe("name", |name| name.text().map(drop))?;
        let mut text = String::new();
        let content = message.maybe("content", |content| content_text(content, &role, &mut text))?;
        match role.as_str() {
            "assistant" => {
                message.only(&[
                    "role",
                    "content",
                    "name",
                    "refusal",
                    "tool_calls",
                    "function_call",
                    "audio",
                    "annotations",
                    "reasoning_content",
                ])?;
                let refusal = message.maybe("refusal", |refusal| refusal.text().map(str::to_owned))?;
                text.push_str(refusal.as_deref().unwrap_or(""));
                calls =
                    message.maybe("tool_calls", |calls| read_calls(calls, &mut text))?.unwrap_or_default();
                let called = message.maybe("function_call", |call| {
                    let call = At::new(call.value, call.path.to_owned())?;
                    text.push_str(&call.text("arguments")?);
                    call.must("name", name).map(drop)
                })?;
                if content.is_none() && refusal.is_none() && calls.is_empty() && called.is_none() {
                    return Err(Bad::missing(&message.name("content")));
                }
            }
            "tool" => {
                message.only(&["role", "content", "tool_call_id", "name"])?;
                let id = message.text("tool_call_id")?;
                let Some(found) = calls.iter().position(|call| *call == id) else {
                    let path = message.name("tool_call_id");
                    return Err(Bad::value(&path, "that of a call in the assistant's message before"));
                };
                calls.remove(found);
            }
            _ => message.only(&["role", "content", "name"])?,
        }
        if content.is_none() && role != "assistant" {
            return Err(Bad::missing(&message.name("content")));
        }
        prompt.push((role, text));
    }
    Ok(prompt)
}

fn content_text(content: Field<'_>, role: &str, text: &mut String) -> Result<(), Bad> {
    match content.value {
        Value::String(plain) => text.push_str(plain),
        Value::Array(parts) if !parts.is_empty() => {
            for (at, part) in parts.iter().enumerate() {
                let part = At::new(part, format!("{}[{at}]", content.path))?;
                let known = ["text", "refusal", "image_url", "input_audio", "file"];
                match part.must("type", |kind| kind.one_of(&known).map(str::to_owned))?.as_str() {
                    "text" => text.push_str(&part.text("text")?),
                    "refusal" if role == "assistant" => text.push_str(&part.text("refusal")?),
                    "refusal" => {
                        return Err(Bad::value(&part.name("type"), "text: refusals are the assistant's"))
                    }
                    _ => return Err(Bad::unsupported(&part.name("type"), "prompts are text")),
                }
            }
        }
        Value::Array(_) => return Err(Bad::value(content.path, "a string or parts, one at least")),
        _ => return Err(Bad::kind(content.path, "a string or an array of parts")),
    }
    Ok(())
}

fn read_calls(calls: Field<'_>, text: &mut String) -> Result<Vec<String>, Bad> {
    let mut ids = Vec::new();
    for (at, call) in calls.list()?.iter().enumerate() {
        let call = At::new(call, format!("{}[{at}]", calls.path))?;
        call.must("type", |kind| kind.one_of(&["function"]).map(drop))?;
        let id = call.text("id")?;
        if ids.contains(&id) {
            return Err(Bad::value(&call.name("id"), "another than those before"));
        }
        ids.push(id);
        let function = call.must("function", |function| {
            let function = At::new(function.value, function.path.to_owned())?;
            function.must("name", name)?;
            function.text("arguments")
        })?;
        text.push_str(&function);
    }
    if ids.is_empty() {
        return Err(Bad::value(calls.path, "one call at least"));
    }
    Ok(ids)
}

pub(crate) fn response_format(format: Field<'_>) -> Result<(), Bad> {
    let format = At::new(format.value, format.path.to_owned())?;
    let kind = format
        .must("type", |kind| kind.one_of(&["text", "json_object", "json_schema"]).map(str::to_owned))?;
    if kind == "json_schema" {
        format.must("json_schema", |schema| {
            let schema = At::new(schema.value, schema.path.to_owned())?;
            schema.only(&["name", "schema", "strict", "description"])?;
            schema.must("name", name)?;
            schema.maybe("schema", |schema| schema.object().map(drop))?;
            schema.maybe("strict", |field| field.flag()).map(drop)
        })?;
    }
    Ok(())
}

/// Tools, the choice of one, and whether several may be called at once.
fn tools(body: &Object) -> Result<(), Bad> {
    let mut names = Vec::new();
    if let Some(tools) = field(body, "tools") {
        let tools = tools.list()?;
        if tools.is_empty() || tools.len() > 128 {
            return Err(Bad::value("tools", "1 to 128 tools"));
        }
        for (at, tool) in tools.iter().enumerate() {
            let tool = At::new(tool, format!("tools[{at}]"))?;
            if tool.must("type", |kind| kind.one_of(&["function", "custom"]).map(str::to_owned))? == "custom"
            {
                return Err(Bad::unsupported(&tool.name("type"), "tools are functions"));
            }
            names.push(tool.must("function", function)?);
        }
    }
    if let Some(functions) = field(body, "functions") {
        for (at, value) in functions.list()?.iter().enumerate() {
            names.push(function(Field { value, path: &format!("functions[{at}]") })?);
        }
    }
    if field(body, "parallel_tool_calls").map(Field::flag).transpose()?.is_some() && names.is_empty() {
        return Err(Bad::value("parallel_tool_calls", "absent without tools"));
    }
    if let Some(choice) = field(body, "tool_choice") {
        tool_choice(choice, &names, true)?;
    }
    if let Some(choice) = field(body, "function_call") {
        match choice.value {
            Value::String(_) => drop(choice.one_of(&["none", "auto"])?),
            _ => {
                let at = At::new(choice.value, "function_call".to_owned())?;
                let name = at.must("name", name)?;
                if !names.contains(&name) {
                    return Err(Bad::value("function_call.name", "that of a function"));
                }
            }
        }
    }
    Ok(())
}

pub(crate) fn tool_choice(choice: Field<'_>, names: &[String], nested: bool) -> Result<(), Bad> {
    if let Value::String(text) = choice.value {
        choice.one_of(&["none", "auto", "required"])?;
        if names.is_empty() && text == "required" {
            return Err(Bad::value("tool_choice", "absent without tools"));
        }
        return Ok(());
    }
    let at = At::new(choice.value, "tool_choice".to_owned())?;
    at.must("type", |kind| kind.one_of(&["function"]).map(drop))?;
    let (named, path) = if nested {
        let named = at.must("function", |function| {
            At::new(function.value, function.path.to_owned())?.must("name", name)
        })?;
        (named, "tool_choice.function.name")
    } else {
        (at.must("name", name)?, "tool_choice.name")
    };
    if names.contains(&named) {
        Ok(())
    } else {
        Err(Bad::value(path, "that of a tool"))
    }
}

fn function(field: Field<'_>) -> Result<String, Bad> {
    let function = At::new(field.value, field.path.to_owned())?;
    function.only(&["name", "description", "parameters", "strict"])?;
    function.maybe("description", |text| text.text().map(drop))?;
    function.maybe("parameters", |parameters| parameters.object().map(drop))?;
    function.maybe("strict", |field| field.flag())?;
    function.must("name", name)
}
