//! Validation of completion requests: `POST /v1/completions`.

use serde_json::Value;

use crate::fields::{field, flag, object, reject_unknown, reject_unsupported, Field, Object};
use crate::request::{Limits, Message, Request, RequestKind};
use crate::sampling::{check_common_fields, read_choices, read_max_tokens, read_model};
use crate::RequestError;

/// The top-level fields that the API knows, unsupported ones included; any other field is rejected as unknown.
const KNOWN_FIELDS: [&str; 18] = [
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

impl Request {
    /// Validates a completion request. Each prompt becomes a chat prompt with a single user message.
    ///
    /// # Errors
    /// The first field that fails a check.
    pub fn completion(body: Value, limits: &Limits) -> Result<Self, RequestError> {
        let fields = object(&body)?;
        reject_unknown(fields, &KNOWN_FIELDS)?;
        let model = read_model(fields)?;
        let include_usage = check_common_fields(fields)?;
        let choices_per_prompt = read_choices(fields, limits.max_choices)?;
        check_unsupported(fields, limits)?;
        let texts = read_prompts(fields)?;
        if texts.is_empty() || texts.len() as u64 * choices_per_prompt > limits.max_choices {
            let max = limits.max_choices;
            let expected = format!("1 to {max} prompts, those of each choice counted");
            return Err(RequestError::invalid_value("prompt", expected));
        }
        Ok(Self {
            kind: RequestKind::Completion,
            model,
            stream: flag(fields, "stream")?,
            include_usage,
            max_tokens: read_max_tokens(fields, "max_tokens")?,
            prompts: texts.into_iter().map(|text| vec![Message { role: "user".to_owned(), text }]).collect(),
            choices_per_prompt,
            echo: flag(fields, "echo")?,
            previous_response_id: None,
            store: false,
            input_items: Vec::new(),
            body,
        })
    }
}

/// Rejects the parts of the OpenAI API that this program does not support.
fn check_unsupported(fields: &Object, limits: &Limits) -> Result<(), RequestError> {
    let best_of =
        field(fields, "best_of").map_or(Ok(1), |best| best.integer_within(1, limits.max_choices))?;
    if best_of != 1 {
        return Err(RequestError::unsupported("best_of", "answers are not ranked"));
    }
    reject_unsupported(
        fields,
        &[("suffix", "nothing is inserted"), ("logprobs", "ask the chat API for them")],
    )
}

/// Reads `prompt`, a string or an array of strings. Prompts given as token ids are rejected.
fn read_prompts(fields: &Object) -> Result<Vec<String>, RequestError> {
    let prompt = field(fields, "prompt").ok_or_else(|| RequestError::missing("prompt"))?;
    let items = match prompt.value {
        Value::String(text) => return Ok(vec![text.clone()]),
        Value::Array(items) => items,
        _ => return Err(RequestError::invalid_type("prompt", "a string or an array of strings")),
    };
    if items.iter().any(|item| item.is_number() || item.is_array()) {
        return Err(RequestError::unsupported("prompt", "texts are taken, not tokens"));
    }
    let mut texts = Vec::with_capacity(items.len());
    for (index, value) in items.iter().enumerate() {
        texts.push(Field { value, path: &format!("prompt[{index}]") }.to_text()?);
    }
    Ok(texts)
}
