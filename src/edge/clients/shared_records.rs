//! The records of runs of the chat front for other processes of this dispatcher: which run each of them belongs to.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dewladder_idempotency::{canonical_json, EntryId};
use dewladder_replica::RecordId;
use serde_json::Value;
use tokio::time::Instant;

use crate::edge::clients::shared_store::SharedStore;
use crate::edge::hot_restart::run_records::{NotRecorded, RunRecords};

/// The prefix of the names by which records know requests by their bodies. No key begins with it.
const BODY_RECORD_PREFIX: &str = "\n";

/// The record of a request for other processes.
#[derive(Clone, Copy, Debug)]
pub struct SharedRecord {
    /// The id under which other processes would find it.
    pub id: RecordId,
    /// Whether the request may repeat one that another process has recorded.
    pub may_repeat: bool,
}

impl SharedRecord {
    /// The record of a request that is known by its body.
    #[must_use]
    pub fn of_body(tenant: &str, body: &Value, is_retry: bool) -> Self {
        let text = String::from_utf8_lossy(&canonical_json(body)).into_owned();
        let id = RecordId::of(tenant, &format!("{BODY_RECORD_PREFIX}{text}"));
        Self { id, may_repeat: is_retry }
    }
}

/// The records of runs for other processes, with the run of each slot.
pub(crate) struct SharedRecords(Mutex<RecordedRuns>);

struct RecordedRuns {
    records: RunRecords,
    runs: HashMap<u32, EntryId>,
}

impl SharedRecords {
    /// The records of this process, none of which belongs to a run yet.
    pub(crate) fn new(records: RunRecords) -> Self {
        Self(Mutex::new(RecordedRuns { records, runs: HashMap::new() }))
    }

    fn lock(&self) -> MutexGuard<'_, RecordedRuns> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a run begins; see [`RunRecords::begin`].
    pub(crate) fn begin(&self, id: EntryId, record: SharedRecord) -> Result<(), NotRecorded> {
        let mut recorded = self.lock();
        if record.may_repeat {
            recorded.records.begin(id.index(), record.id, Instant::now())?;
        } else {
            recorded.records.begin_first(id.index(), record.id)?;
        }
        recorded.runs.insert(id.index(), id);
        Ok(())
    }

    /// Whether another process may have run a request with this record.
    pub(crate) fn may_have_run_elsewhere(&self, record: RecordId) -> bool {
        self.lock().records.may_be_known_elsewhere(record, Instant::now())
    }

    /// Removes the record of a run that never ran.
    pub(crate) fn never_ran(&self, id: EntryId) {
        let mut recorded = self.lock();
        if recorded.runs.get(&id.index()) == Some(&id) {
            recorded.runs.remove(&id.index());
            recorded.records.remove(id.index());
        }
    }

    /// Removes the records of runs that the store does not remember any more, and looks which processes have ended.
    pub(crate) fn maintain(&self, store: &SharedStore) {
        let mut recorded = self.lock();
        let RecordedRuns { records, runs } = &mut *recorded;
        runs.retain(|&slot, &mut id| {
            let is_remembered = store.update(|store, _| store.remembers(id));
            if !is_remembered {
                records.remove(slot);
            }
            is_remembered
        });
        records.refresh(Instant::now());
    }
}
