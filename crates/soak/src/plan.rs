//! Plans: what is played, drawn from a seed ([`draw`]). A plan is JSON, and can be played again and shrunk; the names
//! in the JSON are older than those here, and stay.

mod draw;

use serde::{Deserialize, Serialize};

/// A play from its start to its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What it was drawn from; also the seed of clients and servers.
    pub seed: u64,
    /// Dispatchers.
    pub processes: usize,
    /// How long it is played.
    pub length_ms: u64,
    /// Servers that read, and as many that write.
    #[serde(rename = "servers_of_a_role")]
    pub servers_per_role: usize,
    /// Requests of each dispatcher's clients per second.
    #[serde(rename = "rate")]
    pub requests_per_second: u32,
    /// The latency objective: by when first tokens are wanted (ms). Dispatchers wait so long at least for an attempt.
    #[serde(rename = "aim_ms", default = "default_objective_ms")]
    pub objective_ms: u64,
    /// The longest that clients wait for a first token (ms).
    #[serde(default = "default_deadline_ms", skip_serializing_if = "is_default_deadline")]
    pub deadline_ms: u64,
    /// Processes that were told to end are killed as early as the platform may do so.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub kills_at_earliest: bool,
    /// What goes wrong.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// The latency objective of plans that name none (ms).
fn default_objective_ms() -> u64 {
    400
}

/// The deadline of plans that name none (ms).
fn default_deadline_ms() -> u64 {
    3_000
}

fn is_default_deadline(deadline_ms: &u64) -> bool {
    *deadline_ms == default_deadline_ms()
}

/// A series of signals to a process; at its end the process was told to end, and another one is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalSeries {
    /// SIGHUP twice, then SIGTERM.
    HupHupTerm,
    /// SIGTERM twice.
    TermTerm,
    /// SIGTERM, and SIGHUP within the shutdown.
    TermHup,
    /// SIGSTOP, SIGTERM, SIGCONT.
    StopTermCont,
    /// SIGTERM in the first 0.1 s of a process.
    TermAtStart,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins (ms).
    pub from_ms: u64,
    /// When it is over (ms).
    pub to_ms: u64,
    /// What it is.
    pub kind: FaultKind,
}

impl Fault {
    /// Whether it is in force at a time.
    #[must_use]
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms)
    }
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum FaultKind {
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
    /// Its process stands still, and goes on at the end: its machine takes connections and bytes.
    StandStill {
        /// The server.
        server: usize,
    },
    /// Its answers are lost on the way: it has done what was asked, and nobody is told.
    LoseAnswers {
        /// The server.
        server: usize,
    },
    /// A series of signals.
    Signals {
        /// The dispatcher.
        dispatcher: usize,
        /// Which signals.
        series: SignalSeries,
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

impl FaultKind {
    /// The dispatcher whose processes or clients it is about, if it is about one.
    #[must_use]
    pub fn dispatcher(&self) -> Option<usize> {
        match *self {
            Self::Upgrade { dispatcher }
            | Self::Restart { dispatcher }
            | Self::Kill { dispatcher }
            | Self::Stop { dispatcher }
            | Self::Reload { dispatcher, .. }
            | Self::Signals { dispatcher, .. }
            | Self::AgentDown { dispatcher }
            | Self::WatchSilent { dispatcher }
            | Self::ClientsLeave { dispatcher }
            | Self::Idlers { dispatcher, .. }
            | Self::Pieces { dispatcher }
            | Self::ShortTime { dispatcher }
            | Self::Shim { dispatcher, .. }
            | Self::ShimLater { dispatcher, .. } => Some(dispatcher),
            _ => None,
        }
    }

    /// The server that it is about, if it is about one.
    #[must_use]
    pub fn server(&self) -> Option<usize> {
        match *self {
            Self::Cut { server }
            | Self::StandStill { server }
            | Self::LoseAnswers { server }
            | Self::Silence { server }
            | Self::Reset { server }
            | Self::Refuse { server }
            | Self::Hang { server }
            | Self::Slow { server, .. }
            | Self::TurnAway { server }
            | Self::Break { server }
            | Self::CloseOnUse { server }
            | Self::AnswerTwice { server }
            | Self::NeverEnd { server }
            | Self::Drain { server } => Some(server),
            _ => None,
        }
    }
}

impl Plan {
    /// The rules of the fault shim for a process of a dispatcher; the first process is the one that the play starts
    /// with.
    #[must_use]
    pub fn shim_rules(&self, dispatcher: usize, is_first: bool) -> String {
        let mut rules = Vec::new();
        for fault in &self.faults {
            match &fault.kind {
                FaultKind::Shim { dispatcher: of, rule } if *of == dispatcher => rules.push(rule.as_str()),
                FaultKind::ShimLater { dispatcher: of, rule } if *of == dispatcher && !is_first => {
                    rules.push(rule.as_str());
                }
                _ => {}
            }
        }
        rules.join(";")
    }

    /// The faults that are in force at a time.
    pub fn faults_at(&self, now_ms: u64) -> impl Iterator<Item = &FaultKind> {
        let in_force = self.faults.iter().filter(move |fault| fault.is_in_force(now_ms));
        in_force.map(|fault| &fault.kind)
    }

    /// Whether some fault of a kind is in force at a time.
    pub fn has(&self, now_ms: u64, is_kind: impl Fn(&FaultKind) -> bool) -> bool {
        self.faults_at(now_ms).any(is_kind)
    }
}
