//! Incremental parser for the server-sent events of a server's stream.

use serde_json::Value;

use crate::RequestError;

/// Limit on the buffer of an event whose end has not arrived yet (bytes).
const MAX_PARTIAL_BYTES: usize = 1 << 20;
/// The separator between events.
const BLANK_LINE: &[u8] = b"\n\n";

/// An event of a server's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The JSON data of an event.
    Data(Value),
    /// `[DONE]`, which marks the end of a complete stream.
    Done,
}

/// Splits one server's stream, which arrives in pieces of any size, into events.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Bytes received after the last complete event.
    partial: Vec<u8>,
}

impl EventParser {
    /// Adds a piece of the stream and appends the events that it completes to `events`. Comments are dropped, because
    /// servers use them for load reports, which clients must not see.
    ///
    /// # Errors
    /// An event whose data is not JSON, or an incomplete event of more than 1 MiB.
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

    /// Ends the stream and appends a last event that no blank line follows, if there is one.
    ///
    /// # Errors
    /// An event whose data is not JSON.
    pub fn finish(&mut self, events: &mut Vec<ServerEvent>) -> Result<(), RequestError> {
        parse_event(&std::mem::take(&mut self.partial), events)
    }
}

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(BLANK_LINE.len()).position(|window| window == BLANK_LINE)
}

fn parse_event(event: &[u8], events: &mut Vec<ServerEvent>) -> Result<(), RequestError> {
    match event_data(event).as_slice() {
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

/// The `data:` lines of an event, joined by line feeds; empty if it has none.
fn event_data(event: &[u8]) -> Vec<u8> {
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
