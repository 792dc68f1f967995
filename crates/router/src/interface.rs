//! The types that pass between a front and its [`Router`](crate::Router): settings handed over at start,
//! events that tell what happened, and actions that say what to do. Nothing here decides anything.
//!
//! All times are whole microseconds. [`Micros`] serves for points on the front's clock and for lengths.

use std::collections::BTreeMap;

use crate::handover::Handover;

/// A point on the front's clock, or a length of time, in microseconds.
pub type Micros = u64;

/// A request, as named by the client layer; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// As log lines name it: sixteen hexadecimal digits, as clients write ids.
impl std::fmt::Display for RequestId {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// A server. Says nothing of zone, kind or age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A rack of servers between which state moves cheaply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// A session or a shared beginning, as a stable hash of its text: all fronts get the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// Hashes a key's text (64-bit FNV-1a).
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }))
    }
}

/// A timer's token, picked by the router and handed back when the timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What a server can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads prompts and keeps the state until a writer fetches it.
    Reader,
    /// Fetches a state and streams the answer.
    Writer,
    /// Does either, or both for one request.
    Mixed,
}

/// Whether repeating a request of a class does harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Idempotent,
    /// Repeats are dropped within a group of servers, for a time.
    Deduplicated,
    /// Must not run twice.
    AtMostOnce,
}

/// Which servers drop each other's repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How long a client waits for the first token where it does not say so.
    pub default_timeout: Micros,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// No new request has it: it is kept for those that are open.
    pub retired: bool,
    /// First token wanted within this time.
    pub latency_objective: Micros,
    /// Added to the aim for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Micros,
    /// Wanted time between tokens, if told.
    pub token_interval_objective: Micros,
    /// Whether repeating does harm.
    pub effect: Effect,
    /// Which servers drop repeats.
    pub dedup_group: DedupGroup,
    /// How long they remember, from the send of the first attempt that may have run.
    pub dedup_window: Micros,
    /// Worth of a request, or of a unit of its work.
    pub priority_weight: f64,
}

/// A kind of server.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// What it can do.
    pub role: Role,
    /// Its memory in tokens; 0 if not told.
    pub memory_tokens: u64,
}

/// What a front is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of fronts.
    pub dispatcher_count: u32,
    /// This front's own zone.
    pub zone: ZoneId,
    /// The classes of requests, by number.
    pub classes: BTreeMap<u32, Class>,
    /// The kinds of servers, by number.
    pub kinds: Vec<Kind>,
    /// The list of servers must be asked for.
    pub must_subscribe: bool,
    /// Without asking for this long, a front counts as told.
    pub max_list_age: Micros,
    /// Calling off an attempt is allowed.
    pub may_cancel: bool,
    /// Messages to other fronts are allowed.
    pub peers: bool,
    /// Price of 256 bytes delivered for each first try, in shares of the whole result.
    pub gossip_price: f64,
    /// A writer reads a prompt itself when there is no state to fetch.
    pub writers_can_read: bool,
    /// Longest advice a client follows.
    pub max_retry_after: Micros,
    /// A state or place must be taken or let go within this.
    pub max_hold_time: Micros,
    /// Shortest time between two batches of events.
    pub resolution: Micros,
    /// A starting server has at least this share of its capacity.
    pub slow_start_min_share: f64,
    /// And is warm after this.
    pub slow_start_window: Micros,
    /// The report field that holds the share of a server's memory held, where the settings name one.
    pub memory_field: Option<usize>,
    /// Sent more than this many times its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold server falls over.
    pub overload_window: Micros,
}

impl Class {
    /// The aim for the first token of a prompt of so many tokens (us): reading a long one takes longer.
    #[must_use]
    pub fn latency_objective_for(&self, prompt_tokens: u64) -> f64 {
        self.latency_objective as f64
            + self.latency_objective_per_1000_tokens as f64 * prompt_tokens as f64 / 1_000.0
    }
}

impl Settings {
    /// The classes that new requests may have.
    pub fn current(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().filter(|class| !class.retired)
    }

    /// The shortest aim of any class (us).
    #[must_use]
    pub fn shortest_latency_objective(&self) -> f64 {
        self.current().map(|class| class.latency_objective).min().unwrap_or(1_000_000) as f64
    }
}

/// A server's state as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Ready,
    /// Completes its work; nothing new may be sent.
    Terminating,
    /// Taken away.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its size against others of its role.
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started: Option<Micros>,
    /// Its state.
    pub health: Health,
    /// Its kind, by number.
    pub kind: u32,
}

/// How a list update is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only changed entries.
    Patch,
    /// The whole list; what is not in it has gone.
    Full,
    /// The whole list as this front last had it.
    StaleCopy,
    /// A call failed; the old list stands.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Its id.
    pub id: RequestId,
    /// Its class, by number.
    pub class: u32,
    /// Its session.
    pub session: Option<Key>,
    /// The beginning that it shares with other sessions.
    pub shared: Option<Key>,
    /// How many tokens of the prompt that beginning has.
    pub shared_tokens: u64,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The most tokens that the answer can have.
    pub max_tokens: u64,
    /// Rough length of the answer, as time at the class's token aim.
    pub hint: Option<Micros>,
    /// When the client abandons this try.
    pub not_after: Micros,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The prompt has been read; its state waits at the reader.
    Read,
    /// The server answered with an error; it might have run.
    Error,
    /// Turned away, never ran.
    Full,
    /// There was no state to fetch; never ran.
    NoState,
    /// No answer in time; it might have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it might have run.
    Reset,
    /// The server's machine acknowledged not all of it in time; it might have run, as acknowledgements get lost too.
    Unacknowledged,
    /// Called off; it might have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Not known to this version; it might have run.
    Unknown,
}

impl Outcome {
    /// Whether the attempt may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Read | Self::Full | Self::NoState | Self::ConnectFailed | Self::NotSent)
    }
}

/// Most fields a load report has (`x0` to `x3`).
pub const REPORT_FIELDS: usize = 4;

/// A server's load report, as sent: the value of `xN` at `values[N]`. What each field means differs from
/// site to site; the settings say it (`domain.report_xN`), and the router reads it there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Values by field number; `None` where a field is absent, `-` or no number.
    pub values: [Option<f64>; REPORT_FIELDS],
}

impl Report {
    /// Sets a field by its name on the wire, `x0` to `x3`; other names are not load figures and are left.
    pub fn set(&mut self, name: &str, value: Option<f64>) {
        if let Some(at) = report_field(name) {
            self.values[at] = value;
        }
    }
}

/// The number of a report field named `xN`, where N is under [`REPORT_FIELDS`].
#[must_use]
pub fn report_field(name: &str) -> Option<usize> {
    let at: usize = name.strip_prefix('x')?.parse().ok()?;
    (at < REPORT_FIELDS).then_some(at)
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptFinished {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u32,
    /// The server that it went to.
    pub server: ServerId,
    /// Time since it was sent.
    pub taken: Micros,
    /// How it ended.
    pub outcome: Outcome,
    /// Prompt tokens found kept (with `Read` and `Served`).
    pub cached_tokens: u64,
    /// The request is over.
    pub last: bool,
    /// The server's load report, if one came along.
    pub report: Option<Report>,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointsUpdated {
        /// How to read the entries.
        how: ListUpdateKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client asks.
    RequestArrived(RequestInfo),
    /// The answer has begun to stream.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// Time since it was sent.
        taken: Micros,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// The client has left.
    ClientDisconnected(RequestId),
    /// A timer is due.
    TimerFired(TimerToken),
    /// A message of another front.
    GossipReceived(Vec<u8>),
    /// The settings have changed.
    SettingsReloaded {
        /// What holds from now on.
        settings: Box<Settings>,
        /// For classes with a new number, the one that they had before.
        class_renumbering: BTreeMap<u32, u32>,
    },
    /// What the process whose place this one takes has learnt.
    StateImported(Box<Handover>),
    /// The part of its front that this process is from now on: of what all may send, it may send so much.
    LimitShareChanged(f64),
    /// News that needs no answer from this design: probes, places held ahead.
    Ignored,
}

/// What the front is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server, for this long at most.
    Assign {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out.
        attempt_timeout: Micros,
    },
    /// Refuse: trying again does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may come again.
        retry_in: Micros,
    },
    /// Say that it failed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Let go of every state held for the request.
    ReleaseHeldState(RequestId),
    /// Ask for a timer.
    StartTimer {
        /// How long from now.
        delay: Micros,
        /// Handed back when due.
        token: TimerToken,
    },
    /// Ask for changes of the list.
    Subscribe,
    /// Send a message to all other fronts; it may be lost.
    PublishGossip(Vec<u8>),
}
