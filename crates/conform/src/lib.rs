//! A conformance suite for fronts that serve the OpenAI HTTP API, streams of server-sent events included. The cases
//! are TOML files ([`mod@cases`]); [`run`] executes them against one loopback address. A case that could not be run
//! is reported as [`CaseResult::NotRun`], never as passed.
//!
//! "Answer" is used for the HTTP response to a request; "response" is an object of the Responses API (`/v1/responses`).
//!
//! Modules from the lowest layer up: `target` and `cases`; `events` and `violation`, then `grammar` (rules for
//! streams); `setup` (builds a step's request), `exchange` (sends the request and reads the answer), `expectation`
//! (compares the answer with the expected values); `runner`.

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
