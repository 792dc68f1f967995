//! Unit and property tests of [`HeldState`]: however attempts and releases end, held state always has a deadline or a
//! release that covers it, and only an answer from a server extends the deadline.

use dewladder::edge::core::held_state::{HeldState, CLOSE_PROPAGATION_TIME};
use dewladder::interface::{HeldStateAfter, Micros, ServerId};
use proptest::prelude::*;

const MAX_HOLD_TIME: Micros = 500_000;
const READER: ServerId = ServerId(1);
const OTHER_READER: ServerId = ServerId(2);

/// An event in the life of a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    ReadAnswered,
    ReadUnanswered,
    WriteEnded {
        answered: bool,
    },
    StreamStarted,
    /// A read is about to start; state that earlier attempts may have left is released first.
    StartNextRead,
    ReleaseFinished {
        answered: bool,
    },
    /// Time passes; if the deadline is reached, a release is requested.
    AdvanceTime(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::ReadAnswered),
        Just(Step::ReadUnanswered),
        any::<bool>().prop_map(|answered| Step::WriteEnded { answered }),
        Just(Step::StreamStarted),
        Just(Step::StartNextRead),
        any::<bool>().prop_map(|answered| Step::ReleaseFinished { answered }),
        (1u64..900_000).prop_map(Step::AdvanceTime),
    ]
}

impl Step {
    /// Whether the event includes an answer to an attempt, which proves that the server process runs.
    fn is_answer(self) -> bool {
        matches!(self, Self::ReadAnswered | Self::WriteEnded { answered: true })
    }
}

struct Model {
    held: HeldState,
    now: Micros,
    last_release: u64,
    /// Number of the release in progress, if any.
    release_in_progress: Option<u64>,
    /// Whether a server has answered the last release.
    release_answered: bool,
}

impl Model {
    fn request_release(&mut self) {
        self.last_release += 1;
        let order = self.held.start_release(self.last_release, false, self.now);
        self.release_in_progress = order.map(|_| self.last_release);
        self.release_answered = false;
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::ReadAnswered => self.held.read_answered(READER, self.now, MAX_HOLD_TIME),
            Step::ReadUnanswered => self.held.read_unanswered(OTHER_READER, self.now, MAX_HOLD_TIME),
            Step::WriteEnded { answered } => {
                let was_released =
                    self.held.is_held() && (self.release_in_progress.is_some() || self.release_answered);
                let after = self.held.write_ended(answered, self.now, MAX_HOLD_TIME);
                assert_eq!(after == HeldStateAfter::Released, was_released);
            }
            Step::StreamStarted => self.held.taken(),
            Step::StartNextRead if self.held.needs_release() => self.request_release(),
            Step::StartNextRead => {}
            Step::ReleaseFinished { answered } => {
                let Some(release) = self.release_in_progress.take() else { return };
                self.held.finish_release(release, answered, self.now, MAX_HOLD_TIME);
                self.release_answered = answered;
            }
            Step::AdvanceTime(time) => {
                let end = self.now + time;
                if let Some(deadline) = self.held.deadline().filter(|&deadline| deadline <= end) {
                    self.now = self.now.max(deadline);
                    self.request_release();
                }
                self.now = end;
            }
        }
        if !self.held.was_released() {
            (self.release_in_progress, self.release_answered) = (None, false);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(46),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn held_state_has_a_deadline_that_only_answers_extend(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model {
            held: HeldState::none(),
            now: 1_000_000,
            last_release: 0,
            release_in_progress: None,
            release_answered: false,
        };
        for step in steps {
            let (was_held, before) = (model.held.is_held(), model.held.deadline());
            model.take(step);
            let (held, deadline) = (model.held.is_held(), model.held.deadline());
            if held {
                let is_released = model.release_in_progress.is_some() || model.release_answered;
                prop_assert!(deadline.is_some() || is_released, "neither a deadline nor a release after {step:?}");
            } else {
                prop_assert_eq!(deadline, None);
            }
            if let (true, true, Some(before), Some(after)) = (was_held, held, before, deadline) {
                let may_move = step.is_answer() || matches!(step, Step::AdvanceTime(_));
                prop_assert!(after <= before || may_move, "{step:?} extended the deadline");
            }
            prop_assert!(deadline.is_none_or(|deadline| deadline <= model.now + MAX_HOLD_TIME));
        }
        // The end of the request releases all state that may still be held, including state released before.
        let was_held = model.held.is_held();
        let order = model.held.start_release(model.last_release + 1, true, model.now);
        prop_assert_eq!(order.is_some(), was_held);
        prop_assert!(!model.held.is_held() && model.held.deadline().is_none());
    }
}

#[test]
fn an_unanswered_attempt_does_not_extend_the_deadline() {
    let mut held = HeldState::none();
    held.read_answered(READER, 0, MAX_HOLD_TIME);
    for now in [100_000, 300_000, 499_999] {
        assert_eq!(held.write_ended(false, now, MAX_HOLD_TIME), HeldStateAfter::HoldTimeContinues);
        assert_eq!(held.deadline(), Some(MAX_HOLD_TIME));
    }
    assert_eq!(held.write_ended(true, 499_999, MAX_HOLD_TIME), HeldStateAfter::HoldTimeRestarts);
    assert_eq!(held.deadline(), Some(499_999 + MAX_HOLD_TIME));
}

#[test]
fn state_released_during_an_attempt_is_not_relied_on_afterwards_and_is_released_again() {
    for release_answered in [true, false] {
        let mut held = HeldState::none();
        held.read_answered(READER, 0, MAX_HOLD_TIME);
        let order = held.start_release(1, false, MAX_HOLD_TIME).expect("state is held");
        assert_eq!((order.holders, order.again, order.held), (vec![READER], false, MAX_HOLD_TIME));
        assert!(!held.needs_release());
        if release_answered {
            held.finish_release(1, true, 510_000, MAX_HOLD_TIME);
        }
        assert_eq!(held.deadline(), None, "only the attempt can keep the state");
        assert_eq!(held.write_ended(false, 900_000, MAX_HOLD_TIME), HeldStateAfter::Released);
        assert!(held.needs_release(), "the state may still be held");
        let order = held.start_release(2, true, 900_000).expect("the state may still be held");
        assert!(
            order.again,
            "the server may notice the close of the attempt up to {CLOSE_PROPAGATION_TIME} us later"
        );
        assert!(!held.is_held());
    }
}

/// Before the next read, the release is requested only once: a second one would release the state of that read.
#[test]
fn a_release_before_the_next_read_is_requested_once() {
    let mut held = HeldState::none();
    held.read_unanswered(READER, 0, MAX_HOLD_TIME);
    assert!(held.needs_release());
    let order = held.start_release(1, false, 10).expect("state may be held");
    assert!(!order.again);
    assert_eq!((held.needs_release(), held.deadline()), (false, None));
    held.read_answered(OTHER_READER, 20_000, MAX_HOLD_TIME);
    let order = held.start_release(2, true, 30_000).expect("state is held");
    assert_eq!(
        order.holders,
        [READER, OTHER_READER],
        "the first reader may have noticed the close after the release"
    );
}

#[test]
fn an_unanswered_release_gets_a_new_deadline_while_the_attempt_is_in_flight() {
    let mut held = HeldState::none();
    held.read_answered(READER, 0, MAX_HOLD_TIME);
    held.start_release(1, false, MAX_HOLD_TIME).expect("state is held");
    held.finish_release(1, false, 3_500_000, MAX_HOLD_TIME);
    assert_eq!(held.deadline(), Some(4_000_000));
}
