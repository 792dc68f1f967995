//! Answers that break at any point, with servers that continue the text, restart it, or generate a different one.

use dewladder_resume::{
    AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Micros, Mode, Policy, ResumableStream,
};
use proptest::prelude::*;

fn policy(mode: Mode) -> Policy {
    Policy { mode, max_resumptions: 4, max_duration_us: 10_000_000, max_text_bytes: 64 << 10 }
}

const TRAITS: ChoiceTraits =
    ChoiceTraits { may_rerun: true, wants_more_than_text: false, max_tokens: 10_000 };

fn event(text: &str) -> AnswerEvent<'_> {
    AnswerEvent { text, has_more_than_text: false, is_last: false }
}

/// Splits the text of an answer into events of these lengths (characters, used in turn).
fn chunks(answer: &str, lengths: &[usize]) -> Vec<String> {
    let (mut rest, mut chunks, mut at) = (answer, Vec::new(), 0);
    while !rest.is_empty() {
        let wanted = lengths[at % lengths.len()].max(1);
        let end = rest.char_indices().map(|(at, _)| at).chain([rest.len()]).nth(wanted).unwrap_or(rest.len());
        let (chunk, remainder) = rest.split_at(end);
        chunks.push(chunk.to_owned());
        (rest, at) = (remainder, at + 1);
    }
    chunks
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Wherever parts break off, the client receives the whole text once, or a prefix of it and an error. Guards
    /// against text that is lost or repeated where two parts are joined.
    #[test]
    fn parts_join_into_one_text_without_gaps_or_repetitions_wherever_servers_break_off(
        answer in "[ก-ฮa-c é]{1,60}",
        lengths in prop::collection::vec(1usize..7, 1..6),
        breaks in prop::collection::vec(0usize..20, 0..7),
        restarts in any::<bool>(),
    ) {
        let mode = if restarts { Mode::Restart } else { Mode::Continue };
        let mut stream = ResumableStream::new(policy(mode), TRAITS);
        let (mut received, mut breaks, mut from, mut now): (String, _, usize, Micros) =
            (String::new(), breaks.into_iter(), 0, 1_000);
        let is_complete = 'parts: loop {
            let rest = if restarts { &answer[..] } else { &answer[from..] };
            let part = chunks(rest, &lengths);
            let break_at = breaks.next().filter(|&at| at < part.len());
            for (at, chunk) in part.iter().enumerate() {
                if break_at == Some(at) {
                    now += 1_000;
                    match stream.on_break(now) {
                        BreakDecision::Resume { text, .. } => {
                            prop_assert_eq!(&text, &received, "the next server gets the received text");
                            from = received.len();
                            continue 'parts;
                        }
                        BreakDecision::Cut(reason) => {
                            prop_assert_eq!(reason, CutReason::LimitReached);
                            break 'parts false;
                        }
                        BreakDecision::Finished | BreakDecision::TokenLimitReached =>
                            prop_assert!(false, "unexpected end of the answer"),
                    }
                }
                match stream.on_event(event(chunk)) {
                    Forward::Unchanged => received.push_str(chunk),
                    Forward::WithText(text) => received.push_str(&text),
                    Forward::Nothing => {}
                    Forward::Cut(reason) => prop_assert!(false, "{:?}", reason),
                }
                prop_assert!(answer.starts_with(&received), "text lost or repeated: {:?}", received);
            }
            prop_assert!(stream.is_complete_at_end());
            break true;
        };
        prop_assert!(!is_complete || received == answer);
        prop_assert!(stream.resumptions() <= 4);
    }

    /// A restarting server that generates a different text is detected before any of that text reaches the client.
    #[test]
    fn a_restart_with_a_different_text_is_cut_before_the_client_receives_any_of_it(
        answer in "[ab]{2,30}",
        other_answer in "[ab]{2,30}",
        at in 1usize..29,
    ) {
        let at = at.min(answer.len() - 1);
        prop_assume!(!other_answer.starts_with(&answer[..at]));
        let mut stream = ResumableStream::new(policy(Mode::Restart), TRAITS);
        prop_assert_eq!(stream.on_event(event(&answer[..at])), Forward::Unchanged);
        prop_assert!(matches!(stream.on_break(5), BreakDecision::Resume { .. }), "the answer was not resumed");
        let mut diverged = false;
        for chunk in chunks(&other_answer, &[1]) {
            match stream.on_event(event(&chunk)) {
                Forward::Nothing => {}
                Forward::Cut(CutReason::Diverged) => {
                    diverged = true;
                    break;
                }
                forwarded => prop_assert!(false, "{:?}", forwarded),
            }
        }
        prop_assert!(diverged || !stream.is_complete_at_end(), "the restarted part was accepted");
    }
}

#[test]
fn at_most_once_too_long_complete_or_non_text_answers_are_not_resumed() {
    let decision_after = |traits: ChoiceTraits, event: AnswerEvent<'_>| {
        let mut stream = ResumableStream::new(policy(Mode::Continue), traits);
        stream.on_event(event);
        stream.on_break(1)
    };
    assert_eq!(
        decision_after(ChoiceTraits { may_rerun: false, ..TRAITS }, event("a")),
        BreakDecision::Cut(CutReason::AtMostOnce)
    );
    assert_eq!(
        decision_after(ChoiceTraits { wants_more_than_text: true, ..TRAITS }, event("a")),
        BreakDecision::Cut(CutReason::MoreThanText)
    );
    assert_eq!(
        decision_after(TRAITS, AnswerEvent { has_more_than_text: true, ..event("") }),
        BreakDecision::Cut(CutReason::MoreThanText)
    );
    let long = "x".repeat(65 << 10);
    assert_eq!(decision_after(TRAITS, event(&long)), BreakDecision::Cut(CutReason::TooLong));
    assert_eq!(
        decision_after(TRAITS, AnswerEvent { is_last: true, ..event("a") }),
        BreakDecision::Finished,
        "the answer was complete before the break"
    );
    assert_eq!(
        decision_after(ChoiceTraits { max_tokens: 1, ..TRAITS }, event("a")),
        BreakDecision::TokenLimitReached,
        "the answer has reached its maximum number of tokens"
    );
}

#[test]
fn resumptions_are_limited_in_number_time_and_tokens() {
    let mut stream = ResumableStream::new(policy(Mode::Continue), ChoiceTraits { max_tokens: 10, ..TRAITS });
    for _ in 0..3 {
        stream.on_event(event("word "));
    }
    let resumed = |max_tokens, text: &str| BreakDecision::Resume {
        text: text.to_owned(),
        max_tokens,
        deadline_us: 10_000_100,
    };
    assert_eq!(stream.on_break(100), resumed(7, "word word word "));
    assert_eq!(stream.on_resume_failed(2_000_000, Some(1_000_000)), resumed(7, "word word word "));
    assert_eq!(
        stream.on_resume_failed(9_500_000, Some(1_000_000)),
        BreakDecision::Cut(CutReason::NoServer),
        "the retry delay exceeds the deadline"
    );
    assert_eq!(stream.on_break(10_000_100), BreakDecision::Cut(CutReason::LimitReached));
    let mut stream = ResumableStream::new(policy(Mode::Continue), TRAITS);
    let resumed = (0..9).filter(|_| matches!(stream.on_break(5), BreakDecision::Resume { .. })).count();
    assert_eq!(resumed, 4);
    assert_eq!(stream.on_resume_failed(6, None), BreakDecision::Cut(CutReason::NoServer));
}

#[test]
fn events_after_the_end_of_an_answer_are_not_forwarded() {
    let mut stream = ResumableStream::new(policy(Mode::Continue), TRAITS);
    assert_eq!(stream.on_event(AnswerEvent { is_last: true, ..event("end") }), Forward::Unchanged);
    assert_eq!(stream.on_event(event("more")), Forward::Nothing);
}
