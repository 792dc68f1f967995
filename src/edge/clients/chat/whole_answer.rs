//! A whole answer, for a client that wants no stream.

use std::future::poll_fn;

use dewladder_chat::{AnswerMetadata, CollectedAnswer, Request, RequestKind, StreamWriter};
use serde_json::Value;

use crate::edge::clients::chat::answer_source::{AnswerError, ResponseKeeper, MAX_ANSWER_BYTES};
use crate::edge::clients::chat::choice_stream::ChoiceStreams;

/// Puts the answer together.
///
/// # Errors
/// What ended a choice before its end.
pub(super) async fn collect(
    choices: ChoiceStreams,
    request: &Request,
    metadata: AnswerMetadata,
    keeper: Option<ResponseKeeper>,
) -> Result<Value, AnswerError> {
    match request.kind {
        RequestKind::Response => collect_response(choices, request, metadata, keeper).await,
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

async fn collect_choices(mut choices: ChoiceStreams) -> Result<CollectedAnswer, AnswerError> {
    let mut answer = CollectedAnswer::default();
    while let Some(event) = poll_fn(|context| choices.poll_next(context)).await {
        let (choice, event) = event?;
        answer.push(choice, &event);
        if answer.text_bytes() > MAX_ANSWER_BYTES {
            return Err(AnswerError::TooLong);
        }
    }
    Ok(answer)
}

/// A response is put together by its writer, whose events nobody reads.
async fn collect_response(
    mut choices: ChoiceStreams,
    request: &Request,
    metadata: AnswerMetadata,
    keeper: Option<ResponseKeeper>,
) -> Result<Value, AnswerError> {
    let mut writer = StreamWriter::new(request, metadata);
    while let Some(event) = poll_fn(|context| choices.poll_next(context)).await {
        let (choice, event) = event?;
        drop(writer.event(choice, &event));
        if writer.text_bytes() > MAX_ANSWER_BYTES {
            return Err(AnswerError::TooLong);
        }
    }
    let response = writer.response().unwrap_or_default();
    if let Some(keeper) = keeper {
        keeper.keep(response.clone(), writer.output_items());
    }
    Ok(response)
}
