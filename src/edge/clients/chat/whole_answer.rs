//! Collects a complete answer, for clients that want no stream.

use std::future::poll_fn;

use dewladder_chat::{AnswerMetadata, CollectedAnswer, Request, RequestKind, StreamWriter};
use serde_json::Value;

use crate::edge::clients::chat::answer_source::{AnswerError, ResponseSaver, MAX_TEXT_BYTES};
use crate::edge::clients::chat::choice_stream::ChoiceStreams;

/// Collects all choices into the JSON body of the response.
///
/// # Errors
/// The error of the first choice that broke off, or that the answer is too long.
pub(super) async fn collect(
    choices: ChoiceStreams,
    request: &Request,
    metadata: AnswerMetadata,
    saver: Option<ResponseSaver>,
) -> Result<Value, AnswerError> {
    match request.kind {
        RequestKind::Response => collect_response(choices, request, metadata, saver).await,
        RequestKind::Chat => Ok(collect_choices(choices).await?.chat(&metadata)),
        RequestKind::Completion => {
            let echo = |choice: usize| {
                if request.echo {
                    request.prompt_of(choice)[0].text.clone()
                } else {
                    String::new()
                }
            };
            Ok(collect_choices(choices).await?.completion(&metadata, echo))
        }
    }
}

/// Collects the answer to a chat or completion request.
async fn collect_choices(mut choices: ChoiceStreams) -> Result<CollectedAnswer, AnswerError> {
    let mut answer = CollectedAnswer::default();
    while let Some(event) = poll_fn(|context| choices.poll_next(context)).await {
        let (choice, event) = event?;
        answer.push(choice, &event);
        if answer.text_bytes() > MAX_TEXT_BYTES {
            return Err(AnswerError::TooLong);
        }
    }
    Ok(answer)
}

/// Collects the answer to a request of the responses API. [`StreamWriter`] builds the response; its events are dropped.
async fn collect_response(
    mut choices: ChoiceStreams,
    request: &Request,
    metadata: AnswerMetadata,
    saver: Option<ResponseSaver>,
) -> Result<Value, AnswerError> {
    let mut writer = StreamWriter::new(request, metadata);
    while let Some(event) = poll_fn(|context| choices.poll_next(context)).await {
        let (choice, event) = event?;
        drop(writer.event(choice, &event));
        if writer.text_bytes() > MAX_TEXT_BYTES {
            return Err(AnswerError::TooLong);
        }
    }
    let response = writer.response().unwrap_or_default();
    if let Some(saver) = saver {
        saver.save(response.clone(), writer.output_items());
    }
    Ok(response)
}
