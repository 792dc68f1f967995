//! Answers that break wherever they may, against servers that go on, begin anew, or say something else.

use dewladder_resume::{Event, Micros, Mode, Passed, Policy, Shape, Stream, Then, Why};
use proptest::prelude::*;

fn policy(mode: Mode) -> Policy {
    Policy { mode, most: 4, within: 10_000_000, most_text: 64 << 10 }
}

const ASK: Shape = Shape { may_repeat: true, more_than_text: false, max_tokens: 10_000 };

fn event(text: &str) -> Event<'_> {
    Event { text, more: false, finishes: false }
}

/// The words of an answer, cut into events by these lengths: a server may cut them otherwise each time.
fn pieces(words: &str, lengths: &[usize]) -> Vec<String> {
    let (mut rest, mut pieces, mut at) = (words, Vec::new(), 0);
    while !rest.is_empty() {
        let wanted = lengths[at % lengths.len()].max(1);
        let end = rest.char_indices().map(|(at, _)| at).chain([rest.len()]).nth(wanted).unwrap_or(rest.len());
        let (piece, then) = rest.split_at(end);
        pieces.push(piece.to_owned());
        (rest, at) = (then, at + 1);
    }
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever breaks and wherever, the client has the whole text once, or an error, and never a doubled word.
    #[test]
    fn one_text_without_a_gap_and_nothing_twice(
        words in "[ก-ฮa-c é]{1,60}",
        lengths in prop::collection::vec(1usize..7, 1..6),
        breaks in prop::collection::vec(0usize..20, 0..7),
        restarts in any::<bool>(),
    ) {
        let mode = if restarts { Mode::Restart } else { Mode::Continue };
        let mut stream = Stream::new(policy(mode), ASK);
        let (mut had, mut breaks, mut from, mut now): (String, _, usize, Micros) =
            (String::new(), breaks.into_iter(), 0, 1_000);
        let whole = 'parts: loop {
            let rest = if restarts { &words[..] } else { &words[from..] };
            let part = pieces(rest, &lengths);
            let breaks_at = breaks.next().filter(|&at| at < part.len());
            for (at, piece) in part.iter().enumerate() {
                if breaks_at == Some(at) {
                    now += 1_000;
                    match stream.broke(now) {
                        Then::Ask { text, .. } => {
                            prop_assert_eq!(&text, &had, "a server is told what the client has had");
                            from = had.len();
                            continue 'parts;
                        }
                        Then::Cut(why) => {
                            prop_assert_eq!(why, Why::Spent);
                            break 'parts false;
                        }
                        Then::Full { .. } => prop_assert!(false, "far from full"),
                    }
                }
                match stream.event(event(piece)) {
                    Passed::Whole => had.push_str(piece),
                    Passed::Text(text) => had.push_str(&text),
                    Passed::Nothing => {}
                    Passed::Cut(why) => prop_assert!(false, "{:?}", why),
                }
                prop_assert!(words.starts_with(&had), "a gap or a doubled word: {:?}", had);
            }
            prop_assert!(stream.ended());
            break true;
        };
        prop_assert!(!whole || had == words);
        prop_assert!(stream.tried() <= 4);
    }

    /// A server that begins anew with other words is found out before the client sees one of them.
    #[test]
    fn other_words_are_found_out(words in "[ab]{2,30}", other in "[ab]{2,30}", at in 1usize..29) {
        let at = at.min(words.len() - 1);
        prop_assume!(!other.starts_with(&words[..at]));
        let mut stream = Stream::new(policy(Mode::Restart), ASK);
        prop_assert_eq!(stream.event(event(&words[..at])), Passed::Whole);
        prop_assert!(matches!(stream.broke(5), Then::Ask { .. }), "asks again");
        let mut found = false;
        for piece in pieces(&other, &[1]) {
            match stream.event(event(&piece)) {
                Passed::Nothing => {}
                Passed::Cut(Why::Diverged) => {
                    found = true;
                    break;
                }
                passed => prop_assert!(false, "{:?}", passed),
            }
        }
        prop_assert!(found || !stream.ended(), "it stopped within what the client had");
    }
}

#[test]
fn what_must_not_run_again_or_is_more_than_text_does_not_go_on() {
    let cut = |shape: Shape, event: Event<'_>| {
        let mut stream = Stream::new(policy(Mode::Continue), shape);
        stream.event(event);
        stream.broke(1)
    };
    assert_eq!(cut(Shape { may_repeat: false, ..ASK }, event("a")), Then::Cut(Why::Once));
    assert_eq!(cut(Shape { more_than_text: true, ..ASK }, event("a")), Then::Cut(Why::NotText));
    assert_eq!(cut(ASK, Event { more: true, ..event("") }), Then::Cut(Why::NotText));
    let long = "x".repeat(65 << 10);
    assert_eq!(cut(ASK, event(&long)), Then::Cut(Why::TooLong));
    assert_eq!(
        cut(ASK, Event { finishes: true, ..event("a") }),
        Then::Full { tell: false },
        "all of it has come"
    );
    assert_eq!(
        cut(Shape { max_tokens: 1, ..ASK }, event("a")),
        Then::Full { tell: true },
        "as many tokens as it may have"
    );
}

#[test]
fn the_rest_is_asked_for_within_bounds_of_number_time_and_tokens() {
    let mut stream = Stream::new(policy(Mode::Continue), Shape { max_tokens: 10, ..ASK });
    for _ in 0..3 {
        stream.event(event("word "));
    }
    let asked = |max_tokens, text: &str| Then::Ask { text: text.to_owned(), max_tokens, until: 10_000_100 };
    assert_eq!(stream.broke(100), asked(7, "word word word "));
    assert_eq!(stream.not_begun(2_000_000, Some(1_000_000)), asked(7, "word word word "));
    assert_eq!(
        stream.not_begun(9_500_000, Some(1_000_000)),
        Then::Cut(Why::NoServer),
        "no time is left to come back"
    );
    assert_eq!(stream.broke(10_000_100), Then::Cut(Why::Spent));
    let mut stream = Stream::new(policy(Mode::Continue), ASK);
    let asked = (0..9).filter(|_| matches!(stream.broke(5), Then::Ask { .. })).count();
    assert_eq!(asked, 4);
    assert_eq!(stream.not_begun(6, None), Then::Cut(Why::NoServer));
}

#[test]
fn a_server_that_goes_on_after_its_end_is_not_passed_on() {
    let mut stream = Stream::new(policy(Mode::Continue), ASK);
    assert_eq!(stream.event(Event { finishes: true, ..event("end") }), Passed::Whole);
    assert_eq!(stream.event(event("more")), Passed::Nothing);
}
