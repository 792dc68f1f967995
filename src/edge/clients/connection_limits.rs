//! The limit on client connections over all fronts: which connection gets a slot, and which one is evicted
//! when all are taken. The current time is always passed in; nothing here waits.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::warn;
use tokio::time::Instant;

use crate::edge::clients::connection_slot::{lock, Activity, ConnectionSlot};
use crate::edge::clients::memory_budget::MemoryBudget;
use crate::edge::clients::pipeline_turns::PipelineTurns;

/// Connections over capacity that are kept open until their request has been refused; any more are closed at
/// once.
pub const MAX_OVER_CAPACITY: usize = 16;
/// Minimum time between two log lines about a lack of slots.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The taken slots by id. Ids are assigned in ascending order, so older slots come first.
#[derive(Debug, Default)]
struct Slots {
    next_id: u64,
    /// When a lack of slots was last logged.
    last_report: Option<Instant>,
    taken: BTreeMap<u64, Arc<ConnectionSlot>>,
}

/// The number of connections in each state, for the log.
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

    fn activity_counts(&self) -> ActivityCounts {
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

    /// Evicts the connection with the lowest eviction rank among those over capacity, or among those within
    /// it. Returns whether there was one that may be evicted.
    fn evict_one(&mut self, over_capacity: bool, now: Instant) -> bool {
        let mut candidate = None;
        for (&id, slot) in self.taken.iter().filter(|(_, slot)| slot.over_capacity == over_capacity) {
            let Some(rank) = slot.eviction_rank(now) else { continue };
            if candidate.is_none_or(|candidate| (rank, id) < candidate) {
                candidate = Some((rank, id));
            }
        }
        let Some(slot) = candidate.and_then(|(_, id)| self.taken.remove(&id)) else { return false };
        slot.evict();
        true
    }

    fn report_over_capacity(&mut self, within_capacity: usize, now: Instant) {
        if self.last_report.is_some_and(|last_report| now < last_report + REPORT_INTERVAL) {
            return;
        }
        self.last_report = Some(now);
        let ActivityCounts { serving, receiving, idle } = self.activity_counts();
        warn!(connections = within_capacity, serving, receiving, idle; "connections: over capacity");
    }
}

/// The limit on connections, shared by all fronts.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    max_connections: Arc<AtomicUsize>,
    /// The budget for what clients make the process hold, over all connections.
    pub memory: MemoryBudget,
    /// The turns in which requests are begun that clients have sent behind each other.
    pub pipeline_turns: PipelineTurns,
    slots: Arc<Mutex<Slots>>,
}

impl ConnectionLimits {
    /// Creates `max_connections` slots for connections whose requests are served. What these connections hold is
    /// taken from `memory`.
    #[must_use]
    pub fn new(max_connections: usize, memory: MemoryBudget) -> Self {
        Self {
            max_connections: Arc::new(AtomicUsize::new(max_connections)),
            memory,
            pipeline_turns: PipelineTurns::default(),
            slots: Arc::default(),
        }
    }

    /// Sets the limit from now on. Connections beyond it stay until [`evict_excess`](Self::evict_excess).
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// The number of connections that hold a slot, including those over capacity.
    #[must_use]
    pub fn held(&self) -> usize {
        lock(&self.slots).taken.len()
    }

    /// The ids of the taken slots, oldest first.
    #[must_use]
    pub fn slot_ids(&self) -> Vec<u64> {
        lock(&self.slots).taken.keys().copied().collect()
    }

    /// Evicts connections until the limit is met or none of the rest may be evicted.
    pub fn evict_excess(&self, now: Instant) {
        let mut slots = lock(&self.slots);
        while slots.count(false) > self.max() && slots.evict_one(false, now) {}
    }

    /// Takes a slot for a new connection. When all slots are taken, the connection with the lowest eviction
    /// rank is evicted. If none may be evicted, the new connection is over capacity and all its requests are
    /// refused. Returns `None` if there are too many connections over capacity as well.
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
        let slot = Arc::new(ConnectionSlot::new(now, over_capacity, &self.memory));
        slots.taken.insert(id, slot.clone());
        Some(SlotGuard { id, slot, limits: self.clone() })
    }

    fn max(&self) -> usize {
        self.max_connections.load(Ordering::Relaxed)
    }
}

/// A connection's slot, which is freed when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    id: u64,
    /// The state of the connection.
    pub slot: Arc<ConnectionSlot>,
    /// The limits that the slot was taken from.
    pub limits: ConnectionLimits,
}

impl SlotGuard {
    /// The slot's id, greater than that of every slot taken before.
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
