//! Resumption of answers whose server broke off: whether an answer may go on elsewhere, what is requested then, and how
//! its parts become one text without a gap and with nothing twice.
//!
//! Pure: time comes as whole microseconds on the caller's clock, and what is to be done is returned. One
//! [`ResumableStream`] follows one choice of one answer from its first event to its end.

mod stream;
mod types;

pub use stream::ResumableStream;
pub use types::{AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Mode, Policy};

/// A point on the caller's clock, or a length of time, in microseconds.
pub type Micros = u64;
