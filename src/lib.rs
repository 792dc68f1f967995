#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod edge;
mod figures;
pub mod interface;
mod state;
pub mod wire;

pub use control::Router;
