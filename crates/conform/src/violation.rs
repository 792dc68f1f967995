//! The ways in which a stream of server-sent events can break the published format.

use serde_json::Value;

/// The first deviation from the published format that was found in a stream.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Violation {
    #[error("unknown grammar '{0}'")]
    UnknownGrammar(String),
    #[error("the stream does not end with a blank line")]
    NoFinalBlankLine,
    #[error("'{0}' is not a valid line of a server-sent event")]
    InvalidEventLine(String),
    #[error("the data of an event is not valid JSON: {source}: {data}")]
    InvalidJson { source: serde_json::Error, data: String },
    #[error("the stream has no events")]
    NoEvents,

    // Streams of chat or completion chunks.
    #[error("the last event is not [DONE]: {0}")]
    MissingDone(String),
    #[error("[DONE] is not the last event")]
    MisplacedDone,
    #[error("the stream has an error event: {0}")]
    UnexpectedError(Value),
    #[error("unexpected value of object: {0}")]
    WrongObject(Value),
    #[error("created is not an unsigned integer: {0}")]
    InvalidCreated(Value),
    #[error("id or model is not a string")]
    IdOrModelNotString,
    #[error("id, model or created changes within the stream")]
    MetadataChanged,
    #[error("choices is not an array")]
    ChoicesNotArray,
    #[error("the usage chunk has no usage.total_tokens")]
    UsageMissing,
    #[error("the usage chunk is not the last one before [DONE]")]
    MisplacedUsage,
    #[error("a chunk with choices also has usage")]
    UsageWithChoices,
    #[error("a choice has no index")]
    ChoiceWithoutIndex,
    #[error("choice index {index} is out of range: {choices} choices expected")]
    ChoiceOutOfRange { index: usize, choices: usize },
    #[error("a choice has no delta")]
    ChoiceWithoutDelta,
    #[error("the role in the first delta of a choice is {0}, not \"assistant\"")]
    WrongFirstRole(Value),
    #[error("the role is repeated in a later delta of the same choice")]
    RepeatedRole,
    #[error("a choice has no text")]
    ChoiceWithoutText,
    #[error("choice {0} continues after its finish_reason")]
    ChoiceAfterEnd(usize),
    #[error("the stream has {found} choices, {expected} expected")]
    WrongChoiceCount { found: usize, expected: usize },
    #[error("a choice has no finish_reason")]
    MissingFinishReason,
    #[error("unexpected number of usage chunks: {0}")]
    WrongUsageCount(usize),

    // Streams of chunks that end with an error event.
    #[error("there is no chunk before the error event")]
    NoChunkBeforeError,
    #[error("a stream that ends with an error has [DONE]")]
    DoneInCutStream,
    #[error("the stream has more than one error event")]
    SecondError,
    #[error("a stream that ends with an error has finish_reason {0}")]
    FinishReasonInCutStream(Value),
    #[error("the last event is not a server_error with message and code: {0}")]
    MissingError(String),

    // Streams of the Responses API.
    #[error("event {at} has sequence_number {number}")]
    WrongSequenceNumber { at: usize, number: Value },
    #[error("an event has no type")]
    EventWithoutType,
    #[error("the event name {name:?} differs from the type {event_type}")]
    EventNameMismatch { name: Option<String>, event_type: String },
    #[error("{event_type} at position {at} of {events}: exactly the last event must be a final one")]
    MisplacedFinalEvent { event_type: String, at: usize, events: usize },
    #[error("the first event is {0}, not response.created")]
    FirstEvent(String),
    #[error("the second event is {0}, not response.in_progress")]
    SecondEvent(String),
    #[error("{0} for an output item that is not open")]
    DeltaForUnopenedItem(String),
    #[error("a delta is not a string")]
    DeltaNotString,
    #[error("the final text differs from the concatenated deltas")]
    TextMismatch,
    #[error("the final arguments differ from the concatenated deltas")]
    ArgumentsMismatch,
    #[error("response.output_item.done for an item that is not open")]
    DoneForUnopenedItem,
    #[error("an output item has no response.output_item.done")]
    UnfinishedItem,
    #[error("the final response lists {output} output items, {ended} were completed in the stream")]
    OutputCountMismatch { output: usize, ended: usize },
    #[error("{event_type} has status '{status}'")]
    StatusMismatch { event_type: String, status: String },
    #[error("the final response has no usage.total_tokens")]
    MissingFinalUsage,
    #[error("too few events for a response: {0}")]
    TooFewEvents(usize),

    // Streams of the Responses API that end with `response.failed`.
    #[error("events follow response.completed")]
    EventsAfterCompletion,
    #[error("the last event is not response.failed with an error message: {0}")]
    MissingFailure(String),
}

/// Returns the violation as an error unless the rule holds. The violation is built only in that case.
pub(crate) fn ensure(holds: bool, violation: impl FnOnce() -> Violation) -> Result<(), Violation> {
    if holds {
        Ok(())
    } else {
        Err(violation())
    }
}
