//! What is held for as long as a stream lasts.

use dewladder_chat::{Limits, Names, Request, Writer};
use serde_json::{json, Value};

fn names() -> Names {
    Names { id: "1".to_owned(), model: "m".to_owned(), created: 1 }
}

/// Prompts held for as long as streams last would add up to all memory there is.
#[test]
fn a_writer_holds_nothing_of_a_prompt() {
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
        let writer = Writer::new(&request.unwrap(), names());
        assert!(writer.of_request() < 200, "{} bytes", writer.of_request());
    }
}

/// A response tells what was asked for, but for its input.
#[test]
fn a_response_tells_its_settings() {
    let asked = json!({"model": "m", "input": "a", "instructions": "short", "temperature": 0.5, "metadata": {"k": "v"}});
    let mut writer = Writer::new(&Request::response(asked, &Limits::default()).unwrap(), names());
    let response: Value = writer.response();
    assert_eq!((&response["instructions"], &response["temperature"]), (&json!("short"), &json!(0.5)));
    assert_eq!((&response["metadata"]["k"], &response["input"]), (&json!("v"), &Value::Null));
}
