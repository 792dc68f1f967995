#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod edge;
pub mod simulator_adapter;

pub use dewladder_router::{interface, Router};
