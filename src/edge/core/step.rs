//! What one step of the reducer works with: its time, the timers, and what it leads to.

use std::collections::{BTreeSet, VecDeque};

use crate::edge::core::messages::Effect;
use crate::interface::{Event, Micros, RequestId, TimerToken};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The time-out of an attempt.
    Attempt(RequestId, u32),
    /// The deadline of what servers hold for a request.
    HeldState(RequestId),
    /// One that the router has asked for.
    Router(TimerToken),
}

/// Timers by the time at which they fire (us).
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

    /// When the next timer fires (us).
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|&(at, _)| at)
    }

    /// Takes the next timer that has fired by `now` (us).
    pub fn take_due(&mut self, now: Micros) -> Option<Timer> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if !is_due {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}

/// A step of the reducer: when it is, what the router is still to be told, and what is to be done outside.
#[derive(Debug, Default)]
pub struct Step {
    /// The time of the step (us); it never goes back.
    pub now: Micros,
    /// What the router is to be told, in order.
    pub events: VecDeque<Event>,
    /// What is to be done outside, in order.
    pub effects: Vec<Effect>,
    /// Timers of attempts and of the router.
    pub timers: Timers,
}
