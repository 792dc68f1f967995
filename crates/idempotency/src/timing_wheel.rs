//! A hierarchical timing wheel over small numbers: setting, moving and cancelling a time cost the same however
//! many there are. Times are rounded up to a tick, so that nothing is due early.

use crate::Micros;

/// A tick (us): what is due fires up to this much late, and never early.
pub const TICK_US: Micros = 1 << 16;
/// So many levels hold every tick that a time can have: the wheel never wraps around.
const LEVELS: usize = 8;
const LAST_TICK: u64 = (1 << 48) - 1;
const SLOTS: usize = 64;
const NONE: u32 = u32::MAX;
const NO_SLOT: u16 = u16::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    /// The tick at which it is due.
    due: u64,
    before: u32,
    after: u32,
    slot: u16,
}

const UNSCHEDULED: Link = Link { due: 0, before: NONE, after: NONE, slot: NO_SLOT };

/// A timing wheel. Members are numbers of the caller's; memory grows with the greatest.
#[derive(Debug)]
pub struct TimingWheel {
    tick: u64,
    first: Vec<u32>,
    /// For each level, which slots hold members.
    filled: [u64; LEVELS],
    links: Vec<Link>,
    len: usize,
}

impl TimingWheel {
    /// An empty wheel that stands at `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            tick: now / TICK_US,
            first: vec![NONE; LEVELS * SLOTS],
            filled: [0; LEVELS],
            links: Vec::new(),
            len: 0,
        }
    }

    /// Members that have a time.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none has a time.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory that the wheel holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>() + self.first.capacity() * size_of::<u32>()
    }

    /// Gives a member a time; one that it had is replaced.
    pub fn set(&mut self, member: u32, due: Micros) {
        self.cancel(member);
        if self.links.len() <= member as usize {
            self.links.resize(member as usize + 1, UNSCHEDULED);
        }
        self.len += 1;
        // What is due by now fires with the next tick.
        self.link(member, due.div_ceil(TICK_US).max(self.tick + 1).min(LAST_TICK));
    }

    /// Takes a member's time away, if it has one.
    pub fn cancel(&mut self, member: u32) {
        let Some(&Link { before, after, slot, .. }) =
            self.links.get(member as usize).filter(|link| link.slot != NO_SLOT)
        else {
            return;
        };
        match before {
            NONE => self.first[slot as usize] = after,
            before => self.links[before as usize].after = after,
        }
        if after != NONE {
            self.links[after as usize].before = before;
        }
        if self.first[slot as usize] == NONE {
            self.filled[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
        }
        self.links[member as usize] = UNSCHEDULED;
        self.len -= 1;
    }

    /// When something may be due next, at the earliest; `None` if no member has one.
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.next_filled().map(|(tick, _)| tick * TICK_US)
    }

    /// Moves to `now` and adds all that is due by then to `fired`.
    pub fn advance(&mut self, now: Micros, fired: &mut Vec<u32>) {
        let target = (now / TICK_US).max(self.tick);
        while let Some((tick, slot)) = self.next_filled().filter(|&(tick, _)| tick <= target) {
            self.tick = tick.max(self.tick);
            self.filled[slot / SLOTS] &= !(1 << (slot % SLOTS));
            let mut member = std::mem::replace(&mut self.first[slot], NONE);
            while member != NONE {
                let Link { due, after, .. } = self.links[member as usize];
                self.links[member as usize] = UNSCHEDULED;
                if due <= self.tick {
                    self.len -= 1;
                    fired.push(member);
                } else {
                    self.link(member, due); // one level down
                }
                member = after;
            }
        }
        self.tick = target;
    }

    /// Links a member into the slot of its tick: the level is that of the highest digit in which the tick
    /// differs from where the wheel stands.
    fn link(&mut self, member: u32, due: u64) {
        let differs = (self.tick ^ due) | (SLOTS as u64 - 1);
        let level = ((63 - differs.leading_zeros() as usize) / 6).min(LEVELS - 1);
        let slot = level * SLOTS + (due >> (6 * level)) as usize % SLOTS;
        let after = std::mem::replace(&mut self.first[slot], member);
        if after != NONE {
            self.links[after as usize].before = member;
        }
        self.links[member as usize] = Link { due, before: NONE, after, slot: slot as u16 };
        self.filled[level] |= 1 << (slot % SLOTS);
    }

    /// The slot that comes next, with the tick at which it does.
    fn next_filled(&self) -> Option<(u64, usize)> {
        let of_level = |level: usize| {
            let filled = Some(self.filled[level]).filter(|&filled| filled != 0)?;
            let (slot, range) = (u64::from(filled.trailing_zeros()), 1 << (6 * level));
            // Of the digits above this level, the members' are the wheel's own.
            let tick = (self.tick >> (6 * level) >> 6 << 6 | slot) * range;
            Some((tick.max(self.tick), level * SLOTS + slot as usize))
        };
        (0..LEVELS).filter_map(of_level).min_by_key(|&(tick, slot)| (tick, std::cmp::Reverse(slot)))
    }
}
