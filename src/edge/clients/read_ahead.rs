//! Buffers bytes that a client pipelines behind an open request until that request has been answered.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::{Buf as _, BytesMut};

/// Maximum for one connection: four request bodies of the maximum length in the protocol (bytes). If a client
/// sends more, its buffer is discarded and its connection is closed after the answer.
const MAX_BYTES: usize = 1 << 20;
/// Maximum for all connections: an eighth of 32 MB, the smallest memory limit that is expected (bytes).
const MAX_TOTAL_BYTES: usize = 4 << 20;

/// The bytes that have come behind an open request of one connection.
pub(crate) struct ReadAhead {
    bytes: BytesMut,
    overflowed: bool,
    /// Bytes that all connections buffer together.
    total_bytes: Arc<AtomicUsize>,
}

impl ReadAhead {
    pub(crate) fn new(total_bytes: Arc<AtomicUsize>) -> Self {
        Self { bytes: BytesMut::new(), overflowed: false, total_bytes }
    }

    /// Whether more bytes came than fit. They were discarded, so the bytes that follow cannot be parsed.
    pub(crate) fn has_overflowed(&self) -> bool {
        self.overflowed
    }

    /// The first buffered bytes, at most `max_bytes`, without consuming them.
    pub(crate) fn peek(&self, max_bytes: usize) -> &[u8] {
        &self.bytes[..self.bytes.len().min(max_bytes)]
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. If they do not fit, discards the whole buffer and marks it as overflowed.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let total_available = MAX_TOTAL_BYTES.saturating_sub(self.total_bytes.load(Ordering::Relaxed));
        let available = total_available.min(MAX_BYTES - self.bytes.len());
        if self.overflowed || bytes.len() > available {
            self.overflowed = true;
            return self.consume(self.bytes.len());
        }
        self.total_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes the first `length` bytes, which have been read.
    pub(crate) fn consume(&mut self, length: usize) {
        self.bytes.advance(length);
        self.total_bytes.fetch_sub(length, Ordering::Relaxed);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new(); // frees the memory
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.consume(self.bytes.len());
    }
}
