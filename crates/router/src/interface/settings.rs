//! A dispatcher's settings: classes of requests, kinds of servers, and limits.

use std::collections::BTreeMap;

use super::{Micros, ZoneId};

/// The shortest latency objective if no class is configured (us).
const OBJECTIVE_WITHOUT_CLASSES_US: Micros = 1_000_000;

/// Which stages of a request a server can perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads prompts and holds the state until a writer fetches it.
    Reader,
    /// Fetches the state from a reader and streams the answer.
    Writer,
    /// Can read or write, or do both for one request.
    Mixed,
}

/// Whether a request of a class may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times, at any server.
    Idempotent,
    /// Servers of one group drop repeats of a request that they have run, for the length of a window.
    Deduplicated,
    /// Must not run more than once.
    AtMostOnce,
}

/// The group of servers within which repeats of a deduplicated request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests, with its objectives and retry rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Identifies the class across reloads; its number changes when its rules do.
    pub name: String,
    /// How long a client waits for the first token if its request does not say (us).
    pub default_timeout: Micros,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The class is no longer configured and is kept only for requests that are still open.
    pub retired: bool,
    /// Target for the time to the first token (us).
    pub latency_objective: Micros,
    /// Added to the latency objective for each 1,000 prompt tokens (us).
    pub latency_objective_per_1000_tokens: Micros,
    /// Target for the time between two tokens (us); 0 if not set.
    pub token_interval_objective: Micros,
    /// Whether a request may be run more than once.
    pub effect: Effect,
    /// The group of servers that drop repeats; used if `effect` is [`Effect::Deduplicated`].
    pub dedup_group: DedupGroup,
    /// How long servers remember a request for deduplication, counted from the send of its first attempt that
    /// may have run (us).
    pub dedup_window: Micros,
    /// Weight of a request, or of a unit of its work, relative to other classes.
    pub priority_weight: f64,
}

/// A kind of server: its role and its memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// The stages that servers of this kind can perform.
    pub role: Role,
    /// Memory of one server in tokens; 0 if not set.
    pub memory_tokens: u64,
}

/// A dispatcher's settings, given at its start and again with each reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that share the servers, this one included.
    pub dispatcher_count: u32,
    /// The zone that this dispatcher runs in.
    pub zone: ZoneId,
    /// Classes of requests, by number, retired ones included.
    pub classes: BTreeMap<u32, Class>,
    /// Kinds of servers, indexed by kind number.
    pub kinds: Vec<Kind>,
    /// The dispatcher must subscribe to the list of servers, rather than receive it automatically.
    pub must_subscribe: bool,
    /// Maximum time between two calls for the list of servers (us); 0 if not set.
    pub max_list_age: Micros,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Gossip to other dispatchers is allowed.
    pub gossip_allowed: bool,
    /// Price of 256 bytes of gossip delivered per first attempt, as a share of the total result.
    pub gossip_price: f64,
    /// Writers can read a prompt themselves if there is no state to fetch.
    pub writers_can_read: bool,
    /// Longest `retry_in` that clients honour (us).
    pub max_retry_after: Micros,
    /// Maximum time for which a reader may hold a state before it is fetched or released (us).
    pub max_hold_time: Micros,
    /// Minimum time between two batches of events (us).
    pub min_batch_interval: Micros,
    /// The weights of the list are the sizes of the servers, at least roughly.
    pub weight_is_size: bool,
    /// Minimum share of its full capacity that a server has when it starts. How the share grows to 1 within
    /// `slow_start_window` is not known.
    pub slow_start_min_share: f64,
    /// Length of slow start, counted from a server's start (us).
    pub slow_start_window: Micros,
    /// Index of the load report field that contains the share of a server's memory that is held; `None` if no
    /// field has that meaning.
    pub memory_field: Option<usize>,
    /// A server in slow start fails if it is sent more than this multiple of its current capacity for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The time over which a server's load is compared with `overload_multiple` (us).
    pub overload_window: Micros,
}

impl Class {
    /// The latency objective for a prompt of `prompt_tokens` tokens (us). It grows with the prompt, as a
    /// longer one takes longer to read.
    #[must_use]
    pub fn latency_objective_for(&self, prompt_tokens: u64) -> f64 {
        self.latency_objective as f64
            + self.latency_objective_per_1000_tokens as f64 * prompt_tokens as f64 / 1_000.0
    }
}

impl Settings {
    /// The classes that new requests may have, i.e. all that are not retired.
    pub fn current(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().filter(|class| !class.retired)
    }

    /// The shortest latency objective of all classes that are not retired (us); 1 s if there is none.
    #[must_use]
    pub fn shortest_latency_objective(&self) -> f64 {
        let shortest = self.current().map(|class| class.latency_objective).min();
        shortest.unwrap_or(OBJECTIVE_WITHOUT_CLASSES_US) as f64
    }
}
