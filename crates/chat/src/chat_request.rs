//! Validation of chat requests: `POST /v1/chat/completions`.

use serde_json::Value;

use crate::fields::{
    check_metadata, check_strings, field, flag, object, reject_unknown, reject_unsupported, Field, Object,
};
use crate::messages::read_messages;
use crate::request::{Limits, Request, RequestKind};
use crate::sampling::{
    check_common_fields, check_service_tier, read_choices, read_max_tokens, read_model, REASONING_EFFORTS,
    VERBOSITIES,
};
use crate::tools::{check_response_format, check_tools};
use crate::RequestError;

const MAX_TOP_LOGPROBS: u64 = 20;

/// The top-level fields that the API knows, unsupported ones included; any other field is rejected as unknown.
const KNOWN_FIELDS: [&str; 35] = [
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

impl Request {
    /// Validates a chat request.
    ///
    /// # Errors
    /// The first field that fails a check.
    pub fn chat(body: Value, limits: &Limits) -> Result<Self, RequestError> {
        let fields = object(&body)?;
        reject_unknown(fields, &KNOWN_FIELDS)?;
        let model = read_model(fields)?;
        let include_usage = check_common_fields(fields)?;
        let max_tokens = read_either_max_tokens(fields)?;
        let choices_per_prompt = read_choices(fields, limits.max_choices)?;
        check_logprobs(fields)?;
        check_unsupported(fields)?;
        check_passthrough_fields(fields)?;
        check_response_format(fields)?;
        check_tools(fields)?;
        let prompt = read_messages(fields, limits.max_messages)?;
        Ok(Self {
            kind: RequestKind::Chat,
            model,
            stream: flag(fields, "stream")?,
            include_usage,
            max_tokens,
            prompts: vec![prompt],
            choices_per_prompt,
            echo: false,
            previous_response_id: None,
            store: false,
            input_items: Vec::new(),
            body,
        })
    }
}

/// Reads the token limit from `max_completion_tokens` or the deprecated `max_tokens`; setting both is an error.
fn read_either_max_tokens(fields: &Object) -> Result<Option<u64>, RequestError> {
    let new = read_max_tokens(fields, "max_completion_tokens")?;
    let old = read_max_tokens(fields, "max_tokens")?;
    if new.is_some() && old.is_some() {
        return Err(RequestError::invalid_value("max_tokens", "absent beside max_completion_tokens"));
    }
    Ok(new.or(old))
}

fn check_logprobs(fields: &Object) -> Result<(), RequestError> {
    if let Some(top) = field(fields, "top_logprobs") {
        top.integer_within(0, MAX_TOP_LOGPROBS)?;
        if !flag(fields, "logprobs")? {
            return Err(RequestError::invalid_value("top_logprobs", "absent without logprobs"));
        }
    }
    flag(fields, "logprobs").map(drop)
}

/// Rejects the parts of the OpenAI API that this program does not support.
fn check_unsupported(fields: &Object) -> Result<(), RequestError> {
    if flag(fields, "store")? {
        return Err(RequestError::unsupported("store", "chat completions are not kept"));
    }
    reject_unsupported(
        fields,
        &[("audio", "answers are text"), ("web_search_options", "nothing is searched")],
    )?;
    let Some(modalities) = field(fields, "modalities") else { return Ok(()) };
    for (index, value) in modalities.as_array()?.iter().enumerate() {
        let path = format!("modalities[{index}]");
        if (Field { value, path: &path }).one_of(&["text", "audio"])? != "text" {
            return Err(RequestError::unsupported(&path, "answers are text"));
        }
    }
    Ok(())
}

/// Checks fields that are only passed on to the servers and have no effect here.
fn check_passthrough_fields(fields: &Object) -> Result<(), RequestError> {
    if let Some(effort) = field(fields, "reasoning_effort") {
        effort.one_of(&REASONING_EFFORTS)?;
    }
    if let Some(verbosity) = field(fields, "verbosity") {
        verbosity.one_of(&VERBOSITIES)?;
    }
    check_service_tier(fields)?;
    check_strings(fields, &["prompt_cache_key", "safety_identifier", "prompt_cache_retention"])?;
    check_metadata(fields)?;
    if let Some(prediction) = field(fields, "prediction") {
        prediction.nested()?.required_one_of("type", &["content"])?;
    }
    Ok(())
}
