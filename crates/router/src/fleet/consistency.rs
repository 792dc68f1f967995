//! Checks the fleet's index against a recount of all servers. Tests run the check after every event.

use super::index::{FleetIndex, IndexedServer, TotalSize, WarmIndex};
use super::Fleet;
use crate::prefix_table::PREFIX_EXPIRY_US;

/// Relative tolerance for sums of rates: they are updated incrementally, so rounding errors accumulate.
const SUM_TOLERANCE: f64 = 1e-9;
/// Lower bound for the sum that [`SUM_TOLERANCE`] is applied to (requests per second).
const SMALL_SUM: f64 = 1e-3;

impl Fleet {
    /// Builds the index anew from all servers.
    pub(super) fn recount(&self) -> FleetIndex {
        let mut index = FleetIndex::new(self.times, self.now);
        for (&id, server) in &self.servers {
            index.add(id, &IndexedServer::of(server, self.times, self.epoch, self.now));
        }
        index
    }

    /// Describes the first difference between the index and a recount; `None` if they agree.
    pub(crate) fn index_disagreement(&self) -> Option<String> {
        let recounted = self.recount();
        for (role, (kept, recounted)) in self.index.roles.iter().zip(&recounted.roles).enumerate() {
            if kept != recounted {
                return Some(format!("role {role}: {kept:?}, recounted {recounted:?}"));
            }
        }
        for (kind, kept) in &self.index.warm_kinds {
            let recounted = recounted.warm_kinds.get(kind);
            if !self.warm_agrees(kept, recounted) {
                return Some(format!("warm servers of kind {kind}: {kept:?}, recounted {recounted:?}"));
            }
        }
        self.holders_disagreement().or_else(|| {
            let FleetIndex { stages, cells, busy, suspects, gone, warming, .. } = &self.index;
            let agreements = [
                ("stages", *stages == recounted.stages),
                ("cells", *cells == recounted.cells),
                ("busy", *busy == recounted.busy),
                ("suspects", *suspects == recounted.suspects),
                ("gone", *gone == recounted.gone),
                ("warming", *warming == recounted.warming),
            ];
            let differing = agreements.into_iter().find(|(_, agrees)| !agrees);
            differing.map(|(what, _)| format!("{what}: {:?}", self.index))
        })
    }

    /// Whether the index of the warm servers of a kind agrees with its recount; `None` if the recount found none.
    fn warm_agrees(&self, kept: &WarmIndex, recounted: Option<&WarmIndex>) -> bool {
        let Some(recounted) = recounted else { return kept.rates.len() == 0 && kept.size == TotalSize::NONE };
        let sum = kept.rates.value_at(self.now);
        let recounted_sum = recounted.rates.value_at(self.now);
        kept.size == recounted.size
            && kept.rates.len() == recounted.rates.len()
            && (sum - recounted_sum).abs() <= SUM_TOLERANCE * recounted_sum.max(SMALL_SUM)
    }

    /// Checks the prefix holders against the servers' prefix tables: every prefix that has not expired must
    /// have its holder, and there must not be more holders than prefixes. Describes the first difference.
    fn holders_disagreement(&self) -> Option<String> {
        let mut kept = 0;
        for (&id, server) in &self.servers {
            kept += server.prefixes.sent.len();
            for (&key, prefix) in &server.prefixes.sent {
                let is_fresh = prefix.sent_at + PREFIX_EXPIRY_US > self.now;
                if is_fresh && !self.holders.contains(key, id, prefix.sent_at) {
                    return Some(format!("holders do not know {key:?} at {id:?}"));
                }
            }
        }
        (self.holders.len() > kept).then(|| format!("{} holders of {kept} prefixes", self.holders.len()))
    }
}
