//! The size to which the platform is going to grow and the budgets for control at that size, as its operators state
//! them. Control is everything but the relaying of streams: decisions, and communication with agents and other
//! dispatchers.

/// Number of dispatchers.
pub const DISPATCHERS: f64 = 510.0;
/// Number of replicas, readers and writers.
pub const REPLICAS: f64 = 2_900.0;
/// Peak requests a second to all dispatchers together.
pub const REQUESTS_PER_SECOND: f64 = 22_000.0;
/// Peak output tokens a second of the fleet; each token is one event of a stream.
pub const TOKENS_PER_SECOND: f64 = 5_500_000.0;
/// Share of the replicas that are readers.
pub const READER_SHARE: f64 = 0.45;
/// Memory of read prompts that writers fetch from readers, in the whole fleet (bytes a second).
pub const PROMPT_STATE_BYTES_PER_SECOND: f64 = 4e12;
/// Time between two tokens of a stream (s).
pub const TOKEN_INTERVAL_S: f64 = 0.032;
/// Streams that are open at one dispatcher.
pub const STREAMS_PER_DISPATCHER: f64 = 345.0;
/// Configuration changes a day.
pub const CONFIG_CHANGES_PER_DAY: f64 = 7_000.0;
/// Time within which a configuration change has to be in force at all dispatchers (s).
pub const CONFIG_APPLY_TIME_S: f64 = 10.0;
/// Replicas that are restarted or replaced a day.
pub const RESTARTS_PER_DAY: f64 = 1_300.0;
/// Number of zones.
pub const ZONES: f64 = 5.0;
/// Share of one core that control may use at a dispatcher.
pub const CONTROL_CPU_SHARE: f64 = 0.014;
/// Memory that control may use at a dispatcher (bytes).
pub const CONTROL_MEMORY_BYTES: f64 = 256e6;
/// Network traffic that control may cause at a dispatcher (bytes a second).
pub const CONTROL_BYTES_PER_SECOND: f64 = 3_000.0;
/// Number of machines reserved for control.
pub const CONTROL_MACHINES: f64 = 12.0;
/// Number of seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Peak requests a second to one dispatcher.
#[must_use]
pub fn requests_per_dispatcher() -> f64 {
    REQUESTS_PER_SECOND / DISPATCHERS
}

/// Peak events a second that one dispatcher relays.
#[must_use]
pub fn events_per_dispatcher() -> f64 {
    TOKENS_PER_SECOND / DISPATCHERS
}
