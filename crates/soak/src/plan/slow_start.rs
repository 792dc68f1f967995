//! Slow start in plans: servers of limited capacity that start cold, and when the agents report their starts.

use serde::{Deserialize, Serialize};

use super::{FaultKind, Plan};
use crate::event_log::Class;

/// Time from the start of a server until the agents report it (ms).
const LISTED_AFTER_MS: u64 = 500;
/// Size of the smaller servers.
const SMALL_SIZE: f64 = 0.4;
/// Prompt tokens of a request that is not of the class with long prompts, and of one that is.
const PROMPT_TOKENS: [u64; 2] = [600, 2_400];
/// Share of requests of the class with long prompts that clients draw.
const LONG_SHARE: f64 = 0.3;

/// Capacity of the servers of a run, and the settings of slow start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Requests of mean work per second that a warm server of size 1 serves.
    pub capacity: f64,
    /// Share of its capacity that a server has from its start until it is warm: the least that the settings promise.
    pub min_share: f64,
    /// Time from the start of a server until it is warm (ms).
    pub warm_after_ms: u64,
    /// A server is overloaded by more than this multiple of its capacity within a window.
    pub overload_multiple: f64,
    /// Length of a window (ms).
    pub window_ms: u64,
    /// Whether every other server is a small one.
    pub sizes_differ: bool,
}

/// A start of a server during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStart {
    /// Index of the server.
    pub server: usize,
    /// When the server began to drain before that (ms since the start of the run); the same as `at_ms` if it did not.
    pub drains_at_ms: u64,
    /// When it started (ms since the start of the run).
    pub at_ms: u64,
    /// From when on the agents report the start (ms since the start of the run).
    pub listed_at_ms: u64,
}

impl SlowStart {
    /// The size of a server, in proportion to its capacity.
    #[must_use]
    pub fn size(&self, server: usize) -> f64 {
        if self.sizes_differ && server % 2 == 1 {
            SMALL_SIZE
        } else {
            1.0
        }
    }

    /// Work above which a server in slow start is overloaded, in requests of mean work that arrive in a window.
    #[must_use]
    pub fn overload_limit(&self, server: usize) -> f64 {
        let capacity = self.capacity * self.size(server) * self.min_share;
        let allowed = self.overload_multiple * capacity * self.window_ms as f64 / 1e3;
        let root = allowed.sqrt();
        allowed + if allowed < 30.0 { 3.0 * root + 3.0 } else { 2.0 * root + 2.0 }
    }
}

/// Prompt tokens of the requests of a class; the writer's work grows with them too.
#[must_use]
pub fn prompt_tokens(class: Class) -> u64 {
    PROMPT_TOKENS[usize::from(class == Class::AtMostOnce)]
}

/// Work of a request with a prompt of this length, as a multiple of the mean work.
#[must_use]
pub fn work(prompt_tokens: u64) -> f64 {
    let [short, long] = PROMPT_TOKENS.map(|tokens| tokens as f64);
    prompt_tokens as f64 / ((1.0 - LONG_SHARE) * short + LONG_SHARE * long)
}

impl Plan {
    /// All starts of servers, ordered by time.
    #[must_use]
    pub fn server_starts(&self) -> Vec<ServerStart> {
        let mut starts: Vec<ServerStart> = self
            .faults
            .iter()
            .filter_map(|fault| match fault.kind {
                FaultKind::ServerStarts { server } => Some(ServerStart {
                    server,
                    drains_at_ms: fault.from_ms,
                    at_ms: fault.to_ms,
                    listed_at_ms: fault.to_ms + LISTED_AFTER_MS,
                }),
                _ => None,
            })
            .collect();
        starts.sort_by_key(|start| start.at_ms);
        starts
    }

    /// The capacity of a server at a time, in requests of mean work per second; `None` if the plan doesn't limit it.
    #[must_use]
    pub fn capacity_at(&self, server: usize, now_ms: u64) -> Option<f64> {
        let slow_start = self.slow_start?;
        let is_cold = self.server_starts().iter().any(|start| {
            let warm_at_ms = start.at_ms + slow_start.warm_after_ms;
            start.server == server && (start.at_ms..warm_at_ms).contains(&now_ms)
        });
        let share = if is_cold { slow_start.min_share } else { 1.0 };
        Some(slow_start.capacity * slow_start.size(server) * share)
    }
}
