//! Builds the HTTP request of a step: a valid body with the step's patch, or the step's literal body.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::cases::Step;
use crate::target::Target;

/// Values for `{NAME}` in the texts of cases, by name.
pub(crate) type Variables = BTreeMap<String, String>;

/// Why the request of a step can't be built.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SetupError {
    #[error("a second tenant's key is needed")]
    MissingOtherKey,
    #[error("unknown base '{0}'")]
    UnknownBase(String),
    #[error("set is not valid JSON: {0}")]
    InvalidPatch(#[source] serde_json::Error),
    #[error("hex is not pairs of hexadecimal digits")]
    InvalidHex,
}

/// Replaces each `{NAME}` by its variable. Fails if the second tenant's key is used and not known; other unknown names
/// are left as they are.
pub(crate) fn substitute(text: &str, variables: &Variables) -> Result<String, SetupError> {
    let mut text = text.to_owned();
    for (name, value) in variables {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    if text.contains("{other_key}") {
        return Err(SetupError::MissingOtherKey);
    }
    Ok(text)
}

/// The bytes of a step's HTTP request.
pub(crate) fn request_bytes(
    target: &Target,
    step: &Step,
    variables: &Variables,
) -> Result<Vec<u8>, SetupError> {
    let (path, body) = path_and_body(target, step, variables)?;
    let default_method = if body.is_empty() { "GET" } else { "POST" };
    let method = step.method.as_deref().unwrap_or(default_method);
    let headers = headers(target, step, variables, body.len())?;
    let mut request = format!("{method} {} HTTP/1.1\r\n", substitute(&path, variables)?).into_bytes();
    for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
        request.extend(format!("{name}: {value}\r\n").bytes());
    }
    request.extend(b"\r\n");
    request.extend(body);
    Ok(request)
}

fn path_and_body(
    target: &Target,
    step: &Step,
    variables: &Variables,
) -> Result<(String, Vec<u8>), SetupError> {
    let mut path = "/v1/chat/completions";
    let mut body = Vec::new();
    if let Some(name) = &step.base {
        let (base_path, mut value) = base_request(name, target)?;
        if let Some(patch) = &step.set {
            let patch =
                serde_json::from_str(&substitute(patch, variables)?).map_err(SetupError::InvalidPatch)?;
            merge_patch(&mut value, &patch);
        }
        path = base_path;
        body = value.to_string().into_bytes();
    }
    if let Some(raw) = &step.raw {
        body = substitute(raw, variables)?.into_bytes();
    }
    if let Some(hex) = &step.hex {
        body = decode_hex(hex)?;
    }
    Ok((step.path.clone().unwrap_or_else(|| path.to_owned()), body))
}

/// Path and body of the valid request with this name.
fn base_request(name: &str, target: &Target) -> Result<(&'static str, Value), SetupError> {
    let question = "Is a kiln free on Friday?";
    match name {
        "chat" => Ok((
            "/v1/chat/completions",
            json!({"model": target.model, "messages": [{"role": "user", "content": question}]}),
        )),
        "completion" => Ok(("/v1/completions", json!({"model": target.model, "prompt": "A glaze firing"}))),
        "response" => Ok(("/v1/responses", json!({"model": target.model, "input": question}))),
        other => Err(SetupError::UnknownBase(other.to_owned())),
    }
}

/// The default headers, then those of the step, by lower-case name.
fn headers(
    target: &Target,
    step: &Step,
    variables: &Variables,
    body_bytes: usize,
) -> Result<BTreeMap<String, String>, SetupError> {
    let mut headers = BTreeMap::from([("host".to_owned(), "localhost".to_owned())]);
    if let Some(key) = &target.key {
        headers.insert("authorization".to_owned(), format!("Bearer {key}"));
    }
    if body_bytes > 0 {
        headers.insert("content-type".to_owned(), "application/json".to_owned());
        headers.insert("content-length".to_owned(), body_bytes.to_string());
    }
    headers.insert("connection".to_owned(), "close".to_owned());
    for (name, value) in &step.headers {
        headers.insert(name.to_ascii_lowercase(), substitute(value, variables)?);
    }
    Ok(headers)
}

/// Applies a merge patch (RFC 7396), except that `null` sets a field to `null` and doesn't remove it.
fn merge_patch(document: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else { return };
    for (name, value) in patch {
        match value {
            Value::Object(_) if document[name].is_object() => merge_patch(&mut document[name], value),
            _ => document[name] = value.clone(),
        }
    }
}

fn decode_hex(hex: &str) -> Result<Vec<u8>, SetupError> {
    let byte = |at| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok();
    (0..hex.len()).step_by(2).map(byte).collect::<Option<_>>().ok_or(SetupError::InvalidHex)
}
