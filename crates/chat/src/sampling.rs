//! Fields that several kinds of requests share: the model, the token limit, the sampling parameters, stop strings and
//! stream options.

use serde_json::Value;

use crate::fields::{field, flag, Field, NestedObject, Object};
use crate::RequestError;

/// Sampling parameters and their ranges: `(name, min, max)`, bounds included.
const SAMPLING_RANGES: [(&str, f64, f64); 4] = [
    ("temperature", 0.0, 2.0),
    ("top_p", 0.0, 1.0),
    ("presence_penalty", -2.0, 2.0),
    ("frequency_penalty", -2.0, 2.0),
];
const MAX_TOKENS: u64 = 1 << 20;
const MAX_MODEL_BYTES: usize = 256;
const MAX_STOP_STRINGS: usize = 4;
const MAX_LOGIT_BIAS: f64 = 100.0;

/// The allowed values of `reasoning_effort`, and of `reasoning.effort` in a request for a response.
pub(crate) const REASONING_EFFORTS: [&str; 6] = ["none", "minimal", "low", "medium", "high", "xhigh"];
/// The allowed values of `verbosity`.
pub(crate) const VERBOSITIES: [&str; 3] = ["low", "medium", "high"];
const SERVICE_TIERS: [&str; 5] = ["auto", "default", "flex", "scale", "priority"];

/// Reads the required field `model`.
pub(crate) fn read_model(body: &Object) -> Result<String, RequestError> {
    let model = field(body, "model").ok_or_else(|| RequestError::missing("model"))?.as_str()?;
    if model.is_empty() || model.len() > MAX_MODEL_BYTES {
        return Err(RequestError::invalid_value("model", "1 to 256 bytes long"));
    }
    Ok(model.to_owned())
}

/// Reads the limit on output tokens from the field `name`, which differs between the endpoints.
pub(crate) fn read_max_tokens(body: &Object, name: &str) -> Result<Option<u64>, RequestError> {
    field(body, name).map(|field| field.integer_within(1, MAX_TOKENS)).transpose()
}

/// Reads `n`, the number of choices for each prompt; 1 if it is absent.
pub(crate) fn read_choices(body: &Object, max_choices: u64) -> Result<u64, RequestError> {
    field(body, "n").map_or(Ok(1), |n| n.integer_within(1, max_choices))
}

/// Checks the ranges of the sampling parameters.
pub(crate) fn check_sampling_ranges(body: &Object) -> Result<(), RequestError> {
    for (name, min, max) in SAMPLING_RANGES {
        if let Some(field) = field(body, name) {
            field.number_within(min, max)?;
        }
    }
    Ok(())
}

/// Checks `service_tier`. There is only one tier, so `auto` and `default` are the only supported values.
pub(crate) fn check_service_tier(body: &Object) -> Result<(), RequestError> {
    let Some(tier) = field(body, "service_tier") else { return Ok(()) };
    match tier.one_of(&SERVICE_TIERS)? {
        "auto" | "default" => Ok(()),
        _ => Err(RequestError::unsupported("service_tier", "there is one tier")),
    }
}

/// Checks the fields that chat and completion requests share. Returns whether the stream reports the token usage.
pub(crate) fn check_common_fields(body: &Object) -> Result<bool, RequestError> {
    check_sampling_ranges(body)?;
    if let Some(seed) = field(body, "seed") {
        seed.value.as_i64().ok_or_else(|| RequestError::invalid_type("seed", "a whole number"))?;
    }
    if let Some(user) = field(body, "user") {
        user.as_str()?;
    }
    check_stop(body)?;
    check_logit_bias(body)?;
    read_include_usage(body)
}

fn check_stop(body: &Object) -> Result<(), RequestError> {
    let Some(stop) = field(body, "stop") else { return Ok(()) };
    match stop.value {
        Value::String(_) => Ok(()),
        Value::Array(strings) if (1..=MAX_STOP_STRINGS).contains(&strings.len()) => {
            for (index, value) in strings.iter().enumerate() {
                Field { value, path: &format!("stop[{index}]") }.as_str()?;
            }
            Ok(())
        }
        Value::Array(_) => Err(RequestError::invalid_value("stop", "1 to 4 strings")),
        _ => Err(RequestError::invalid_type("stop", "a string or an array of strings")),
    }
}

fn check_logit_bias(body: &Object) -> Result<(), RequestError> {
    let Some(bias) = field(body, "logit_bias") else { return Ok(()) };
    for (token, value) in bias.as_object()? {
        let path = format!("logit_bias.{token}");
        Field { value, path: &path }.number_within(-MAX_LOGIT_BIAS, MAX_LOGIT_BIAS)?;
    }
    Ok(())
}

/// Reads `stream_options.include_usage`. Stream options are only allowed in a request for a stream.
fn read_include_usage(body: &Object) -> Result<bool, RequestError> {
    let stream = flag(body, "stream")?;
    let Some(options) = field(body, "stream_options") else { return Ok(false) };
    if !stream {
        return Err(RequestError::invalid_value("stream_options", "absent where no stream is wanted"));
    }
    let options = NestedObject::new(options.value, "stream_options".to_owned())?;
    options.reject_unknown(&["include_usage", "include_obfuscation"])?;
    options.optional_bool("include_obfuscation")?;
    Ok(options.optional_bool("include_usage")?.unwrap_or(false))
}
