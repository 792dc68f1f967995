//! The routing decisions of a dispatcher: which server gets a request, whether a failed attempt is retried,
//! and which requests are rejected. Time, the random seed and events are passed in as arguments, and
//! [`Router::handle`] appends the resulting actions. The crate performs no I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod attempts;
mod averaging;
mod cells;
mod classes;
mod eligibility;
mod end_reason;
mod fleet;
mod gossip;
mod handover;
mod health;
pub mod interface;
mod learning;
mod limit_share;
mod list_backoff;
mod load;
mod metrics;
mod outlier_state;
mod overload;
mod placement;
mod popularity;
mod prefix_holders;
mod prefix_table;
mod ranking;
mod rate_sum;
mod records;
mod remote_fetch;
mod router;
mod routing_state;
mod server_list;
pub mod settings;
mod slow_start;
mod slow_start_budget;
mod start_times;
mod statistics;
mod sweep;
mod timeouts;
mod work;
mod writers;

pub use classes::Classes;
pub use end_reason::{EndReason, EndReasons};
pub use gossip::{tag, GossipCounts, Load, LoadUpdate};
pub use handover::Handover;
pub use list_backoff::ListBackoff;
pub use router::Router;
pub use start_times::StartTimes;
pub use statistics::mix;
