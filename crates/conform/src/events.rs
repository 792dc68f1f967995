//! Server-sent events as a client reads them.

use serde_json::Value;

use crate::violation::Violation;

/// An event: its name, if it has one, and its data.
#[derive(Debug, PartialEq)]
pub(crate) struct Event {
    pub(crate) name: Option<String>,
    pub(crate) data: String,
}

impl Event {
    /// Its data as JSON.
    pub(crate) fn json(&self) -> Result<Value, Violation> {
        serde_json::from_str(&self.data)
            .map_err(|source| Violation::InvalidJson { source, data: self.data.clone() })
    }
}

/// Splits a stream into its events; comments are left out.
pub(crate) fn parse_events(body: &str) -> Result<Vec<Event>, Violation> {
    if !body.ends_with("\n\n") {
        return Err(Violation::NoFinalBlankLine);
    }
    let mut events = Vec::new();
    for block in body.split("\n\n").filter(|block| !block.is_empty()) {
        events.extend(parse_event(block)?);
    }
    Ok(events)
}

/// The event of a block of lines; `None` where all of them are comments.
fn parse_event(block: &str) -> Result<Option<Event>, Violation> {
    let mut event = Event { name: None, data: String::new() };
    let mut is_comment = true;
    for line in block.lines() {
        match line.split_once(':') {
            Some(("", _)) => continue,
            Some(("data", value)) => event.data.push_str(value.strip_prefix(' ').unwrap_or(value)),
            Some(("event", value)) => event.name = Some(value.trim().to_owned()),
            Some(("id" | "retry", _)) => {}
            _ => return Err(Violation::UnknownLine(line.to_owned())),
        }
        is_comment = false;
    }
    Ok((!is_comment).then_some(event))
}
