//! Follows the framing of the responses on a connection to a server, in parallel with hyper. Hyper hides where a chunk
//! ends, and waits for the end of a chunk of any size.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::StatusCode;
use tokio::time::Instant;

use crate::edge::chunked_framing::{Boundary, ChunkedBody};

/// Maximum length of a response head (bytes).
pub(super) const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum size of a chunk, and of a body whose length is declared: far more than an answer may hold (bytes).
const MAX_CHUNK_BYTES: u64 = 16 << 20;
/// The longest body of the platform's protocol (bytes). A longer chunk is believed only once it has come.
const LONG_CHUNK_BYTES: u64 = 256 << 10;
/// Maximum number of header lines in a response head, as hyper has it.
const MAX_HEADERS: usize = 100;

/// A response that declares more data than any answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a chunk or body is declared to be longer than {MAX_CHUNK_BYTES} bytes")]
pub(super) struct DeclaredTooLong;

/// How far the body of the current response has come in whole chunks. A body without chunks counts as one.
#[derive(Debug, Default)]
pub(super) struct BodyProgress(Mutex<WholeChunks>);

#[derive(Debug, Default)]
struct WholeChunks {
    /// Bytes of the body in chunks that have ended.
    bytes: u64,
    /// Whether the current chunk is declared to be longer than [`LONG_CHUNK_BYTES`].
    is_in_long_chunk: bool,
    /// The part of the body that [`BodyProgress::await_whole`] waits for (bytes).
    awaited: u64,
    /// When chunks with the awaited part had ended.
    reached_at: Option<Instant>,
}

impl BodyProgress {
    fn lock(&self) -> MutexGuard<'_, WholeChunks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits, from now on, for the end of the chunk with the last of the body's first `bytes` bytes.
    pub(super) fn await_whole(&self, bytes: u64) {
        let mut whole = self.lock();
        whole.awaited = bytes;
        whole.reached_at = (whole.bytes >= bytes).then(Instant::now);
    }

    /// When the chunk that is waited for had ended; `None` if it has not.
    pub(super) fn reached_at(&self) -> Option<Instant> {
        self.lock().reached_at
    }

    /// Whether the last of the body's first `bytes` bytes lies in a chunk that is declared to be long and has not ended.
    pub(super) fn is_in_long_chunk(&self, bytes: u64) -> bool {
        let whole = self.lock();
        whole.is_in_long_chunk && whole.bytes < bytes
    }

    fn response_begins(&self) {
        *self.lock() = WholeChunks::default();
    }

    fn chunk_begins(&self, chunk_bytes: u64) {
        self.lock().is_in_long_chunk = chunk_bytes > LONG_CHUNK_BYTES;
    }

    fn chunk_ends(&self, chunk_bytes: u64) {
        let mut whole = self.lock();
        whole.is_in_long_chunk = false;
        whole.bytes += chunk_bytes;
        if whole.bytes >= whole.awaited {
            whole.reached_at.get_or_insert_with(Instant::now);
        }
    }
}

/// The current position on the connection.
#[derive(Debug)]
enum Position {
    /// In a head or before one, with the bytes of the head so far.
    Head(Vec<u8>),
    /// In a body of declared length.
    Body { length: u64, remaining: u64 },
    /// In a chunked body; `chunk_bytes` is the size of the current chunk.
    Chunked { body: ChunkedBody, chunk_bytes: u64 },
    /// Behind a declaration of too much data: none of that is passed on.
    TooLong,
    /// The bytes are not framed; hyper takes them as far as it can.
    Unframed,
}

/// Follows the responses on one connection.
#[derive(Debug)]
pub(super) struct ResponseFraming {
    position: Position,
    progress: Arc<BodyProgress>,
}

impl ResponseFraming {
    /// At the beginning of a connection; `progress` is told how far bodies have come.
    pub(super) fn new(progress: Arc<BodyProgress>) -> Self {
        Self { position: Position::Head(Vec::new()), progress }
    }

    /// Follows received bytes. Returns how many of them may be passed on: all, or those up to a declaration of too much
    /// data.
    pub(super) fn accept(&mut self, bytes: &[u8]) -> usize {
        let mut accepted = 0;
        while accepted < bytes.len() {
            let rest = &bytes[accepted..];
            accepted += match &self.position {
                Position::Head(_) => self.accept_head(rest),
                Position::Body { .. } => self.accept_body(rest),
                Position::Chunked { .. } => self.accept_chunked(rest),
                Position::Unframed => rest.len(),
                Position::TooLong => return accepted,
            };
        }
        accepted
    }

    fn accept_head(&mut self, bytes: &[u8]) -> usize {
        let Position::Head(head) = &mut self.position else { return 0 };
        let before = head.len();
        head.extend_from_slice(bytes);
        let Some((length, next)) = parse_head(head) else {
            if head.len() > MAX_HEAD_BYTES {
                self.position = Position::Unframed;
            }
            return bytes.len();
        };
        self.progress.response_begins();
        if let Position::Body { length, .. } = next {
            self.progress.chunk_begins(length);
        }
        self.position = next;
        length - before
    }

    fn accept_body(&mut self, bytes: &[u8]) -> usize {
        let Position::Body { length, remaining } = &mut self.position else { return 0 };
        let accepted = usize::try_from(*remaining).unwrap_or(usize::MAX).min(bytes.len());
        *remaining -= accepted as u64;
        if *remaining == 0 {
            self.progress.chunk_ends(*length);
            self.position = Position::Head(Vec::new());
        }
        accepted
    }

    fn accept_chunked(&mut self, bytes: &[u8]) -> usize {
        let Position::Chunked { body, chunk_bytes } = &mut self.position else { return 0 };
        let Some((accepted, boundary)) = body.advance(bytes) else {
            self.position = Position::Unframed;
            return bytes.len();
        };
        match boundary {
            Some(Boundary::ChunkBegins { size }) if size > MAX_CHUNK_BYTES => {
                self.position = Position::TooLong;
                return 0;
            }
            Some(Boundary::ChunkBegins { size }) => {
                *chunk_bytes = size;
                self.progress.chunk_begins(size);
            }
            Some(Boundary::ChunkEnds) => self.progress.chunk_ends(*chunk_bytes),
            Some(Boundary::BodyEnds) => self.position = Position::Head(Vec::new()),
            None => {}
        }
        accepted
    }
}

/// Parses a head. Returns its length and the position behind it; `None` while it is not complete.
fn parse_head(head: &[u8]) -> Option<(usize, Position)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let mut config = httparse::ParserConfig::default();
    config.ignore_invalid_headers_in_responses(true);
    match config.parse_response(&mut response, head) {
        Ok(httparse::Status::Complete(length)) => {
            Some((length, body_position(response.code.unwrap_or(0), response.headers)))
        }
        Ok(httparse::Status::Partial) => None,
        // Hyper can't parse this head either, and fails the request.
        Err(_) => Some((head.len(), Position::Unframed)),
    }
}

/// The position at the beginning of the body of a response (RFC 9112, section 6.3).
fn body_position(status: u16, headers: &[httparse::Header<'_>]) -> Position {
    let is_interim = (100..200).contains(&status) && status != StatusCode::SWITCHING_PROTOCOLS.as_u16();
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].iter().any(|&none| none == status);
    if is_interim || has_no_body {
        return Position::Head(Vec::new());
    }
    let last = |name: &'static str| {
        headers.iter().rfind(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    };
    if let Some(encodings) = last("transfer-encoding") {
        let last_encoding = encodings.rsplit(|&byte| byte == b',').next().unwrap_or_default();
        return match last_encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            true => Position::Chunked { body: ChunkedBody::start(), chunk_bytes: 0 },
            false => Position::Unframed,
        };
    }
    let length =
        last("content-length").and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
    match length {
        None => Position::Unframed,
        Some(0) => Position::Head(Vec::new()),
        Some(length) if length > MAX_CHUNK_BYTES => Position::TooLong,
        Some(length) => Position::Body { length, remaining: length },
    }
}
