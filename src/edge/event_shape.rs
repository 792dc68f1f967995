//! The form that streams of events have, as servers should send them.

/// An event holds this many bytes at most.
const MOST_EVENT: usize = 64 << 10;
const FIELDS: [&[u8]; 5] = [b"data:", b":", b"event:", b"id:", b"retry:"];

/// Holds a stream against the form that events have, in whatever pieces it comes.
#[derive(Debug, Default)]
pub struct EventShape {
    /// What the line that is not over begins with.
    start: Vec<u8>,
    /// Bytes since the last event's end.
    event: usize,
}

impl EventShape {
    /// Takes in a piece: whether an event ends in it, `None` if this is no stream of events. Guards against
    /// what a server that has gone astray sends without end in a chunk of any size.
    pub fn take(&mut self, data: &[u8]) -> Option<bool> {
        let mut ends = false;
        for line in data.split_inclusive(|&byte| byte == b'\n') {
            let over = line.ends_with(b"\n");
            let room = 6usize.saturating_sub(self.start.len());
            self.start.extend(line.iter().take(room).filter(|&&byte| !matches!(byte, b'\r' | b'\n')));
            self.event += line.len();
            let begins =
                |field: &&[u8]| self.start.starts_with(field) || (!over && field.starts_with(&self.start));
            let blank = over && self.start.is_empty();
            if self.event > MOST_EVENT || !(blank || FIELDS.iter().any(begins)) {
                return None;
            }
            if blank {
                (self.event, ends) = (0, true);
            }
            if over {
                self.start.clear();
            }
        }
        Some(ends)
    }
}
