//! Compares an answer with the expected one.

use serde_json::Value;

use crate::cases::Expect;
use crate::exchange::Answer;
use crate::grammar;
use crate::setup::{substitute, SetupError, Variables};
use crate::violation::Violation;

/// How many characters of a body an error message quotes.
const MAX_EXCERPT_CHARS: usize = 300;

/// The first difference between an answer and the expected one.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Mismatch {
    #[error("status {expected} expected, it is {found}: {body}")]
    Status { expected: u16, found: u16, body: String },
    #[error("header {name} is {found:?}, not '{expected}'")]
    Header { name: String, found: Option<String>, expected: String },
    #[error("the error object lacks message, type, param or code: {body}")]
    IncompleteError { body: String },
    #[error("code {expected} expected, it is {found}: {body}")]
    Code { expected: String, found: Value, body: String },
    #[error("param {expected} expected, it is {found}: {body}")]
    Param { expected: String, found: Value, body: String },
    #[error("{pointer} is {found}, not {expected}")]
    Json { pointer: String, found: Value, expected: Value },
    #[error("the content type of the answer is not text/event-stream")]
    NotAStream,
    #[error("{violation}: {body}")]
    Grammar {
        #[source]
        violation: Violation,
        body: String,
    },
    #[error("the body differs from that of step {step}: {body}")]
    BodyDiffers { step: usize, body: String },
    #[error("there is no string at {pointer}")]
    NoStringToCapture { pointer: String },
    #[error(transparent)]
    Setup(#[from] SetupError),
}

/// Checks an answer; `earlier_bodies` are the bodies of the case's earlier steps, by index.
pub(crate) fn check_answer(
    expect: &Expect,
    answer: &Answer,
    earlier_bodies: &[String],
    variables: &Variables,
) -> Result<(), Mismatch> {
    if answer.status != expect.status {
        let (expected, found) = (expect.status, answer.status);
        return Err(Mismatch::Status { expected, found, body: excerpt(&answer.body) });
    }
    check_headers(expect, answer)?;
    let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    check_error(expect, answer, &value["error"])?;
    check_json(expect, &value, variables)?;
    check_stream(expect, answer)?;
    let Some(step) = expect.same_as else { return Ok(()) };
    if earlier_bodies.get(step).is_some_and(|body| *body == answer.body) {
        Ok(())
    } else {
        Err(Mismatch::BodyDiffers { step, body: excerpt(&answer.body) })
    }
}

fn check_headers(expect: &Expect, answer: &Answer) -> Result<(), Mismatch> {
    for (name, expected) in &expect.headers {
        let found = answer.headers.get(&name.to_ascii_lowercase());
        let matches = match expected.as_str() {
            "" => found.is_none(),
            "*" => found.is_some_and(|value| !value.is_empty()),
            expected => found.is_some_and(|value| value == expected),
        };
        if !matches {
            let (name, expected) = (name.clone(), expected.clone());
            return Err(Mismatch::Header { name, found: found.cloned(), expected });
        }
    }
    Ok(())
}

/// Checks the error object: it must be complete if the status is an error, and have the expected `code` and `param`.
fn check_error(expect: &Expect, answer: &Answer, error: &Value) -> Result<(), Mismatch> {
    let body = || excerpt(&answer.body);
    if answer.status >= 400 {
        let has_message = error["message"].as_str().is_some_and(|text| !text.is_empty());
        let has_fields =
            error["type"].is_string() && error.get("param").is_some() && error.get("code").is_some();
        if !has_message || !has_fields {
            return Err(Mismatch::IncompleteError { body: body() });
        }
    }
    if let Some(expected) = expect.code.as_ref().filter(|code| error["code"] != **code) {
        let (expected, found) = (expected.clone(), error["code"].clone());
        return Err(Mismatch::Code { expected, found, body: body() });
    }
    if let Some(expected) = expect.param.as_ref().filter(|param| error["param"] != **param) {
        let (expected, found) = (expected.clone(), error["param"].clone());
        return Err(Mismatch::Param { expected, found, body: body() });
    }
    Ok(())
}

fn check_json(expect: &Expect, value: &Value, variables: &Variables) -> Result<(), Mismatch> {
    for (pointer, expected) in &expect.json {
        let found = value.pointer(pointer).unwrap_or(&Value::Null);
        let expected = match expected {
            Value::String(text) => Value::String(substitute(text, variables)?),
            other => other.clone(),
        };
        let matches = if expected == "*" { !found.is_null() } else { *found == expected };
        if !matches {
            return Err(Mismatch::Json { pointer: pointer.clone(), found: found.clone(), expected });
        }
    }
    Ok(())
}

fn check_stream(expect: &Expect, answer: &Answer) -> Result<(), Mismatch> {
    let Some(grammar) = &expect.grammar else { return Ok(()) };
    let content_type = answer.headers.get("content-type");
    if !content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream")) {
        return Err(Mismatch::NotAStream);
    }
    grammar::check(grammar, &answer.body, expect.choices.unwrap_or(1), expect.usage)
        .map_err(|violation| Mismatch::Grammar { violation, body: excerpt(&answer.body) })
}

/// The beginning of a body, on one line, for an error message.
fn excerpt(body: &str) -> String {
    let text: String = body.chars().take(MAX_EXCERPT_CHARS).collect();
    text.replace('\n', " ")
}
