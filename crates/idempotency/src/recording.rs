//! The recording of an answer. It holds the answer from the first byte until it may not grow any more. From then on
//! it is pass-through: to make room, it drops the bytes that its fastest reader has read.

/// Bytes that every recording is charged for when its run begins, so that its readers never wait for memory.
pub(crate) const RESERVED_BYTES: usize = 16 << 10;
/// The smallest capacity that a recording reserves when it grows (bytes).
const MIN_GROWTH_BYTES: usize = 1 << 10;

/// The held bytes of one answer, and where in the answer they are.
#[derive(Debug, Default)]
pub(crate) struct Recording {
    bytes: Vec<u8>,
    /// Offset in the answer of the first byte in `bytes`.
    start_offset: u64,
    /// Offset in the answer up to which the fastest reader has read.
    fastest_offset: u64,
    /// The beginning of the answer may be dropped, or has been: a new reader cannot start at the first byte.
    pass_through: bool,
}

impl Recording {
    /// Memory that the recording takes, including reserved capacity (bytes).
    pub(crate) fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Offset in the answer after the last recorded byte.
    pub(crate) fn end(&self) -> u64 {
        self.start_offset + self.bytes.len() as u64
    }

    pub(crate) fn is_pass_through(&self) -> bool {
        self.pass_through
    }

    /// The capacity that the recording would need to append `additional` bytes.
    pub(crate) fn capacity_for(&self, additional: usize) -> usize {
        let needed = self.bytes.len() + additional;
        let held = self.bytes.capacity();
        if needed <= held {
            return held;
        }
        // Growing by half keeps the cost of appending low and little capacity unused.
        needed.max(held + held / 2).max(MIN_GROWTH_BYTES)
    }

    /// Appends all of `data`, growing to `capacity` bytes, which must come from [`Self::capacity_for`].
    pub(crate) fn append(&mut self, data: &[u8], capacity: usize) {
        self.bytes.reserve_exact(capacity.saturating_sub(self.bytes.len()).max(data.len()));
        self.bytes.extend_from_slice(data);
    }

    /// Makes the recording pass-through: bytes that the fastest reader has read may be dropped from now on.
    pub(crate) fn set_pass_through(&mut self) {
        self.pass_through = true;
    }

    /// Appends as much of `data` as fits into `capacity` bytes, after dropping what the fastest reader has read if
    /// that is needed. Returns how many bytes were appended.
    pub(crate) fn append_within(&mut self, data: &[u8], capacity: usize) -> usize {
        if self.bytes.len() + data.len() > capacity {
            let consumed = (self.fastest_offset - self.start_offset) as usize;
            self.bytes.drain(..consumed);
            self.start_offset = self.fastest_offset;
        }
        let appended = data.len().min(capacity.saturating_sub(self.bytes.len()));
        self.bytes.reserve_exact(appended);
        self.bytes.extend_from_slice(&data[..appended]);
        appended
    }

    /// Up to `max_bytes` bytes from offset `from` of the answer; `None` if they were dropped.
    pub(crate) fn read(&mut self, from: u64, max_bytes: usize) -> Option<&[u8]> {
        let skip = usize::try_from(from.checked_sub(self.start_offset)?).ok()?;
        let rest = self.bytes.get(skip..)?;
        let piece = &rest[..rest.len().min(max_bytes)];
        self.fastest_offset = self.fastest_offset.max(from + piece.len() as u64);
        Some(piece)
    }

    /// Releases reserved capacity that is not used.
    pub(crate) fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
    }
}
