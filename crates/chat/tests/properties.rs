//! Property tests: JSON of any shape as a request, streams split at any points, and the bounds of the response store.

use std::collections::BTreeMap;

use dewladder_chat::{
    AnswerMetadata, CollectedAnswer, EventParser, Limits, Request, ResponseStore, ServerEvent,
    StoredResponse, StreamWriter,
};
use proptest::prelude::*;
use serde_json::{json, Value};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// JSON of any shape, whose field names are those of requests and server events.
fn any_json() -> impl Strategy<Value = Value> {
    const NAMES: [&str; 24] = [
        "model",
        "messages",
        "role",
        "content",
        "type",
        "text",
        "tools",
        "function",
        "name",
        "tool_calls",
        "id",
        "arguments",
        "choices",
        "delta",
        "index",
        "finish_reason",
        "usage",
        "logprobs",
        "input",
        "prompt",
        "stream",
        "stop",
        "n",
        "response_format",
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        prop::sample::select(vec![
            "user",
            "assistant",
            "tool",
            "text",
            "function",
            "m",
            "",
            "auto",
            "json_schema"
        ])
        .prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 48, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(prop::sample::select(NAMES.to_vec()), inner, 0..6).prop_map(
                |fields| fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
            ),
        ]
    })
}

proptest! {
    #![proptest_config(config(3_000))]

    /// A body of any shape is either accepted, and then converted to a server body for each choice, or rejected with a
    /// status, code and message. `has_required_fields` sets the fields that a chat request requires, so that some
    /// bodies get past these checks.
    #[test]
    fn a_request_of_any_shape_is_accepted_or_rejected(mut body in any_json(), has_required_fields in any::<bool>()) {
        if let Some(fields) = body.as_object_mut().filter(|_| has_required_fields) {
            fields.insert("model".to_owned(), json!("m"));
            fields.entry("messages").or_insert(json!([{"role": "user", "content": "a"}]));
        }
        let limits = Limits::default();
        for result in [
            Request::chat(body.clone(), &limits),
            Request::completion(body.clone(), &limits),
            Request::response(body.clone(), &limits),
        ] {
            match result {
                Ok(request) => {
                    prop_assert!(request.choice_count() >= 1 && request.choice_count() as u64 <= limits.max_choices);
                    for choice in 0..request.choice_count() {
                        let forwarded = request.server_body(choice);
                        prop_assert_eq!(&forwarded["stream"], &json!(true));
                        prop_assert!(forwarded["messages"].as_array().is_some_and(|messages| !messages.is_empty()));
                        prop_assert!(forwarded.get("n").is_none());
                    }
                }
                Err(error) => prop_assert!(!error.message.is_empty() && !error.code.is_empty() && error.status == 400),
            }
        }
    }

    /// Events are parsed whole wherever the stream is split, and writers accept events of any shape without panicking.
    #[test]
    fn events_are_parsed_whole_wherever_the_stream_is_split(
        events in prop::collection::vec(any_json(), 0..6),
        piece_lengths in prop::collection::vec(1usize..40, 1..8),
    ) {
        let text: String = events.iter().map(|event| format!(": load\n\ndata: {event}\n\n")).collect();
        let (mut rest, mut piece_lengths, mut parsed) =
            (text.as_bytes(), piece_lengths.into_iter().cycle(), Vec::new());
        let mut parser = EventParser::default();
        while !rest.is_empty() {
            let (piece, remaining) = rest.split_at(piece_lengths.next().unwrap_or(1).min(rest.len()));
            parser.push(piece, &mut parsed).expect("events of valid JSON");
            rest = remaining;
        }
        parser.finish(&mut parsed).expect("no incomplete event is left");
        let expected: Vec<ServerEvent> = events.iter().cloned().map(ServerEvent::Data).collect();
        prop_assert_eq!(&parsed, &expected);
        let metadata = || AnswerMetadata { id: "1".to_owned(), model: "m".to_owned(), created_unix_s: 1 };
        let limits = Limits::default();
        let requests = [
            Request::chat(json!({"model": "m", "messages": [{"role": "user", "content": "a"}]}), &limits),
            Request::completion(json!({"model": "m", "prompt": "a"}), &limits),
            Request::response(json!({"model": "m", "input": "a"}), &limits),
        ];
        for request in requests {
            let request = request.expect("a valid request");
            let (mut writer, mut collected) = (StreamWriter::new(&request, metadata()), CollectedAnswer::default());
            let mut written = writer.open();
            for event in &events {
                written += &writer.event(0, event);
                collected.push(0, event);
            }
            written += &writer.close();
            prop_assert!(written.is_empty() || written.ends_with("\n\n"));
            drop((collected.chat(&metadata()), writer.response()));
        }
    }

    /// Compares the store with a map that evicts nothing. The bound on the total size holds, and a response that is
    /// found is the latest one that the same tenant stored under the id.
    #[test]
    fn the_response_store_keeps_its_bounds_and_tenants_apart(
        steps in prop::collection::vec((0u32..3, 0usize..8, 0u8..6, 1usize..900), 1..120),
    ) {
        let mut store = ResponseStore::new(9_000, 4_000);
        let mut expected_responses: BTreeMap<(u32, String), Value> = BTreeMap::new();
        for (tenant, id, operation, size) in steps {
            let name = format!("resp_{id}");
            match operation {
                0..=2 => {
                    let response = json!({"id": name, "of": tenant, "text": "x".repeat(size)});
                    let stored = StoredResponse { response: response.clone(), items: vec![json!({"size": size})] };
                    prop_assert!(store.insert(tenant, &name, stored));
                    expected_responses.insert((tenant, name.clone()), response);
                    prop_assert!(store.get(tenant, &name).is_some(), "the response that was just stored is missing");
                }
                3 | 4 => {
                    if let Some(stored) = store.get(tenant, &name) {
                        prop_assert_eq!(
                            Some(&stored.response),
                            expected_responses.get(&(tenant, name)),
                            "a response of another tenant, or an outdated one"
                        );
                    }
                }
                _ => {
                    store.remove(tenant, &name);
                    expected_responses.remove(&(tenant, name.clone()));
                    prop_assert!(store.get(tenant, &name).is_none());
                }
            }
            let store_stats = store.stats();
            prop_assert!(store_stats.bytes <= 9_000 && store_stats.responses <= expected_responses.len());
        }
        let oversized = StoredResponse { response: json!("x".repeat(5_000)), items: Vec::new() };
        let before = store.stats();
        prop_assert!(!store.insert(1, "long", oversized), "a response larger than the tenant's bound was stored");
        prop_assert_eq!(store.stats(), before);
    }
}

#[test]
fn a_tenant_that_floods_the_store_evicts_only_its_own_responses() {
    let mut store = ResponseStore::new(40_000, 30_000);
    let stored = || StoredResponse { response: json!("x".repeat(500)), items: Vec::new() };
    for index in 0..5 {
        assert!(store.insert(1, &format!("a{index}"), stored()));
    }
    for index in 0..1_000 {
        assert!(store.insert(2, &format!("b{index}"), stored()));
    }
    assert!((0..5).all(|index| store.get(1, &format!("a{index}")).is_some()));
    assert!(store.get(2, "b999").is_some() && store.get(2, "b0").is_none());
}
