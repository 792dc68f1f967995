//! Detection of request boundaries on a connection, and of requests whose body length is ambiguous.

use dewladder::edge::clients::framing::*;
use proptest::prelude::*;

#[test]
fn repeated_conflicting_or_invalid_lengths_are_ambiguous() {
    let head = |lines: &str| format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    for (lines, expected) in [
        ("", BodyFraming::KnownLength),
        ("Content-Length: 5\r\n", BodyFraming::KnownLength),
        ("Transfer-Encoding: chunked\r\n", BodyFraming::Chunked),
        ("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", BodyFraming::Ambiguous),
        ("content-length: 5\r\ntransfer-encoding: chunked\r\n", BodyFraming::Ambiguous),
        ("Content-Length: 5\r\nContent-Length: 5\r\n", BodyFraming::Ambiguous),
        ("Content-Length: 5, 5\r\n", BodyFraming::Ambiguous),
        ("Content-Length: -5\r\n", BodyFraming::Ambiguous),
        ("Content-Length: +5\r\n", BodyFraming::Ambiguous),
        ("Content-Length:\r\n", BodyFraming::Ambiguous),
        ("Content-Length: 99999999999999999999999\r\n", BodyFraming::Ambiguous),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", BodyFraming::Ambiguous),
    ] {
        let mut framing = RequestFraming::default();
        framing.push(head(lines).as_bytes());
        assert_eq!(framing.next_body_framing(), expected, "{lines}");
    }
}

#[test]
fn the_end_of_a_malformed_chunked_body_is_not_known() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for body in [
        "zz\r\n",
        "\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "1234567890abcdef0\r\n",
        "0\r\n\n",
    ] {
        let mut framing = RequestFraming::default();
        let text = format!("{head}{body}POST / HTTP/1.1\r\n\r\n");
        framing.push(text.as_bytes());
        assert_eq!(framing.next_body_framing(), BodyFraming::Chunked);
        assert_eq!(
            framing.next_body_framing(),
            BodyFraming::Ambiguous,
            "{body:?}: no further request is known"
        );
        assert!(framing.is_within_request(), "{body:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn request_boundaries_are_found_in_any_fragmentation(
        bodies in prop::collection::vec(0usize..200, 1..6),
        chunk_bytes in prop::collection::vec(0usize..40, 6),
        cuts in prop::collection::vec(1usize..90, 1..60),
        ambiguous_last in any::<bool>(),
    ) {
        let mut text = Vec::new();
        // With a chunk size of 0 the length of the body is stated instead.
        for (body, &chunk_bytes) in bodies.iter().zip(&chunk_bytes) {
            if chunk_bytes == 0 {
                text.extend(format!("POST / HTTP/1.1\r\nContent-Length: {body}\r\n\r\n").bytes());
                text.extend(std::iter::repeat_n(b'\n', *body));
                continue;
            }
            text.extend(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
            for chunk in vec![b'\n'; *body].chunks(chunk_bytes) {
                text.extend(format!("{:x}{}\r\n", chunk.len(), if body % 2 == 0 { ";a=b" } else { "" }).bytes());
                text.extend(chunk);
                text.extend(b"\r\n");
            }
            text.extend(if body % 3 == 0 { &b"0\r\nX-Trailer: a\r\n\r\n"[..] } else { &b"0\r\n\r\n"[..] });
        }
        if ambiguous_last {
            text.extend(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0");
        }
        let mut framing = RequestFraming::default();
        let (mut rest, mut cuts) = (&text[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (piece, remaining) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            framing.push(piece);
            rest = remaining;
        }
        for (_, &chunk_bytes) in bodies.iter().zip(&chunk_bytes) {
            let expected = if chunk_bytes == 0 { BodyFraming::KnownLength } else { BodyFraming::Chunked };
            prop_assert_eq!(framing.next_body_framing(), expected);
        }
        prop_assert_eq!(framing.next_body_framing(), BodyFraming::Ambiguous, "the ambiguous request, or none");
        prop_assert_eq!(framing.is_within_request(), ambiguous_last);
    }
}
