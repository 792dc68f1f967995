//! Buffers bytes that a client pipelines behind an open request until that request has been answered.

use bytes::{Buf as _, BytesMut};

use crate::edge::clients::memory_budget::{MemoryBudget, Reservation};

/// Maximum for one connection: four request bodies of the maximum length in the protocol (bytes). If a client
/// sends more, its buffer is discarded and its connection is closed after the answer.
const MAX_BYTES: usize = 1 << 20;

/// The bytes that have come behind an open request of one connection.
pub(crate) struct ReadAhead {
    bytes: BytesMut,
    overflowed: bool,
    /// At least the size of the buffer's allocation. Consuming bytes does not free a part of that.
    reservation: Reservation,
}

impl ReadAhead {
    pub(crate) fn new(memory: &MemoryBudget) -> Self {
        Self { bytes: BytesMut::new(), overflowed: false, reservation: memory.reservation() }
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
        if self.overflowed || !self.has_room_for(bytes.len()) {
            self.overflowed = true;
            return self.free();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Makes room for this many further bytes. Returns whether the limits allow them.
    fn has_room_for(&mut self, more: usize) -> bool {
        let needed = self.bytes.len() + more;
        if needed <= self.bytes.capacity() {
            return true;
        }
        let capacity = (2 * self.bytes.capacity()).max(needed);
        if needed > MAX_BYTES || self.reservation.grow_to(capacity).is_err() {
            return false;
        }
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        true
    }

    /// Removes the first `length` bytes, which have been read.
    pub(crate) fn consume(&mut self, length: usize) {
        self.bytes.advance(length);
        if self.bytes.is_empty() {
            self.free();
        }
    }

    fn free(&mut self) {
        self.bytes = BytesMut::new();
        self.reservation.shrink_to(0);
    }
}
