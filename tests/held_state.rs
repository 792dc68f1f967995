//! State that is held for a request, by itself: whatever becomes of attempts and releases, it is never forgotten, and
//! only a server's answer puts its deadline off.

use dewladder::edge::core::held_state::{HeldState, CLOSE_PROPAGATION_TIME};
use dewladder::interface::{HeldStateAfter, Micros, ServerId};
use proptest::prelude::*;

const MAX_HOLD_TIME: Micros = 500_000;
const READER: ServerId = ServerId(1);
const OTHER_READER: ServerId = ServerId(2);

/// Something that becomes of a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    ReadAnswered,
    ReadUnanswered,
    WriteEnded {
        answered: bool,
    },
    StreamBegan,
    /// What earlier attempts may have left is released before the next read.
    NextRead,
    ReleaseFinished {
        answered: bool,
    },
    /// Time passes; a deadline that is reached has a release asked for.
    Pass(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::ReadAnswered),
        Just(Step::ReadUnanswered),
        any::<bool>().prop_map(|answered| Step::WriteEnded { answered }),
        Just(Step::StreamBegan),
        Just(Step::NextRead),
        any::<bool>().prop_map(|answered| Step::ReleaseFinished { answered }),
        (1u64..900_000).prop_map(Step::Pass),
    ]
}

impl Step {
    /// Whether a server says something in it that shows that it runs.
    fn is_answer(self) -> bool {
        matches!(self, Self::ReadAnswered | Self::WriteEnded { answered: true })
    }
}

struct Model {
    held: HeldState,
    now: Micros,
    last_release: u64,
    /// The release that is under way.
    under_way: Option<u64>,
    /// A server has answered the last release.
    is_answered: bool,
}

impl Model {
    fn request_release(&mut self) {
        self.last_release += 1;
        let order = self.held.start_release(self.last_release, false, self.now);
        self.under_way = order.map(|_| self.last_release);
        self.is_answered = false;
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::ReadAnswered => self.held.read_answered(READER, self.now, MAX_HOLD_TIME),
            Step::ReadUnanswered => self.held.read_unanswered(OTHER_READER, self.now, MAX_HOLD_TIME),
            Step::WriteEnded { answered } => {
                let was_released = self.held.is_held() && (self.under_way.is_some() || self.is_answered);
                let after = self.held.write_ended(answered, self.now, MAX_HOLD_TIME);
                assert_eq!(after == HeldStateAfter::Released, was_released);
            }
            Step::StreamBegan => self.held.taken(),
            Step::NextRead if self.held.needs_release() => self.request_release(),
            Step::NextRead => {}
            Step::ReleaseFinished { answered } => {
                let Some(release) = self.under_way.take() else { return };
                self.held.finish_release(release, answered, self.now, MAX_HOLD_TIME);
                self.is_answered = answered;
            }
            Step::Pass(time) => {
                let end = self.now + time;
                if let Some(deadline) = self.held.deadline().filter(|&deadline| deadline <= end) {
                    self.now = self.now.max(deadline);
                    self.request_release();
                }
                self.now = end;
            }
        }
        if !self.held.was_released() {
            (self.under_way, self.is_answered) = (None, false);
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
    fn what_is_held_has_a_deadline_that_only_answers_put_off(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model {
            held: HeldState::none(),
            now: 1_000_000,
            last_release: 0,
            under_way: None,
            is_answered: false,
        };
        for step in steps {
            let (was_held, before) = (model.held.is_held(), model.held.deadline());
            model.take(step);
            let (held, deadline) = (model.held.is_held(), model.held.deadline());
            if held {
                let is_released = model.under_way.is_some() || model.is_answered;
                prop_assert!(deadline.is_some() || is_released, "forgotten after {step:?}");
            } else {
                prop_assert_eq!(deadline, None);
            }
            if let (true, true, Some(before), Some(after)) = (was_held, held, before, deadline) {
                let may_move = step.is_answer() || matches!(step, Step::Pass(_));
                prop_assert!(after <= before || may_move, "{step:?} put the deadline off");
            }
            prop_assert!(deadline.is_none_or(|deadline| deadline <= model.now + MAX_HOLD_TIME));
        }
        // The end of the request releases all that may still be held, whatever was released before.
        let was_held = model.held.is_held();
        let order = model.held.start_release(model.last_release + 1, true, model.now);
        prop_assert_eq!(order.is_some(), was_held);
        prop_assert!(!model.held.is_held() && model.held.deadline().is_none());
    }
}

#[test]
fn an_attempt_that_ends_unanswered_gives_no_more_time() {
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
fn a_state_that_was_released_during_an_attempt_is_not_counted_on_after_it_and_released_again() {
    for is_answered in [true, false] {
        let mut held = HeldState::none();
        held.read_answered(READER, 0, MAX_HOLD_TIME);
        let order = held.start_release(1, false, MAX_HOLD_TIME).expect("something is held");
        assert_eq!((order.holders, order.again, order.held), (vec![READER], false, MAX_HOLD_TIME));
        assert!(!held.needs_release());
        if is_answered {
            held.finish_release(1, true, 510_000, MAX_HOLD_TIME);
        }
        assert_eq!(held.deadline(), None, "only the attempt keeps it");
        assert_eq!(held.write_ended(false, 900_000, MAX_HOLD_TIME), HeldStateAfter::Released);
        assert!(held.needs_release(), "it may be held still");
        let order = held.start_release(2, true, 900_000).expect("it may be held still");
        assert!(
            order.again,
            "its server may see the close of the attempt up to {CLOSE_PROPAGATION_TIME} us later"
        );
        assert!(!held.is_held());
    }
}

#[test]
fn a_release_before_the_next_read_is_asked_for_once_as_a_second_would_let_go_of_that_read() {
    let mut held = HeldState::none();
    held.read_unanswered(READER, 0, MAX_HOLD_TIME);
    assert!(held.needs_release());
    let order = held.start_release(1, false, 10).expect("something may be held");
    assert!(!order.again);
    assert_eq!((held.needs_release(), held.deadline()), (false, None));
    held.read_answered(OTHER_READER, 20_000, MAX_HOLD_TIME);
    let order = held.start_release(2, true, 30_000).expect("something is held");
    assert_eq!(order.holders, [READER, OTHER_READER], "the first may have seen its close after the release");
}

#[test]
fn a_release_that_nobody_answers_is_asked_for_again_while_the_attempt_goes_on() {
    let mut held = HeldState::none();
    held.read_answered(READER, 0, MAX_HOLD_TIME);
    held.start_release(1, false, MAX_HOLD_TIME).expect("something is held");
    held.finish_release(1, false, 3_500_000, MAX_HOLD_TIME);
    assert_eq!(held.deadline(), Some(4_000_000));
}
