//! Server-sent events as servers send them: whole events out of pieces of any size.

use serde_json::Value;

use crate::bad::Bad;

/// What a server's stream brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// An event.
    Event(Value),
    /// `[DONE]`.
    Done,
}

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct Events {
    partial: Vec<u8>,
}

/// An event that is not whole may hold so many bytes.
const MOST: usize = 1 << 20;

impl Events {
    /// Takes in a piece and adds the events that are whole by now. Comments are the servers' load reports: no
    /// business of clients.
    ///
    /// # Errors
    /// An event that is none, or too long.
    pub fn take(&mut self, piece: &[u8], into: &mut Vec<Incoming>) -> Result<(), Bad> {
        self.partial.extend_from_slice(piece);
        let mut from = 0;
        while let Some(length) = self.partial[from..].windows(2).position(|window| window == b"\n\n") {
            let event = &self.partial[from..from + length];
            read(event, into)?;
            from += length + 2;
        }
        self.partial.drain(..from);
        if self.partial.len() > MOST {
            return Err(Bad::json("the server sent an event that is too long"));
        }
        Ok(())
    }

    /// The stream has ended: what was not followed by a blank line.
    ///
    /// # Errors
    /// See [`take`](Self::take).
    pub fn end(&mut self, into: &mut Vec<Incoming>) -> Result<(), Bad> {
        read(&std::mem::take(&mut self.partial), into)
    }
}

fn read(event: &[u8], into: &mut Vec<Incoming>) -> Result<(), Bad> {
    let mut data = Vec::new();
    for line in event.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(rest) = line.strip_prefix(b"data:") {
            if !data.is_empty() {
                data.push(b'\n');
            }
            data.extend_from_slice(rest.strip_prefix(b" ").unwrap_or(rest));
        }
    }
    match data.as_slice() {
        [] => {}
        b"[DONE]" => into.push(Incoming::Done),
        data => {
            let event = serde_json::from_slice(data);
            into.push(Incoming::Event(event.map_err(|_| Bad::json("the server sent what is no event"))?));
        }
    }
    Ok(())
}
