//! The protocol of a hot restart, in which a newer process of a dispatcher replaces an older one: the share of the
//! limits that each may use, when the newer process may serve, and whether the older one is replaced when it shuts
//! down.
//!
//! Each process publishes an [`Announcement`]; the other one reads it some time later, or finds that the process has
//! ended. While both live, the share of the older process only shrinks, and the newer process takes only what the
//! older one has announced to have given up. So the shares never add up to more than the limits, however late an
//! announcement is read and whichever process dies. The current time is always passed in, and nothing here does I/O.
//!
//! [`HotRestart`] is the state of one process; [`next_generation`] orders processes by their start; [`share_of`] and
//! [`share_used`] convert between shares and absolute limits.

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
