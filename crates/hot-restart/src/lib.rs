//! Two processes of one dispatcher, as a new version takes over from the old: which share of the limits each holds at
//! most, when the new one may serve, and what the old one does on its way out.
//!
//! Each process announces who it is ([`Announcement`]); the other reads that some time later, or finds that it has ended.
//! The one that was there first only ever gives shares up while the other lives; the later one only ever takes what the
//! first has announced to have given up. So whatever is late, and whoever dies, the shares never add up to more than the
//! limits. Time comes in as an argument, and nothing here does I/O.
//!
//! [`HotRestart`] is the state of one process; [`next_generation`] orders processes by their start; [`share_of`] and
//! [`share_used`] turn shares into limits and back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod announcement;
mod generation;
mod process;
mod share;
mod start_order;

pub use announcement::{Announcement, Stage};
pub use generation::Generation;
pub use process::{HotRestart, Micros, Peer, RestartStatus};
pub use share::{share_of, share_used, LimitShare, FULL_SHARE, HALF_SHARE, STARTUP_SHARE};
pub use start_order::next_generation;
