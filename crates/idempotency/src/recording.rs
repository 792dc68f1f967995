//! An answer as it is recorded: from its first byte, or, once it may not grow any more, only what its fastest reader
//! has still to take.

/// Room that every recording is given when its run begins, so that its readers never wait for memory (bytes).
pub(crate) const RESERVED_BYTES: usize = 16 << 10;
/// The least that a recording reserves when it grows (bytes).
const MIN_GROWTH_BYTES: usize = 1 << 10;

#[derive(Debug, Default)]
pub(crate) struct Recording {
    bytes: Vec<u8>,
    /// Place in the answer of the first byte that is held.
    start: u64,
    /// How far the fastest reader has come.
    front: u64,
    /// Its beginning is gone, or may go: nobody who comes later can read it from its first byte.
    passing: bool,
}

impl Recording {
    /// Bytes that it holds, also those that it has only reserved.
    pub(crate) fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Place in the answer behind the last byte that has come.
    pub(crate) fn end(&self) -> u64 {
        self.start + self.bytes.len() as u64
    }

    pub(crate) fn is_passing(&self) -> bool {
        self.passing
    }

    /// What it would hold after `more` bytes.
    pub(crate) fn capacity_for(&self, more: usize) -> usize {
        let needed = self.bytes.len() + more;
        let held = self.bytes.capacity();
        if needed <= held {
            return held;
        }
        // Half as much again: appending stays cheap, and little is reserved in vain.
        needed.max(held + held / 2).max(MIN_GROWTH_BYTES)
    }

    /// Appends all of `data`, holding up to `capacity` bytes.
    pub(crate) fn append(&mut self, data: &[u8], capacity: usize) {
        self.bytes.reserve_exact(capacity.saturating_sub(self.bytes.len()).max(data.len()));
        self.bytes.extend_from_slice(data);
    }

    /// From now on it only passes on: what its fastest reader has had may be dropped.
    pub(crate) fn set_passing(&mut self) {
        self.passing = true;
    }

    /// Appends as much of `data` as there is room for within `capacity`; returns how much that was.
    pub(crate) fn append_within(&mut self, data: &[u8], capacity: usize) -> usize {
        if self.bytes.len() + data.len() > capacity {
            let had = (self.front - self.start) as usize;
            self.bytes.drain(..had);
            self.start = self.front;
        }
        let taken = data.len().min(capacity.saturating_sub(self.bytes.len()));
        self.bytes.reserve_exact(taken);
        self.bytes.extend_from_slice(&data[..taken]);
        taken
    }

    /// Up to `max_bytes` bytes from a place on; `None` if they are gone.
    pub(crate) fn read(&mut self, from: u64, max_bytes: usize) -> Option<&[u8]> {
        let at = usize::try_from(from.checked_sub(self.start)?).ok()?;
        let rest = self.bytes.get(at..)?;
        let piece = &rest[..rest.len().min(max_bytes)];
        self.front = self.front.max(from + piece.len() as u64);
        Some(piece)
    }

    /// Gives back what was reserved and not used.
    pub(crate) fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
    }
}
