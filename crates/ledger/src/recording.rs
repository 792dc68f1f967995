//! An answer as it is recorded: from its first byte, or, once it may not grow any more, only what its fastest
//! reader has still to take.

/// What a recording that has to let go of its beginning goes on with: a reader never waits for less (bytes).
pub(crate) const LIVE: usize = 16 << 10;

#[derive(Debug, Default)]
pub(crate) struct Recording {
    bytes: Vec<u8>,
    /// Place in the answer of the first byte that is still here.
    start: u64,
    /// How far the fastest reader has come.
    front: u64,
    /// Its beginning is gone, or may go: it can't be given from its first byte to anybody who comes later.
    passing: bool,
}

impl Recording {
    /// Bytes that it holds, also those that it has only reserved.
    pub(crate) fn held(&self) -> usize {
        self.bytes.capacity()
    }

    pub(crate) fn end(&self) -> u64 {
        self.start + self.bytes.len() as u64
    }

    pub(crate) fn passing(&self) -> bool {
        self.passing
    }

    /// What it would hold if it took in so much more.
    pub(crate) fn wants(&self, more: usize) -> usize {
        let needs = self.bytes.len() + more;
        if needs <= self.bytes.capacity() {
            return self.bytes.capacity();
        }
        // Half as much again: appending stays cheap, and little is reserved in vain.
        needs.max(self.bytes.capacity() + self.bytes.capacity() / 2).max(1 << 10)
    }

    /// Takes in all of `data`, holding up to `capacity`.
    pub(crate) fn append(&mut self, data: &[u8], capacity: usize) {
        self.bytes.reserve_exact(capacity.saturating_sub(self.bytes.len()).max(data.len()));
        self.bytes.extend_from_slice(data);
    }

    /// From now on it only passes on: it holds `capacity` at most and lets go of what its fastest reader has had.
    pub(crate) fn pass_on(&mut self) {
        self.passing = true;
    }

    /// Takes in as much of `data` as there is room for within `capacity`; how much that was.
    pub(crate) fn append_within(&mut self, data: &[u8], capacity: usize) -> usize {
        let had = (self.front - self.start) as usize;
        if self.bytes.len() + data.len() > capacity {
            self.bytes.drain(..had);
            self.start = self.front;
        }
        let taken = data.len().min(capacity.saturating_sub(self.bytes.len()));
        self.bytes.reserve_exact(taken);
        self.bytes.extend_from_slice(&data[..taken]);
        taken
    }

    /// Up to `most` bytes from a place on; `None` if they are gone.
    pub(crate) fn read(&mut self, from: u64, most: usize) -> Option<&[u8]> {
        let at = usize::try_from(from.checked_sub(self.start)?).ok()?;
        let rest = self.bytes.get(at..)?;
        let piece = &rest[..rest.len().min(most)];
        self.front = self.front.max(from + piece.len() as u64);
        Some(piece)
    }

    /// Gives back what was reserved and not used.
    pub(crate) fn fit(&mut self) {
        self.bytes.shrink_to_fit();
    }
}
