//! Plans: what is played, drawn from a seed. A plan is JSON, and can be played again and shrunk.

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// A play from its start to its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What it was drawn from; also the seed of clients and servers.
    pub seed: u64,
    /// Dispatchers.
    pub processes: usize,
    /// How long it is played (ms).
    pub length_ms: u64,
    /// Servers that read, and as many that write.
    pub servers_of_a_role: usize,
    /// Requests of each dispatcher's clients in a second.
    pub rate: u32,
    /// By when first tokens are wanted (ms): dispatchers wait so long at least for an attempt.
    #[serde(default = "short_aim")]
    pub aim_ms: u64,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

/// The aim of plans that name none (ms).
fn short_aim() -> u64 {
    400
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// When it begins (ms).
    pub from_ms: u64,
    /// When it is over (ms).
    pub to_ms: u64,
    /// What it is.
    pub kind: Kind,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Kind {
    /// A new process is started beside the old one, which is told to end once the new one is ready.
    Upgrade {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// The process is told to end, and a new one is started when it has.
    Restart {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// SIGKILL, and a new process.
    Kill {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// SIGSTOP, and SIGCONT at the end.
    Stop {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// SIGHUP twice in 10 ms; the file is broken in between where that is said.
    Reload {
        /// The dispatcher.
        dispatcher: usize,
        /// Whether the second file is broken.
        broken: bool,
    },
    /// The server's machine is cut off: open connections are silent, new ones do not come up, and what was open is
    /// reset at the end.
    Cut {
        /// The server.
        server: usize,
    },
    /// Only open connections fall silent, without an error; new ones come up.
    Silence {
        /// The server.
        server: usize,
    },
    /// All open connections are reset, at the beginning.
    Reset {
        /// The server.
        server: usize,
    },
    /// Connections are refused: nobody listens.
    Refuse {
        /// The server.
        server: usize,
    },
    /// It takes requests and answers none.
    Hang {
        /// The server.
        server: usize,
    },
    /// It answers so much later.
    Slow {
        /// The server.
        server: usize,
        /// How much later (ms).
        by_ms: u64,
    },
    /// It turns requests away, and says so.
    TurnAway {
        /// The server.
        server: usize,
    },
    /// Its streams break after two events.
    Break {
        /// The server.
        server: usize,
    },
    /// It closes connections at the moment of their next use.
    CloseOnUse {
        /// The server.
        server: usize,
    },
    /// Readers' answers come twice, the second some milliseconds after the first.
    AnswerTwice {
        /// The server.
        server: usize,
    },
    /// Readers' answers never come to their end.
    NeverEnd {
        /// The server.
        server: usize,
    },
    /// It drains from then on, and goes on being there.
    Drain {
        /// The server.
        server: usize,
    },
    /// The agent of a dispatcher is silent and learns nothing.
    AgentDown {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// Open watches of a dispatcher fall silent, once; new calls are answered.
    WatchSilent {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// Clients close their connections while their requests are open.
    ClientsLeave {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// Clients open idle and half-written connections.
    Idlers {
        /// The dispatcher.
        dispatcher: usize,
        /// So many.
        count: usize,
    },
    /// Clients send their requests in small pieces.
    Pieces {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// Requests have 1 to 50 ms left.
    ShortTime {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// System calls of a dispatcher's processes fail, from their start. Times in the rule are since that.
    Shim {
        /// The dispatcher.
        dispatcher: usize,
        /// A rule of the fault shim.
        rule: String,
    },
    /// The same, of the processes that are started after the first one only.
    ShimLater {
        /// The dispatcher.
        dispatcher: usize,
        /// A rule of the fault shim.
        rule: String,
    },
}

/// Errnos of each call that the program makes on its sockets, as their man pages document them for what it does. A
/// reset of the stream itself is not among them: peers make those, and the ledger shows them.
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
/// The same of files.
const FILE_FAULTS: [(&str, &[&str]); 6] = [
    ("writefile", &["ENOSPC", "EIO", "short"]),
    ("rename", &["ENOSPC", "EIO"]),
    ("readfile", &["EIO", "EINTR"]),
    ("open", &["ENOSPC", "EIO", "ENFILE"]),
    ("flock", &["EINTR", "ENOLCK"]),
    ("fsync", &["EIO"]),
];
/// Failures of calls that are made at the start.
const START_FAULTS: [(&str, &[&str]); 3] = [
    ("bind", &["EADDRINUSE", "EADDRNOTAVAIL", "ENOMEM"]),
    ("listen", &["EADDRINUSE"]),
    ("socket", &["ENFILE", "ENOBUFS"]),
];
/// Steps of the wall clock (ms).
const STEPS: [i64; 6] = [-3_600_000, -5_000, -1_000, 1_000, 5_000, 3_600_000];

/// Draws of a plan.
struct Lots(Pcg64Mcg);

impl Lots {
    fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit.max(1)
    }

    fn of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }

    fn fault(&mut self, of: &[(&str, &[&str])], from: u64, to: u64) -> String {
        let (call, effects) = self.of(of);
        let effect = self.of(effects);
        let permille = match call {
            "monotonic" => 2,
            "recv" | "send" => self.of(&[30, 200]),
            _ => self.of(&[100, 500, 1_000]),
        };
        format!("{call}:{effect}@{from}-{to}%{permille}")
    }
}

/// Time before the first trouble and after the last (ms).
const QUIET_MS: u64 = 2_000;

impl Plan {
    /// Draws a plan: two or three troubles at a time, for `seconds`.
    #[must_use]
    pub fn draw(seed: u64, processes: usize, seconds: u64) -> Self {
        let mut lots = Lots(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let length_ms = seconds * 1_000;
        let servers_of_a_role = lots.of(&[2, 3, 4]);
        let mut troubles = Vec::new();
        // Times at which several troubles come together.
        let knots = (length_ms / 5_000).max(1);
        for knot in 0..knots {
            let span = (length_ms.saturating_sub(2 * QUIET_MS)) / knots;
            let at = QUIET_MS + knot * span + lots.below(span / 2);
            for _ in 0..2 + lots.below(2) {
                let from_ms = at + lots.below(600);
                let length = lots.of(&[50, 300, 800, 1_500, 3_000]);
                let to_ms = (from_ms + length).min(length_ms.saturating_sub(QUIET_MS));
                let kind = Self::trouble(&mut lots, processes, servers_of_a_role, from_ms, to_ms);
                troubles.push(Trouble { from_ms, to_ms: to_ms.max(from_ms + 20), kind });
            }
        }
        let rate = lots.of(&[4, 10, 20]);
        let aim_ms = lots.of(&[short_aim(), 1_500]);
        // Drawn last, so that a seed's other troubles are as they were before there was this one.
        let from_ms = QUIET_MS + lots.below(length_ms.saturating_sub(2 * QUIET_MS));
        let (server, dispatcher) =
            (lots.below(servers_of_a_role as u64) as usize, lots.below(processes as u64) as usize);
        let kind = match lots.below(3) {
            0 => Kind::AnswerTwice { server },
            1 => Kind::NeverEnd { server },
            _ => Kind::Pieces { dispatcher },
        };
        troubles.push(Trouble { from_ms, to_ms: from_ms + lots.of(&[300, 1_500, 3_000]), kind });
        Self { seed, processes, length_ms, servers_of_a_role, rate, aim_ms, troubles }
    }

    fn trouble(lots: &mut Lots, processes: usize, servers: usize, from: u64, to: u64) -> Kind {
        let dispatcher = lots.below(processes as u64) as usize;
        let server = lots.below(2 * servers as u64) as usize;
        match lots.below(28) {
            0 | 1 => Kind::Upgrade { dispatcher },
            2 | 3 => Kind::Restart { dispatcher },
            4 => Kind::Kill { dispatcher },
            5 => Kind::Stop { dispatcher },
            6 => Kind::Reload { dispatcher, broken: lots.below(2) == 0 },
            7 | 8 => Kind::Cut { server },
            9 | 10 => Kind::Silence { server },
            11 => Kind::Reset { server },
            12 => Kind::Refuse { server },
            13 => Kind::Hang { server },
            14 => Kind::Slow { server, by_ms: lots.of(&[100, 400, 1_000]) },
            15 => Kind::TurnAway { server },
            16 => Kind::Break { server },
            17 => Kind::CloseOnUse { server },
            18 => Kind::Drain { server },
            19 => Kind::AgentDown { dispatcher },
            20 => Kind::WatchSilent { dispatcher },
            21 => Kind::ClientsLeave { dispatcher },
            22 => Kind::Idlers { dispatcher, count: lots.of(&[50, 300, 700]) },
            23 => Kind::ShortTime { dispatcher },
            24 | 25 => Kind::Shim { dispatcher, rule: lots.fault(&SOCKET_FAULTS, from, to) },
            26 => {
                let rule = match lots.below(3) {
                    0 => format!("clock:{}@{from}-600000", lots.of(&STEPS)),
                    1 => lots.fault(&FILE_FAULTS, from, to),
                    _ => lots.fault(&FILE_FAULTS, 0, 1_500),
                };
                Kind::Shim { dispatcher, rule }
            }
            _ => {
                let rule = match lots.below(3) {
                    0 => format!("clock:{}@0-600000", lots.of(&STEPS)),
                    1 => lots.fault(&FILE_FAULTS, 0, 1_500),
                    _ => lots.fault(&START_FAULTS, 0, 1_500),
                };
                Kind::ShimLater { dispatcher, rule }
            }
        }
    }

    /// The plan of the fault shim for a dispatcher's process; `first` is the one that the play starts with.
    #[must_use]
    pub fn shim(&self, of: usize, first: bool) -> String {
        let rules = self.troubles.iter().filter_map(|trouble| match &trouble.kind {
            Kind::Shim { dispatcher, rule } if *dispatcher == of => Some(rule.as_str()),
            Kind::ShimLater { dispatcher, rule } if *dispatcher == of && !first => Some(rule.as_str()),
            _ => None,
        });
        rules.collect::<Vec<_>>().join(";")
    }

    /// Whether some trouble holds at a time (ms).
    pub fn holds(&self, now: u64, is: impl Fn(&Kind) -> bool) -> bool {
        let holds = |trouble: &&Trouble| (trouble.from_ms..trouble.to_ms).contains(&now) && is(&trouble.kind);
        self.troubles.iter().any(|trouble| holds(&trouble))
    }
}
