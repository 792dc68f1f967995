//! Follows where each request begins and ends on a client's connection, in parallel with hyper. Hyper hides
//! from a request's handler that the length of the body was given in two ways (content length and transfer
//! encoding), which can be used to smuggle another request in behind it.

use std::collections::VecDeque;

use crate::edge::chunked_framing::{ChunkedBody, Followed};

/// Maximum length of a request head.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header lines in a request head.
const MAX_HEADERS: usize = 100;

/// How a request head determines the end of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// One valid content length, or none: the next request begins right after the body.
    KnownLength,
    /// The body is chunked. It is followed to its end, to tell what belongs to it, but nothing after it is answered: its
    /// connection is closed after the answer.
    Chunked,
    /// The length is given more than once or in two ways, or is not a plain number. The request must be
    /// refused, and nothing after this head is read as a request.
    Ambiguous,
}

/// The current position on the connection.
#[derive(Debug)]
enum Position {
    /// In a head or before one, with the bytes of the head so far.
    Head(Vec<u8>),
    /// In a body, with the number of bytes that remain.
    Body(u64),
    /// In a chunked body.
    Chunked(ChunkedBody),
    /// Behind a request whose end is not known: no further bytes are read as a request.
    Unframed,
}

/// A complete head.
struct Head {
    bytes: usize,
    framing: BodyFraming,
    body_bytes: u64,
}

/// Follows the boundaries of the requests on one connection.
#[derive(Debug)]
pub struct RequestFraming {
    position: Position,
    /// The framings of complete heads whose requests no front has taken yet, oldest first.
    body_framings: VecDeque<BodyFraming>,
}

impl Default for RequestFraming {
    fn default() -> Self {
        Self { position: Position::Head(Vec::new()), body_framings: VecDeque::new() }
    }
}

impl RequestFraming {
    /// Follows all of these received bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = &bytes[self.push_until_request_end(bytes)..];
        }
    }

    /// Follows received bytes up to the end of the current request. Returns how many bytes that is.
    pub fn push_until_request_end(&mut self, bytes: &[u8]) -> usize {
        let mut consumed = 0;
        while consumed < bytes.len() {
            let rest = &bytes[consumed..];
            consumed += match &mut self.position {
                Position::Unframed => return bytes.len(),
                Position::Body(remaining) => {
                    let length = usize::try_from(*remaining).unwrap_or(usize::MAX).min(rest.len());
                    *remaining -= length as u64;
                    length
                }
                Position::Chunked(body) => match body.push(rest) {
                    Followed::GoesOn => rest.len(),
                    Followed::EndsAfter(length) => {
                        self.position = Position::Body(0);
                        length
                    }
                    Followed::Malformed => {
                        self.position = Position::Unframed;
                        rest.len()
                    }
                },
                Position::Head(_) => self.push_head(rest),
            };
            if matches!(self.position, Position::Body(0)) {
                self.position = Position::Head(Vec::new());
                return consumed;
            }
        }
        consumed
    }

    /// Follows bytes of a head, up to its end. Returns how many bytes that is.
    fn push_head(&mut self, bytes: &[u8]) -> usize {
        let Position::Head(head) = &mut self.position else { return 0 };
        let bytes_before = head.len();
        head.extend_from_slice(bytes);
        // A head can only end with a line break. Not parsing before one avoids parsing a head again for each
        // byte when it comes byte by byte.
        if !bytes.contains(&b'\n') && head.len() <= MAX_HEAD_BYTES {
            return bytes.len();
        }
        let Some(parsed) = parse_head(head) else {
            if head.len() > MAX_HEAD_BYTES {
                self.position = Position::Unframed;
            }
            return bytes.len();
        };
        self.body_framings.push_back(parsed.framing);
        self.position = match parsed.framing {
            BodyFraming::KnownLength => Position::Body(parsed.body_bytes),
            BodyFraming::Chunked => Position::Chunked(ChunkedBody::start()),
            BodyFraming::Ambiguous => Position::Unframed,
        };
        parsed.bytes - bytes_before
    }

    /// Removes and returns the framing of the oldest complete head whose request has not been taken. A
    /// request whose head is not known here is [`BodyFraming::Ambiguous`], as it must be refused.
    pub fn next_body_framing(&mut self) -> BodyFraming {
        self.body_framings.pop_front().unwrap_or(BodyFraming::Ambiguous)
    }

    /// The length of the head that is being received, as far as it has come (bytes); 0 if none is.
    #[must_use]
    pub fn incomplete_head_bytes(&self) -> usize {
        match &self.position {
            Position::Head(head) => head.len(),
            Position::Body(_) | Position::Chunked(_) | Position::Unframed => 0,
        }
    }

    /// Whether a request has begun and is not complete.
    #[must_use]
    pub fn is_within_request(&self) -> bool {
        !matches!(&self.position, Position::Head(head) if head.is_empty())
    }
}

/// Parses a head; `None` while it is not complete.
fn parse_head(head: &[u8]) -> Option<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let bytes = match request.parse(head) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) => return None,
        // Hyper can't parse this head either, and answers with an error itself.
        Err(_) => return Some(Head { bytes: head.len(), framing: BodyFraming::Ambiguous, body_bytes: 0 }),
    };
    let (framing, body_bytes) = body_framing(request.headers);
    Some(Head { bytes, framing, body_bytes })
}

/// How the end of the body is determined, and the length of the body if that is known.
fn body_framing(headers: &[httparse::Header<'_>]) -> (BodyFraming, u64) {
    let values = |name: &'static str| {
        headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    };
    let lengths: Vec<Option<u64>> = values("content-length").map(parse_length).collect();
    match (values("transfer-encoding").count(), &lengths[..]) {
        (0, []) => (BodyFraming::KnownLength, 0),
        (0, [Some(body_bytes)]) => (BodyFraming::KnownLength, *body_bytes),
        (1, []) => (BodyFraming::Chunked, 0),
        _ => (BodyFraming::Ambiguous, 0),
    }
}

/// Parses a content length of digits only; `None` for anything else, such as a sign or a list of lengths.
fn parse_length(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let is_all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_all_digits)
}
