//! Settings, events and decisions of resumption.

use crate::Micros;

/// What servers do with the beginning of an answer that they are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They go on from its end.
    Continue,
    /// They begin anew and come to the same words again, as those do that sample nothing at random.
    Restart,
}

/// Bounds of resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// What servers do.
    pub mode: Mode,
    /// Times that one answer may be resumed.
    pub max_resumptions: u32,
    /// For how long after its first break an answer may be resumed (us).
    pub max_duration_us: Micros,
    /// A longer answer is not resumed (bytes).
    pub max_text_bytes: usize,
}

/// What one choice of an answer is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceTraits {
    /// Its request may run again.
    pub may_rerun: bool,
    /// More than its text is wanted (log probabilities, say), which can't be put together from parts.
    pub wants_more_than_text: bool,
    /// The most tokens that it may have.
    pub max_tokens: u64,
}

/// Why an answer is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// Its request must not run again.
    AtMostOnce,
    /// It holds tool calls, refusals or more that can't be put together from parts.
    MoreThanText,
    /// It was resumed as often, or for as long, as the policy allows.
    LimitReached,
    /// It is longer than the policy allows.
    TooLong,
    /// The resumed part does not repeat what had come before.
    Diverged,
    /// The other servers had no room, or failed.
    NoServer,
}

/// What is to be done when a part of an answer has broken off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakDecision {
    /// Request the rest.
    Resume {
        /// What the client has had of the answer.
        text: String,
        /// The most tokens of the rest, or of the whole where servers begin anew.
        max_tokens: u64,
        /// By when its first event must have come (us).
        deadline_us: Micros,
    },
    /// The answer had come to its end already.
    Finished,
    /// The answer has as many tokens as it may, and no server has said so: its end is still to be written.
    TokenLimitReached,
    /// The answer ends here, with an error.
    Cut(CutReason),
}

/// What an event of a server holds, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEvent<'a> {
    /// Its text.
    pub text: &'a str,
    /// It holds something besides.
    pub has_more_than_text: bool,
    /// It ends the answer.
    pub is_last: bool,
}

/// What of an event is forwarded to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forward {
    /// All of it.
    Unchanged,
    /// It, with this text in place of its own.
    WithText(String),
    /// Nothing: the client has had all that it holds.
    Nothing,
    /// The answer can't be put together: it is cut.
    Cut(CutReason),
}
