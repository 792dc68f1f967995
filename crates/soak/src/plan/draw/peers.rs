//! Plans of peers of every role that send or read in a way that does not end, is slow, or leaves no time.

use super::{Draws, Span, FAULT_FREE_MS, MIN_LENGTH_MS};
use crate::plan::{EndlessStream, Fault, FaultKind, Plan, SignalSeries};

/// Time from one group of faults to the next (ms).
const GROUP_INTERVAL_MS: u64 = 3_000;
/// One plan in this many has clients without time left and no other fault, and one clients that pipeline.
const PLANS_PER_SINGLE_FAULT: u64 = 6;
/// Latency objective (ms): no slow answer takes as long.
const OBJECTIVE_MS: u64 = 1_500;
/// Time between two events (ms).
const EVENT_INTERVAL_MS: u64 = 60;
/// Time between two events beside clients that pipeline (ms): most of their requests are open at once.
const LONG_EVENT_INTERVAL_MS: u64 = 350;
/// The smallest memory limit that the platform gives (MiB), with the most sockets.
const SMALL_MEMORY_MB: u64 = 32;
const MANY_SOCKETS: usize = 1_024;
/// As many clients as the program accepts with that many sockets, but for a few.
const PIPELINING_CLIENTS: usize = 470;

impl Draws {
    /// Draws a fault of a server, an agent or clients.
    fn peer_fault(&mut self, dispatcher: usize, servers_per_role: usize) -> FaultKind {
        let server = self.index(2 * servers_per_role);
        let writer = servers_per_role + self.index(servers_per_role);
        let over_ms = self.one_of(&[200, 400, 600]);
        match self.below(9) {
            0..=3 => {
                let (after_events, how) = (self.one_of(&[0, 1, 3]), self.one_of(&EndlessStream::ALL));
                FaultKind::EndlessStreams { server: writer, after_events, how }
            }
            4 => FaultKind::SlowAnswers { server: self.index(servers_per_role), over_ms },
            5 => FaultKind::SlowAnswers { server: writer, over_ms },
            6 => FaultKind::SlowReads { server },
            7 => FaultKind::SlowAgent { dispatcher, over_ms },
            _ => FaultKind::SlowReaders { dispatcher },
        }
    }

    /// Draws what happens to a process beside the faults of its peers: a series of signals, an upgrade or a crowd.
    fn process_or_client_fault(&mut self, dispatcher: usize, span: Span) -> Fault {
        let Span { from_ms, to_ms } = span;
        let at_once = from_ms + MIN_LENGTH_MS;
        let series = self.one_of(&[
            SignalSeries::HupHupTerm,
            SignalSeries::TermTerm,
            SignalSeries::TermHup,
            SignalSeries::StopTermCont,
        ]);
        let (to_ms, kind) = match self.below(5) {
            0 | 1 => (at_once, FaultKind::Signals { dispatcher, series }),
            2 => (at_once, FaultKind::Upgrade { dispatcher }),
            3 => (to_ms, FaultKind::Idlers { dispatcher, count: 300 }),
            _ => (to_ms, FaultKind::ClientsLeave { dispatcher }),
        };
        Fault { from_ms, to_ms, kind }
    }

    fn peer_groups(&mut self, length_ms: u64, processes: usize, servers_per_role: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        for group_ms in
            (FAULT_FREE_MS..length_ms.saturating_sub(FAULT_FREE_MS)).step_by(GROUP_INTERVAL_MS as usize)
        {
            for _ in 0..3 {
                let from_ms = group_ms + self.below(800);
                let to_ms = from_ms + self.one_of(&[600, 1_500]);
                let dispatcher = self.index(processes);
                faults.push(Fault { from_ms, to_ms, kind: self.peer_fault(dispatcher, servers_per_role) });
            }
            if self.below(2) == 0 {
                let from_ms = group_ms + self.below(1_200);
                let dispatcher = self.index(processes);
                faults
                    .push(self.process_or_client_fault(dispatcher, Span { from_ms, to_ms: from_ms + 1_000 }));
            }
        }
        faults
    }
}

impl Plan {
    /// Draws a plan of a given length with endless streams, slow servers, agents and clients, and clients without time
    /// left. Processes get series of signals, are replaced, and are killed in their shutdown as early as they may be.
    #[must_use]
    pub fn draw_peers(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws::new(seed, 0xd6e8_feb8_6659_fd93);
        let length_ms = seconds * 1_000;
        let single_fault =
            Fault { from_ms: 0, to_ms: length_ms, kind: FaultKind::NoTimeLeft { dispatcher: 0 } };
        let servers_per_role = draws.one_of(&[2, 3, 4]);
        let plan = Self {
            servers_per_role,
            requests_per_second: draws.one_of(&[20, 30]),
            objective_ms: OBJECTIVE_MS,
            event_interval_ms: EVENT_INTERVAL_MS,
            kills_at_earliest: true,
            ..Self::without_faults(seed, processes, length_ms)
        };
        match seed % PLANS_PER_SINGLE_FAULT {
            1 => Self { processes: 1, servers_per_role: 4, faults: vec![single_fault], ..plan },
            2 => {
                let kind = FaultKind::Pipelining { dispatcher: 0, count: PIPELINING_CLIENTS };
                let to_ms = length_ms.saturating_sub(FAULT_FREE_MS);
                let faults = vec![Fault { from_ms: FAULT_FREE_MS, to_ms, kind }];
                Self {
                    processes: 1,
                    event_interval_ms: LONG_EVENT_INTERVAL_MS,
                    memory_mb: SMALL_MEMORY_MB,
                    sockets: MANY_SOCKETS,
                    faults,
                    ..plan
                }
            }
            _ => Self { faults: draws.peer_groups(length_ms, processes, servers_per_role), ..plan },
        }
    }
}
