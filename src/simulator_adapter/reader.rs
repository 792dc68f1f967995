//! Reads batches of messages.

use std::io::BufRead;

use dewladder_router::interface::{Event, ListUpdateKind};

use crate::simulator_adapter::fields::Fields;
use crate::simulator_adapter::messages::{list_entry, message};
use crate::simulator_adapter::{Batch, Message, WireError};

/// Reads batches from a stream of lines. Empty lines are skipped.
#[derive(Debug)]
pub struct BatchReader<R> {
    input: R,
    line_number: u64,
    line: String,
}

impl<R: BufRead> BatchReader<R> {
    /// A reader of the batches in `input`.
    pub fn new(input: R) -> Self {
        Self { input, line_number: 0, line: String::new() }
    }

    /// Replaces the contents of `batch` with the next batch; returns `false` at the end of the input.
    ///
    /// # Errors
    /// A line is malformed, the input can't be read, or it ends within a batch.
    pub fn read(&mut self, batch: &mut Batch) -> Result<bool, WireError> {
        batch.messages.clear();
        if !self.next_line()? {
            return Ok(false);
        }
        let mut fields = Fields::new(&self.line, self.line_number);
        if fields.word("message")? != "round" {
            return Err(fields.malformed("message", "a batch must start with 'round'"));
        }
        batch.now = fields.time("clock")?;
        batch.number = fields.word("serial")?.to_owned();
        loop {
            if !self.next_line()? {
                return Err(
                    Fields::new("", self.line_number).malformed("message", "input ends within a batch")
                );
            }
            let mut fields = Fields::new(&self.line, self.line_number);
            let word = fields.word("message")?;
            if word == "your_turn" {
                return Ok(true);
            }
            let dispatcher = fields.number("front")?;
            if word == "roster_change" {
                let event = self.list_update()?;
                batch.messages.push((dispatcher, Message::Event(event)));
            } else {
                let message = message(word, &mut fields)?;
                batch.messages.push((dispatcher, message));
            }
        }
    }

    /// Reads the next line that is not empty into `self.line`; returns `false` at the end of the input.
    fn next_line(&mut self) -> Result<bool, WireError> {
        loop {
            self.line.clear();
            self.line_number += 1;
            match self.input.read_line(&mut self.line) {
                Ok(0) => return Ok(false),
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                    return Err(Fields::new("", self.line_number).malformed("text", "not valid UTF-8"));
                }
                Err(error) => return Err(error.into()),
            }
            while self.line.ends_with(['\n', '\r']) {
                self.line.pop();
            }
            if !self.line.is_empty() {
                return Ok(true);
            }
        }
    }

    /// Parses a list update: the current line, and one line for each entry that it announces.
    fn list_update(&mut self) -> Result<Event, WireError> {
        let mut fields = Fields::new(&self.line, self.line_number);
        fields.word("message")?;
        fields.word("front")?;
        fields.number::<u64>("revision")?;
        let kind = match fields.word("how")? {
            "patch" => ListUpdateKind::Patch,
            "whole" => ListUpdateKind::Full,
            "stale_copy" => ListUpdateKind::StaleCopy,
            "broken" => ListUpdateKind::Failed,
            other => return Err(fields.malformed("how", &format!("unknown kind of list update '{other}'"))),
        };
        let count: usize = fields.optional("items")?.unwrap_or(0);
        let mut entries = Vec::new();
        for _ in 0..count {
            if !self.next_line()? {
                return Err(
                    Fields::new("", self.line_number).malformed("items", "fewer entries than announced")
                );
            }
            let mut fields = Fields::new(&self.line, self.line_number);
            if fields.word("entry")? != "m" {
                return Err(fields.malformed("items", "fewer entries than announced"));
            }
            entries.push(list_entry(&mut fields)?);
        }
        Ok(Event::EndpointsUpdated { kind, entries })
    }
}
