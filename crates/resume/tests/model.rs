//! Answers that break wherever they may, against servers that go on, begin anew, or say something else.

use dewladder_resume::{
    AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Micros, Mode, Policy, ResumableStream,
};
use proptest::prelude::*;

fn policy(mode: Mode) -> Policy {
    Policy { mode, max_resumptions: 4, max_duration_us: 10_000_000, max_text_bytes: 64 << 10 }
}

const ASK: ChoiceTraits = ChoiceTraits { may_rerun: true, wants_more_than_text: false, max_tokens: 10_000 };

fn event(text: &str) -> AnswerEvent<'_> {
    AnswerEvent { text, has_more_than_text: false, is_last: false }
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
    fn wherever_servers_break_off_the_parts_are_one_text_without_a_gap_or_doubled_word(
        words in "[ก-ฮa-c é]{1,60}",
        lengths in prop::collection::vec(1usize..7, 1..6),
        breaks in prop::collection::vec(0usize..20, 0..7),
        restarts in any::<bool>(),
    ) {
        let mode = if restarts { Mode::Restart } else { Mode::Continue };
        let mut stream = ResumableStream::new(policy(mode), ASK);
        let (mut had, mut breaks, mut from, mut now): (String, _, usize, Micros) =
            (String::new(), breaks.into_iter(), 0, 1_000);
        let whole = 'parts: loop {
            let rest = if restarts { &words[..] } else { &words[from..] };
            let part = pieces(rest, &lengths);
            let breaks_at = breaks.next().filter(|&at| at < part.len());
            for (at, piece) in part.iter().enumerate() {
                if breaks_at == Some(at) {
                    now += 1_000;
                    match stream.on_break(now) {
                        BreakDecision::Resume { text, .. } => {
                            prop_assert_eq!(&text, &had, "a server is told what the client has had");
                            from = had.len();
                            continue 'parts;
                        }
                        BreakDecision::Cut(why) => {
                            prop_assert_eq!(why, CutReason::LimitReached);
                            break 'parts false;
                        }
                        BreakDecision::Finished | BreakDecision::TokenLimitReached => prop_assert!(false, "far from full"),
                    }
                }
                match stream.on_event(event(piece)) {
                    Forward::Unchanged => had.push_str(piece),
                    Forward::WithText(text) => had.push_str(&text),
                    Forward::Nothing => {}
                    Forward::Cut(why) => prop_assert!(false, "{:?}", why),
                }
                prop_assert!(words.starts_with(&had), "a gap or a doubled word: {:?}", had);
            }
            prop_assert!(stream.ended_whole());
            break true;
        };
        prop_assert!(!whole || had == words);
        prop_assert!(stream.resumptions() <= 4);
    }

    /// A server that begins anew with other words is found out before the client sees one of them.
    #[test]
    fn a_server_that_restarts_with_other_words_is_found_out_before_the_client_sees_one(words in "[ab]{2,30}", other in "[ab]{2,30}", at in 1usize..29) {
        let at = at.min(words.len() - 1);
        prop_assume!(!other.starts_with(&words[..at]));
        let mut stream = ResumableStream::new(policy(Mode::Restart), ASK);
        prop_assert_eq!(stream.on_event(event(&words[..at])), Forward::Unchanged);
        prop_assert!(matches!(stream.on_break(5), BreakDecision::Resume { .. }), "asks again");
        let mut found = false;
        for piece in pieces(&other, &[1]) {
            match stream.on_event(event(&piece)) {
                Forward::Nothing => {}
                Forward::Cut(CutReason::Diverged) => {
                    found = true;
                    break;
                }
                passed => prop_assert!(false, "{:?}", passed),
            }
        }
        prop_assert!(found || !stream.ended_whole(), "it stopped within what the client had");
    }
}

#[test]
fn what_must_not_rerun_or_is_more_than_text_or_too_long_is_not_resumed() {
    let cut = |traits: ChoiceTraits, event: AnswerEvent<'_>| {
        let mut stream = ResumableStream::new(policy(Mode::Continue), traits);
        stream.on_event(event);
        stream.on_break(1)
    };
    assert_eq!(
        cut(ChoiceTraits { may_rerun: false, ..ASK }, event("a")),
        BreakDecision::Cut(CutReason::AtMostOnce)
    );
    assert_eq!(
        cut(ChoiceTraits { wants_more_than_text: true, ..ASK }, event("a")),
        BreakDecision::Cut(CutReason::MoreThanText)
    );
    assert_eq!(
        cut(ASK, AnswerEvent { has_more_than_text: true, ..event("") }),
        BreakDecision::Cut(CutReason::MoreThanText)
    );
    let long = "x".repeat(65 << 10);
    assert_eq!(cut(ASK, event(&long)), BreakDecision::Cut(CutReason::TooLong));
    assert_eq!(
        cut(ASK, AnswerEvent { is_last: true, ..event("a") }),
        BreakDecision::Finished,
        "all of it has come"
    );
    assert_eq!(
        cut(ChoiceTraits { max_tokens: 1, ..ASK }, event("a")),
        BreakDecision::TokenLimitReached,
        "as many tokens as it may have"
    );
}

#[test]
fn the_rest_is_requested_within_bounds_of_number_time_and_tokens() {
    let mut stream = ResumableStream::new(policy(Mode::Continue), ChoiceTraits { max_tokens: 10, ..ASK });
    for _ in 0..3 {
        stream.on_event(event("word "));
    }
    let asked = |max_tokens, text: &str| BreakDecision::Resume {
        text: text.to_owned(),
        max_tokens,
        deadline_us: 10_000_100,
    };
    assert_eq!(stream.on_break(100), asked(7, "word word word "));
    assert_eq!(stream.on_resume_failed(2_000_000, Some(1_000_000)), asked(7, "word word word "));
    assert_eq!(
        stream.on_resume_failed(9_500_000, Some(1_000_000)),
        BreakDecision::Cut(CutReason::NoServer),
        "no time is left to come back"
    );
    assert_eq!(stream.on_break(10_000_100), BreakDecision::Cut(CutReason::LimitReached));
    let mut stream = ResumableStream::new(policy(Mode::Continue), ASK);
    let asked = (0..9).filter(|_| matches!(stream.on_break(5), BreakDecision::Resume { .. })).count();
    assert_eq!(asked, 4);
    assert_eq!(stream.on_resume_failed(6, None), BreakDecision::Cut(CutReason::NoServer));
}

#[test]
fn events_after_the_end_of_an_answer_are_not_forwarded() {
    let mut stream = ResumableStream::new(policy(Mode::Continue), ASK);
    assert_eq!(stream.on_event(AnswerEvent { is_last: true, ..event("end") }), Forward::Unchanged);
    assert_eq!(stream.on_event(event("more")), Forward::Nothing);
}
