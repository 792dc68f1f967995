//! Plans of releases of servers of limited capacity.

use super::{Draws, FAULT_FREE_MS, MIN_LENGTH_MS};
use crate::plan::{Fault, FaultKind, Plan, SignalSeries, SlowStart};

/// Begin of a release (ms): until then the dispatchers learn what warm servers serve.
const RELEASE_FROM_MS: u64 = 8_000;
/// Time for which a server drains before it starts again (ms).
const RELEASE_DRAIN_MS: u64 = 1_200;
/// Time from one burst to the next (ms).
const BURST_INTERVAL_MS: usize = 4_000;
/// Time for which the platform may hold a process up (ms).
const HELD_UP_MS: u64 = 150;

/// The starts of servers in a release: one after the other drains and comes back, but for the first of each role.
fn release(servers_per_role: usize, interval_ms: u64) -> Vec<Fault> {
    let replaced = (1..servers_per_role).flat_map(|at| [at, servers_per_role + at]);
    let start = |(position, server): (usize, usize)| {
        let from_ms = RELEASE_FROM_MS + position as u64 * interval_ms / 2;
        Fault { from_ms, to_ms: from_ms + RELEASE_DRAIN_MS, kind: FaultKind::ServerStarts { server } }
    };
    replaced.enumerate().map(start).collect()
}

impl Draws {
    /// Draws a server that crashes and starts again, several times.
    fn restart_loop(&mut self, servers: usize) -> Vec<Fault> {
        let server = self.index(2) * servers;
        let interval_ms = self.one_of(&[900, 2_000, 3_400]);
        let crash_ms = |at: u64| RELEASE_FROM_MS - 2_000 + at * interval_ms;
        let kind = FaultKind::ServerStarts { server };
        (0..4).map(|at| Fault { from_ms: crash_ms(at), to_ms: crash_ms(at), kind: kind.clone() }).collect()
    }

    /// Draws a fault of a dispatcher during a release.
    fn release_fault(&mut self, dispatcher: usize) -> (FaultKind, u64) {
        match self.below(8) {
            0 => (FaultKind::Restart { dispatcher }, MIN_LENGTH_MS),
            1 => (FaultKind::Upgrade { dispatcher }, MIN_LENGTH_MS),
            2 => (FaultKind::Kill { dispatcher }, MIN_LENGTH_MS),
            3 => (FaultKind::Idlers { dispatcher, count: 300 }, 1_500),
            4 => {
                let series =
                    self.one_of(&[SignalSeries::HupHupTerm, SignalSeries::TermTerm, SignalSeries::TermHup]);
                (FaultKind::Signals { dispatcher, series }, MIN_LENGTH_MS)
            }
            _ => (FaultKind::Stop { dispatcher }, HELD_UP_MS),
        }
    }
}

impl Plan {
    /// Draws a plan of a given length in which a release replaces one server of limited capacity after the other, with
    /// bursts, servers that start again and again, and dispatchers that are held up or replaced.
    #[must_use]
    pub fn draw_released(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws::new(seed, 0x94d0_49bb_1331_11eb);
        let length_ms = seconds * 1_000;
        let processes = draws.one_of(&[1, processes, processes, 2 * processes]);
        let servers_per_role = draws.one_of(&[4, 6]);
        let requests_per_second = draws.one_of(&[60, 120, 200]) / processes as u32;
        let load = draws.one_of(&[0.5, 0.65, 0.9]);
        let rate = f64::from(requests_per_second) * processes as f64;
        let slow_start = SlowStart {
            capacity: (rate / load / servers_per_role as f64).round(),
            min_share: draws.one_of(&[0.26, 0.26, 0.1]),
            warm_after_ms: draws.one_of(&[6_000, 14_000]),
            overload_multiple: 2.5,
            window_ms: draws.one_of(&[1_000, 1_000, 1_500]),
            sizes_differ: draws.below(2) == 0,
        };
        let interval_ms = draws.one_of(&[1_000, 2_000]);
        let mut faults = release(servers_per_role, interval_ms);
        if draws.below(2) == 0 {
            faults.extend(draws.restart_loop(servers_per_role));
        }
        for from_ms in (RELEASE_FROM_MS..length_ms).step_by(BURST_INTERVAL_MS) {
            let burst = |dispatcher| FaultKind::Burst { dispatcher };
            let fault = |dispatcher| Fault { from_ms, to_ms: from_ms + 1_000, kind: burst(dispatcher) };
            faults.extend((0..processes).map(fault));
            let (kind, length_ms) = {
                let dispatcher = draws.index(processes);
                draws.release_fault(dispatcher)
            };
            let from_ms = from_ms + draws.below(1_500);
            faults.push(Fault { from_ms, to_ms: from_ms + length_ms, kind });
        }
        faults.retain(|fault| fault.to_ms + FAULT_FREE_MS <= length_ms);
        Self {
            servers_per_role,
            requests_per_second,
            deadline_ms: 2_000,
            kills_at_earliest: true,
            slow_start: Some(slow_start),
            faults,
            ..Self::without_faults(seed, processes, length_ms)
        }
    }
}
