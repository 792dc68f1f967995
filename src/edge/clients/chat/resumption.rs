//! How the choices of a request are resumed elsewhere whose server breaks off.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use dewladder_resume::{ChoiceTraits, Policy};

use crate::edge::clients::chat::answer_source::AnswerSource;
use crate::edge::clock::Clock;
use crate::interface::{Micros, RequestId};

/// A request for the rest of a choice.
#[derive(Clone, Debug)]
pub(super) struct RestRequest {
    /// Which choice.
    pub(super) choice: usize,
    /// What the client has had of it.
    pub(super) text: String,
    /// The most tokens of the rest.
    pub(super) max_tokens: u64,
    /// By when it must begin (us).
    pub(super) deadline_us: Micros,
    /// How long to wait before (us).
    pub(super) wait_us: Micros,
}

/// Why the rest of a choice did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestError {
    /// Refused, with a time to come back (us).
    Refused { retry_after_us: Micros },
    /// Failed.
    Failed,
}

impl RestError {
    pub(super) fn retry_after_us(self) -> Option<Micros> {
        match self {
            Self::Refused { retry_after_us } => Some(retry_after_us),
            Self::Failed => None,
        }
    }
}

/// The rest of a choice, once it begins.
pub(super) type RestFuture = Pin<Box<dyn Future<Output = Result<AnswerSource, RestError>> + Send>>;
/// Requests the rest of a choice.
pub(super) type RequestRest = Arc<dyn Fn(RestRequest) -> RestFuture + Send + Sync>;

/// How choices are resumed.
#[derive(Clone)]
pub(super) struct Resumption {
    /// The request whose answer it is.
    pub(super) request_id: RequestId,
    pub(super) policy: Policy,
    /// What the choices are like.
    pub(super) traits: ChoiceTraits,
    pub(super) request_rest: RequestRest,
    pub(super) clock: Clock,
}
