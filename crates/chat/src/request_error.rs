//! Why a request is refused: the error object of the published API.

use serde_json::{json, Value};

/// The HTTP status of every request error.
const BAD_REQUEST: u16 = 400;

/// A request that can't be served. `Display` writes the message that clients read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// The HTTP status.
    pub status: u16,
    /// The error's `code`, by which programs tell errors apart.
    pub code: &'static str,
    /// The field at fault, as a path: `messages[2].role`. `None` where the whole body is at fault.
    pub param: Option<String>,
    /// The error's `message`, for people.
    pub message: String,
}

impl RequestError {
    fn at(code: &'static str, param: &str, message: String) -> Self {
        Self { status: BAD_REQUEST, code, param: Some(param.to_owned()), message }
    }

    /// A body, or an event of a server, that can't be read.
    pub(crate) fn invalid_json(message: impl Into<String>) -> Self {
        Self { status: BAD_REQUEST, code: "invalid_json", param: None, message: message.into() }
    }

    /// A required field that is absent.
    pub(crate) fn missing(param: &str) -> Self {
        Self::at("missing_required_parameter", param, format!("{param} is missing"))
    }

    /// A field of another type than it must have.
    pub(crate) fn invalid_type(param: &str, wanted: &str) -> Self {
        Self::at("invalid_type", param, format!("{param} must be {wanted}"))
    }

    /// A field of the right type, with a value that is not allowed.
    pub(crate) fn invalid_value(param: &str, wanted: impl AsRef<str>) -> Self {
        Self::at("invalid_value", param, format!("{param} must be {}", wanted.as_ref()))
    }

    /// A field that the published API has, but this installation does not serve.
    pub(crate) fn unsupported(param: &str, reason: &str) -> Self {
        Self::at("unsupported_parameter", param, format!("{param} is not served here: {reason}"))
    }

    /// A field that the published API does not have.
    pub(crate) fn unknown(param: &str) -> Self {
        Self::at("unknown_parameter", param, format!("{param} is no parameter of this request"))
    }

    /// The error as the body of an HTTP response: `{"error": {"message", "type", "param", "code"}}`.
    #[must_use]
    pub fn envelope(&self) -> Value {
        json!({"error": {"message": self.message, "type": "invalid_request_error", "param": self.param,
            "code": self.code}})
    }
}
