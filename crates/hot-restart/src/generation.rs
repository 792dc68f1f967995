//! The order in which processes have started.

/// The order of starts, as a number that grows. No clock tells it: the machine's may be stepped between two starts.
pub type Generation = u64;
