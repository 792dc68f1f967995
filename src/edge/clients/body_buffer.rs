//! Collects the bytes of a body whose length is not known, or not to be trusted, in segments of one size.
//!
//! One allocation for the whole body would have to be as long as the longest one that is allowed, or grow by copying. The
//! allocator keeps what is freed of such allocations, and a new one may get memory that has been in use before: then it
//! takes its whole length at once, however little is written to it. Segments are used again as they are.

use bytes::Bytes;

use crate::edge::clients::memory_budget::{MemoryBudget, NoRoom, Reservation, ReservedBytes};

/// Size of the first segment: most bodies are shorter (bytes).
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of the further segments, and of the first two together (bytes).
const SEGMENT_BYTES: usize = 16 << 10;

/// The bytes of a body that have come, with the memory for them.
#[derive(Debug)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
    /// The size of all segments, written or not.
    reservation: Reservation,
}

impl BodyBuffer {
    /// An empty buffer, which takes its memory from `budget` segment by segment.
    #[must_use]
    pub fn new(budget: &MemoryBudget) -> Self {
        Self { segments: Vec::new(), length: 0, reservation: budget.reservation() }
    }

    /// The number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`NoRoom`] if the budget has no room for them.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), NoRoom> {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self.segments.last().map_or(0, |last| last.capacity() - last.len());
            if room == 0 {
                self.add_segment()?;
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            bytes = later;
        }
        Ok(())
    }

    fn add_segment(&mut self) -> Result<(), NoRoom> {
        let reserved = self.reservation.bytes();
        let size = if reserved == 0 { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES - reserved % SEGMENT_BYTES };
        self.reservation.grow_to(reserved + size)?;
        self.segments.push(Vec::with_capacity(size));
        Ok(())
    }

    /// The bytes in one piece; their last clone frees the memory.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        let mut bytes = Vec::with_capacity(self.length);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        self.reservation.shrink_to(self.length);
        ReservedBytes::new(bytes, self.reservation).into_bytes()
    }
}
