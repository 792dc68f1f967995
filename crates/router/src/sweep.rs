//! The sweep: a periodic timer for work that no event triggers.

use crate::interface::{Micros, TimerToken};

/// Time between two sweeps (us). It scales with the shortest time within which a held state must be released.
pub(crate) const SWEEP_INTERVAL_US: Micros = 40_000;
/// Token of the sweep's timer.
pub(crate) const SWEEP: TimerToken = TimerToken(1);
