//! Clients: what all fronts share, and a module for each protocol that clients speak.
//!
//! A connection's way: `listener` accepts it (`accept_queue`), `connection_limits` gives it a slot (`connection_slot`),
//! `client_stream` reads and writes it (`framing`, `read_ahead`), `connection` hands its requests to a front.
//!
//! The fronts are `platform` and `chat`. With `chat` goes what repeats of a request need: `idempotency` decides,
//! `recorder` records a run's answer in the `shared_store`, and an `answer_reader` gives it to each client.

pub mod accept_queue;
pub mod answer_reader;
pub mod chat;
pub mod client_stream;
pub mod connection;
pub mod connection_limits;
pub mod connection_slot;
pub mod error_response;
pub mod framing;
pub mod idempotency;
pub mod listener;
pub mod plain_response;
pub mod platform;
mod read_ahead;
pub mod recorder;
pub mod request_body;
pub mod request_timing;
mod shared_store;
