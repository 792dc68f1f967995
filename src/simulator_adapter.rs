//! Text protocol of the simulator: batches of messages in, actions out. Each line holds one message, with its
//! fields separated by tabs.
//!
//! This module is the only one that knows the words of the protocol. [`BatchReader`] reads the simulator's
//! messages, [`write_reply`] writes the actions of the routers.

mod fields;
mod messages;
mod reader;
mod writer;

use thiserror::Error;

use dewladder_router::interface::{Event, Micros, Settings};

pub use reader::BatchReader;
pub use writer::write_reply;

/// Error in reading from or writing to the simulator.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line or one of its fields is invalid.
    #[error("line {line}: {field}: {reason}")]
    Malformed {
        /// Line number, from 1.
        line: u64,
        /// Name of the invalid field.
        field: String,
        /// What is wrong with the field.
        reason: String,
    },
    /// Reading or writing failed.
    #[error("can't read the input or write the output: {0}")]
    Io(#[from] std::io::Error),
}

/// A message to one simulated dispatcher.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// The dispatcher starts.
    Started {
        /// Seed of its random number generator.
        seed: u64,
        /// The settings of its router.
        settings: Box<Settings>,
    },
    /// The dispatcher has been killed.
    Killed,
    /// An event for the dispatcher's router.
    Event(Event),
}

/// A batch of messages that share one point in time.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// Time of the batch on the simulator's clock (us).
    pub now: Micros,
    /// Number of the batch, repeated unchanged in the reply.
    pub number: String,
    /// The messages in order, each with the number of the dispatcher that it is for.
    pub messages: Vec<(u32, Message)>,
}
