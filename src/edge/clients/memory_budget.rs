//! The budget for the memory that clients make the process hold: long heads and bodies of requests, what they are parsed
//! to, and bytes that come ahead of their turn. It is shared by all fronts and connections.
//!
//! A [`Reservation`] may take at most half of what the others leave free (dynamic thresholds; A. K. Choudhury and E. L.
//! Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998). So requests of the usual size
//! still find room while many large ones are being received.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

/// The inverse of the share of the free memory that one reservation may take.
const FREE_SHARE_DIVISOR: usize = 2;

/// A shared budget of memory. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Counters>);

#[derive(Debug)]
struct Counters {
    /// The size of the budget (bytes).
    limit: AtomicUsize,
    /// What all reservations hold together (bytes).
    reserved: AtomicUsize,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Counters { limit: AtomicUsize::new(limit), reserved: AtomicUsize::new(0) }))
    }

    /// Sets the size of the budget (bytes). Reservations beyond it stay, and no new ones are made until they fit.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// The size of the largest reservation that can be made when there is no other (bytes).
    #[must_use]
    pub fn largest_reservation(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed) / FREE_SHARE_DIVISOR
    }

    /// What all reservations hold together (bytes).
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// An empty reservation, which can [grow](Reservation::grow_to).
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// A reservation of this size.
    ///
    /// # Errors
    /// [`NoRoom`] if it exceeds what one reservation may take now.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, NoRoom> {
        let mut reservation = self.reservation();
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }
}

/// There is no room for a reservation now. Refusing the request is harmless, as nothing was sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is free for this request")]
pub struct NoRoom;

/// A part of a [`MemoryBudget`]; dropping it frees the part.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// The size of the reservation (bytes).
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to this size (bytes); a larger one stays as it is.
    ///
    /// # Errors
    /// [`NoRoom`] if the size exceeds half of what other reservations leave free; the reservation then stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|&more| more > 0) else { return Ok(()) };
        let counters = &self.budget.0;
        let reserved_by_others = counters.reserved.load(Ordering::Relaxed).saturating_sub(self.bytes);
        let free = counters.limit.load(Ordering::Relaxed).saturating_sub(reserved_by_others);
        if bytes > free / FREE_SHARE_DIVISOR {
            return Err(NoRoom);
        }
        counters.reserved.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }

    /// Shrinks the reservation to this size (bytes); a smaller one stays as it is.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.budget.0.reserved.fetch_sub(excess, Ordering::Relaxed);
        self.bytes -= excess;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Bytes of one allocation, with the reservation for them.
#[derive(Debug)]
pub struct ReservedBytes {
    bytes: Vec<u8>,
    /// Freed with the bytes.
    _reservation: Reservation,
}

impl ReservedBytes {
    /// Bytes for which this reservation was made.
    #[must_use]
    pub fn new(bytes: Vec<u8>, reservation: Reservation) -> Self {
        Self { bytes, _reservation: reservation }
    }

    /// Bytes that are there already, for which memory is taken from `budget`.
    ///
    /// # Errors
    /// [`NoRoom`] if the budget has no room for them.
    pub fn from_vec(bytes: Vec<u8>, budget: &MemoryBudget) -> Result<Self, NoRoom> {
        let reservation = budget.reserve(bytes.len())?;
        Ok(Self::new(bytes, reservation))
    }

    /// The bytes; their last clone frees the reservation.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
