//! The decisions of a dispatcher: which server, whether to try again, what is turned away. Time, randomness and
//! news come in as arguments, and [`Router::handle`] returns what is to be done. Nothing here can do I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod asking;
mod claims;
mod classes;
pub mod control;
mod figures;
mod handover;
pub mod interface;
pub mod pairs;
mod state;
mod tables;

pub use asking::Asking;
pub use claims::{Claim, ClaimCounts};
pub use classes::Classes;
pub use control::Router;
pub use figures::mix;
pub use handover::Handover;
