//! The syntax check of event streams: which bytes are events with data, however the stream is split into pieces.

use dewladder::edge::event_shape::EventStreamValidator;
use proptest::prelude::*;

/// Parts of streams, and whether an event with data ends with each.
const PARTS: [(&str, bool); 12] = [
    ("data: {\"a\":1}\n\n", true),
    ("data:x\r\n\r\n", true),
    ("id: 1\ndata:   x\nevent: y\n\n", true),
    ("data:\ndata: second line\n\n", true),
    ("data: a line that is longer than what is kept of a line's beginning\n\n", true),
    (": waiting\n\n", false),
    (": X-Pressure: TEXT inflight=1\n\n", false),
    ("event: ping\nid: 1\nretry: 5\n\n", false),
    ("data:\n\n", false),
    ("data:      \t                             \r\n\r\n", false),
    ("\n", false),
    ("\r\n", false),
];

/// The position at which the last event with data ends, after each piece of the text.
fn event_ends(text: &str, piece_bytes: usize) -> Option<u64> {
    let mut validator = EventStreamValidator::default();
    let mut last = 0;
    for piece in text.as_bytes().chunks(piece_bytes) {
        last = validator.push(piece)?.max(last);
    }
    Some(last)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_end_of_the_last_event_with_data_is_found_in_any_fragmentation(
        parts in prop::collection::vec(prop::sample::select(&PARTS[..]), 1..8),
        done_at in 0usize..16,
        piece_bytes in 1usize..80,
    ) {
        let (mut text, mut expected, mut has_ended) = (String::new(), 0, false);
        for (at, (part, has_data)) in parts.into_iter().enumerate() {
            if at == done_at {
                text.push_str("data: [DONE]\n\n");
                expected = text.len() as u64;
                has_ended = true;
            }
            text.push_str(part);
            if has_data && !has_ended {
                expected = text.len() as u64;
            }
        }
        prop_assert_eq!(event_ends(&text, piece_bytes), Some(expected), "{:?}", text);
    }
}

#[test]
fn other_lines_and_events_without_an_end_are_rejected() {
    let endless_event = format!("data: {}", "x".repeat(65 << 10));
    let endless_comment = format!(": {}", "x".repeat(65 << 10));
    for text in ["3d\r\ndata: x\n\n", "HTTP/1.1 200 OK\r\n", "dat\n", &endless_event, &endless_comment] {
        assert_eq!(event_ends(text, 1_000), None, "{}", &text[..text.len().min(30)]);
    }
}
