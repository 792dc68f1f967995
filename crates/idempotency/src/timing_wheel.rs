//! A hierarchical timing wheel: setting, moving and canceling a timer take constant time. Times are rounded up to a
//! tick, so that no timer fires early.

use crate::Micros;

/// Length of a tick (us): a timer fires up to this much late, and never early.
pub const TICK_US: Micros = 1 << 16;
/// With 6 bits of the tick number per level, 8 levels hold all 48 bits that a tick number can have: the wheel never
/// wraps around.
const LEVELS: usize = 8;
/// The greatest tick number: a time has 64 bits of microseconds, and a tick is 2^16 us.
const LAST_TICK: u64 = (1 << 48) - 1;
/// Slots per level: one for each value of a 6-bit digit.
const SLOTS: usize = 64;
/// Stands for the absence of a timer at the end of a slot's list.
const NONE: u32 = u32::MAX;
/// The value of [`Link::slot`] for a timer that is not set.
const NO_SLOT: u16 = u16::MAX;

/// One timer, as a member of the doubly linked list of its slot.
#[derive(Clone, Copy, Debug)]
struct Link {
    /// The tick at which the timer is due.
    due: u64,
    previous: u32,
    next: u32,
    slot: u16,
}

const UNSCHEDULED: Link = Link { due: 0, previous: NONE, next: NONE, slot: NO_SLOT };

/// A timing wheel. The caller identifies timers by small numbers; memory grows with the greatest one.
#[derive(Debug)]
pub struct TimingWheel {
    tick: u64,
    slot_heads: Vec<u32>,
    /// For each level, a bit for each slot that holds timers.
    occupied: [u64; LEVELS],
    links: Vec<Link>,
    len: usize,
}

impl TimingWheel {
    /// Creates an empty wheel whose current time is `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            tick: now / TICK_US,
            slot_heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            links: Vec::new(),
            len: 0,
        }
    }

    /// Number of timers that are set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory that the wheel has reserved (bytes).
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>() + self.slot_heads.capacity() * size_of::<u32>()
    }

    /// Sets a timer to fire at `due`, in place of the time that it had.
    pub fn set(&mut self, timer: u32, due: Micros) {
        self.cancel(timer);
        if self.links.len() <= timer as usize {
            self.links.resize(timer as usize + 1, UNSCHEDULED);
        }
        self.len += 1;
        // A timer that is due already fires with the next tick.
        self.link(timer, due.div_ceil(TICK_US).max(self.tick + 1).min(LAST_TICK));
    }

    /// Cancels a timer, if it is set.
    pub fn cancel(&mut self, timer: u32) {
        let Some(&Link { previous, next, slot, .. }) =
            self.links.get(timer as usize).filter(|link| link.slot != NO_SLOT)
        else {
            return;
        };
        match previous {
            NONE => self.slot_heads[slot as usize] = next,
            previous => self.links[previous as usize].next = next,
        }
        if next != NONE {
            self.links[next as usize].previous = previous;
        }
        if self.slot_heads[slot as usize] == NONE {
            self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
        }
        self.links[timer as usize] = UNSCHEDULED;
        self.len -= 1;
    }

    /// The earliest time at which a timer may fire (us); `None` if no timer is set. Advancing to that time may fire
    /// none, and only move timers to a lower level.
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.next_occupied().map(|(tick, _)| tick * TICK_US)
    }

    /// Moves the current time to `now`, and adds the timers that are due by then to `fired`.
    pub fn advance(&mut self, now: Micros, fired: &mut Vec<u32>) {
        let target = (now / TICK_US).max(self.tick);
        while let Some((tick, slot)) = self.next_occupied().filter(|&(tick, _)| tick <= target) {
            self.tick = tick.max(self.tick);
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
            let mut timer = std::mem::replace(&mut self.slot_heads[slot], NONE);
            while timer != NONE {
                let Link { due, next, .. } = self.links[timer as usize];
                self.links[timer as usize] = UNSCHEDULED;
                if due <= self.tick {
                    self.len -= 1;
                    fired.push(timer);
                } else {
                    self.link(timer, due); // to a lower level
                }
                timer = next;
            }
        }
        self.tick = target;
    }

    /// Adds a timer to the slot of its tick. A tick number has one digit of 6 bits per level; the level of the slot
    /// is that of the highest digit in which `due` differs from the current tick.
    fn link(&mut self, timer: u32, due: u64) {
        let differing_bits = (self.tick ^ due) | (SLOTS as u64 - 1);
        let level = ((63 - differing_bits.leading_zeros() as usize) / 6).min(LEVELS - 1);
        let slot = level * SLOTS + (due >> (6 * level)) as usize % SLOTS;
        let next = std::mem::replace(&mut self.slot_heads[slot], timer);
        if next != NONE {
            self.links[next as usize].previous = timer;
        }
        self.links[timer as usize] = Link { due, previous: NONE, next, slot: slot as u16 };
        self.occupied[level] |= 1 << (slot % SLOTS);
    }

    /// The next slot that holds timers, and the tick at which its timers fire or move to a lower level.
    fn next_occupied(&self) -> Option<(u64, usize)> {
        let next_in_level = |level: usize| {
            let occupied = Some(self.occupied[level]).filter(|&occupied| occupied != 0)?;
            let (slot, range) = (u64::from(occupied.trailing_zeros()), 1 << (6 * level));
            // In the digits above this level, the timers' ticks equal the current tick.
            let tick = (self.tick >> (6 * level) >> 6 << 6 | slot) * range;
            Some((tick.max(self.tick), level * SLOTS + slot as usize))
        };
        (0..LEVELS).filter_map(next_in_level).min_by_key(|&(tick, slot)| (tick, std::cmp::Reverse(slot)))
    }
}
