//! The fault soak: a randomized fault-injection test of the dispatcher. A [`plan`] is drawn from a seed; it names the
//! dispatchers, the servers and the faults, which overlap in time. The [`harness`] runs the plan on loopback with real
//! dispatcher processes. Every test peer (client, server, agent) writes its observations to one [`event_log`] on one
//! monotonic clock, and the [`oracle`] checks the rules against that log and not against the dispatcher's own log. A
//! [`campaign`] runs many plans; a plan that violates a rule can be shrunk ([`shrink`]).

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
