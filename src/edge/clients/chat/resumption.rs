//! Types by which a choice whose server broke off is resumed: the request for the rest of its answer, the errors of
//! that request, and the context that is common to all choices.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use dewladder_resume::{ChoiceTraits, Policy};

use crate::edge::clients::chat::answer_source::AnswerSource;
use crate::edge::clock::Clock;
use crate::interface::{Micros, RequestId};

/// A request for the rest of a choice's answer.
#[derive(Clone, Debug)]
pub(super) struct ResumeRequest {
    /// Index of the choice.
    pub(super) choice: usize,
    /// The text of the choice that the client has received.
    pub(super) text: String,
    /// Maximum number of tokens that the server may generate.
    pub(super) max_tokens: u64,
    /// When the rest must have begun, on the dispatcher's clock (us).
    pub(super) deadline_us: Micros,
    /// How long to wait before the request is sent (us).
    pub(super) wait_us: Micros,
}

/// Why the rest of a choice's answer did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResumeError {
    /// The request was refused before it ran; it may be retried after `retry_after_us`.
    Refused { retry_after_us: Micros },
    /// The request failed without an answer.
    Failed,
}

impl ResumeError {
    /// The delay before a retry (us); `None` if the request was not refused.
    pub(super) fn retry_after_us(self) -> Option<Micros> {
        match self {
            Self::Refused { retry_after_us } => Some(retry_after_us),
            Self::Failed => None,
        }
    }
}

/// Resolves to the stream of the rest once it begins.
pub(super) type ResumeFuture = Pin<Box<dyn Future<Output = Result<AnswerSource, ResumeError>> + Send>>;
/// Requests the rest of a choice's answer.
pub(super) type ResumeFn = Arc<dyn Fn(ResumeRequest) -> ResumeFuture + Send + Sync>;

/// What all choices of a request need in order to be resumed.
#[derive(Clone)]
pub(super) struct Resumption {
    /// The id of the client's request, for the log. Each resumption is sent under an id of its own.
    pub(super) request_id: RequestId,
    /// The limits of resumption, from the settings.
    pub(super) policy: Policy,
    /// Properties of the request that decide whether and how its choices are resumed.
    pub(super) traits: ChoiceTraits,
    /// Requests the rest of a choice.
    pub(super) resume_choice: ResumeFn,
    pub(super) clock: Clock,
}
