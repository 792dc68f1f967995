//! What every answer and every chunk repeats: its id, model and time.

/// What stands in every answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// The request's id, without the prefix of its kind (`chatcmpl-`, `cmpl-`, `resp_`).
    pub id: String,
    /// The model, as the client named it.
    pub model: String,
    /// When the request was made (Unix time, seconds).
    pub created_unix_s: u64,
}
