//! The simulator's wire: batches of messages in, actions out, as lines of text whose fields are set apart by tabs.
//!
//! The only place that knows the wire's words. [`BatchReader`] reads what the simulator tells, [`write_reply`] writes what
//! the routers want done.

mod fields;
mod messages;
mod reader;
mod writer;

use thiserror::Error;

use dewladder_router::interface::{Event, Micros, Settings};

pub use reader::BatchReader;
pub use writer::write_reply;

/// What is wrong with the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line or one of its values can't be read.
    #[error("line {line}: {field}: {what}")]
    Malformed {
        /// The line, counted from 1.
        line: u64,
        /// The value at fault.
        field: String,
        /// What is wrong with it.
        what: String,
    },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// What a batch tells one dispatcher.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// It starts.
    Started {
        /// For its random numbers.
        seed: u64,
        /// What it is told at start.
        settings: Box<Settings>,
    },
    /// It has been killed.
    Killed,
    /// Something has happened.
    Event(Event),
}

/// One batch of messages.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// The clock.
    pub now: Micros,
    /// The batch's number, given back as it came.
    pub number: String,
    /// Messages with the dispatcher that each is for, by number.
    pub messages: Vec<(u32, Message)>,
}
