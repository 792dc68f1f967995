//! A check of the fleet's index against a fresh count of all servers. Tests ask for it after every event.

use super::index::{FleetIndex, IndexedServer, RoleIndex};
use super::Fleet;
use crate::prefix_table::PREFIX_EXPIRY_US;

/// Sums of rates are kept incrementally; they may differ from a fresh sum by this share, which is rounding.
const SUM_TOLERANCE: f64 = 1e-9;
/// Sums below this are compared as if they were this large (requests a second).
const SMALL_SUM: f64 = 1e-3;

impl Fleet {
    /// The index as a count of all servers gives it.
    pub(super) fn recount(&self) -> FleetIndex {
        let mut index = FleetIndex::new(self.times, self.now);
        for (&id, server) in &self.servers {
            index.add(id, &IndexedServer::of(server, self.times, self.epoch, self.now));
        }
        index
    }

    /// What the index says otherwise than a recount, if anything.
    pub(crate) fn index_disagreement(&self) -> Option<String> {
        let counted = self.recount();
        for (role, (kept, counted)) in self.index.roles.iter().zip(&counted.roles).enumerate() {
            if !self.agree(kept, counted) {
                return Some(format!("role {role}: {kept:?}, counted {counted:?}"));
            }
        }
        self.holders_disagreement().or_else(|| {
            let FleetIndex { roles: _, stages, cells, busy, suspects, gone, warming } = &self.index;
            let agreements = [
                ("stages", *stages == counted.stages),
                ("cells", *cells == counted.cells),
                ("busy", *busy == counted.busy),
                ("suspects", *suspects == counted.suspects),
                ("gone", *gone == counted.gone),
                ("warming", *warming == counted.warming),
            ];
            let differing = agreements.into_iter().find(|(_, agrees)| !agrees);
            differing.map(|(what, _)| format!("{what}: {:?}", self.index))
        })
    }

    fn agree(&self, kept: &RoleIndex, counted: &RoleIndex) -> bool {
        let sum = kept.served_by_warm.value_at(self.now);
        let fresh_sum = counted.served_by_warm.value_at(self.now);
        kept.known == counted.known
            && kept.ready == counted.ready
            && kept.memory_tokens_in_flight == counted.memory_tokens_in_flight
            && kept.zones == counted.zones
            && kept.slow_starting == counted.slow_starting
            && kept.served_by_warm.len() == counted.served_by_warm.len()
            && (sum - fresh_sum).abs() <= SUM_TOLERANCE * fresh_sum.max(SMALL_SUM)
    }

    /// Every prefix that is still believed must be found; none may be found that no table has.
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
