//! Request errors, in the format of the OpenAI API's error object.

use serde_json::{json, Value};

/// The HTTP status of every request error.
const BAD_REQUEST: u16 = 400;

/// Why a request is rejected, or why a server's stream can't be parsed. `Display` writes the message for the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// The HTTP status of the answer; 400 for every error of this crate.
    pub status: u16,
    /// The error's `code`, a fixed word that clients match on, such as `invalid_type`.
    pub code: &'static str,
    /// The path of the field at fault, such as `messages[2].role`; `None` if the body as a whole is at fault.
    pub param: Option<String>,
    /// The error's `message`, an explanation for people.
    pub message: String,
}

impl RequestError {
    fn for_param(code: &'static str, param: &str, message: String) -> Self {
        Self { status: BAD_REQUEST, code, param: Some(param.to_owned()), message }
    }

    /// A request body, or an event from a server, that can't be parsed.
    pub(crate) fn invalid_json(message: impl Into<String>) -> Self {
        Self { status: BAD_REQUEST, code: "invalid_json", param: None, message: message.into() }
    }

    /// A required field that is absent.
    pub(crate) fn missing(param: &str) -> Self {
        Self::for_param("missing_required_parameter", param, format!("{param} is missing"))
    }

    /// A field of the wrong JSON type. `expected` completes the sentence "the field must be ...".
    pub(crate) fn invalid_type(param: &str, expected: &str) -> Self {
        Self::for_param("invalid_type", param, format!("{param} must be {expected}"))
    }

    /// A field of the right type with an invalid value. `expected` completes the sentence "the field must be ...".
    pub(crate) fn invalid_value(param: &str, expected: impl AsRef<str>) -> Self {
        Self::for_param("invalid_value", param, format!("{param} must be {}", expected.as_ref()))
    }

    /// A field, or a value of one, that is part of the OpenAI API and that this program does not support.
    pub(crate) fn unsupported(param: &str, reason: &str) -> Self {
        Self::for_param("unsupported_parameter", param, format!("{param} is not served here: {reason}"))
    }

    /// A field that is not part of the endpoint's request format.
    pub(crate) fn unknown(param: &str) -> Self {
        Self::for_param("unknown_parameter", param, format!("{param} is no parameter of this request"))
    }

    /// The body of the HTTP response that reports the error: `{"error": {"message", "type", "param", "code"}}`.
    #[must_use]
    pub fn envelope(&self) -> Value {
        json!({"error": {"message": self.message, "type": "invalid_request_error", "param": self.param,
            "code": self.code}})
    }
}
