//! Plans of runs, drawn from a seed ([`draw`]). A plan is stored as JSON, so it can be run again and shrunk. Some JSON
//! names differ from the field names here: they are older and must not change, or stored plans could not be read.

mod draw;
mod slow_start;

use serde::{Deserialize, Serialize};

pub use slow_start::{prompt_tokens, work, ServerStart, SlowStart};

/// Everything that determines a run: its size, load, limits and faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that the plan was drawn from. It also seeds the clients' requests and their ids.
    pub seed: u64,
    /// Number of dispatchers.
    pub processes: usize,
    /// Length of the run in milliseconds.
    pub length_ms: u64,
    /// Number of readers, and also number of writers.
    #[serde(rename = "servers_of_a_role")]
    pub servers_per_role: usize,
    /// Rate of requests that the clients of one dispatcher send, on average.
    #[serde(rename = "rate")]
    pub requests_per_second: u32,
    /// Latency objective for the first token (ms). A dispatcher waits at least this long for an attempt.
    #[serde(rename = "aim_ms", default = "default_objective_ms")]
    pub objective_ms: u64,
    /// Upper limit of the clients' timeouts for the first token (ms).
    #[serde(default = "default_deadline_ms", skip_serializing_if = "is_default_deadline")]
    pub deadline_ms: u64,
    /// Whether a process that still runs after SIGTERM is killed at the earliest time at which the platform may do so.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub kills_at_earliest: bool,
    /// Time between two events of a stream (ms).
    #[serde(default = "default_event_interval_ms", skip_serializing_if = "is_default_event_interval")]
    pub event_interval_ms: u64,
    /// The memory limit of the dispatchers (MiB).
    #[serde(default = "default_memory_mb", skip_serializing_if = "is_default_memory")]
    pub memory_mb: u64,
    /// The number of sockets that each dispatcher may use.
    #[serde(default = "default_sockets", skip_serializing_if = "is_default_sockets")]
    pub sockets: usize,
    /// Capacity and slow start of the servers; `None` if they serve all that comes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_start: Option<SlowStart>,
    /// The faults to inject, in any order; they may overlap.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// Latency objective of stored plans that have none (ms).
fn default_objective_ms() -> u64 {
    400
}

/// Deadline of stored plans that have none (ms).
fn default_deadline_ms() -> u64 {
    3_000
}

/// Whether the deadline is left out of the JSON.
fn is_default_deadline(deadline_ms: &u64) -> bool {
    *deadline_ms == default_deadline_ms()
}

/// Time between two events of stored plans that have none (ms).
fn default_event_interval_ms() -> u64 {
    12
}

/// Whether the time between events is left out of the JSON.
fn is_default_event_interval(event_interval_ms: &u64) -> bool {
    *event_interval_ms == default_event_interval_ms()
}

/// Memory limit of stored plans that have none (MiB).
fn default_memory_mb() -> u64 {
    192
}

/// Whether the memory limit is left out of the JSON.
fn is_default_memory(memory_mb: &u64) -> bool {
    *memory_mb == default_memory_mb()
}

/// Sockets of a dispatcher in plans that set none.
pub const DEFAULT_SOCKETS: usize = 512;

/// Sockets of stored plans that have none.
fn default_sockets() -> usize {
    DEFAULT_SOCKETS
}

/// Whether the number of sockets is left out of the JSON.
fn is_default_sockets(sockets: &usize) -> bool {
    *sockets == default_sockets()
}

/// What a writer sends instead of the rest of its stream, at the pace of events, until its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessStream {
    /// Events in a chunk of gigabytes.
    HugeChunk,
    /// Events in a chunk of 100 KB.
    LongChunk,
    /// The size of a chunk.
    ChunkSize,
    /// Comments, each in a chunk.
    Comments,
    /// Events without data, each in a chunk.
    EmptyEvents,
    /// The event that ends an answer, and events behind it.
    AfterEnd,
}

impl EndlessStream {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::HugeChunk,
        Self::LongChunk,
        Self::ChunkSize,
        Self::Comments,
        Self::EmptyEvents,
        Self::AfterEnd,
    ];
}

/// A series of signals to a dispatcher process. Each one includes SIGTERM; once the process has exited, a new one is
/// started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalSeries {
    /// SIGHUP twice, then SIGTERM, without a pause.
    HupHupTerm,
    /// SIGTERM twice, without a pause.
    TermTerm,
    /// SIGTERM, then SIGHUP during the shutdown.
    TermHup,
    /// SIGSTOP, SIGTERM while the process is stopped, then SIGCONT.
    StopTermCont,
    /// SIGTERM within the first 0.1 s of a process, before it is ready.
    TermAtStart,
}

/// A fault that is injected for a span of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Begin, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the run. A fault that happens at one moment, such as a kill, ignores it.
    pub to_ms: u64,
    /// What goes wrong, and at which dispatcher or server.
    pub kind: FaultKind,
}

impl Fault {
    /// Whether the fault is in force at a time; its end is not included.
    #[must_use]
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms)
    }
}

/// The kinds of faults. Dispatchers and servers are given by index; the first half of the servers are readers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum FaultKind {
    /// Hot restart: a new process is started beside the old one, which is told to shut down once the new one is ready.
    Upgrade {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The process is told to shut down, and a new one is started after it has exited.
    Restart {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// SIGKILL, then a new process.
    Kill {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// SIGSTOP, then SIGCONT at the end of the fault.
    Stop {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// SIGHUP twice within 10 ms, each after the configuration file was written.
    Reload {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Whether the second file is truncated, and so invalid.
        broken: bool,
    },
    /// The server's machine is cut off from the network: open connections are silent, new ones are not established,
    /// and open ones are reset at the end.
    Cut {
        /// Index of the server.
        server: usize,
    },
    /// Connections that are open at the beginning fall silent, without an error; new ones work.
    Silence {
        /// Index of the server.
        server: usize,
    },
    /// All connections that are open at the beginning are reset.
    Reset {
        /// Index of the server.
        server: usize,
    },
    /// New connections are refused, because the server does not listen.
    Refuse {
        /// Index of the server.
        server: usize,
    },
    /// The server's process is stalled and continues at the end. Its kernel still accepts connections and bytes.
    StandStill {
        /// Index of the server.
        server: usize,
    },
    /// The server does its work, but its responses are lost on the way.
    LoseAnswers {
        /// Index of the server.
        server: usize,
    },
    /// A series of signals that ends in a shutdown and a new process.
    Signals {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// The signals and their order.
        series: SignalSeries,
    },
    /// The server receives requests and responds to none.
    Hang {
        /// Index of the server.
        server: usize,
    },
    /// The server responds later than usual.
    Slow {
        /// Index of the server.
        server: usize,
        /// Additional delay of each response (ms).
        by_ms: u64,
    },
    /// The server rejects attempts with a 503 response that says so (`X-Turned-Away`), so that they never ran.
    TurnAway {
        /// Index of the server.
        server: usize,
    },
    /// The server's streams are cut after two events.
    Break {
        /// Index of the server.
        server: usize,
    },
    /// The server closes a kept connection at the moment at which the next request arrives on it.
    CloseOnUse {
        /// Index of the server.
        server: usize,
    },
    /// A reader sends its response twice, the second some milliseconds after the first.
    AnswerTwice {
        /// Index of the server.
        server: usize,
    },
    /// A reader's response stays incomplete: its last bytes are never sent.
    NeverEnd {
        /// Index of the server.
        server: usize,
    },
    /// A writer's streams go on for ever without being whole, from the event of this index on.
    EndlessStreams {
        /// Index of the server.
        server: usize,
        /// Number of sound events before.
        after_events: usize,
        /// What comes instead.
        how: EndlessStream,
    },
    /// The server writes its answers slowly: a reader its body, a writer each event.
    SlowAnswers {
        /// Index of the server.
        server: usize,
        /// Time in the middle of a body or event (ms).
        over_ms: u64,
    },
    /// The server reads requests a few bytes at a time.
    SlowReads {
        /// Index of the server.
        server: usize,
    },
    /// The server drains from the beginning of the fault until the end of the run, and keeps running.
    Drain {
        /// Index of the server.
        server: usize,
    },
    /// The server drains from the beginning of the fault, and starts again, cold, at its end. A fault without length is
    /// a crash: all connections are reset, and the agents report nothing before the start.
    ServerStarts {
        /// Index of the server.
        server: usize,
    },
    /// The clients of a dispatcher send twice as many requests.
    Burst {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The discovery agent of a dispatcher does not respond.
    AgentDown {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The dispatcher's connections to its agent that are open at the beginning fall silent for good; calls on new
    /// connections are answered.
    WatchSilent {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Most clients close their connections while their requests are in flight.
    ClientsLeave {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Clients open connections on which they send nothing or only a part of a request.
    Idlers {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Number of such connections.
        count: usize,
    },
    /// Clients send their requests in pieces of a few bytes.
    Pieces {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Requests arrive with 1 to 50 ms left until their deadline.
    ShortTime {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The first five of each hundred requests have 30 ms left. Servers drop requests with under 100 ms without a word.
    NoTimeLeft {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Clients read their answers a few bytes at a time.
    SlowReaders {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The discovery agent writes its answers slowly.
    SlowAgent {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Time in the middle of an answer (ms).
        over_ms: u64,
    },
    /// Bad clients send requests with many header fields, several behind each other.
    Pipelining {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Number of clients.
        count: usize,
    },
    /// Bad clients send the ids of requests whose streams are under way.
    RepeatOpenIds {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Bad clients send the ids of requests that have ended.
    RepeatEndedIds {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Clients book at the chat front, several of them with the same words; links die, and some first tries never come.
    SharedWords {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// Clients take this long to write a request.
    SlowWriters {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Time from the first to the last byte of a request (ms).
        over_ms: u64,
    },
    /// Bad clients send bodies of almost the maximum length at once, in one wave after the other.
    LargeBodies {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Number of requests.
        count: usize,
        /// Length of the chunks of a body (bytes); 0 states the length of the body instead.
        chunk_bytes: usize,
    },
    /// A client connects anew for each of its requests, one after the other.
    ConnectAllTheTime {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// System calls of the dispatcher's processes fail by a rule of the fault shim. The times in the rule count from
    /// the start of each process; the times of the fault have no effect.
    Shim {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// The rule, in the syntax of the fault shim.
        rule: String,
    },
    /// As [`Shim`](Self::Shim), but not for the first process of the dispatcher.
    ShimLater {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// The rule, in the syntax of the fault shim.
        rule: String,
    },
}

impl FaultKind {
    /// The dispatcher whose processes, clients or agent the fault affects; `None` for a fault of a server.
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
            | Self::Burst { dispatcher }
            | Self::ClientsLeave { dispatcher }
            | Self::Idlers { dispatcher, .. }
            | Self::Pieces { dispatcher }
            | Self::ShortTime { dispatcher }
            | Self::NoTimeLeft { dispatcher }
            | Self::SlowReaders { dispatcher }
            | Self::SlowAgent { dispatcher, .. }
            | Self::Pipelining { dispatcher, .. }
            | Self::RepeatOpenIds { dispatcher }
            | Self::RepeatEndedIds { dispatcher }
            | Self::SharedWords { dispatcher }
            | Self::SlowWriters { dispatcher, .. }
            | Self::LargeBodies { dispatcher, .. }
            | Self::ConnectAllTheTime { dispatcher }
            | Self::Shim { dispatcher, .. }
            | Self::ShimLater { dispatcher, .. } => Some(dispatcher),
            _ => None,
        }
    }

    /// The server that the fault affects; `None` for a fault of a dispatcher.
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
            | Self::EndlessStreams { server, .. }
            | Self::SlowAnswers { server, .. }
            | Self::SlowReads { server }
            | Self::ServerStarts { server }
            | Self::Drain { server } => Some(server),
            _ => None,
        }
    }
}

impl Plan {
    /// The rules of the fault shim for a process of a dispatcher, separated by `;`. `is_first` is true for the process
    /// that the run starts with.
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

    /// Whether any dispatcher has clients that book at its chat front.
    #[must_use]
    pub fn has_chat_clients(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault.kind, FaultKind::SharedWords { .. }))
    }

    /// The faults that are in force at a time (ms since the start of the run).
    pub fn faults_at(&self, now_ms: u64) -> impl Iterator<Item = &FaultKind> {
        let in_force = self.faults.iter().filter(move |fault| fault.is_in_force(now_ms));
        in_force.map(|fault| &fault.kind)
    }

    /// Whether a fault that satisfies `is_kind` is in force at a time (ms since the start of the run).
    pub fn has(&self, now_ms: u64, is_kind: impl Fn(&FaultKind) -> bool) -> bool {
        self.faults_at(now_ms).any(is_kind)
    }
}
