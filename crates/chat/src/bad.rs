//! Why a request is refused, in the published envelope.

use serde_json::{json, Value};

/// A request that can't be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad {
    /// The HTTP status.
    pub status: u16,
    /// What programs go by.
    pub code: &'static str,
    /// The field at fault, as a path: `messages[2].role`.
    pub param: Option<String>,
    /// What people read.
    pub message: String,
}

impl Bad {
    fn new(code: &'static str, param: &str, message: impl Into<String>) -> Self {
        Self { status: 400, code, param: Some(param.to_owned()), message: message.into() }
    }

    /// A body that can't be read.
    pub(crate) fn json(message: impl Into<String>) -> Self {
        Self { status: 400, code: "invalid_json", param: None, message: message.into() }
    }

    /// A field that has to be there.
    pub(crate) fn missing(param: &str) -> Self {
        Self::new("missing_required_parameter", param, format!("{param} is missing"))
    }

    /// A field of another type than it must have.
    pub(crate) fn kind(param: &str, wanted: &str) -> Self {
        Self::new("invalid_type", param, format!("{param} must be {wanted}"))
    }

    /// A field whose value is none that it can have.
    pub(crate) fn value(param: &str, wanted: impl AsRef<str>) -> Self {
        Self::new("invalid_value", param, format!("{param} must be {}", wanted.as_ref()))
    }

    /// A field that is published, but not served here.
    pub(crate) fn unsupported(param: &str, why: &str) -> Self {
        Self::new("unsupported_parameter", param, format!("{param} is not served here: {why}"))
    }

    /// A field that is not published.
    pub(crate) fn unknown(param: &str) -> Self {
        Self::new("unknown_parameter", param, format!("{param} is no parameter of this request"))
    }

    /// The envelope.
    #[must_use]
    pub fn envelope(&self) -> Value {
        json!({"error": {"message": self.message, "type": "invalid_request_error", "param": self.param,
            "code": self.code}})
    }
}
