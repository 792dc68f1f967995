//! Plans in which ids come again after their requests have ended, and clients of the chat front use the same words.

use super::{Draws, FAULT_FREE_MS, MIN_LENGTH_MS};
use crate::plan::{Fault, FaultKind, Plan};

/// Time from one group of faults to the next (ms).
const GROUP_INTERVAL_MS: u64 = 2_500;
/// Time between two events (ms).
const EVENT_INTERVAL_MS: u64 = 30;
/// Upper limit of the clients' timeouts (ms), so that processes end early enough for several upgrades in a plan.
const DEADLINE_MS: u64 = 1_000;

impl Draws {
    /// Draws what refuses, cuts or loses requests, and what replaces or reconfigures processes.
    fn fault_beside_repeats(&mut self, dispatcher: usize, servers_per_role: usize) -> (u64, FaultKind) {
        let writer = servers_per_role + self.index(servers_per_role);
        let length_ms = self.one_of(&[300, 800, 1_500]);
        match self.below(9) {
            0 | 1 => (MIN_LENGTH_MS, FaultKind::Upgrade { dispatcher }),
            2 => (MIN_LENGTH_MS, FaultKind::Restart { dispatcher }),
            3 => (MIN_LENGTH_MS, FaultKind::Kill { dispatcher }),
            4 => (MIN_LENGTH_MS, FaultKind::Reload { dispatcher, broken: self.below(2) == 0 }),
            5 | 6 => (length_ms, FaultKind::TurnAway { server: writer }),
            7 => (length_ms, FaultKind::Break { server: writer }),
            _ => (length_ms, FaultKind::ClientsLeave { dispatcher }),
        }
    }
}

impl Plan {
    /// Draws a plan of a given length in which bad clients send ids of ended requests again, and clients of the chat front
    /// book with words that others use too, lose their links, or had a first try that never came; processes are
    /// replaced and servers refuse meanwhile.
    #[must_use]
    pub fn draw_repeated(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws::new(seed, 0x94d0_49bb_1331_11eb);
        let length_ms = seconds * 1_000;
        let servers_per_role = draws.one_of(&[2, 3]);
        let mut faults = Vec::new();
        for dispatcher in 0..processes {
            for kind in [FaultKind::RepeatEndedIds { dispatcher }, FaultKind::SharedWords { dispatcher }] {
                faults.push(Fault { from_ms: 0, to_ms: length_ms, kind });
            }
        }
        let last_ms = length_ms.saturating_sub(FAULT_FREE_MS);
        for group_ms in (FAULT_FREE_MS / 2..last_ms).step_by(GROUP_INTERVAL_MS as usize) {
            for _ in 0..2 {
                let from_ms = group_ms + draws.below(1_500);
                let dispatcher = draws.index(processes);
                let (fault_ms, kind) = draws.fault_beside_repeats(dispatcher, servers_per_role);
                faults.push(Fault { from_ms, to_ms: from_ms + fault_ms, kind });
            }
        }
        Self {
            servers_per_role,
            requests_per_second: draws.one_of(&[10, 20]),
            objective_ms: draws.one_of(&[400, 800]),
            deadline_ms: DEADLINE_MS,
            event_interval_ms: EVENT_INTERVAL_MS,
            faults,
            ..Self::without_faults(seed, processes, length_ms)
        }
    }
}
