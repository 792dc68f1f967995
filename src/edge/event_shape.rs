//! Incremental syntax check of a server-sent event stream.

/// Maximum size of one event, including its line breaks.
pub const MAX_EVENT_BYTES: usize = 64 << 10;
/// What a line of an event stream may start with: a known field, or a colon for a comment.
const LINE_PREFIXES: [&[u8]; 5] = [DATA_PREFIX, b":", b"event:", b"id:", b"retry:"];
const DATA_PREFIX: &[u8] = b"data:";
/// The data of the event that ends an answer.
const END_OF_ANSWER: &[u8] = b"[DONE]";
/// How much of the beginning of a line is kept (bytes): enough to tell prefixes and the end of an answer from other
/// lines.
const LINE_START_BYTES: usize = 16;

/// Checks that a stream consists of server-sent events. The stream may be split into pieces at any byte.
#[derive(Debug, Default)]
pub struct EventStreamValidator {
    /// The first bytes of the unfinished line, up to [`LINE_START_BYTES`] and without line breaks.
    start: Vec<u8>,
    /// Whether the unfinished line is a data field with more than blanks.
    line_has_data: bool,
    /// Bytes received since the end of the last event.
    event_bytes: usize,
    /// Whether the unfinished event has data.
    event_has_data: bool,
    /// Whether the unfinished event ends the answer.
    event_ends_answer: bool,
    /// Whether the event that ends the answer has been received.
    answer_ended: bool,
    /// Bytes received in all.
    received: u64,
}

impl EventStreamValidator {
    /// Checks the next piece of the stream. Returns the position in the stream at which the last event with data in it
    /// ends (bytes), 0 if none ends in it; or `None` if the stream is not a valid event stream: a line starts with none of
    /// `LINE_PREFIXES`, or an event is too long. The size limit also stops a faulty server that sends data without end,
    /// in chunks of any size. Comments, fields other than data, and whatever comes behind the event that ends the answer
    /// are valid, but are no events with data.
    pub fn push(&mut self, data: &[u8]) -> Option<u64> {
        let mut event_end = 0;
        for line in data.split_inclusive(|&byte| byte == b'\n') {
            let ended = line.ends_with(b"\n");
            self.received += line.len() as u64;
            self.event_bytes += line.len();
            self.read_line(line);
            let is_allowed =
                |field: &&[u8]| self.start.starts_with(field) || (!ended && field.starts_with(&self.start));
            let is_blank = ended && self.start.is_empty();
            if self.event_bytes > MAX_EVENT_BYTES || !(is_blank || LINE_PREFIXES.iter().any(is_allowed)) {
                return None;
            }
            if is_blank && self.end_event() {
                event_end = self.received;
            } else if ended {
                self.end_line();
            }
        }
        Some(event_end)
    }

    /// Reads a part of a line, or all of it.
    fn read_line(&mut self, line: &[u8]) {
        let mut rest = line;
        while let Some((&byte, behind)) = rest.split_first().filter(|_| self.start.len() < LINE_START_BYTES) {
            if !matches!(byte, b'\r' | b'\n') {
                self.start.push(byte);
            }
            rest = behind;
        }
        let is_data = self.start.starts_with(DATA_PREFIX);
        let has_text = |bytes: &[u8]| bytes.iter().any(|byte| !byte.is_ascii_whitespace());
        self.line_has_data |= is_data && (has_text(&self.start[DATA_PREFIX.len()..]) || has_text(rest));
    }

    /// Takes a complete line, which is not blank, into the unfinished event.
    fn end_line(&mut self) {
        self.event_has_data |= self.line_has_data;
        let data = self.start.strip_prefix(DATA_PREFIX).map(<[u8]>::trim_ascii);
        self.event_ends_answer |= data == Some(END_OF_ANSWER);
        self.line_has_data = false;
        self.start.clear();
    }

    /// Ends the unfinished event. Returns whether it has data and belongs to the answer.
    fn end_event(&mut self) -> bool {
        let has_data = self.event_has_data && !self.answer_ended;
        self.answer_ended |= self.event_ends_answer;
        (self.event_bytes, self.event_has_data, self.event_ends_answer) = (0, false, false);
        has_data
    }
}
