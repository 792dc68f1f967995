//! What can be wrong with a stream.

use serde_json::Value;

/// The first thing in a stream that is not as published.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Violation {
    #[error("there is no grammar '{0}'")]
    UnknownGrammar(String),
    #[error("the stream does not end with a blank line")]
    NoFinalBlankLine,
    #[error("'{0}' is no line of an event")]
    UnknownLine(String),
    #[error("an event is no JSON: {source}: {data}")]
    InvalidJson { source: serde_json::Error, data: String },
    #[error("the stream is empty")]
    Empty,

    // Streams of chunks.
    #[error("the last event is not [DONE]: {0}")]
    LastIsNotDone(String),
    #[error("[DONE] comes before the end")]
    EarlyDone,
    #[error("an error: {0}")]
    ErrorEvent(Value),
    #[error("object is {0}")]
    Object(Value),
    #[error("created is {0}")]
    Created(Value),
    #[error("id or model is no text")]
    IdOrModelNotText,
    #[error("id, model or created change within the stream")]
    MetadataChanges,
    #[error("choices is no array")]
    ChoicesNotArray,
    #[error("the usage event tells no usage")]
    UsageMissing,
    #[error("usage comes before the last choice's end")]
    EarlyUsage,
    #[error("usage beside a choice")]
    UsageBesideChoice,
    #[error("a choice without an index")]
    ChoiceWithoutIndex,
    #[error("choice {index} of {choices}")]
    ChoiceOutOfRange { index: usize, choices: usize },
    #[error("a choice without a delta")]
    ChoiceWithoutDelta,
    #[error("the first delta's role is {0}")]
    FirstRole(Value),
    #[error("the role is told again")]
    RepeatedRole,
    #[error("a choice without a text")]
    ChoiceWithoutText,
    #[error("choice {0} goes on after its end")]
    ChoiceAfterEnd(usize),
    #[error("{found} of {expected} choices")]
    ChoiceCount { found: usize, expected: usize },
    #[error("a choice without a finish_reason")]
    ChoiceWithoutEnd,
    #[error("{0} usage events")]
    UsageCount(usize),

    // Streams of chunks that break off.
    #[error("nothing came before the error")]
    NothingBeforeError,
    #[error("[DONE] in a stream that broke off")]
    DoneInCutStream,
    #[error("more than one error")]
    SecondError,
    #[error("an answer that broke off has finish_reason {0}")]
    FinishReasonInCutStream(Value),
    #[error("the last event is no error: {0}")]
    LastIsNoError(String),

    // Streams of responses.
    #[error("event {at} has number {number}")]
    SequenceNumber { at: usize, number: Value },
    #[error("an event without a type")]
    EventWithoutType,
    #[error("event: {name:?} is of type {event_type}")]
    EventName { name: Option<String>, event_type: String },
    #[error("{event_type} is event {at} of {events}")]
    EndMisplaced { event_type: String, at: usize, events: usize },
    #[error("the first event is {0}")]
    FirstEvent(String),
    #[error("the second event is {0}")]
    SecondEvent(String),
    #[error("{0} of an item that is not open")]
    DeltaOfClosedItem(String),
    #[error("a delta that is no text")]
    DeltaNotText,
    #[error("the text is not that of its deltas")]
    TextDiffers,
    #[error("arguments are not those of their deltas")]
    ArgumentsDiffer,
    #[error("an item ends that is not open")]
    EndOfClosedItem,
    #[error("an item has not ended")]
    ItemWithoutEnd,
    #[error("{output} items told, {ended} ended")]
    OutputCount { output: usize, ended: usize },
    #[error("{event_type} with status {status}")]
    Status { event_type: String, status: String },
    #[error("no usage at the end")]
    NoUsageAtEnd,
    #[error("{0} events")]
    TooFewEvents(usize),

    // Streams of responses that break off.
    #[error("completed, and yet it goes on")]
    GoesOnAfterCompletion,
    #[error("the last event: {0}")]
    LastIsNoFailure(String),
}

/// Fails with the violation unless the rule holds.
pub(crate) fn ensure(holds: bool, violation: impl FnOnce() -> Violation) -> Result<(), Violation> {
    if holds {
        Ok(())
    } else {
        Err(violation())
    }
}
