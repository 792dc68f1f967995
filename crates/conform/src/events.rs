//! Parses server-sent events.

use serde_json::Value;

use crate::violation::Violation;

/// A server-sent event: the value of its `event` field, if there is one, and its data.
#[derive(Debug, PartialEq)]
pub(crate) struct Event {
    pub(crate) name: Option<String>,
    pub(crate) data: String,
}

impl Event {
    /// Parses the data as JSON.
    pub(crate) fn json(&self) -> Result<Value, Violation> {
        serde_json::from_str(&self.data)
            .map_err(|source| Violation::InvalidJson { source, data: self.data.clone() })
    }
}

/// Splits the body of a stream into its events; comments are skipped.
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

/// Parses the lines between two blank lines; `None` if all of them are comments.
fn parse_event(block: &str) -> Result<Option<Event>, Violation> {
    let mut event = Event { name: None, data: String::new() };
    let mut only_comments = true;
    for line in block.lines() {
        match line.split_once(':') {
            Some(("", _)) => continue,
            Some(("data", value)) => event.data.push_str(value.strip_prefix(' ').unwrap_or(value)),
            Some(("event", value)) => event.name = Some(value.trim().to_owned()),
            Some(("id" | "retry", _)) => {}
            _ => return Err(Violation::InvalidEventLine(line.to_owned())),
        }
        only_comments = false;
    }
    Ok((!only_comments).then_some(event))
}
