//! The parts of a request that a stream writer holds for as long as its stream lasts.

use dewladder_chat::{AnswerMetadata, Limits, Request, StreamWriter};
use serde_json::{json, Value};

fn metadata() -> AnswerMetadata {
    AnswerMetadata { id: "1".to_owned(), model: "m".to_owned(), created_unix_s: 1 }
}

/// Guards against memory exhaustion: prompts held for as long as their streams last would add up to all memory.
#[test]
fn a_stream_writer_holds_nothing_of_a_prompt_that_is_not_echoed() {
    let text = "x".repeat(200_000);
    let chat = json!({"model": "m", "messages": [{"role": "user", "content": text}], "stream": true});
    let response = json!({"model": "m", "input": text, "instructions": "short", "stream": true});
    let completion = json!({"model": "m", "prompt": text, "stream": true});
    let limits = Limits::default();
    for request in [
        Request::chat(chat, &limits),
        Request::response(response, &limits),
        Request::completion(completion, &limits),
    ] {
        let writer = StreamWriter::new(&request.unwrap(), metadata());
        assert!(writer.request_bytes() < 200, "{} bytes", writer.request_bytes());
    }
}

#[test]
fn a_response_repeats_the_settings_of_its_request_without_its_input() {
    let body = json!({"model": "m", "input": "a", "instructions": "short", "temperature": 0.5, "metadata": {"k": "v"}});
    let writer = StreamWriter::new(&Request::response(body, &Limits::default()).unwrap(), metadata());
    let response: Value = writer.response().unwrap();
    assert_eq!((&response["instructions"], &response["temperature"]), (&json!("short"), &json!(0.5)));
    assert_eq!((&response["metadata"]["k"], &response["input"]), (&json!("v"), &Value::Null));
}
