//! The client side of the dispatcher: connection handling that all fronts share, and one module for each API
//! that clients use.
//!
//! A connection passes through these modules: `listener` accepts it (`accept_queue`, `closing_listener`),
//! `connection_limits` gives it a slot (`connection_slot`), `client_stream` reads and writes it (`framing`, `read_ahead`,
//! `pipeline_turns`), and `connection` hands its requests to a front. What clients make the process hold on this way is taken from one
//! `memory_budget`.
//!
//! The fronts are `platform` and `chat`. The chat front also handles repeated requests: `idempotency` decides
//! what to do with one, `recorder` records the answer of a run in the `shared_store`, and an `answer_reader`
//! for each client reads it from there. The connection tells by `delivery` whether the client got it.

pub mod accept_queue;
pub mod answer_reader;
pub mod body_buffer;
pub mod chat;
pub mod client_stream;
mod closing_listener;
pub mod connection;
pub mod connection_limits;
pub mod connection_slot;
mod connection_steering;
pub mod delivery;
pub mod error_response;
pub mod framing;
pub mod idempotency;
pub mod listener;
pub mod memory_budget;
pub mod pipeline_turns;
pub mod plain_response;
pub mod platform;
mod read_ahead;
pub mod recorder;
pub mod request_body;
pub mod request_timing;
mod shared_records;
mod shared_store;
