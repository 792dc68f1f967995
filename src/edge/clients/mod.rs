//! Clients: what all fronts share, and a module for each protocol that clients speak.

pub mod accept_queue;
pub mod answers;
pub mod chat;
pub mod framing;
pub mod listener;
pub mod platform;
pub mod problem;
pub mod repeats;
pub mod room;
