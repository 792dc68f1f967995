//! The idempotency store, which remembers requests so that repeats of them can be recognised. This module records
//! runs, their answers and their readers; `admission` decides about incoming requests.

use crate::entry::{Entry, EntryState, ENTRY_BYTES};
use crate::entry_table::EntryTable;
use crate::policy::Policy;
use crate::recording::RESERVED_BYTES;
use crate::tenants::Tenants;
use crate::types::{Delivery, Effect, EntryId, Outcome, ReadResult, RunInfo, Stats};
use crate::Micros;

/// The store. The caller reports events through the methods that take `now`, and then fetches the actions to take
/// with [`effects`](Self::effects). Time never goes back: a `now` earlier than the latest one counts as the latest
/// one.
#[derive(Debug)]
pub struct IdempotencyStore {
    pub(crate) policy: Policy,
    pub(crate) started_us: Micros,
    pub(crate) now: Micros,
    pub(crate) entries: EntryTable,
    pub(crate) tenants: Tenants,
    pub(crate) stats: Stats,
    effects: Vec<Effect>,
    /// Buffer for due entries, empty between calls and kept so that its memory is reused.
    due: Vec<u32>,
}

impl IdempotencyStore {
    /// Creates an empty store. `now` is its start, from which [`Policy::startup_guard_us`] counts.
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

    /// The current size of the store and its counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let (entries, bytes) = (self.entries.len(), self.entries.bytes());
        Stats { entries, bytes, evicted: self.entries.evicted(), ..self.stats }
    }

    /// Memory that the tables of the store have reserved, without the answers (bytes).
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.entries.reserved_bytes()
    }

    /// Takes the actions that the caller must carry out, in order.
    pub fn effects(&mut self) -> impl Iterator<Item = Effect> + '_ {
        self.effects.drain(..)
    }

    /// When the caller must call [`advance`](Self::advance) if no other event comes before (us); `None` if no entry
    /// has a deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        self.entries.deadlines.next_due()
    }

    /// Moves the time forward: forgets expired entries, and cancels runs that have had no reader for
    /// [`Policy::linger_us`].
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

    /// Whether the store still remembers this run.
    #[must_use]
    pub fn remembers(&mut self, id: EntryId) -> bool {
        self.entries.get_mut(id).is_some()
    }

    /// Stores data of the caller with a run.
    pub fn set_run_info(&mut self, id: EntryId, run_info: RunInfo) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.run_info = run_info;
        }
    }

    /// The data that the caller stored with a run; zeros if there is none or the run is gone.
    pub fn run_info(&mut self, id: EntryId) -> RunInfo {
        self.entries.get_mut(id).map_or(RunInfo::default(), |entry| entry.run_info)
    }

    /// Reports that the answer of a run has begun to arrive.
    pub fn stream_started(&mut self, now: Micros, id: EntryId) {
        self.now = self.now.max(now);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.state == EntryState::Waiting {
            entry.state = EntryState::Streaming;
            self.effects.push(Effect::Wake(id));
        }
    }

    /// Records more of a run's answer, and returns how many bytes were accepted. If that is not all of `data`, the
    /// caller must record the rest after the next [`Effect::Wake`].
    pub fn record(&mut self, now: Micros, id: EntryId, data: &[u8]) -> usize {
        self.now = self.now.max(now);
        let max_answer_bytes = self.policy.max_answer_bytes;
        // If the run is gone or its answer was dropped, accept and discard all: nobody reads it.
        let Some(entry) = self.entries.get_mut(id) else { return data.len() };
        let Some(answer) = &entry.answer else { return data.len() };
        let capacity = answer.capacity_for(data.len());
        let charged = entry.charged_bytes as usize;
        let additional = (ENTRY_BYTES + capacity.max(RESERVED_BYTES)).saturating_sub(charged);
        let may_grow = !answer.is_pass_through() && answer.end() as usize + data.len() <= max_answer_bytes;
        let is_kept = may_grow && self.entries.make_room(additional);
        if is_kept {
            self.entries.charge(id.index, charged + additional);
        }
        let entry = self.entries.entry_mut(id.index);
        let reserved = entry.charged_bytes as usize - ENTRY_BYTES;
        let Some(answer) = &mut entry.answer else { return data.len() };
        let accepted = if is_kept {
            answer.append(data, capacity);
            data.len()
        } else {
            answer.set_pass_through();
            answer.append_within(data, reserved)
        };
        if accepted > 0 {
            self.effects.push(Effect::Wake(id));
        }
        accepted
    }

    /// Reports that a run has ended, and starts its retention time.
    pub fn finish(&mut self, now: Micros, id: EntryId, outcome: Outcome) {
        self.advance(now);
        let expires_us = self.now.saturating_add(self.policy.retention_us);
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.is_running()) else { return };
        entry.state = EntryState::Ended { outcome, expires_us };
        if must_resubmit(entry, outcome) {
            entry.readers = 0;
            entry.run = entry.run.wrapping_add(1);
        }
        let is_replayable = outcome.has_answer() && !entry.is_pass_through();
        if !is_replayable && entry.readers == 0 {
            self.entries.drop_answer(id.index);
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

    /// Reads up to `max_bytes` bytes of the answer at offset `from`.
    pub fn read(&mut self, id: EntryId, from: u64, max_bytes: usize) -> ReadResult<'_> {
        let Some(entry) = self.entries.get_mut(id) else { return ReadResult::Gone };
        let (is_pass_through, end) = (entry.is_pass_through(), entry.answer_end());
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
                if is_pass_through {
                    self.effects.push(Effect::Wake(id)); // the recorder may have room now
                }
                ReadResult::Data(piece)
            }
        }
    }

    /// Reports whether the client of a run got its answer, once that has been decided. For a run that is recognized by its
    /// body, this decides whether a retry may be given the answer.
    pub fn delivery_ended(&mut self, id: EntryId, delivery: Delivery) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.delivery = delivery;
        }
    }

    /// Reports that a reader has left, after the end of the answer or before. When the last reader of a run in flight
    /// leaves, the run is canceled: at once, or after [`Policy::linger_us`] if it is at-most-once.
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
            EntryState::Ended { outcome, .. } if entry.is_pass_through() || !outcome.has_answer() => {
                self.entries.drop_answer(id.index);
                self.entries.retire(id.index);
            }
            _ => self.entries.retire(id.index),
        }
    }

    /// Marks a run as being canceled, and asks the caller to cancel it.
    fn cancel(&mut self, index: u32) {
        self.entries.entry_mut(index).state = EntryState::Canceling;
        self.effects.push(Effect::Cancel(self.entries.id(index)));
    }
}

/// Whether readers that joined while the run was being canceled must submit their request again: the run had no
/// effect or may run twice, and there is no answer to read.
fn must_resubmit(entry: &Entry, outcome: Outcome) -> bool {
    let Outcome::Canceled { may_have_executed } = outcome else { return false };
    (!may_have_executed || !entry.at_most_once) && entry.answer_end() == 0
}
