//! Metadata that every answer and every chunk of a stream repeats: id, model and creation time.

/// Identifies the answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// The request's id, without the prefix that clients see (`chatcmpl-`, `cmpl-` or `resp_`, by endpoint).
    pub id: String,
    /// The model, as the client named it.
    pub model: String,
    /// The creation time that the answer reports (Unix time, seconds).
    pub created_unix_s: u64,
}
