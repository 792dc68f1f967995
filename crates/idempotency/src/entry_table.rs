//! The table of all entries, found by identity, with limits on their number, their memory and the share of each
//! tenant. To make room it evicts entries that can be forgotten without harm first, then the kept answers of entries
//! that must not be forgotten.

use std::collections::HashMap;

use hashbrown::HashTable;

use crate::entry::{Entry, EntryState, ENTRY_BYTES};
use crate::linked_lists::LinkedLists;
use crate::policy::Policy;
use crate::recording::{Recording, RESERVED_BYTES};
use crate::timing_wheel::TimingWheel;
use crate::types::{EntryId, IncomingRequest, Outcome, RequestIdentity};
use crate::Micros;

/// The eviction list of entries that can be forgotten without harm, in the order in which they are evicted.
const DISPOSABLE: usize = 0;
/// The eviction list of entries that must not be forgotten, but whose answer may be dropped.
const ANSWER_DISPOSABLE: usize = 1;

/// Holds the entries in reusable slots, with the index, expiry times, eviction lists and memory accounting.
#[derive(Debug)]
pub(crate) struct EntryTable {
    max_entries: usize,
    max_bytes: usize,
    /// The maximum number of entries of one account.
    max_account_entries: u64,
    entries: Vec<Entry>,
    free_slots: Vec<u32>,
    /// Slots of entries by the fingerprint of their identity.
    index: HashTable<u32>,
    /// When ended entries expire, and when running ones without a reader are to be canceled.
    pub(crate) deadlines: TimingWheel,
    evictable: LinkedLists<2>,
    entries_by_account: HashMap<u32, u64>,
    bytes: usize,
    /// Number of runs that have begun.
    run_count: u32,
    evicted: u64,
}

impl EntryTable {
    pub(crate) fn new(policy: &Policy, now: Micros) -> Self {
        let share = policy.max_entries as u64 * u64::from(policy.tenant_permille) / 1_000;
        Self {
            max_entries: policy.max_entries,
            max_bytes: policy.max_bytes,
            max_account_entries: share.max(1),
            entries: Vec::new(),
            free_slots: Vec::new(),
            index: HashTable::new(),
            deadlines: TimingWheel::new(now),
            evictable: LinkedLists::new(),
            entries_by_account: HashMap::new(),
            bytes: 0,
            run_count: 0,
            evicted: 0,
        }
    }

    /// Number of slots in use.
    pub(crate) fn len(&self) -> usize {
        self.entries.len() - self.free_slots.len()
    }

    /// Bytes that all entries are charged for.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of entries and answers that were evicted before they expired.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Memory that the table, index, timing wheel and lists have reserved, without the answers (bytes).
    pub(crate) fn reserved_bytes(&self) -> usize {
        let entries =
            self.entries.capacity() * size_of::<Entry>() + self.free_slots.capacity() * size_of::<u32>();
        entries + self.index.allocation_size() + self.deadlines.bytes() + self.evictable.bytes()
    }

    pub(crate) fn id(&self, index: u32) -> EntryId {
        EntryId { index, run: self.entries[index as usize].run }
    }

    pub(crate) fn entry(&self, index: u32) -> &Entry {
        &self.entries[index as usize]
    }

    pub(crate) fn entry_mut(&mut self, index: u32) -> &mut Entry {
        &mut self.entries[index as usize]
    }

    /// The entry of this id; `None` if the entry was freed or has begun another run.
    pub(crate) fn get_mut(&mut self, id: EntryId) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(id.index as usize)?;
        (entry.run == id.run && entry.state != EntryState::Free).then_some(entry)
    }

    /// The entries of a tenant that have this identity and have not expired.
    pub(crate) fn find_all(
        &self,
        tenant: u32,
        identity: RequestIdentity,
        now: Micros,
    ) -> impl Iterator<Item = (u32, &Entry)> {
        let fingerprint = identity.fingerprint();
        let candidates = self.index.iter_hash(fingerprint.hash_bits());
        candidates.map(|&index| (index, self.entry(index))).filter(move |(_, entry)| {
            // An expired entry does not match, even if the timing wheel has not fired for it yet.
            let is_expired = entry.expires_us().is_some_and(|expires_us| expires_us <= now);
            entry.identity == fingerprint
                && entry.is_keyed == identity.is_key()
                && entry.tenant == tenant
                && !is_expired
        })
    }

    /// Whether an account may add an entry; evicts entries that can be forgotten without harm to make room for it.
    pub(crate) fn make_room_for_entry(&mut self, account: u32) -> bool {
        // Read before the eviction: an entry of this account that is evicted below still counts against its share.
        let held = self.entries_by_account.get(&account).copied().unwrap_or(0);
        while self.len() >= self.max_entries {
            let Some(index) = self.evictable.oldest(DISPOSABLE) else { return false };
            self.evicted += 1;
            self.forget(index);
        }
        held < self.max_account_entries && self.make_room(ENTRY_BYTES + RESERVED_BYTES)
    }

    /// Whether `bytes` more bytes fit into the limit; evicts entries and answers to make room for them.
    pub(crate) fn make_room(&mut self, bytes: usize) -> bool {
        while self.bytes + bytes > self.max_bytes {
            if let Some(index) = self.evictable.oldest(DISPOSABLE) {
                self.forget(index);
            } else if let Some(index) = self.evictable.oldest(ANSWER_DISPOSABLE) {
                self.evictable.unlink(index);
                self.drop_answer(index);
            } else {
                return false;
            }
            self.evicted += 1;
        }
        true
    }

    /// Adds the entry of a request that begins to run, and returns its slot.
    pub(crate) fn insert(
        &mut self,
        request: &IncomingRequest,
        identity: RequestIdentity,
        account: u32,
    ) -> u32 {
        *self.entries_by_account.entry(account).or_default() += 1;
        let entry = Entry::new(request, identity, account);
        let index = match self.free_slots.pop() {
            Some(index) => {
                let run = self.entries[index as usize].run.wrapping_add(1);
                self.entries[index as usize] = Entry { run, ..entry };
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        let entries = &self.entries;
        let hash = |&index: &u32| entries[index as usize].identity.hash_bits();
        self.index.insert_unique(identity.fingerprint().hash_bits(), index, hash);
        if !identity.is_key() {
            self.mark_shared_body(index);
        }
        self.begin_run(index);
        index
    }

    /// Marks a new entry and the others with its body, if there are any. All of several others are marked already.
    fn mark_shared_body(&mut self, index: u32) {
        let Entry { identity, tenant, .. } = *self.entry(index);
        let is_other = |other: &u32| {
            let entry = self.entry(*other);
            *other != index && !entry.is_keyed && entry.identity == identity && entry.tenant == tenant
        };
        let other = self.index.iter_hash(identity.hash_bits()).copied().find(is_other);
        if let Some(other) = other {
            self.entry_mut(other).shares_body = true;
            self.entry_mut(index).shares_body = true;
        }
    }

    /// Starts a run with an empty recording. The entry is charged for the recording's reserved bytes at once, so
    /// that its readers never wait for memory.
    pub(crate) fn begin_run(&mut self, index: u32) {
        self.run_count = self.run_count.wrapping_add(1);
        self.charge(index, ENTRY_BYTES + RESERVED_BYTES);
        let sequence = self.run_count;
        let entry = self.entry_mut(index);
        entry.sequence = sequence;
        entry.answer = Some(Box::<Recording>::default());
    }

    /// Removes an entry from the eviction lists, because it has a reader or runs again.
    pub(crate) fn exclude_from_eviction(&mut self, index: u32) {
        self.evictable.unlink(index);
    }

    /// Sets the number of bytes that an entry is charged for.
    pub(crate) fn charge(&mut self, index: u32, bytes: usize) {
        let entry = &mut self.entries[index as usize];
        self.bytes = self.bytes - entry.charged_bytes as usize + bytes;
        entry.charged_bytes = bytes as u32;
    }

    /// Drops the answer of an entry, and charges the entry without it.
    pub(crate) fn drop_answer(&mut self, index: u32) {
        let entry = self.entry_mut(index);
        if let EntryState::Ended { outcome: Outcome::Completed, expires_us } = entry.state {
            // A completed entry without a recording would look like an empty answer.
            entry.state = EntryState::AnswerEvicted { expires_us };
        }
        entry.answer = None;
        self.charge(index, ENTRY_BYTES);
    }

    /// Handles an entry that has ended and has no reader: frees it if it was removed from the index, or else adds it
    /// to an eviction list if something of it may be evicted. Does nothing for other entries.
    pub(crate) fn retire(&mut self, index: u32) {
        let entry = self.entry(index);
        if entry.readers > 0 || entry.expires_us().is_none() {
            return;
        }
        if entry.is_detached {
            self.free_slot(index);
        } else if entry.is_disposable() {
            self.evictable.push_back(DISPOSABLE, index);
        } else if entry.answer_bytes() > 0 {
            self.evictable.push_back(ANSWER_DISPOSABLE, index);
        }
    }

    /// Removes an entry from the index, because it has expired or to make room. Its readers can read on; the slot is
    /// freed when the last of them leaves.
    pub(crate) fn forget(&mut self, index: u32) {
        let entry = self.entry_mut(index);
        if std::mem::replace(&mut entry.is_detached, true) {
            return;
        }
        let (hash, readers) = (entry.identity.hash_bits(), entry.readers);
        if let Ok(found) = self.index.find_entry(hash, |&other| other == index) {
            found.remove();
        }
        if readers == 0 {
            self.free_slot(index);
        }
    }

    /// Frees the slot of an entry that has no reader and is not in the index.
    fn free_slot(&mut self, index: u32) {
        self.evictable.unlink(index);
        self.deadlines.cancel(index);
        self.charge(index, 0);
        let entry = self.entry_mut(index);
        entry.state = EntryState::Free;
        entry.answer = None;
        // Makes the ids of this run stale.
        entry.run = entry.run.wrapping_add(1);
        let account = entry.account;
        if let Some(held) = self.entries_by_account.get_mut(&account) {
            *held -= 1;
            if *held == 0 {
                self.entries_by_account.remove(&account);
            }
        }
        self.free_slots.push(index);
    }
}
