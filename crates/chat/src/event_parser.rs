//! Server-sent events as servers send them: whole events out of pieces of any size.

use serde_json::Value;

use crate::RequestError;

/// An event that has not come whole may hold so many bytes.
const MAX_PARTIAL_BYTES: usize = 1 << 20;
/// What ends an event.
const BLANK_LINE: &[u8] = b"\n\n";

/// What a server's stream brings.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// An event with JSON data.
    Data(Value),
    /// `[DONE]`.
    Done,
}

/// Splits one server's stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Bytes behind the last whole event.
    partial: Vec<u8>,
}

impl EventParser {
    /// Takes in a piece of the stream and appends the events that are whole by now to `events`. Comments are dropped:
    /// they are load reports of servers, and no business of clients.
    ///
    /// # Errors
    /// An event whose data is no JSON, or that is longer than 1 MiB.
    pub fn push(&mut self, piece: &[u8], events: &mut Vec<ServerEvent>) -> Result<(), RequestError> {
        self.partial.extend_from_slice(piece);
        let mut start = 0;
        while let Some(length) = find_blank_line(&self.partial[start..]) {
            parse_event(&self.partial[start..start + length], events)?;
            start += length + BLANK_LINE.len();
        }
        self.partial.drain(..start);
        if self.partial.len() > MAX_PARTIAL_BYTES {
            return Err(RequestError::invalid_json("the server sent an event that is too long"));
        }
        Ok(())
    }

    /// The stream has ended: appends what was not followed by a blank line.
    ///
    /// # Errors
    /// An event whose data is no JSON.
    pub fn finish(&mut self, events: &mut Vec<ServerEvent>) -> Result<(), RequestError> {
        parse_event(&std::mem::take(&mut self.partial), events)
    }
}

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(BLANK_LINE.len()).position(|window| window == BLANK_LINE)
}

fn parse_event(event: &[u8], events: &mut Vec<ServerEvent>) -> Result<(), RequestError> {
    match data_of(event).as_slice() {
        [] => {}
        b"[DONE]" => events.push(ServerEvent::Done),
        data => {
            let value = serde_json::from_slice(data)
                .map_err(|_| RequestError::invalid_json("the server sent what is no event"))?;
            events.push(ServerEvent::Data(value));
        }
    }
    Ok(())
}

/// The data lines of an event, joined by line feeds.
fn data_of(event: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    for line in event.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else { continue };
        if !data.is_empty() {
            data.push(b'\n');
        }
        data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
    data
}
