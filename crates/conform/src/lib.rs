//! A conformance suite for OpenAI-style fronts with streamed events: cases are data ([`cases`]), run against any
//! address on loopback ([`run`]). A case that can't be reached is an error, never a pass.

mod cases;
mod grammar;
mod runner;

pub use cases::{cases, Case, Expect, Step};
pub use runner::{run, Came, Outcome, Target};
