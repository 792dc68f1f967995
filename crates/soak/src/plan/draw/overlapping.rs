//! Plans with groups of faults of all kinds that may overlap.

use super::{Draws, Span, FAULT_FREE_MS, MIN_LENGTH_MS, SOCKET_FAULTS};
use crate::plan::{default_objective_ms, Fault, FaultKind, Plan};

/// A plan has one group of faults for each span of this length (ms).
const GROUP_INTERVAL_MS: u64 = 5_000;

impl Draws {
    /// Draws the kind of a fault in a span, and the dispatcher or server that it affects.
    fn fault_kind(&mut self, dispatchers: usize, servers: usize, span: Span) -> FaultKind {
        let dispatcher = self.index(dispatchers);
        let server = self.index(servers);
        match self.below(28) {
            0 | 1 => FaultKind::Upgrade { dispatcher },
            2 | 3 => FaultKind::Restart { dispatcher },
            4 => FaultKind::Kill { dispatcher },
            5 => FaultKind::Stop { dispatcher },
            6 => FaultKind::Reload { dispatcher, broken: self.below(2) == 0 },
            7 | 8 => FaultKind::Cut { server },
            9 | 10 => FaultKind::Silence { server },
            11 => FaultKind::Reset { server },
            12 => FaultKind::Refuse { server },
            13 => FaultKind::Hang { server },
            14 => FaultKind::Slow { server, by_ms: self.one_of(&[100, 400, 1_000]) },
            15 => FaultKind::TurnAway { server },
            16 => FaultKind::Break { server },
            17 => FaultKind::CloseOnUse { server },
            18 => FaultKind::Drain { server },
            19 => FaultKind::AgentDown { dispatcher },
            20 => FaultKind::WatchSilent { dispatcher },
            21 => FaultKind::ClientsLeave { dispatcher },
            22 => FaultKind::Idlers { dispatcher, count: self.one_of(&[50, 300, 700]) },
            23 => FaultKind::ShortTime { dispatcher },
            24 | 25 => FaultKind::Shim { dispatcher, rule: self.shim_rule(&SOCKET_FAULTS, span) },
            26 => FaultKind::Shim { dispatcher, rule: self.first_process_rule(span) },
            _ => FaultKind::ShimLater { dispatcher, rule: self.later_process_rule() },
        }
    }

    /// Draws groups of two or three faults that may overlap.
    fn fault_groups(&mut self, length_ms: u64, dispatchers: usize, servers: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        let groups = (length_ms / GROUP_INTERVAL_MS).max(1);
        let group_ms = length_ms.saturating_sub(2 * FAULT_FREE_MS) / groups;
        for group in 0..groups {
            let group_from_ms = FAULT_FREE_MS + group * group_ms + self.below(group_ms / 2);
            for _ in 0..2 + self.below(2) {
                let from_ms = group_from_ms + self.below(600);
                let drawn_ms = self.one_of(&[50, 300, 800, 1_500, 3_000]);
                let to_ms = (from_ms + drawn_ms).min(length_ms.saturating_sub(FAULT_FREE_MS));
                let kind = self.fault_kind(dispatchers, servers, Span { from_ms, to_ms });
                faults.push(Fault { from_ms, to_ms: to_ms.max(from_ms + MIN_LENGTH_MS), kind });
            }
        }
        faults
    }

    /// Draws a fault of the messages on a connection: malformed responses of a reader, or requests in pieces.
    fn exchange_fault(&mut self, length_ms: u64, dispatchers: usize, readers: usize) -> Fault {
        let from_ms = FAULT_FREE_MS + self.below(length_ms.saturating_sub(2 * FAULT_FREE_MS));
        let server = self.index(readers);
        let dispatcher = self.index(dispatchers);
        let kind = match self.below(3) {
            0 => FaultKind::AnswerTwice { server },
            1 => FaultKind::NeverEnd { server },
            _ => FaultKind::Pieces { dispatcher },
        };
        Fault { from_ms, to_ms: from_ms + self.one_of(&[300, 1_500, 3_000]), kind }
    }
}

impl Plan {
    /// Draws a plan of a given length with faults of all kinds.
    #[must_use]
    pub fn draw(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws::new(seed, 0x9e37_79b9_7f4a_7c15);
        let length_ms = seconds * 1_000;
        let servers_per_role = draws.one_of(&[2, 3, 4]);
        let mut faults = draws.fault_groups(length_ms, processes, 2 * servers_per_role);
        let requests_per_second = draws.one_of(&[4, 10, 20]);
        let objective_ms = draws.one_of(&[default_objective_ms(), 1_500]);
        // Drawn last: it was added later, and the other faults of existing seeds had to stay the same.
        faults.push(draws.exchange_fault(length_ms, processes, servers_per_role));
        Self {
            servers_per_role,
            requests_per_second,
            objective_ms,
            faults,
            ..Self::without_faults(seed, processes, length_ms)
        }
    }
}
