//! What a dispatcher is told: classes of requests, kinds of servers, and limits.

use std::collections::BTreeMap;

use super::{Micros, ZoneId};

/// The latency objective that counts while there are no classes (us).
const OBJECTIVE_WITHOUT_CLASSES_US: Micros = 1_000_000;

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
    /// How long a client waits for the first token where it does not say so (us).
    pub default_timeout: Micros,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// No new request has it: it is kept for those that are open.
    pub retired: bool,
    /// Latency objective: the first token is wanted within this time (us).
    pub latency_objective: Micros,
    /// Added to the latency objective for each 1,000 prompt tokens (us).
    pub latency_objective_per_1000_tokens: Micros,
    /// Wanted time between tokens (us); 0 where it is not told.
    pub token_interval_objective: Micros,
    /// Whether repeating does harm.
    pub effect: Effect,
    /// Which servers drop repeats.
    pub dedup_group: DedupGroup,
    /// How long they remember, from the send of the first attempt that may have run (us).
    pub dedup_window: Micros,
    /// Weight of a request, or of a unit of its work, against those of other classes.
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

/// What a dispatcher is told at its start, and again when its settings are reloaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers.
    pub dispatcher_count: u32,
    /// This dispatcher's own zone.
    pub zone: ZoneId,
    /// The classes of requests, by number.
    pub classes: BTreeMap<u32, Class>,
    /// The kinds of servers, by number.
    pub kinds: Vec<Kind>,
    /// The list of servers must be asked for.
    pub must_subscribe: bool,
    /// A dispatcher must ask for the list at least this often (us); 0 where that is not told.
    pub max_list_age: Micros,
    /// Cancelling an attempt is allowed.
    pub may_cancel: bool,
    /// Messages to other dispatchers are allowed.
    pub peers: bool,
    /// Price of 256 bytes delivered for each first try, in shares of the whole result.
    pub gossip_price: f64,
    /// A writer reads a prompt itself when there is no state to fetch.
    pub writers_can_read: bool,
    /// The longest `retry_in` that a client follows (us).
    pub max_retry_after: Micros,
    /// A held state must be fetched or released within this (us).
    pub max_hold_time: Micros,
    /// Shortest time between two batches of events (us).
    pub resolution: Micros,
    /// A server that has just started has at least this share of its capacity, which rises evenly...
    pub slow_start_min_share: f64,
    /// ...to the whole within this (us). Until then it is in slow start.
    pub slow_start_window: Micros,
    /// The report field that holds the share of a server's memory held, where the settings name one.
    pub memory_field: Option<usize>,
    /// Sent more than this many times its present capacity...
    pub overload_multiple: f64,
    /// ...for this long (us), a server in slow start falls over.
    pub overload_window: Micros,
}

impl Class {
    /// The latency objective of a prompt of so many tokens (us): reading a long one takes longer.
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

    /// The shortest latency objective of any class that new requests may have (us).
    #[must_use]
    pub fn shortest_latency_objective(&self) -> f64 {
        let shortest = self.current().map(|class| class.latency_objective).min();
        shortest.unwrap_or(OBJECTIVE_WITHOUT_CLASSES_US) as f64
    }
}
