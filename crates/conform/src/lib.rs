//! A conformance suite for OpenAI-style fronts with streamed events: cases are data ([`mod@cases`]), run against any address
//! on loopback ([`run`]). A case that could not be run is reported as such, never as passed.
//!
//! Order of the modules, lower ones first: `target`, `cases`; `events` and `violation`, then `grammar`; `setup` (a step's request),
//! `exchange` (its answer), `expectation` (what the answer must hold); `runner`.

mod cases;
mod events;
mod exchange;
mod expectation;
mod grammar;
mod runner;
mod setup;
mod target;
mod violation;

pub use cases::{cases, Case, CasesError, Expect, Step};
pub use runner::{run, CaseReport, CaseResult};
pub use target::Target;
