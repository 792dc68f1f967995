//! How many connections clients may have, over all fronts: who gets a slot, and which connection is evicted when all are
//! taken. Times are instants; nothing is waited for here.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::warn;
use tokio::time::Instant;

use crate::edge::clients::connection_slot::{lock, Activity, ConnectionSlot};

/// Connections over capacity that are kept until they have asked and been told so; any more are closed at once.
pub const MAX_OVER_CAPACITY: usize = 16;
/// Time between two lines that report a lack of slots.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The slots that are taken, by their ids: older ones come first.
#[derive(Debug, Default)]
struct Slots {
    next_id: u64,
    /// When it was last reported that no slot is free.
    reported: Option<Instant>,
    taken: BTreeMap<u64, Arc<ConnectionSlot>>,
}

/// What connections do.
#[derive(Debug, Default)]
struct ActivityCounts {
    serving: usize,
    receiving: usize,
    idle: usize,
}

impl Slots {
    fn count(&self, over_capacity: bool) -> usize {
        self.taken.values().filter(|slot| slot.over_capacity == over_capacity).count()
    }

    fn activities(&self) -> ActivityCounts {
        let mut counts = ActivityCounts::default();
        for slot in self.taken.values() {
            match slot.activity() {
                Activity::Serving => counts.serving += 1,
                Activity::Receiving => counts.receiving += 1,
                Activity::Idle => counts.idle += 1,
            }
        }
        counts
    }

    /// Evicts the connection that may go first of those within capacity, or of those over it; whether there was one.
    fn evict_one(&mut self, over_capacity: bool, now: Instant) -> bool {
        let mut first = None;
        for (&id, slot) in self.taken.iter().filter(|(_, slot)| slot.over_capacity == over_capacity) {
            let Some(rank) = slot.eviction_rank(now) else { continue };
            if first.is_none_or(|first| (rank, id) < first) {
                first = Some((rank, id));
            }
        }
        let Some(slot) = first.and_then(|(_, id)| self.taken.remove(&id)) else { return false };
        slot.evict();
        true
    }

    fn report_over_capacity(&mut self, within_capacity: usize, now: Instant) {
        if self.reported.is_some_and(|reported| now < reported + REPORT_INTERVAL) {
            return;
        }
        self.reported = Some(now);
        let ActivityCounts { serving, receiving, idle } = self.activities();
        warn!(connections = within_capacity, serving, receiving, idle; "connections: over capacity");
    }
}

/// The limit on connections, shared by all fronts.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    max_connections: Arc<AtomicUsize>,
    /// Bytes that are kept of requests behind open ones, on all connections.
    pub read_ahead_bytes: Arc<AtomicUsize>,
    slots: Arc<Mutex<Slots>>,
}

impl ConnectionLimits {
    /// Slots for `max_connections` that are served.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections: Arc::new(AtomicUsize::new(max_connections)),
            read_ahead_bytes: Arc::default(),
            slots: Arc::default(),
        }
    }

    /// Sets the limit from now on. Connections beyond it stay until [`evict_excess`](Self::evict_excess).
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// Connections that have a slot, with those over capacity.
    #[must_use]
    pub fn held(&self) -> usize {
        lock(&self.slots).taken.len()
    }

    /// Ids of the slots that are taken, the oldest first.
    #[must_use]
    pub fn slot_ids(&self) -> Vec<u64> {
        lock(&self.slots).taken.keys().copied().collect()
    }

    /// Evicts connections beyond the limit, as far as they may be.
    pub fn evict_excess(&self, now: Instant) {
        let mut slots = lock(&self.slots);
        while slots.count(false) > self.max() && slots.evict_one(false, now) {}
    }

    /// A slot for a new connection. Where all are taken, the connection that has waited longest for a request is evicted;
    /// where none may be, the new one is over capacity: whatever it asks, it is refused. `None` if those are too many as
    /// well.
    #[must_use]
    pub fn admit(&self, now: Instant) -> Option<SlotGuard> {
        let mut slots = lock(&self.slots);
        let within_capacity = slots.count(false);
        let over_capacity = within_capacity >= self.max() && !slots.evict_one(false, now);
        if over_capacity {
            slots.report_over_capacity(within_capacity, now);
            if slots.count(true) >= MAX_OVER_CAPACITY && !slots.evict_one(true, now) {
                return None;
            }
        }
        let id = slots.next_id;
        slots.next_id += 1;
        let slot = Arc::new(ConnectionSlot::new(now, over_capacity));
        slots.taken.insert(id, slot.clone());
        Some(SlotGuard { id, slot, limits: self.clone() })
    }

    fn max(&self) -> usize {
        self.max_connections.load(Ordering::Relaxed)
    }
}

/// A slot that is given back when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    id: u64,
    /// The slot.
    pub slot: Arc<ConnectionSlot>,
    /// What it counts against.
    pub limits: ConnectionLimits,
}

impl SlotGuard {
    /// The slot's id: greater than those of all that were taken before.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        lock(&self.limits.slots).taken.remove(&self.id);
    }
}
