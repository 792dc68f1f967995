//! Draws plans from seeds. The order of the random draws must not change, so that a seed whose plan once violated a
//! rule still gives the same plan.

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use super::{
    default_deadline_ms, default_event_interval_ms, default_memory_mb, default_objective_ms, Fault,
    FaultKind, Plan, SignalSeries, SlowStart,
};

/// Faults of each call that the dispatcher makes on its sockets: the errnos that the man pages document for its use of
/// the call, short reads and writes, and held monotonic clocks. Connection resets are not among them: the test servers
/// cause those, so that the event log shows them.
const SOCKET_FAULTS: [(&str, &[&str]); 6] = [
    ("accept", &["ECONNABORTED", "EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPERM"]),
    ("socket", &["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]),
    (
        "connect",
        &["EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR", "ENOBUFS", "EPERM", "ECONNREFUSED", "ETIMEDOUT"],
    ),
    ("recv", &["EINTR", "short"]),
    ("send", &["EINTR", "short"]),
    ("monotonic", &["hold60", "hold150"]),
];
/// Faults of the calls that the dispatcher makes on files.
const FILE_FAULTS: [(&str, &[&str]); 6] = [
    ("writefile", &["ENOSPC", "EIO", "short"]),
    ("rename", &["ENOSPC", "EIO"]),
    ("readfile", &["EIO", "EINTR"]),
    ("open", &["ENOSPC", "EIO", "ENFILE"]),
    ("flock", &["EINTR", "ENOLCK"]),
    ("fsync", &["EIO"]),
];
/// Faults of the calls with which the dispatcher opens its listeners at start.
const LISTEN_FAULTS: [(&str, &[&str]); 3] = [
    ("bind", &["EADDRINUSE", "EADDRNOTAVAIL", "ENOMEM"]),
    ("listen", &["EADDRINUSE"]),
    ("socket", &["ENFILE", "ENOBUFS"]),
];
/// Steps of the wall clock (ms).
const CLOCK_STEPS_MS: [i64; 6] = [-3_600_000, -5_000, -1_000, 1_000, 5_000, 3_600_000];

/// Time without faults after the start and before the end of a run (ms).
const FAULT_FREE_MS: u64 = 2_000;
/// A plan has one group of faults for each span of this length (ms).
const GROUP_INTERVAL_MS: u64 = 5_000;
/// Interval between groups of faults in plans of stalled servers (ms).
const STOPPED_GROUP_INTERVAL_MS: u64 = 3_000;
/// Interval between groups of faults in plans of replaced processes (ms): longer than a shutdown takes.
const REPLACED_GROUP_INTERVAL_MS: u64 = 6_000;
/// Time between two events in plans of replaced processes (ms): streams outlast the start of the new process, and many of
/// them the end of the old one.
const REPLACED_EVENT_INTERVAL_MS: u64 = 350;
/// Memory limit in plans of replaced processes (MiB), in the lower half of what the platform gives.
const REPLACED_MEMORY_MB: u64 = 48;
/// Begin of a release (ms): until then the dispatchers learn what warm servers serve.
const RELEASE_FROM_MS: u64 = 8_000;
/// Time for which a server drains before it starts again (ms).
const RELEASE_DRAIN_MS: u64 = 1_200;
/// Time from one burst to the next (ms).
const BURST_INTERVAL_MS: usize = 4_000;
/// Time for which the platform may hold a process up (ms).
const HELD_UP_MS: u64 = 150;
/// How long a client connects all the time from the start of an upgrade or the end of a process (ms): until the listener
/// has closed.
const CONNECTING_TIME_MS: u64 = 2_000;
/// The shim's rule that holds up a process as it closes a listener, for less than an event of a stream may be late.
const HELD_CLOSE_RULE: &str = "closelistener:hold60@0-600000";
/// Minimum length of a fault (ms).
const MIN_LENGTH_MS: u64 = 20;
/// End of shim rules that only affect the start of a process (ms since the start of the process).
const START_PHASE_MS: u64 = 1_500;

/// Begin and end of a fault in milliseconds, since the start of the run or, in shim rules, of the process.
#[derive(Clone, Copy)]
struct Span {
    from_ms: u64,
    to_ms: u64,
}

/// Span of shim rules that only affect the start of a process.
const START_PHASE: Span = Span { from_ms: 0, to_ms: START_PHASE_MS };

/// The random number generator of a plan.
struct Draws(Pcg64Mcg);

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit.max(1)
    }

    fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.index(all.len())]
    }

    /// Draws a rule of the fault shim: a call, its effect and a rate per mille.
    fn shim_rule(&mut self, faults: &[(&str, &[&str])], span: Span) -> String {
        let (call, effects) = self.one_of(faults);
        let effect = self.one_of(effects);
        let permille = match call {
            "monotonic" => 2,
            "recv" | "send" => self.one_of(&[30, 200]),
            _ => self.one_of(&[100, 500, 1_000]),
        };
        format!("{call}:{effect}@{}-{}%{permille}", span.from_ms, span.to_ms)
    }

    /// Draws a rule of the fault shim that steps the wall clock for the rest of the run.
    fn clock_rule(&mut self, from_ms: u64) -> String {
        format!("clock:{}@{from_ms}-600000", self.one_of(&CLOCK_STEPS_MS))
    }

    /// Draws a rule for the first process of a dispatcher: a clock step or a file fault.
    fn first_process_rule(&mut self, span: Span) -> String {
        match self.below(3) {
            0 => self.clock_rule(span.from_ms),
            1 => self.shim_rule(&FILE_FAULTS, span),
            _ => self.shim_rule(&FILE_FAULTS, START_PHASE),
        }
    }

    /// Draws a rule for later processes: a clock step, a file fault or a listener fault, in force from their start.
    fn later_process_rule(&mut self) -> String {
        match self.below(3) {
            0 => self.clock_rule(0),
            1 => self.shim_rule(&FILE_FAULTS, START_PHASE),
            _ => self.shim_rule(&LISTEN_FAULTS, START_PHASE),
        }
    }

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
        let mut draws = Draws(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x94d0_49bb_1331_11eb)));
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
            seed,
            processes,
            length_ms,
            servers_per_role,
            requests_per_second,
            objective_ms: default_objective_ms(),
            deadline_ms: 2_000,
            kills_at_earliest: true,
            event_interval_ms: default_event_interval_ms(),
            memory_mb: default_memory_mb(),
            slow_start: Some(slow_start),
            faults,
        }
    }

    /// Draws a plan of a given length with faults of all kinds.
    #[must_use]
    pub fn draw(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let length_ms = seconds * 1_000;
        let servers_per_role = draws.one_of(&[2, 3, 4]);
        let mut faults = draws.fault_groups(length_ms, processes, 2 * servers_per_role);
        let requests_per_second = draws.one_of(&[4, 10, 20]);
        let objective_ms = draws.one_of(&[default_objective_ms(), 1_500]);
        // Drawn last: it was added later, and the other faults of existing seeds had to stay the same.
        faults.push(draws.exchange_fault(length_ms, processes, servers_per_role));
        Self {
            seed,
            processes,
            length_ms,
            servers_per_role,
            requests_per_second,
            objective_ms,
            deadline_ms: default_deadline_ms(),
            kills_at_earliest: false,
            event_interval_ms: default_event_interval_ms(),
            memory_mb: default_memory_mb(),
            slow_start: None,
            faults,
        }
    }

    /// Draws a plan of a given length with stalled servers, series of signals and short deadlines. Processes that shut
    /// down are killed at the earliest time at which the platform may do so.
    #[must_use]
    pub fn draw_stopped(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0xd134_2543_de82_ef95)));
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
            seed,
            processes,
            length_ms,
            servers_per_role,
            requests_per_second,
            objective_ms,
            deadline_ms,
            kills_at_earliest: true,
            event_interval_ms: default_event_interval_ms(),
            memory_mb: default_memory_mb(),
            slow_start: None,
            faults,
        }
    }

    /// Draws a plan of a given length in which processes are replaced under long streams, by upgrades, restarts and
    /// early kills, while clients repeat open ids, write slowly, or send as much as they may.
    #[must_use]
    pub fn draw_replaced(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut draws = Draws(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0xbf58_476d_1ce4_e5b9)));
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
            seed,
            processes,
            length_ms,
            servers_per_role,
            requests_per_second,
            objective_ms: default_objective_ms().min(deadline_ms),
            deadline_ms,
            kills_at_earliest: true,
            event_interval_ms: REPLACED_EVENT_INTERVAL_MS,
            memory_mb: REPLACED_MEMORY_MB,
            slow_start: None,
            faults,
        }
    }
}
