//! The fault soak. A [`plan`] is drawn from a seed: processes of the dispatcher, clients, servers and agents, and
//! troubles that overlap in time. The [`bed`] plays it on loopback with real processes. Every peer writes what it saw
//! into one [`ledger`] on one monotonic clock, and the [`oracle`] judges by that ledger alone, never by what the
//! program says of itself.

pub mod agent;
pub mod bed;
pub mod clients;
pub mod ledger;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod servers;
pub mod shrink;
