//! The decisions of a dispatcher: which server, whether to try again, what is turned away. Time, randomness and
//! news come in as arguments, and [`Router::handle`] returns what is to be done. Nothing here can do I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod asking;
mod classes;
pub mod control;
mod figures;
mod fleet;
mod gossip;
mod handover;
mod holders;
pub mod interface;
mod observed;
pub mod pairs;
mod ranking;
mod rate_sum;
mod state;
mod tables;

pub use asking::Asking;
pub use classes::Classes;
pub use control::Router;
pub use figures::mix;
pub use gossip::{tag, GossipCounts, Load, LoadUpdate};
pub use handover::Handover;
