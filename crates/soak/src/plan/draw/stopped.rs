//! Plans with stalled servers, series of signals and early kills.

use super::{Draws, FAULT_FREE_MS};
use crate::plan::{default_objective_ms, Fault, FaultKind, Plan, SignalSeries};

/// Interval between groups of faults in plans of stalled servers (ms).
const STOPPED_GROUP_INTERVAL_MS: u64 = 3_000;

impl Draws {
    /// Draws one server that is stalled or whose responses are lost, or most or all servers of one role together.
    fn stopped_servers(&mut self, from_ms: u64, servers_per_role: usize) -> Vec<Fault> {
        let role = self.index(2) * servers_per_role;
        let count = self.one_of(&[1, 1, servers_per_role - 1, servers_per_role]);
        let to_ms = from_ms + self.one_of(&[200, 700, 1_200, 2_000]);
        let loses_answers = self.below(4) == 0;
        let first = self.index(servers_per_role);
        let server = |offset: usize| role + (first + offset) % servers_per_role;
        let kind = |offset: usize| match loses_answers {
            true => FaultKind::LoseAnswers { server: server(offset) },
            false => FaultKind::StandStill { server: server(offset) },
        };
        (0..count).map(|offset| Fault { from_ms, to_ms, kind: kind(offset) }).collect()
    }

    /// Draws a fault of a dispatcher: signals to its process, a hot restart, or misbehaving clients.
    fn process_fault(&mut self, dispatcher: usize) -> FaultKind {
        match self.below(8) {
            0 => FaultKind::Upgrade { dispatcher },
            1 => FaultKind::Idlers { dispatcher, count: 700 },
            2 => FaultKind::Pieces { dispatcher },
            3 => FaultKind::ClientsLeave { dispatcher },
            _ => {
                let series = self.one_of(&[
                    SignalSeries::HupHupTerm,
                    SignalSeries::TermTerm,
                    SignalSeries::TermHup,
                    SignalSeries::StopTermCont,
                    SignalSeries::TermAtStart,
                ]);
                FaultKind::Signals { dispatcher, series }
            }
        }
    }
}

impl Plan {
    /// Draws a plan of a given length with stalled servers, series of signals and short deadlines. Processes that shut
    /// down are killed at the earliest time at which the platform may do so.
    #[must_use]
    pub fn draw_stopped(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws::new(seed, 0xd134_2543_de82_ef95);
        let length_ms = seconds * 1_000;
        let servers_per_role = draws.one_of(&[2, 3, 4]);
        let deadline_ms = draws.one_of(&[300, 500, 1_000, 2_000, 3_000]);
        let objective_ms = draws.one_of(&[default_objective_ms(), 1_500]).min(deadline_ms);
        let requests_per_second = draws.one_of(&[10, 20]);
        let mut faults = Vec::new();
        for group in 0..(length_ms / STOPPED_GROUP_INTERVAL_MS).max(1) {
            let from_ms = FAULT_FREE_MS / 2 + group * STOPPED_GROUP_INTERVAL_MS + draws.below(600);
            faults.extend(draws.stopped_servers(from_ms, servers_per_role));
            let dispatcher = draws.index(processes);
            let kind = draws.process_fault(dispatcher);
            let at_ms = from_ms + draws.below(1_500);
            faults.push(Fault { from_ms: at_ms, to_ms: at_ms + 300, kind });
        }
        Self {
            servers_per_role,
            requests_per_second,
            objective_ms,
            deadline_ms,
            kills_at_earliest: true,
            faults,
            ..Self::without_faults(seed, processes, length_ms)
        }
    }
}
