//! Golden tests of everything that the crate writes: errors, request bodies for servers, streams and whole answers.

mod golden_file;

use std::fmt::Write as _;

use dewladder_chat::{
    parse_body, AnswerMetadata, CollectedAnswer, EventParser, Limits, Message, Request, ServerEvent,
    StreamWriter,
};
use golden_file::assert_golden;
use serde_json::{json, Value};

const MAX_DEPTH: usize = 4;

fn metadata() -> AnswerMetadata {
    AnswerMetadata {
        id: "00000000000000ff".to_owned(),
        model: "kiln-ask".to_owned(),
        created_unix_s: 1_700_000_000,
    }
}

/// Prompts in the format of the golden files: `[role, text]` for each message.
fn prompts_json(prompts: &[Vec<Message>]) -> Value {
    let message = |message: &Message| json!([message.role, message.text]);
    prompts.iter().map(|prompt| prompt.iter().map(message).collect::<Value>()).collect()
}

/// The minimal valid request body of this kind, with `fields` set over it. A `null` field counts as absent.
fn request_body(kind: &str, fields: &Value) -> Value {
    let mut body = match kind {
        "chat" => json!({"model": "m", "messages": [{"role": "user", "content": "hi"}]}),
        "completion" => json!({"model": "m", "prompt": "hi"}),
        _ => json!({"model": "m", "input": "hi"}),
    };
    for (name, value) in fields.as_object().expect("fields in an object") {
        body[name] = value.clone();
    }
    body
}

/// Validates a request body. The error is the HTTP status and body, as the golden files have them.
fn parse_result(kind: &str, body: Value) -> Result<Request, String> {
    let limits = Limits::default();
    let parse_result = match kind {
        "chat" => Request::chat(body, &limits),
        "completion" => Request::completion(body, &limits),
        _ => Request::response(body, &limits),
    };
    parse_result.map_err(|error| format!("{} {}", error.status, error.envelope()))
}

fn with_messages(messages_json: Value) -> Value {
    json!({"messages": messages_json})
}

fn with_input_item(item: Value) -> Value {
    json!({"input": [item]})
}

/// Fields for which a chat request is rejected, meant to cover every check. `kiln` stands for an unknown field.
fn rejected_chat_fields() -> Vec<Value> {
    let call = |id: &str| json!({"id": id, "type": "function", "function": {"name": "f", "arguments": "{}"}});
    let text = |text: usize| "x".repeat(text);
    let metadata_pairs =
        |count: usize| (0..count).map(|index| (format!("k{index}"), json!("v"))).collect::<Value>();
    vec![
        json!({"model": null}),
        json!({"model": 3}),
        json!({"model": ""}),
        json!({"model": text(257)}),
        json!({"kiln": 1}),
        json!({"temperature": "hot"}),
        json!({"temperature": 2.5}),
        json!({"top_p": -0.5}),
        json!({"presence_penalty": 3}),
        json!({"frequency_penalty": -3}),
        json!({"seed": 1.5}),
        json!({"user": 1}),
        json!({"stop": 1}),
        json!({"stop": []}),
        json!({"stop": ["a", 2]}),
        json!({"logit_bias": 1}),
        json!({"logit_bias": {"50": 101}}),
        json!({"logit_bias": {"50": "x"}}),
        json!({"stream": "yes"}),
        json!({"stream_options": {}}),
        json!({"stream": true, "stream_options": 1}),
        json!({"stream": true, "stream_options": {"kiln": true}}),
        json!({"stream": true, "stream_options": {"include_usage": 1}}),
        json!({"stream": true, "stream_options": {"include_obfuscation": 1}}),
        json!({"max_tokens": 0}),
        json!({"max_tokens": -1}),
        json!({"max_tokens": "ten"}),
        json!({"max_completion_tokens": 1_048_577}),
        json!({"max_tokens": 1, "max_completion_tokens": 1}),
        json!({"n": 0}),
        json!({"n": 9}),
        json!({"top_logprobs": 1}),
        json!({"top_logprobs": 21, "logprobs": true}),
        json!({"logprobs": 1}),
        json!({"store": true}),
        json!({"audio": {}}),
        json!({"web_search_options": {}}),
        json!({"modalities": "text"}),
        json!({"modalities": ["text", "audio"]}),
        json!({"modalities": ["smell"]}),
        json!({"reasoning_effort": "huge"}),
        json!({"verbosity": "loud"}),
        json!({"service_tier": "priority"}),
        json!({"service_tier": "gold"}),
        json!({"prompt_cache_key": 1}),
        json!({"safety_identifier": 1}),
        json!({"prompt_cache_retention": 1}),
        json!({"metadata": 1}),
        json!({"metadata": metadata_pairs(17)}),
        json!({"metadata": {"k": 1}}),
        json!({"metadata": {"k": text(513)}}),
        json!({"metadata": {text(65): "v"}}),
        json!({"prediction": 1}),
        json!({"prediction": {}}),
        json!({"prediction": {"type": "x"}}),
        json!({"response_format": 1}),
        json!({"response_format": {"type": "xml"}}),
        json!({"response_format": {"type": "json_schema"}}),
        json!({"response_format": {"type": "json_schema", "json_schema": {"name": "a b"}}}),
        json!({"response_format": {"type": "json_schema", "json_schema": {"name": "a", "kiln": 1}}}),
        json!({"response_format": {"type": "json_schema", "json_schema": {"name": "a", "schema": 1}}}),
        json!({"response_format": {"type": "json_schema", "json_schema": {"name": "a", "strict": 1}}}),
        json!({"tools": {}}),
        json!({"tools": []}),
        json!({"tools": [1]}),
        json!({"tools": [{"type": "custom"}]}),
        json!({"tools": [{"type": "magic"}]}),
        json!({"tools": [{"type": "function"}]}),
        json!({"tools": [{"type": "function", "function": {"name": "f", "kiln": 1}}]}),
        json!({"tools": [{"type": "function", "function": {"name": "f", "description": 1}}]}),
        json!({"tools": [{"type": "function", "function": {"name": "f", "parameters": 1}}]}),
        json!({"tools": [{"type": "function", "function": {"name": "f", "strict": 1}}]}),
        json!({"tools": [{"type": "function", "function": {"name": text(65)}}]}),
        json!({"functions": [{"name": ""}]}),
        json!({"parallel_tool_calls": true}),
        json!({"parallel_tool_calls": 1}),
        json!({"tool_choice": "perhaps"}),
        json!({"tool_choice": "required"}),
        json!({"tool_choice": 1}),
        json!({"tool_choice": {"type": "x"}}),
        json!({"tool_choice": {"type": "function"}}),
        json!({"tool_choice": {"type": "function", "function": {"name": "g"}}}),
        json!({"function_call": "maybe"}),
        json!({"function_call": 1}),
        json!({"function_call": {"name": "g"}}),
        json!({"messages": null}),
        json!({"messages": "hi"}),
        json!({"messages": []}),
        with_messages(json!(["hi"])),
        with_messages(json!([{"content": "a"}])),
        with_messages(json!([{"role": 1, "content": "a"}])),
        with_messages(json!([{"role": "chef", "content": "a"}])),
        with_messages(json!([{"role": "user", "content": "a", "name": 1}])),
        with_messages(json!([{"role": "user", "content": "a", "kiln": 1}])),
        with_messages(json!([{"role": "user"}])),
        with_messages(json!([{"role": "user", "content": 1}])),
        with_messages(json!([{"role": "user", "content": []}])),
        with_messages(json!([{"role": "user", "content": [1]}])),
        with_messages(json!([{"role": "user", "content": [{"type": "smell"}]}])),
        with_messages(json!([{"role": "user", "content": [{"type": "text"}]}])),
        with_messages(
            json!([{"role": "user", "content": [{"type": "text", "text": "a"}, {"type": "image_url"}]}]),
        ),
        with_messages(json!([{"role": "user", "content": [{"type": "refusal", "refusal": "no"}]}])),
        with_messages(json!([{"role": "assistant"}])),
        with_messages(json!([{"role": "assistant", "content": "a", "kiln": 1}])),
        with_messages(json!([{"role": "assistant", "refusal": 1}])),
        with_messages(json!([{"role": "assistant", "tool_calls": []}])),
        with_messages(json!([{"role": "assistant", "tool_calls": 1}])),
        with_messages(json!([{"role": "assistant", "tool_calls": [{"type": "x"}]}])),
        with_messages(json!([{"role": "assistant", "tool_calls": [{"type": "function"}]}])),
        with_messages(json!([{"role": "assistant", "tool_calls": [{"type": "function", "id": "c"}]}])),
        with_messages(json!([{"role": "assistant", "tool_calls": [call("c"), call("c")]}])),
        with_messages(json!([{"role": "assistant", "tool_calls": [
            {"type": "function", "id": "c", "function": {"name": "f", "arguments": 1}}]}])),
        with_messages(json!([{"role": "assistant", "function_call": {"name": "f"}}])),
        with_messages(json!([{"role": "tool", "content": "a"}])),
        with_messages(json!([{"role": "tool", "content": "a", "tool_call_id": "c"}])),
        with_messages(json!([{"role": "tool", "content": "a", "tool_call_id": "c", "kiln": 1}])),
        with_messages(
            json!([{"role": "assistant", "tool_calls": [call("c")]}, {"role": "tool", "tool_call_id": "c"}]),
        ),
    ]
}

/// Fields for which a completion request is rejected.
fn rejected_completion_fields() -> Vec<Value> {
    vec![
        json!({"kiln": 1}),
        json!({"model": null}),
        json!({"n": 0}),
        json!({"best_of": 2}),
        json!({"best_of": 0}),
        json!({"suffix": "s"}),
        json!({"logprobs": 1}),
        json!({"prompt": null}),
        json!({"prompt": 1}),
        json!({"prompt": []}),
        json!({"prompt": [1, 2]}),
        json!({"prompt": [[1]]}),
        json!({"prompt": ["a", {}]}),
        json!({"prompt": ["a", "b", "c"], "n": 3}),
        json!({"max_tokens": 0}),
        json!({"echo": 1}),
        json!({"stream": 1}),
    ]
}

/// Fields for which a request for a response is rejected.
fn rejected_response_fields() -> Vec<Value> {
    vec![
        json!({"kiln": 1}),
        json!({"model": null}),
        json!({"temperature": 3}),
        json!({"conversation": "c"}),
        json!({"prompt": {}}),
        json!({"top_logprobs": 1}),
        json!({"max_tool_calls": 1}),
        json!({"context_management": {}}),
        json!({"background": true}),
        json!({"include": 1}),
        json!({"include": [1]}),
        json!({"truncation": "auto"}),
        json!({"truncation": "much"}),
        json!({"service_tier": "flex"}),
        json!({"service_tier": "gold"}),
        json!({"user": 1}),
        json!({"prompt_cache_key": 1}),
        json!({"metadata": 1}),
        json!({"stream_options": {}}),
        json!({"stream": true, "stream_options": {"include_usage": true}}),
        json!({"reasoning": 1}),
        json!({"reasoning": {"kiln": 1}}),
        json!({"reasoning": {"effort": "huge"}}),
        json!({"text": 1}),
        json!({"text": {"kiln": 1}}),
        json!({"text": {"verbosity": "loud"}}),
        json!({"text": {"format": 1}}),
        json!({"text": {"format": {"type": "xml"}}}),
        json!({"text": {"format": {"type": "json_schema"}}}),
        json!({"text": {"format": {"type": "json_schema", "name": "a"}}}),
        json!({"tools": 1}),
        json!({"tools": [1]}),
        json!({"tools": [{}]}),
        json!({"tools": [{"type": "web_search"}]}),
        json!({"tools": [{"type": "function", "name": "f", "kiln": 1}]}),
        json!({"tools": [{"type": "function", "name": "f", "parameters": 1}]}),
        json!({"tools": [{"type": "function"}]}),
        json!({"tool_choice": "required"}),
        json!({"tool_choice": {"type": "function"}}),
        json!({"tool_choice": {"type": "function", "name": "g"}}),
        json!({"parallel_tool_calls": 1}),
        json!({"instructions": 1}),
        json!({"input": null}),
        json!({"input": 1}),
        json!({"input": []}),
        with_input_item(json!(1)),
        with_input_item(json!({"type": 1})),
        with_input_item(json!({"type": "web_search_call"})),
        with_input_item(json!({"content": "a"})),
        with_input_item(json!({"role": "tool", "content": "a"})),
        with_input_item(json!({"role": "user"})),
        with_input_item(json!({"role": "user", "content": 1})),
        with_input_item(json!({"role": "user", "content": [1]})),
        with_input_item(json!({"role": "user", "content": [{"type": "smell"}]})),
        with_input_item(json!({"role": "user", "content": [{"type": "input_text"}]})),
        with_input_item(json!({"role": "user", "content": [{"type": "input_image"}]})),
        with_input_item(json!({"role": "assistant", "content": [{"type": "refusal"}]})),
        with_input_item(json!({"type": "function_call"})),
        with_input_item(json!({"type": "function_call", "call_id": "c", "name": "a b"})),
        with_input_item(json!({"type": "function_call", "call_id": "c", "name": "f"})),
        with_input_item(json!({"type": "function_call_output"})),
        with_input_item(json!({"type": "function_call_output", "call_id": "c"})),
        json!({"previous_response_id": 1}),
        json!({"max_output_tokens": 0}),
        json!({"store": 1}),
    ]
}

#[test]
fn rejected_fields_give_the_status_code_param_and_message_of_the_golden_file() {
    let mut text = String::new();
    for (kind, cases) in [
        ("chat", rejected_chat_fields()),
        ("completion", rejected_completion_fields()),
        ("response", rejected_response_fields()),
    ] {
        for fields in cases {
            let error =
                parse_result(kind, request_body(kind, &fields)).expect_err("a request with an invalid field");
            // Shortens the strings that exceed a length limit, to keep the golden file readable.
            let fields = fields.to_string().replace(&"x".repeat(60), "[60 x]");
            writeln!(text, "{kind} {fields}\n  {error}").expect("write to a String");
        }
    }
    let too_many = json!(vec![json!({"role": "user", "content": "a"}); 2_049]);
    for (kind, fields) in [
        ("chat", json!({"messages": too_many})),
        ("response", json!({"input": too_many})),
        ("chat", json!({"tools": vec![json!({}); 129]})),
    ] {
        let error =
            parse_result(kind, request_body(kind, &fields)).expect_err("a request with too many entries");
        writeln!(text, "{kind} with too many\n  {error}").expect("write to a String");
    }
    for kind in ["chat", "completion", "response"] {
        writeln!(
            text,
            "{kind} []\n  {}",
            parse_result(kind, json!([])).expect_err("a body that is not an object")
        )
        .expect("write to a String");
    }
    assert_golden("refusals.txt", &text);
}

#[test]
fn unparsable_bodies_and_events_give_the_errors_of_the_golden_file() {
    let mut text = String::new();
    for body in [
        &b""[..],
        b"{",
        b"[1]",
        b"{\"a\": [[[[1]]]]}",
        b"{\"a\": \"[[[[[[\\\"[\"}",
        b"{\"a\": \"\xff\"}",
        b"{\"a\": 01}",
        b"{\"a\": 1} x",
    ] {
        let parse_result = match parse_body(body, MAX_DEPTH) {
            Ok(value) => value.to_string(),
            Err(error) => format!("{} {}", error.status, error.envelope()),
        };
        writeln!(text, "{}\n  {parse_result}", String::from_utf8_lossy(body)).expect("write to a String");
    }
    let oversized_event = format!("data: {}", "x".repeat(1 << 20));
    for (fault, stream) in [("no JSON", "data: nonsense\n\n"), ("too long", &oversized_event)] {
        let error =
            EventParser::default().push(stream.as_bytes(), &mut Vec::new()).expect_err("an invalid event");
        writeln!(text, "event: {fault}\n  {} {}", error.status, error.envelope()).expect("write to a String");
    }
    assert_golden("unreadable.txt", &text);
}

/// Accepted requests of all three kinds, with the fields in which the kinds differ.
fn accepted_requests() -> Vec<(&'static str, Value)> {
    let function = json!({"name": "f", "description": "d", "parameters": {"type": "object"}, "strict": true});
    let mut tool = function.clone();
    tool["type"] = json!("function");
    let call = json!({"id": "c", "type": "function", "function": {"name": "f", "arguments": "{\"a\":1}"}});
    vec![
        ("chat", json!({})),
        (
            "chat",
            json!({"n": 3, "stream": true, "stream_options": {"include_usage": true}, "temperature": 0.5,
            "max_completion_tokens": 7, "stop": ["a", "b"], "seed": -4, "logit_bias": {"50": -100},
            "user": "u", "metadata": {"k": "v"}, "logprobs": true, "top_logprobs": 2,
            "response_format": {"type": "json_schema", "json_schema": {"name": "a", "schema": {}}},
            "modalities": ["text"], "service_tier": "auto", "reasoning_effort": "low", "verbosity": "low",
            "prediction": {"type": "content", "content": "p"}, "prompt_cache_key": "k"}),
        ),
        (
            "chat",
            json!({"max_tokens": 5, "tools": [{"type": "function", "function": function.clone()}],
            "tool_choice": {"type": "function", "function": {"name": "f"}}, "parallel_tool_calls": false,
            "messages": [{"role": "system", "content": "s"}, {"role": "developer", "content": "d"},
                {"role": "user", "content": [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}],
                    "name": "u"},
                {"role": "assistant", "content": null, "tool_calls": [call]},
                {"role": "tool", "tool_call_id": "c", "content": "42"},
                {"role": "assistant", "refusal": "no"},
                {"role": "assistant", "function_call": {"name": "f", "arguments": "{}"}},
                {"role": "function", "name": "f", "content": "43"}]}),
        ),
        ("chat", json!({"functions": [function.clone()], "function_call": {"name": "f"}})),
        (
            "completion",
            json!({"prompt": ["a", "b"], "n": 2, "echo": true, "max_tokens": 9, "stop": "x",
            "temperature": 1, "top_p": 0.5, "presence_penalty": 1, "frequency_penalty": -1, "seed": 3,
            "user": "u", "best_of": 1, "stream": true, "stream_options": {"include_obfuscation": false}}),
        ),
        ("response", json!({})),
        (
            "response",
            json!({"instructions": "be short", "max_output_tokens": 11, "stream": true, "store": false,
            "previous_response_id": "resp_1", "temperature": 0.25, "tools": [tool],
            "tool_choice": {"type": "function", "name": "f"}, "parallel_tool_calls": true,
            "reasoning": {"effort": "low", "summary": "auto"}, "metadata": {"k": "v"}, "user": "u",
            "text": {"format": {"type": "json_schema", "name": "a", "schema": {}}, "verbosity": "low"},
            "include": ["x"], "truncation": "disabled",
            "input": [{"role": "user", "content": [{"type": "input_text", "text": "a"}]},
                {"type": "message", "role": "assistant",
                    "content": [{"type": "output_text", "text": "b"}, {"type": "refusal", "refusal": "c"}]},
                {"type": "function_call", "call_id": "c", "name": "f", "arguments": "{}"},
                {"type": "function_call_output", "call_id": "c", "output": "42"}]}),
        ),
        ("response", json!({"text": {"format": {"type": "json_object"}}, "tool_choice": "auto"})),
    ]
}

#[test]
fn accepted_requests_are_sent_to_servers_as_in_the_golden_file() {
    let mut text = String::new();
    for (kind, fields) in accepted_requests() {
        let mut accepted_request = parse_result(kind, request_body(kind, &fields)).expect("a valid request");
        writeln!(text, "{kind} {fields}").expect("write to a String");
        writeln!(
            text,
            "  model={} stream={} include_usage={} max_tokens={:?} choices={} echo={} store={}",
            accepted_request.model,
            accepted_request.stream,
            accepted_request.include_usage,
            accepted_request.max_tokens,
            accepted_request.choices_per_prompt,
            accepted_request.echo,
            accepted_request.store
        )
        .expect("write to a String");
        writeln!(text, "  prompts={}", prompts_json(&accepted_request.prompts)).expect("write to a String");
        writeln!(
            text,
            "  previous={:?} input={}",
            accepted_request.previous_response_id,
            json!(accepted_request.input_items)
        )
        .expect("write to a String");
        for choice_index in 0..accepted_request.choice_count() {
            writeln!(text, "  part {choice_index}: {}", accepted_request.server_body(choice_index))
                .expect("write to a String");
        }
        if kind == "response" {
            let earlier_items = [json!({"role": "user", "content": "q"}), json!({"type": "reasoning"})];
            accepted_request.prepend_items(&earlier_items);
            writeln!(
                text,
                "  going on: {} {}",
                prompts_json(&accepted_request.prompts),
                json!(accepted_request.input_items)
            )
            .expect("write to a String");
        }
    }
    assert_golden("accepted.txt", &text);
}

/// Server events as `(choice, event)`: text for two choices, a refusal, split tool calls, log probabilities, finish
/// reasons, usage and an event without choices.
fn server_events(finish: &str) -> Vec<(usize, Value)> {
    let delta = |delta: Value| {
        json!({"id": "s", "choices": [{"index": 0, "delta": delta, "logprobs": null,
        "finish_reason": null}]})
    };
    let usage = json!({"prompt_tokens": 5, "completion_tokens": 2, "total_tokens": 7,
        "prompt_tokens_details": {"cached_tokens": 3}});
    vec![
        (0, delta(json!({"role": "assistant", "content": "Yes"}))),
        (1, delta(json!({"content": "No"}))),
        (
            0,
            json!({"choices": [{"index": 0, "delta": {"content": ", "},
            "logprobs": {"content": [{"token": ", ", "logprob": -0.5}]}, "finish_reason": null}]}),
        ),
        (1, delta(json!({"refusal": "I can't"}))),
        (
            0,
            delta(json!({"tool_calls": [{"index": 0, "id": "call_a", "type": "function",
            "function": {"name": "fire", "arguments": ""}}]})),
        ),
        (
            0,
            delta(json!({"tool_calls": [{"index": 0, "function": {"arguments": "{\"cone\""}},
            {"index": 1, "id": "call_b", "function": {"name": "glaze", "arguments": "{}"}}]})),
        ),
        (0, delta(json!({"tool_calls": [{"index": 0, "function": {"arguments": ":6}"}}]}))),
        (0, delta(json!({"content": "Friday"}))),
        (0, delta(json!({}))),
        (1, json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]})),
        (0, json!({"choices": [{"index": 0, "delta": {}, "finish_reason": finish}]})),
        (0, json!({"choices": [], "usage": usage})),
        (1, json!({"choices": [{"index": 0, "delta": {}}], "usage": usage})),
        (0, json!({"other": true})),
    ]
}

/// The requests, as `(kind, fields)`, whose streams and answers are compared with the golden files.
fn answered_requests() -> Vec<(&'static str, Value)> {
    vec![
        ("chat", json!({"n": 2, "stream": true})),
        ("chat", json!({"n": 2, "stream": true, "stream_options": {"include_usage": true}})),
        ("completion", json!({"prompt": ["a ", "b "], "echo": true, "stream": true})),
        ("response", json!({"stream": true})),
        (
            "response",
            json!({"instructions": "be short", "max_output_tokens": 11, "stream": true, "store": false,
            "temperature": 0.25, "reasoning": {"effort": "low"}, "metadata": {"k": "v"}, "user": "u",
            "tool_choice": "none", "parallel_tool_calls": false, "top_p": 0.5,
            "text": {"format": {"type": "text"}}, "previous_response_id": "resp_1"}),
        ),
    ]
}

#[test]
fn streams_and_answers_are_written_as_in_the_golden_file() {
    let mut text = String::new();
    for finish in ["tool_calls", "length"] {
        for (kind, fields) in answered_requests() {
            let accepted_request = parse_result(kind, request_body(kind, &fields)).expect("a valid request");
            let (mut writer, mut cut) = (
                StreamWriter::new(&accepted_request, metadata()),
                StreamWriter::new(&accepted_request, metadata()),
            );
            let (mut collected, mut cut_text) = (CollectedAnswer::default(), cut.open());
            writeln!(text, "=== {kind} {fields}, ends with {finish}").expect("write to a String");
            text += &writer.open();
            for (choice, event) in server_events(finish) {
                let choice = choice.min(accepted_request.choice_count() - 1);
                text += &writer.event(choice, &event);
                cut_text += &cut.event(choice, &event);
                collected.push(choice, &event);
            }
            text += &writer.close();
            cut_text += &cut.fail("stream_cut", "the server's stream broke");
            writeln!(text, "--- cut\n{cut_text}").expect("write to a String");
            writeln!(text, "--- whole\n{}", collected.chat(&metadata())).expect("write to a String");
            writeln!(text, "{}", collected.completion(&metadata(), |choice| format!("<{choice}>")))
                .expect("write to a String");
            if kind == "response" {
                writeln!(
                    text,
                    "{}\n{}",
                    writer.response().expect("a response"),
                    json!(writer.output_items())
                )
                .expect("write to a String");
            }
            writeln!(text, "--- bytes {} {}", collected.text_bytes(), writer.text_bytes())
                .expect("write to a String");
        }
    }
    assert_golden("answers.txt", &text);
}

#[test]
fn answers_without_any_event_are_written_as_in_the_golden_file() {
    let mut text = String::new();
    for (kind, fields) in answered_requests() {
        let accepted_request = parse_result(kind, request_body(kind, &fields)).expect("a valid request");
        let mut writer = StreamWriter::new(&accepted_request, metadata());
        writeln!(text, "=== {kind} {fields}\n{}{}", writer.open(), writer.close())
            .expect("write to a String");
        if kind == "response" {
            writeln!(text, "{}", writer.response().expect("a response")).expect("write to a String");
        }
    }
    let empty_answer = CollectedAnswer::default();
    writeln!(
        text,
        "{}\n{}",
        empty_answer.chat(&metadata()),
        empty_answer.completion(&metadata(), |_| String::new())
    )
    .expect("write to a String");
    assert_golden("empty_answers.txt", &text);
}

#[test]
fn events_are_parsed_with_comments_crlf_and_several_data_lines() {
    let stream = ": load 3\n\nevent: x\ndata: {\"a\":\ndata: 1}\r\n\n\ndata:{\"b\":2}\n\ndata: [DONE]\n\ndata: {\"c\":3}";
    let (mut events, mut parsed_events, mut text) = (EventParser::default(), Vec::new(), String::new());
    events.push(stream.as_bytes(), &mut parsed_events).expect("events of valid JSON");
    events.finish(&mut parsed_events).expect("a last event of valid JSON");
    for event in parsed_events {
        match event {
            ServerEvent::Data(value) => writeln!(text, "{value}").expect("write to a String"),
            ServerEvent::Done => writeln!(text, "done").expect("write to a String"),
        }
    }
    assert_golden("events.txt", &text);
}
