//! The working state of a reducer step: the current time, the timers, and the events and effects that are still
//! to be handled.

use std::collections::{BTreeSet, VecDeque};

use crate::edge::core::messages::Effect;
use crate::interface::{Event, Micros, RequestId, TimerToken};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Timeout of the attempt with this number.
    Attempt(RequestId, u32),
    /// Deadline of the state that servers hold for a request.
    HeldState(RequestId),
    /// Timer that the router asked for.
    Router(TimerToken),
}

/// Running timers, ordered by the time at which they fire (us).
#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(Micros, Timer)>);

impl Timers {
    /// Starts a timer that fires at `at` (us).
    pub fn start(&mut self, at: Micros, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Stops a timer that was started for `at` (us).
    pub fn stop(&mut self, at: Micros, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Time at which the next timer fires (us); `None` if no timer is running.
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|&(at, _)| at)
    }

    /// Removes and returns the next timer that is due at `now` (us); `None` if none is due.
    pub fn take_due(&mut self, now: Micros) -> Option<Timer> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if !is_due {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}

/// Time, timers, and pending events and effects of the reducer. Events are used up and effects returned within
/// each step; the timers last from step to step.
#[derive(Debug, Default)]
pub struct Step {
    /// Time of the step (us); never decreases.
    pub now: Micros,
    /// Events to pass to the router, in order.
    pub events: VecDeque<Event>,
    /// Effects for the driver, in order.
    pub effects: Vec<Effect>,
    /// Running timers of attempts, held state and the router.
    pub timers: Timers,
}
