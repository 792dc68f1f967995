//! All entries, found by identity, within bounds of number, memory and share of each tenant. What has to make room is
//! evicted in this order: entries that can be forgotten without harm, then kept answers of entries that can't.

use std::collections::HashMap;

use hashbrown::HashTable;

use crate::entry::{Entry, EntryState, ENTRY_BYTES};
use crate::linked_lists::LinkedLists;
use crate::policy::Policy;
use crate::recording::{Recording, RESERVED_BYTES};
use crate::timing_wheel::TimingWheel;
use crate::types::{EntryId, IncomingRequest, Outcome, RequestIdentity};
use crate::Micros;

/// The list of entries that can be forgotten at once without harm, the first to be evicted first.
const DISPOSABLE: usize = 0;
/// The list of entries that must not be forgotten, but whose answer may be evicted.
const ANSWER_DISPOSABLE: usize = 1;

#[derive(Debug)]
pub(crate) struct EntryTable {
    max_entries: usize,
    max_bytes: usize,
    /// Entries that one account may hold.
    max_account_entries: u64,
    entries: Vec<Entry>,
    free: Vec<u32>,
    /// Places of entries by the fingerprint of their identity.
    index: HashTable<u32>,
    /// When entries expire, or are to be canceled as nobody reads them any more.
    pub(crate) deadlines: TimingWheel,
    evictable: LinkedLists<2>,
    entries_by_account: HashMap<u32, u64>,
    bytes: usize,
    /// Runs that have begun.
    runs: u32,
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
            free: Vec::new(),
            index: HashTable::new(),
            deadlines: TimingWheel::new(now),
            evictable: LinkedLists::new(),
            entries_by_account: HashMap::new(),
            bytes: 0,
            runs: 0,
            evicted: 0,
        }
    }

    /// Entries that are held.
    pub(crate) fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Bytes that are counted for them.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Entries and answers that were evicted before their time.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Memory that the tables have reserved, answers aside (bytes).
    pub(crate) fn reserved_bytes(&self) -> usize {
        let entries = self.entries.capacity() * size_of::<Entry>() + self.free.capacity() * size_of::<u32>();
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

    /// The entry of this id, if this run is still there.
    pub(crate) fn get_mut(&mut self, id: EntryId) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(id.index as usize)?;
        (entry.run == id.run && entry.state != EntryState::Free).then_some(entry)
    }

    /// The entry that a request repeats. Of several with the same body that one is meant which runs on without a
    /// reader, or else the latest that may have run: taken for the repeat of one that never ran, it could run twice.
    pub(crate) fn find(
        &self,
        request: &IncomingRequest,
        identity: RequestIdentity,
        now: Micros,
    ) -> Option<u32> {
        if !identity.is_key() && !request.is_retry {
            return None;
        }
        let fingerprint = identity.fingerprint();
        let matches = |index: &&u32| {
            let entry = self.entry(**index);
            // An expired entry counts no more, also where the wheel has not come to it.
            let is_expired = entry.expires_us().is_some_and(|expires_us| expires_us <= now);
            entry.identity == fingerprint
                && entry.is_keyed == identity.is_key()
                && entry.tenant == request.tenant
                && !is_expired
        };
        let rank = |index: &u32| {
            let entry = self.entry(*index);
            (entry.is_running() && entry.readers == 0, entry.may_have_executed(), entry.sequence)
        };
        self.index.iter_hash(fingerprint.hash_bits()).filter(matches).copied().max_by_key(rank)
    }

    /// Whether an account may have one entry more; evicts what can be forgotten without harm.
    pub(crate) fn make_room_for_entry(&mut self, account: u32) -> bool {
        // Before the eviction: what that frees of the account's own does not count yet.
        let held = self.entries_by_account.get(&account).copied().unwrap_or(0);
        while self.len() >= self.max_entries {
            let Some(index) = self.evictable.oldest(DISPOSABLE) else { return false };
            self.evicted += 1;
            self.forget(index);
        }
        held < self.max_account_entries && self.make_room(ENTRY_BYTES + RESERVED_BYTES)
    }

    /// Whether so many bytes can be had; evicts entries and answers for them.
    pub(crate) fn make_room(&mut self, bytes: usize) -> bool {
        while self.bytes + bytes > self.max_bytes {
            if let Some(index) = self.evictable.oldest(DISPOSABLE) {
                self.forget(index);
            } else if let Some(index) = self.evictable.oldest(ANSWER_DISPOSABLE) {
                self.evictable.leave(index);
                self.release_answer(index);
            } else {
                return false;
            }
            self.evicted += 1;
        }
        true
    }

    /// Adds a request that begins to run.
    pub(crate) fn insert(
        &mut self,
        request: &IncomingRequest,
        identity: RequestIdentity,
        account: u32,
    ) -> u32 {
        *self.entries_by_account.entry(account).or_default() += 1;
        let entry = Entry::new(request, identity, account);
        let index = match self.free.pop() {
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
        self.begin_run(index);
        index
    }

    /// A run begins, with room for what its readers must never wait for.
    pub(crate) fn begin_run(&mut self, index: u32) {
        self.runs = self.runs.wrapping_add(1);
        self.charge(index, ENTRY_BYTES + RESERVED_BYTES);
        let sequence = self.runs;
        let entry = self.entry_mut(index);
        entry.sequence = sequence;
        entry.answer = Some(Box::<Recording>::default());
    }

    /// An entry that somebody reads again, or that runs again, is not to be evicted.
    pub(crate) fn keep(&mut self, index: u32) {
        self.evictable.leave(index);
    }

    /// Counts this many bytes for an entry.
    pub(crate) fn charge(&mut self, index: u32, bytes: usize) {
        let entry = &mut self.entries[index as usize];
        self.bytes = self.bytes - entry.charged_bytes as usize + bytes;
        entry.charged_bytes = bytes as u32;
    }

    /// Drops an entry's answer.
    pub(crate) fn release_answer(&mut self, index: u32) {
        let entry = self.entry_mut(index);
        if let EntryState::Ended { outcome: Outcome::Completed, expires_us } = entry.state {
            // Never to be taken for an answer of no bytes.
            entry.state = EntryState::AnswerEvicted { expires_us };
        }
        entry.answer = None;
        self.charge(index, ENTRY_BYTES);
    }

    /// Files an entry that has ended and that nobody reads: freed, or listed for eviction.
    pub(crate) fn retire(&mut self, index: u32) {
        let entry = self.entry(index);
        if entry.readers > 0 || entry.expires_us().is_none() {
            return;
        }
        if entry.is_detached {
            self.release(index);
        } else if entry.is_disposable() {
            self.evictable.join(DISPOSABLE, index);
        } else if entry.answer_bytes() > 0 {
            self.evictable.join(ANSWER_DISPOSABLE, index);
        }
    }

    /// Forgets an entry, as it has expired or its room is needed; who reads it may go on.
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
            self.release(index);
        }
    }

    /// Frees the place of an entry that nobody needs any more.
    fn release(&mut self, index: u32) {
        self.evictable.leave(index);
        self.deadlines.cancel(index);
        self.charge(index, 0);
        let entry = self.entry_mut(index);
        entry.state = EntryState::Free;
        entry.answer = None;
        // Ids of this run are stale from now on.
        entry.run = entry.run.wrapping_add(1);
        let account = entry.account;
        if let Some(held) = self.entries_by_account.get_mut(&account) {
            *held -= 1;
            if *held == 0 {
                self.entries_by_account.remove(&account);
            }
        }
        self.free.push(index);
    }
}
