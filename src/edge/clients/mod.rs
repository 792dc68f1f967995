//! Clients: what all fronts share, and a module for each protocol that clients speak.
//!
//! A connection's way: `listener` accepts it (`accept_queue`), `connection_limits` gives it a slot (`connection_slot`),
//! `client_stream` reads and writes it (`framing`, `read_ahead`), `connection` hands its requests to a front. The fronts
//! are `platform` and `chat`; with `chat` go `idempotency`, `answers` and `error_response`.

pub mod accept_queue;
pub mod answers;
pub mod chat;
pub mod client_stream;
pub mod connection;
pub mod connection_limits;
pub mod connection_slot;
pub mod framing;
pub mod listener;
pub mod plain_response;
pub mod platform;
pub mod problem;
mod read_ahead;
pub mod repeats;
pub mod request_timing;
