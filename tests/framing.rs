//! Where requests end on a connection.

use dewladder::edge::clients::framing::*;
use proptest::prelude::*;

#[test]
fn lengths_that_are_told_twice_in_two_ways_or_as_no_number_are_odd() {
    let head = |lines: &str| format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    for (lines, expected) in [
        ("", Verdict::Plain),
        ("Content-Length: 5\r\n", Verdict::Plain),
        ("Transfer-Encoding: chunked\r\n", Verdict::Last),
        ("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", Verdict::Odd),
        ("content-length: 5\r\ntransfer-encoding: chunked\r\n", Verdict::Odd),
        ("Content-Length: 5\r\nContent-Length: 5\r\n", Verdict::Odd),
        ("Content-Length: 5, 5\r\n", Verdict::Odd),
        ("Content-Length: -5\r\n", Verdict::Odd),
        ("Content-Length: +5\r\n", Verdict::Odd),
        ("Content-Length:\r\n", Verdict::Odd),
        ("Content-Length: 99999999999999999999999\r\n", Verdict::Odd),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Verdict::Odd),
    ] {
        let mut framing = Framing::default();
        framing.take(head(lines).as_bytes());
        assert_eq!(framing.verdict(), expected, "{lines}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Requests are found where they are, in whatever pieces they come.
    #[test]
    fn pieces_change_nothing(
        bodies in prop::collection::vec(0usize..200, 1..6),
        cuts in prop::collection::vec(1usize..90, 1..60),
        odd_at_last in any::<bool>(),
    ) {
        let mut text = Vec::new();
        for body in &bodies {
            text.extend(format!("POST / HTTP/1.1\r\nContent-Length: {body}\r\n\r\n").bytes());
            text.extend(std::iter::repeat_n(b'\n', *body));
        }
        if odd_at_last {
            text.extend(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0");
        }
        let mut framing = Framing::default();
        let (mut rest, mut cuts) = (&text[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (now, then) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            framing.take(now);
            rest = then;
        }
        for _ in &bodies {
            prop_assert_eq!(framing.verdict(), Verdict::Plain);
        }
        prop_assert_eq!(framing.verdict(), Verdict::Odd, "the odd one, or one that never came");
        prop_assert_eq!(framing.within(), odd_at_last);
    }
}
