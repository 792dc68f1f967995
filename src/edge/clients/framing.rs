//! Where each request of a client begins and ends on its connection, followed beside hyper: hyper hides from a request's
//! handler that its length was told in two ways, behind which another request may hide.

use std::collections::VecDeque;

/// A head holds this many bytes at most.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// A head holds this many header lines at most.
const MAX_HEADERS: usize = 100;

/// What a head says of where its request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// A plain length, or none: the next request begins right after.
    KnownLength,
    /// The body comes in chunks. Their end is not followed here: nothing after it is read as a request.
    Chunked,
    /// Its length is told twice, in two ways, or is no number: it must be refused, whatever comes after it.
    Ambiguous,
}

/// Where the connection stands.
#[derive(Debug)]
enum Position {
    /// In a head, or before one: what has come of it.
    Head(Vec<u8>),
    /// In a body of which so many bytes are left.
    Body(u64),
    /// Whatever comes belongs to no further request.
    Beyond,
}

/// A head that has come whole.
struct Head {
    bytes: usize,
    framing: BodyFraming,
    body_bytes: u64,
}

/// Follows the requests of one connection.
#[derive(Debug)]
pub struct RequestFraming {
    position: Position,
    /// Of heads that have come whole and whose request no front has yet.
    body_framings: VecDeque<BodyFraming>,
}

impl Default for RequestFraming {
    fn default() -> Self {
        Self { position: Position::Head(Vec::new()), body_framings: VecDeque::new() }
    }
}

impl RequestFraming {
    /// Takes in all that has come.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = &bytes[self.push_one(bytes)..];
        }
    }

    /// Takes in what has come, up to the end of a request; returns how many of the bytes that is.
    pub fn push_one(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let rest = &bytes[taken..];
            taken += match &mut self.position {
                Position::Beyond => return bytes.len(),
                Position::Body(left) => {
                    let here = usize::try_from(*left).unwrap_or(usize::MAX).min(rest.len());
                    *left -= here as u64;
                    here
                }
                Position::Head(_) => self.push_head(rest),
            };
            if matches!(self.position, Position::Body(0)) {
                self.position = Position::Head(Vec::new());
                return taken;
            }
        }
        taken
    }

    /// Takes in bytes of a head, up to its end; returns how many that is.
    fn push_head(&mut self, bytes: &[u8]) -> usize {
        let Position::Head(head) = &mut self.position else { return 0 };
        let had = head.len();
        head.extend_from_slice(bytes);
        // Only a line's end can end a head: one that comes byte by byte is not read over and over.
        if !bytes.contains(&b'\n') && head.len() <= MAX_HEAD_BYTES {
            return bytes.len();
        }
        let Some(parsed) = parse_head(head) else {
            if head.len() > MAX_HEAD_BYTES {
                self.position = Position::Beyond;
            }
            return bytes.len();
        };
        self.body_framings.push_back(parsed.framing);
        self.position = match parsed.framing {
            BodyFraming::KnownLength => Position::Body(parsed.body_bytes),
            BodyFraming::Chunked | BodyFraming::Ambiguous => Position::Beyond,
        };
        parsed.bytes - had
    }

    /// What the next head that has come whole says. A request of which no head is known must be refused.
    pub fn next_body_framing(&mut self) -> BodyFraming {
        self.body_framings.pop_front().unwrap_or(BodyFraming::Ambiguous)
    }

    /// Whether a request has begun to come and is not whole.
    #[must_use]
    pub fn is_within_request(&self) -> bool {
        !matches!(&self.position, Position::Head(head) if head.is_empty())
    }
}

/// Parses a head; `None` while its end has not come.
fn parse_head(head: &[u8]) -> Option<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let bytes = match request.parse(head) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) => return None,
        // Hyper can't read it either, and answers so.
        Err(_) => return Some(Head { bytes: head.len(), framing: BodyFraming::Ambiguous, body_bytes: 0 }),
    };
    let (framing, body_bytes) = body_framing(request.headers);
    Some(Head { bytes, framing, body_bytes })
}

/// How the body's end is told, and its length where that is known.
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

/// A length in plain digits: a sign or a list of lengths is none.
fn parse_length(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_plain)
}
