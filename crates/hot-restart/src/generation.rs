//! The generation of a process, which orders processes by their start.

/// A number that is higher for a process that started later; 0 stands for none. It is not taken from a clock,
/// because the machine's clock may be stepped between two starts.
pub type Generation = u64;
