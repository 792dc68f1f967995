//! The fault soak. A [`plan`] is drawn from a seed: processes of the dispatcher, clients, servers and agents, and faults
//! that overlap in time. The [`harness`] plays it on loopback with real processes. Every peer writes what it saw into
//! one [`event_log`] on one monotonic clock, and the [`oracle`] checks the rules by that log alone, never by what the
//! program says of itself. A [`campaign`] plays many plans; those that violate a rule can be shrunk ([`shrink`]).

pub mod agent;
pub mod campaign;
pub mod clients;
pub mod event_log;
pub mod failed_seeds;
pub mod harness;
pub mod options;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod servers;
pub mod shrink;
