//! The sweep: a timer that brings up what no event does.

use crate::interface::{Micros, TimerToken};

/// Time between two sweeps (us). Scales with the shortest time in which a held state must be released.
pub(crate) const SWEEP_INTERVAL_US: Micros = 40_000;
/// The timer's token.
pub(crate) const SWEEP: TimerToken = TimerToken(1);
