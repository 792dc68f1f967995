//! The request of a step: a good body with the step's changes, or the step's own bytes.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::cases::Step;
use crate::target::Target;

/// Values for `{NAME}` in cases.
pub(crate) type Variables = BTreeMap<String, String>;

/// Why a step's request can't be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SetupError {
    #[error("a second tenant's key is needed")]
    NoOtherKey,
    #[error("there is no base '{0}'")]
    UnknownBase(String),
    #[error("set: {0}")]
    Patch(#[source] serde_json::Error),
    #[error("hex: no bytes")]
    Hex,
}

/// Fills in variables.
pub(crate) fn fill(text: &str, variables: &Variables) -> Result<String, SetupError> {
    let mut text = text.to_owned();
    for (name, value) in variables {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    if text.contains("{other_key}") {
        return Err(SetupError::NoOtherKey);
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
    let mut request = format!("{method} {} HTTP/1.1\r\n", fill(&path, variables)?).into_bytes();
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
            let patch = serde_json::from_str(&fill(patch, variables)?).map_err(SetupError::Patch)?;
            merge_patch(&mut value, &patch);
        }
        path = base_path;
        body = value.to_string().into_bytes();
    }
    if let Some(raw) = &step.raw {
        body = fill(raw, variables)?.into_bytes();
    }
    if let Some(hex) = &step.hex {
        body = decode_hex(hex)?;
    }
    Ok((step.path.clone().unwrap_or_else(|| path.to_owned()), body))
}

/// A good request of this name: its path and its body.
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
        headers.insert(name.to_ascii_lowercase(), fill(value, variables)?);
    }
    Ok(headers)
}

/// A merge patch (RFC 7396), but that `null` sets a field to `null`.
fn merge_patch(into: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else { return };
    for (name, value) in patch {
        match value {
            Value::Object(_) if into[name].is_object() => merge_patch(&mut into[name], value),
            _ => into[name] = value.clone(),
        }
    }
}

fn decode_hex(hex: &str) -> Result<Vec<u8>, SetupError> {
    let byte = |at| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok();
    (0..hex.len()).step_by(2).map(byte).collect::<Option<_>>().ok_or(SetupError::Hex)
}
