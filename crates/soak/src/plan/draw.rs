//! Draws plans from seeds. The order of the random draws must not change, so that a seed whose plan once violated a
//! rule still gives the same plan.

mod overlapping;
mod peers;
mod released;
mod repeated;
mod replaced;
mod stopped;

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use super::{
    default_deadline_ms, default_event_interval_ms, default_memory_mb, default_objective_ms, default_sockets,
    Plan,
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
    /// The generator of a plan. Each way to draw plans has its own odd multiplier of the seed.
    fn new(seed: u64, multiplier: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(multiplier)))
    }

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
}

impl Plan {
    /// A plan without faults or traffic, with the default times and limits.
    fn without_faults(seed: u64, processes: usize, length_ms: u64) -> Self {
        Self {
            seed,
            processes,
            length_ms,
            servers_per_role: 0,
            requests_per_second: 0,
            objective_ms: default_objective_ms(),
            deadline_ms: default_deadline_ms(),
            kills_at_earliest: false,
            event_interval_ms: default_event_interval_ms(),
            memory_mb: default_memory_mb(),
            sockets: default_sockets(),
            slow_start: None,
            faults: Vec::new(),
        }
    }
}
