//! The idempotency store: what is known of requests that clients repeat. This module keeps it up to date; what a
//! repeat gets is decided in `admission`.

use crate::entry::{Entry, EntryState, ENTRY_BYTES};
use crate::entry_table::EntryTable;
use crate::policy::Policy;
use crate::recording::RESERVED_BYTES;
use crate::tenants::Tenants;
use crate::types::{Effect, EntryId, Execution, Outcome, ReadResult, Stats};
use crate::Micros;

/// The store. Every method that takes `now` reports something that has happened; what is to be done outside is fetched
/// with [`effects`](Self::effects). Time never goes back: an earlier `now` is taken for the latest one.
#[derive(Debug)]
pub struct IdempotencyStore {
    pub(crate) policy: Policy,
    pub(crate) started_us: Micros,
    pub(crate) now: Micros,
    pub(crate) entries: EntryTable,
    pub(crate) tenants: Tenants,
    pub(crate) stats: Stats,
    effects: Vec<Effect>,
    /// Kept between two calls, so that its memory is not allocated anew.
    due: Vec<u32>,
}

impl IdempotencyStore {
    /// An empty store that starts now.
    #[must_use]
    pub fn new(policy: Policy, now: Micros) -> Self {
        Self {
            policy,
            started_us: now,
            now,
            entries: EntryTable::new(&policy, now),
            tenants: Tenants::default(),
            stats: Stats::default(),
            effects: Vec::new(),
            due: Vec::new(),
        }
    }

    /// What it holds and has done.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let (entries, bytes) = (self.entries.len(), self.entries.bytes());
        Stats { entries, bytes, evicted: self.entries.evicted(), ..self.stats }
    }

    /// Memory that its tables have reserved, answers aside (bytes).
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.entries.reserved_bytes()
    }

    /// What is to be done outside, in order.
    pub fn effects(&mut self) -> impl Iterator<Item = Effect> + '_ {
        self.effects.drain(..)
    }

    /// When [`advance`](Self::advance) has something to do although nothing happens (us).
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        self.entries.deadlines.next_due()
    }

    /// Time has passed: what has expired is forgotten, and runs that nobody came back to are canceled.
    pub fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let mut due = std::mem::take(&mut self.due);
        self.entries.deadlines.advance(self.now, &mut due);
        for index in due.drain(..) {
            match self.entries.entry(index).state {
                EntryState::Waiting | EntryState::Streaming => self.cancel(index),
                EntryState::Free | EntryState::Canceling => {}
                EntryState::Ended { .. } | EntryState::AnswerEvicted { .. } => self.entries.forget(index),
            }
        }
        self.due = due;
    }

    /// Keeps figures of the caller's own with a run.
    pub fn set_execution(&mut self, id: EntryId, execution: Execution) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.execution = execution;
        }
    }

    /// The figures kept with a run; zeros where there are none.
    pub fn execution(&mut self, id: EntryId) -> Execution {
        self.entries.get_mut(id).map_or(Execution::default(), |entry| entry.execution)
    }

    /// The first of a run's answer has come.
    pub fn stream_started(&mut self, now: Micros, id: EntryId) {
        self.now = self.now.max(now);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.state == EntryState::Waiting {
            entry.state = EntryState::Streaming;
            self.effects.push(Effect::Wake(id));
        }
    }

    /// More of a run's answer has come; returns how many bytes were taken in. Where that is not all, the rest is to be
    /// recorded again once [`Effect::Wake`] has come.
    pub fn record(&mut self, now: Micros, id: EntryId, data: &[u8]) -> usize {
        self.now = self.now.max(now);
        let max_answer_bytes = self.policy.max_answer_bytes;
        // Of a run that is gone, or over, all is taken in: nobody waits for it.
        let Some(entry) = self.entries.get_mut(id) else { return data.len() };
        let Some(answer) = &entry.answer else { return data.len() };
        let capacity = answer.capacity_for(data.len());
        let charged = entry.charged_bytes as usize;
        let more = (ENTRY_BYTES + capacity.max(RESERVED_BYTES)).saturating_sub(charged);
        let may_grow = !answer.is_passing() && answer.end() as usize + data.len() <= max_answer_bytes;
        let is_kept = may_grow && self.entries.make_room(more);
        if is_kept {
            self.entries.charge(id.index, charged + more);
        }
        let entry = self.entries.entry_mut(id.index);
        let reserved = entry.charged_bytes as usize - ENTRY_BYTES;
        let Some(answer) = &mut entry.answer else { return data.len() };
        let taken = if is_kept {
            answer.append(data, capacity);
            data.len()
        } else {
            answer.set_passing();
            answer.append_within(data, reserved)
        };
        if taken > 0 {
            self.effects.push(Effect::Wake(id));
        }
        taken
    }

    /// A run has ended.
    pub fn finish(&mut self, now: Micros, id: EntryId, outcome: Outcome) {
        self.advance(now);
        let expires_us = self.now.saturating_add(self.policy.retention_us);
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.is_running()) else { return };
        entry.state = EntryState::Ended { outcome, expires_us };
        if submits_again(entry, outcome) {
            entry.readers = 0;
            entry.run = entry.run.wrapping_add(1);
        }
        let is_replayable = outcome.has_answer() && !entry.lost_beginning();
        if !is_replayable && entry.readers == 0 {
            self.entries.release_answer(id.index);
        }
        let entry = self.entries.entry_mut(id.index);
        if let Some(answer) = &mut entry.answer {
            answer.shrink();
        }
        let bytes = ENTRY_BYTES + entry.answer_bytes();
        self.entries.charge(id.index, bytes);
        self.entries.deadlines.set(id.index, expires_us);
        self.effects.push(Effect::Wake(id));
        self.entries.retire(id.index);
    }

    /// What a reader finds at a place of the answer, up to `max_bytes` at once.
    pub fn read(&mut self, id: EntryId, from: u64, max_bytes: usize) -> ReadResult<'_> {
        let Some(entry) = self.entries.get_mut(id) else { return ReadResult::Gone };
        let (is_passing, end) = (entry.lost_beginning(), entry.answer_end());
        match entry.state {
            EntryState::Free | EntryState::AnswerEvicted { .. } => return ReadResult::Gone,
            EntryState::Ended { outcome, .. } if from >= end => return ReadResult::Ended(outcome),
            _ => {}
        }
        let Some(answer) = &mut entry.answer else { return ReadResult::Pending };
        match answer.read(from, max_bytes) {
            None => ReadResult::Overrun,
            Some([]) => ReadResult::Pending,
            Some(piece) => {
                if is_passing {
                    self.effects.push(Effect::Wake(id)); // there is room to record more
                }
                ReadResult::Data(piece)
            }
        }
    }

    /// A reader has had the end of the answer, or has left before. The last one of a run that goes on cancels it, at
    /// once or after the time to linger.
    pub fn reader_left(&mut self, now: Micros, id: EntryId) {
        self.advance(now);
        let linger_us = self.policy.linger_us;
        let cancel_at = self.now + linger_us;
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.readers > 0) else { return };
        entry.readers -= 1;
        if entry.readers > 0 {
            return;
        }
        let lingers = entry.at_most_once && linger_us > 0;
        match entry.state {
            EntryState::Waiting | EntryState::Streaming if lingers => {
                self.entries.deadlines.set(id.index, cancel_at);
            }
            EntryState::Waiting | EntryState::Streaming => self.cancel(id.index),
            EntryState::Ended { outcome, .. } if entry.lost_beginning() || !outcome.has_answer() => {
                self.entries.release_answer(id.index);
                self.entries.retire(id.index);
            }
            _ => self.entries.retire(id.index),
        }
    }

    fn cancel(&mut self, index: u32) {
        self.entries.entry_mut(index).state = EntryState::Canceling;
        self.effects.push(Effect::Cancel(self.entries.id(index)));
    }
}

/// Whether readers that joined while the run was canceled are to submit their request again: it did no harm, and
/// nothing of it can be read.
fn submits_again(entry: &Entry, outcome: Outcome) -> bool {
    let Outcome::Canceled { may_have_executed } = outcome else { return false };
    (!may_have_executed || !entry.at_most_once) && entry.answer_end() == 0
}
