//! Hinted handoff: writes that a holder has not acknowledged are kept, and sent again once it is up.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;

use crate::record::{Record, RecordId};
use crate::{Copies, Micros};

/// Records sent again in each tick to each holder.
const HINTS_AT_ONCE: usize = 120;

/// A write that waits for its acknowledgement.
#[derive(Debug)]
struct InFlightWrite {
    to: MemberId,
    records: Copies,
    /// After that its records are sent again.
    retry_at: Micros,
}

/// Writes that holders have not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct HintedHandoff {
    hints: BTreeMap<MemberId, BTreeMap<RecordId, Record>>,
    /// How many hints there are for all holders.
    count: usize,
    in_flight: BTreeMap<u64, InFlightWrite>,
}

impl HintedHandoff {
    /// How many records are kept for holders that have not acknowledged them.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Keeps a record until its holder acknowledges it; false where there is no room.
    pub(crate) fn keep(&mut self, holder: MemberId, id: RecordId, record: &Record, max_hints: usize) -> bool {
        let hints = self.hints.entry(holder).or_default();
        if let Some(hint) = hints.get_mut(&id) {
            hint.merge(record);
            return true;
        }
        if self.count >= max_hints {
            return false;
        }
        hints.insert(id, record.clone());
        self.count += 1;
        true
    }

    /// Notes that a write was sent.
    pub(crate) fn sent(&mut self, number: u64, to: MemberId, records: Copies, retry_at: Micros) {
        self.in_flight.insert(number, InFlightWrite { to, records, retry_at });
    }

    /// Drops the hints that a holder has acknowledged.
    pub(crate) fn acknowledge(&mut self, from: MemberId, number: u64) {
        if self.in_flight.get(&number).is_none_or(|write| write.to != from) {
            return;
        }
        let Some(write) = self.in_flight.remove(&number) else { return };
        let Some(hints) = self.hints.get_mut(&from) else { return };
        for (id, mut sent) in write.records {
            let Some(hint) = hints.get(&id) else { continue };
            // A hint that has changed since is still to be sent.
            let has_changed = sent.merge(hint);
            if !has_changed {
                hints.remove(&id);
                self.count -= 1;
            }
        }
    }

    /// Holders that are up, have hints, and owe no acknowledgement. A write that was not acknowledged in time is
    /// given up: its records are hints still.
    pub(crate) fn due_holders(&mut self, up: &BTreeSet<MemberId>, now: Micros) -> Vec<MemberId> {
        self.in_flight.retain(|_, write| now < write.retry_at);
        let owing: BTreeSet<MemberId> = self.in_flight.values().map(|write| write.to).collect();
        let mut due = Vec::new();
        for (&holder, hints) in &self.hints {
            if !hints.is_empty() && !owing.contains(&holder) && up.contains(&holder) {
                due.push(holder);
            }
        }
        due
    }

    /// The next hints for a holder.
    pub(crate) fn next_for(&self, holder: MemberId) -> Copies {
        let hints = self.hints.get(&holder).into_iter().flatten().take(HINTS_AT_ONCE);
        hints.map(|(&id, record)| (id, record.clone())).collect()
    }

    /// Drops hints whose records have expired.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.count = 0;
        for hints in self.hints.values_mut() {
            hints.retain(|_, record| record.expires > now);
            self.count += hints.len();
        }
    }
}
