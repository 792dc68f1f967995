//! Incremental syntax check of a server-sent event stream.

/// Maximum size of one event, including its line breaks.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// What a line of an event stream may start with: a known field, or a colon for a comment.
const LINE_PREFIXES: [&[u8]; 5] = [b"data:", b":", b"event:", b"id:", b"retry:"];

/// Checks that a stream consists of server-sent events. The stream may be split into pieces at any byte.
#[derive(Debug, Default)]
pub struct EventStreamValidator {
    /// The first bytes of the unfinished line, up to the length of the longest prefix and without line
    /// breaks.
    start: Vec<u8>,
    /// Bytes received since the end of the last event.
    event_bytes: usize,
}

impl EventStreamValidator {
    /// Checks the next piece of the stream. Returns whether an event ends in it, or `None` if the stream is
    /// not a valid event stream: a line starts with none of `LINE_PREFIXES`, or an event is too long. The
    /// size limit also stops a faulty server that sends data without end, in chunks of any size.
    pub fn push(&mut self, data: &[u8]) -> Option<bool> {
        let mut ends_event = false;
        for line in data.split_inclusive(|&byte| byte == b'\n') {
            let ended = line.ends_with(b"\n");
            let capacity = 6usize.saturating_sub(self.start.len());
            self.start.extend(line.iter().take(capacity).filter(|&&byte| !matches!(byte, b'\r' | b'\n')));
            self.event_bytes += line.len();
            let is_allowed =
                |field: &&[u8]| self.start.starts_with(field) || (!ended && field.starts_with(&self.start));
            let is_blank = ended && self.start.is_empty();
            if self.event_bytes > MAX_EVENT_BYTES || !(is_blank || LINE_PREFIXES.iter().any(is_allowed)) {
                return None;
            }
            if is_blank {
                (self.event_bytes, ends_event) = (0, true);
            }
            if ended {
                self.start.clear();
            }
        }
        Some(ends_event)
    }
}
