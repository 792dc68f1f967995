//! The size that the operators name, and what control may cost (issue "the size that is coming").

/// Dispatchers.
pub const DISPATCHERS: f64 = 510.0;
/// Replicas.
pub const REPLICAS: f64 = 2_900.0;
/// Requests a second, all dispatchers together, at the peak.
pub const REQUESTS: f64 = 22_000.0;
/// Tokens that are put out a second, at the peak; one event each.
pub const TOKENS: f64 = 5_500_000.0;
/// The part of the replicas that read prompts.
pub const READERS: f64 = 0.45;
/// Prompt memory that is handed over a second (bytes).
pub const HANDED_OVER: f64 = 4e12;
/// Time between two tokens (s).
pub const TOKEN_GAP: f64 = 0.032;
/// Streams that are open at a dispatcher.
pub const STREAMS: f64 = 345.0;
/// Changes of configuration a day, each in force everywhere in this time (s).
pub const CHANGES: f64 = 7_000.0;
/// See [`CHANGES`].
pub const IN_FORCE: f64 = 10.0;
/// Replicas restarted or replaced a day.
pub const RESTARTS: f64 = 1_300.0;
/// Zones.
pub const ZONES: f64 = 5.0;
/// Part of a core that control may take at a dispatcher.
pub const CONTROL_PROCESSOR: f64 = 0.014;
/// Memory that control may take at a dispatcher (bytes).
pub const CONTROL_MEMORY: f64 = 256e6;
/// Bytes a second that control may take at a dispatcher.
pub const CONTROL_BYTES: f64 = 3_000.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 12.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Requests a second of one dispatcher.
#[must_use]
pub fn requests_of_one() -> f64 {
    REQUESTS / DISPATCHERS
}

/// Events a second that one dispatcher relays.
#[must_use]
pub fn events_of_one() -> f64 {
    TOKENS / DISPATCHERS
}
