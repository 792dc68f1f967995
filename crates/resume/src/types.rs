//! Policy, events and decisions of resumption.

use crate::Micros;

/// What servers do when a request contains the beginning of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They continue from the end of the given text.
    Continue,
    /// They generate the answer again from its start, with the same text, as servers that decode without random
    /// sampling do.
    Restart,
}

/// Limits of resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// What servers do with the beginning of an answer.
    pub mode: Mode,
    /// How many times one answer may be resumed.
    pub max_resumptions: u32,
    /// For how long after its first break an answer may be resumed (us).
    pub max_duration_us: Micros,
    /// The maximum length of an answer that may be resumed (bytes).
    pub max_text_bytes: usize,
}

/// The properties of one choice of an answer that decide whether and how it can be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceTraits {
    /// The request may run again.
    pub may_rerun: bool,
    /// The request asks for more than text (log probabilities, for example), which cannot be joined from parts.
    pub wants_more_than_text: bool,
    /// The maximum number of tokens of the choice.
    pub max_tokens: u64,
}

/// Why an answer is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// The request must not run again.
    AtMostOnce,
    /// The answer contains, or was asked to contain, more than text (tool calls, refusals or log probabilities, for
    /// example), which cannot be joined from parts.
    MoreThanText,
    /// The answer was resumed as often, or for as long, as the policy allows.
    LimitReached,
    /// The answer is longer than the policy allows.
    TooLong,
    /// The resumed part does not begin with the text that the client has received.
    Diverged,
    /// The other servers were at capacity, or failed.
    NoServer,
}

/// What the caller must do when a part of an answer has broken off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakDecision {
    /// Request the rest of the answer from another server.
    Resume {
        /// The text of the answer that the client has received.
        text: String,
        /// The maximum number of tokens of the rest, or of the whole answer in [`Mode::Restart`].
        max_tokens: u64,
        /// The time by which the first event of the rest must arrive (us).
        deadline_us: Micros,
    },
    /// The answer was complete before the break.
    Finished,
    /// The answer has reached its maximum number of tokens, but no server has sent its last event: the caller must
    /// write the end.
    TokenLimitReached,
    /// End the answer here with an error.
    Cut(CutReason),
}

/// The content of a server's event, as far as resumption needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEvent<'a> {
    /// The text of the event; may be empty.
    pub text: &'a str,
    /// The event contains something in addition to text.
    pub has_more_than_text: bool,
    /// The event ends the answer.
    pub is_last: bool,
}

/// Which part of an event the caller forwards to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forward {
    /// The whole event.
    Unchanged,
    /// The event with this text in place of its own.
    WithText(String),
    /// Nothing: the client already has the content of the event, or the whole answer.
    Nothing,
    /// The parts cannot be joined: end the answer with an error.
    Cut(CutReason),
}
