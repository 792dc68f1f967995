//! Hinted handoff: records that a holder has not acknowledged are kept as hints, and sent again once the holder is
//! up.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;

use crate::record::{Record, RecordId};
use crate::{Copies, Micros};

/// Maximum number of hints sent to one holder in one tick.
const MAX_HINTS_PER_TICK: usize = 120;

/// A write that has been sent and not acknowledged.
#[derive(Debug)]
struct InFlightWrite {
    to: MemberId,
    records: Copies,
    /// From this time on, the write counts as lost, and its records are sent again.
    retry_at: Micros,
}

/// The hints, and the writes in flight, by which acknowledgements are matched to hints.
#[derive(Debug, Default)]
pub(crate) struct HintedHandoff {
    hints: BTreeMap<MemberId, BTreeMap<RecordId, Record>>,
    /// The number of hints for all holders together.
    count: usize,
    /// Writes by their number.
    in_flight: BTreeMap<u64, InFlightWrite>,
}

impl HintedHandoff {
    /// The number of hints for all holders together.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Keeps a record as a hint until its holder acknowledges it; returns false if there are `max_hints` already. A
    /// hint of the same record is merged with it.
    pub(crate) fn add(&mut self, holder: MemberId, id: RecordId, record: &Record, max_hints: usize) -> bool {
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

    /// Registers a write that was sent and asks for an acknowledgement.
    pub(crate) fn sent(&mut self, number: u64, to: MemberId, records: Copies, retry_at: Micros) {
        self.in_flight.insert(number, InFlightWrite { to, records, retry_at });
    }

    /// Drops the hints that a holder has acknowledged as the write of this number.
    pub(crate) fn acknowledge(&mut self, from: MemberId, number: u64) {
        if self.in_flight.get(&number).is_none_or(|write| write.to != from) {
            return;
        }
        let Some(write) = self.in_flight.remove(&number) else { return };
        let Some(hints) = self.hints.get_mut(&from) else { return };
        for (id, mut sent) in write.records {
            let Some(hint) = hints.get(&id) else { continue };
            // A hint that was updated after the write was sent is kept, as the holder does not have the update yet.
            let has_changed = sent.merge(hint);
            if !has_changed {
                hints.remove(&id);
                self.count -= 1;
            }
        }
    }

    /// Holders that are up, have hints, and have no write in flight. A write that was not acknowledged in time no
    /// longer counts as in flight; its records are still kept as hints.
    pub(crate) fn due_holders(&mut self, up: &BTreeSet<MemberId>, now: Micros) -> Vec<MemberId> {
        self.in_flight.retain(|_, write| now < write.retry_at);
        let holders_in_flight: BTreeSet<MemberId> = self.in_flight.values().map(|write| write.to).collect();
        let mut due = Vec::new();
        for (&holder, hints) in &self.hints {
            if !hints.is_empty() && !holders_in_flight.contains(&holder) && up.contains(&holder) {
                due.push(holder);
            }
        }
        due
    }

    /// The hints to send to a holder next, at most [`MAX_HINTS_PER_TICK`].
    pub(crate) fn next_hints(&self, holder: MemberId) -> Copies {
        let hints = self.hints.get(&holder).into_iter().flatten().take(MAX_HINTS_PER_TICK);
        hints.map(|(&id, record)| (id, record.clone())).collect()
    }

    /// Drops hints whose records have expired, and recounts the hints.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.count = 0;
        for hints in self.hints.values_mut() {
            hints.retain(|_, record| record.expires > now);
            self.count += hints.len();
        }
    }
}
