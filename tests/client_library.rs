//! The client library `async-openai`, with its own retries on, against the dispatcher and a simulated fleet.

mod stand_in;

use std::time::Duration;

use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::chat::{CreateChatCompletionRequest, FinishReason};
use async_openai::Client;
use serde_json::json;
use stand_in::*;

fn client(site: &FleetSite) -> Client<OpenAIConfig> {
    let config =
        OpenAIConfig::new().with_api_base(format!("http://{}/v1", site.chat)).with_api_key("key-of-clay");
    Client::with_config(config)
}

fn request(body: serde_json::Value) -> CreateChatCompletionRequest {
    serde_json::from_value(body).expect("a request of the library's type")
}

fn single_message(model: &str, prompt: &str) -> CreateChatCompletionRequest {
    request(json!({"model": model, "messages": [{"role": "user", "content": prompt}]}))
}

async fn site() -> FleetSite {
    let (read, pause) = (Duration::from_millis(1), Duration::from_millis(1));
    FleetSite::start(Shape { read, pause, ..Shape::default() }, "enabled = true\nafter_start_s = 0.0\n").await
}

#[tokio::test]
async fn the_client_library_reads_a_whole_answer() {
    let site = site().await;
    let answer = client(&site).chat().create(single_message("kiln-ask", "plain")).await.unwrap();
    assert_eq!(answer.choices[0].message.content.as_deref(), Some("w0 w1 w2 w3 w4 w5 "));
    assert_eq!((answer.object.as_str(), answer.usage.is_some()), ("chat.completion", true));
}

#[tokio::test]
async fn the_client_library_reads_a_streamed_answer() {
    use futures_util::StreamExt as _;
    let site = site().await;
    let mut stream =
        client(&site).chat().create_stream(single_message("kiln-book", "streamed")).await.unwrap();
    let (mut received, mut finish) = (String::new(), None);
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.expect("a chunk that the library can parse");
        received.push_str(chunk.choices[0].delta.content.as_deref().unwrap_or(""));
        finish = chunk.choices[0].finish_reason.or(finish);
    }
    assert_eq!((received.as_str(), finish), ("w0 w1 w2 w3 w4 w5 ", Some(FinishReason::Stop)));
}

/// Two tool calls whose fragments are interleaved are assembled by their index.
#[tokio::test]
async fn the_client_library_reads_tool_calls() {
    let site = site().await;
    let body = json!({"model": "kiln-ask", "messages": [{"role": "user", "content": "book"}], "tool_choice": "required",
        "tools": [{"type": "function", "function": {"name": "book_kiln", "parameters": {"type": "object"}}}]});
    let answer = client(&site).chat().create(request(body)).await.unwrap();
    let choice = serde_json::to_value(&answer.choices[0]).unwrap();
    let calls = choice["message"]["tool_calls"].as_array().unwrap();
    let arguments: Vec<&str> =
        calls.iter().map(|call| call["function"]["arguments"].as_str().unwrap()).collect();
    assert_eq!(arguments, [r#"{"day":"fri"}"#, r#"{"day":"sat"}"#]);
    assert!(calls.iter().all(|call| call["function"]["name"] == "book_kiln"));
    assert_eq!(
        (choice["finish_reason"].as_str(), &choice["message"]["content"]),
        (Some("tool_calls"), &json!(null))
    );
}

/// The library's own retries after a rejection lead to an answer, and an invalid request is reported as such at once.
#[tokio::test]
async fn the_client_library_understands_each_failure() {
    let site = site().await;
    let unknown_model = client(&site).chat().create(single_message("no-such-model", "x")).await.unwrap_err();
    let OpenAIError::ApiError(error) = unknown_model else {
        panic!("an error of the API: {unknown_model:?}")
    };
    let error = format!("{error:?}");
    assert!(error.contains("model_not_found") && error.contains("Some(\"model\")"), "{error}");
    site.fleet.script([Fault::TurnsAway; 6]);
    let answer = client(&site).chat().create(single_message("kiln-book", "again")).await.unwrap();
    assert_eq!((answer.choices.len(), site.fleet.runs_of("again")), (1, 1));
}
