//! Plans in which processes are replaced under long streams.

use super::{Draws, FAULT_FREE_MS, MIN_LENGTH_MS};
use crate::plan::{default_objective_ms, Fault, FaultKind, Plan, SignalSeries};

/// Interval between groups of faults in plans of replaced processes (ms): longer than a shutdown takes.
const REPLACED_GROUP_INTERVAL_MS: u64 = 6_000;
/// Time between two events in plans of replaced processes (ms): streams outlast the start of the new process, and many of
/// them the end of the old one.
const REPLACED_EVENT_INTERVAL_MS: u64 = 350;
/// Memory limit in plans of replaced processes (MiB), in the lower half of what the platform gives.
const REPLACED_MEMORY_MB: u64 = 48;
/// How long a client connects all the time from the start of an upgrade or the end of a process (ms): until the listener
/// has closed.
const CONNECTING_TIME_MS: u64 = 2_000;
/// The shim's rule that holds up a process as it closes a listener, for less than an event of a stream may be late.
const HELD_CLOSE_RULE: &str = "closelistener:hold60@0-600000";

impl Draws {
    /// Draws the end or the replacement of a process, with clients that misbehave around it, or a flood of large bodies.
    /// Beside an end or a replacement, a client connects all the time.
    fn replacement(&mut self, from_ms: u64, dispatcher: usize, deadline_ms: u64) -> Vec<Fault> {
        match self.below(3) {
            0 => upgrade_beside_repeats(from_ms, dispatcher, deadline_ms),
            1 => self.end_beside_slow_writers(from_ms, dispatcher),
            _ => {
                let (count, chunk_bytes) = (self.one_of(&[16, 120]), self.one_of(&[0, 1, 13, 4_096]));
                let kind = FaultKind::LargeBodies { dispatcher, count, chunk_bytes };
                vec![Fault { from_ms, to_ms: from_ms + 2_500, kind }]
            }
        }
    }

    fn end_beside_slow_writers(&mut self, from_ms: u64, dispatcher: usize) -> Vec<Fault> {
        let over_ms = self.one_of(&[400, 900, 1_500]);
        let series = self.one_of(&[SignalSeries::TermTerm, SignalSeries::StopTermCont]);
        let end = match self.below(2) {
            0 => FaultKind::Restart { dispatcher },
            _ => FaultKind::Signals { dispatcher, series },
        };
        let end_ms = from_ms + over_ms;
        let slow_writers = FaultKind::SlowWriters { dispatcher, over_ms };
        vec![
            connecting(end_ms, dispatcher),
            Fault { from_ms, to_ms: end_ms + 1_000, kind: slow_writers },
            Fault { from_ms: end_ms, to_ms: end_ms + MIN_LENGTH_MS, kind: end },
        ]
    }
}

/// An upgrade, while bad clients repeat ids that are open in the old process.
fn upgrade_beside_repeats(from_ms: u64, dispatcher: usize, deadline_ms: u64) -> Vec<Fault> {
    // Ids are free once the old process has been killed, so they are repeated until before that only.
    let repeats_until_ms = from_ms + deadline_ms + 300;
    let repeats = FaultKind::RepeatOpenIds { dispatcher };
    vec![
        Fault { from_ms, to_ms: repeats_until_ms, kind: repeats },
        connecting(from_ms, dispatcher),
        Fault { from_ms, to_ms: from_ms + MIN_LENGTH_MS, kind: FaultKind::Upgrade { dispatcher } },
    ]
}

/// A client connects all the time from the start of an upgrade or the end of a process.
fn connecting(from_ms: u64, dispatcher: usize) -> Fault {
    Fault { from_ms, to_ms: from_ms + CONNECTING_TIME_MS, kind: FaultKind::ConnectAllTheTime { dispatcher } }
}

/// The processes of a dispatcher are held up as they close a listener.
fn held_close(dispatcher: usize, length_ms: u64) -> Fault {
    let rule = HELD_CLOSE_RULE.to_owned();
    Fault { from_ms: 0, to_ms: length_ms, kind: FaultKind::Shim { dispatcher, rule } }
}

impl Plan {
    /// Draws a plan of a given length in which processes are replaced under long streams, by upgrades, restarts and
    /// early kills, while clients repeat open ids, write slowly, or send as much as they may.
    #[must_use]
    pub fn draw_replaced(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws::new(seed, 0xbf58_476d_1ce4_e5b9);
        let length_ms = seconds * 1_000;
        let servers_per_role = draws.one_of(&[2, 3]);
        let deadline_ms = draws.one_of(&[600, 1_000, 2_000, 3_000]);
        let requests_per_second = draws.one_of(&[10, 20]);
        let mut faults: Vec<Fault> =
            (0..processes).map(|dispatcher| held_close(dispatcher, length_ms)).collect();
        for group in 0..(length_ms / REPLACED_GROUP_INTERVAL_MS).max(1) {
            let from_ms = FAULT_FREE_MS / 2 + group * REPLACED_GROUP_INTERVAL_MS + draws.below(400);
            for dispatcher in 0..processes {
                faults.extend(draws.replacement(from_ms, dispatcher, deadline_ms));
            }
        }
        Self {
            servers_per_role,
            requests_per_second,
            objective_ms: default_objective_ms().min(deadline_ms),
            deadline_ms,
            kills_at_earliest: true,
            event_interval_ms: REPLACED_EVENT_INTERVAL_MS,
            memory_mb: REPLACED_MEMORY_MB,
            faults,
            ..Self::without_faults(seed, processes, length_ms)
        }
    }
}
