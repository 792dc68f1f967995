//! Requests of any shape are read or refused, events come whole out of any pieces, and the store keeps its bounds.

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

/// Any JSON, its names those that requests and events have.
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

    /// Whatever comes, it is read, or refused with a code and words; what is read can be sent on.
    #[test]
    fn a_request_of_any_shape_is_read_or_refused(mut body in any_json(), good in any::<bool>()) {
        if let Some(fields) = body.as_object_mut().filter(|_| good) {
            fields.insert("model".to_owned(), json!("m"));
            fields.entry("messages").or_insert(json!([{"role": "user", "content": "a"}]));
        }
        let limits = Limits::default();
        for read in [
            Request::chat(body.clone(), &limits),
            Request::completion(body.clone(), &limits),
            Request::response(body.clone(), &limits),
        ] {
            match read {
                Ok(request) => {
                    prop_assert!(request.choice_count() >= 1 && request.choice_count() as u64 <= limits.max_choices);
                    for choice in 0..request.choice_count() {
                        let sent = request.server_body(choice);
                        prop_assert_eq!(&sent["stream"], &json!(true));
                        prop_assert!(sent["messages"].as_array().is_some_and(|messages| !messages.is_empty()));
                        prop_assert!(sent.get("n").is_none());
                    }
                }
                Err(bad) => prop_assert!(!bad.message.is_empty() && !bad.code.is_empty() && bad.status == 400),
            }
        }
    }

    /// Events of any shape do no harm, and neither does any cut of the stream into pieces.
    #[test]
    fn events_come_whole_out_of_any_pieces(
        events in prop::collection::vec(any_json(), 0..6),
        cuts in prop::collection::vec(1usize..40, 1..8),
    ) {
        let text: String = events.iter().map(|event| format!(": load\n\ndata: {event}\n\n")).collect();
        let (mut rest, mut cuts, mut found) = (text.as_bytes(), cuts.into_iter().cycle(), Vec::new());
        let mut parser = EventParser::default();
        while !rest.is_empty() {
            let (now, then) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            parser.push(now, &mut found).expect("whole events");
            rest = then;
        }
        parser.finish(&mut found).expect("nothing is left");
        let expected: Vec<ServerEvent> = events.iter().cloned().map(ServerEvent::Data).collect();
        prop_assert_eq!(&found, &expected);
        let metadata = || AnswerMetadata { id: "1".to_owned(), model: "m".to_owned(), created_unix_s: 1 };
        let limits = Limits::default();
        let asked = [
            Request::chat(json!({"model": "m", "messages": [{"role": "user", "content": "a"}]}), &limits),
            Request::completion(json!({"model": "m", "prompt": "a"}), &limits),
            Request::response(json!({"model": "m", "input": "a"}), &limits),
        ];
        for request in asked {
            let request = request.expect("a good request");
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

    /// The store against a plain account: bounds hold, a tenant has only its own, and the least recently used are evicted.
    #[test]
    fn the_response_store_keeps_its_bounds_and_tenants_apart(
        steps in prop::collection::vec((0u32..3, 0usize..8, 0u8..6, 1usize..900), 1..120),
    ) {
        let mut store = ResponseStore::new(9_000, 4_000);
        let mut known: BTreeMap<(u32, String), Value> = BTreeMap::new();
        for (tenant, id, what, size) in steps {
            let name = format!("resp_{id}");
            match what {
                0..=2 => {
                    let response = json!({"id": name, "of": tenant, "text": "x".repeat(size)});
                    let kept = StoredResponse { response: response.clone(), items: vec![json!({"size": size})] };
                    prop_assert!(store.insert(tenant, &name, kept));
                    known.insert((tenant, name.clone()), response);
                    prop_assert!(store.get(tenant, &name).is_some(), "what has just been kept is there");
                }
                3 | 4 => {
                    if let Some(kept) = store.get(tenant, &name) {
                        prop_assert_eq!(Some(&kept.response), known.get(&(tenant, name)), "another's, or an older one");
                    }
                }
                _ => {
                    store.remove(tenant, &name);
                    known.remove(&(tenant, name.clone()));
                    prop_assert!(store.get(tenant, &name).is_none());
                }
            }
            let figures = store.stats();
            prop_assert!(figures.bytes <= 9_000 && figures.responses <= known.len());
        }
        let long = StoredResponse { response: json!("x".repeat(5_000)), items: Vec::new() };
        let before = store.stats();
        prop_assert!(!store.insert(1, "long", long), "longer than a tenant's part");
        prop_assert_eq!(store.stats(), before);
    }
}

#[test]
fn a_tenant_that_floods_the_store_evicts_only_its_own_responses() {
    let mut store = ResponseStore::new(40_000, 30_000);
    let kept = || StoredResponse { response: json!("x".repeat(500)), items: Vec::new() };
    for at in 0..5 {
        assert!(store.insert(1, &format!("a{at}"), kept()));
    }
    for at in 0..1_000 {
        assert!(store.insert(2, &format!("b{at}"), kept()));
    }
    assert!((0..5).all(|at| store.get(1, &format!("a{at}")).is_some()));
    assert!(store.get(2, "b999").is_some() && store.get(2, "b0").is_none());
}
