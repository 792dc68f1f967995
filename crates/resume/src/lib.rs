//! Resumption of answers whose server broke off: whether another server may continue an answer, what to request from
//! it, and how to join the parts into one text without gaps or repetitions.
//!
//! The crate does no I/O: times are whole microseconds on the caller's clock, and methods return what the caller must
//! do. One [`ResumableStream`] follows one choice of one answer from its first event to its end.

mod stream;
mod types;

pub use stream::ResumableStream;
pub use types::{AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Mode, Policy};

/// A point on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;
