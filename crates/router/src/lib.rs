//! The decisions of a dispatcher: which server, whether to try again, what is turned away. Time, randomness and
//! news come in as arguments, and [`Router::handle`] returns what is to be done. Nothing here can do I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod attempts;
mod classes;
mod end_reason;
mod figures;
mod fleet;
mod gossip;
mod handover;
mod health;
mod holders;
pub mod interface;
mod list_backoff;
mod load;
mod observed;
mod overload;
pub mod pairs;
mod placement;
mod ranking;
mod rate_sum;
mod router;
mod server_list;
mod slow_start;
mod start_times;
mod state;
mod tables;
mod writers;

pub use classes::Classes;
pub use end_reason::{EndReason, EndReasons};
pub use figures::mix;
pub use gossip::{tag, GossipCounts, Load, LoadUpdate};
pub use handover::Handover;
pub use list_backoff::ListBackoff;
pub use router::Router;
pub use start_times::StartTimes;
