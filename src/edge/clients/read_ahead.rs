//! What a client sends behind an open request, kept until that has been answered.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::{Buf as _, BytesMut};

/// What is kept of one connection: four bodies of the protocol's most (bytes). Of a client that sends more, nothing is
/// kept, and its connection is closed after the answer.
const MAX_BYTES: usize = 1 << 20;
/// What is kept of all connections: an eighth of the least memory that limits give, 32 MB (bytes).
const MAX_TOTAL_BYTES: usize = 4 << 20;

/// What has come behind an open request of one connection.
pub(crate) struct ReadAhead {
    bytes: BytesMut,
    overflowed: bool,
    /// Bytes that all connections keep together.
    total_bytes: Arc<AtomicUsize>,
}

impl ReadAhead {
    pub(crate) fn new(total_bytes: Arc<AtomicUsize>) -> Self {
        Self { bytes: BytesMut::new(), overflowed: false, total_bytes }
    }

    /// More came than is kept: what follows is not known.
    pub(crate) fn has_overflowed(&self) -> bool {
        self.overflowed
    }

    /// Up to `max_bytes` of what is kept.
    pub(crate) fn first(&self, max_bytes: usize) -> &[u8] {
        &self.bytes[..self.bytes.len().min(max_bytes)]
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Keeps what has come, if there is room.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let total_room = MAX_TOTAL_BYTES.saturating_sub(self.total_bytes.load(Ordering::Relaxed));
        let room = total_room.min(MAX_BYTES - self.bytes.len());
        if self.overflowed || bytes.len() > room {
            self.overflowed = true;
            return self.consume(self.bytes.len());
        }
        self.total_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(bytes);
    }

    /// Drops the first bytes, as they have been read.
    pub(crate) fn consume(&mut self, length: usize) {
        self.bytes.advance(length);
        self.total_bytes.fetch_sub(length, Ordering::Relaxed);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new(); // gives its memory back
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.consume(self.bytes.len());
    }
}
