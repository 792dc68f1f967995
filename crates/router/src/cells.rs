//! Balance between readers and writers in each cell (rack). It is computed when the list changes.

use std::collections::BTreeMap;

use crate::fleet::{CellShare, Fleet};
use crate::interface::{CellId, ZoneId};
use crate::records::CellBalance;

/// Limits of the weight that a cell's readers get to match its writers.
const MIN_READER_WEIGHT: f64 = 0.2;
const MAX_READER_WEIGHT: f64 = 1.5;

/// Totals over the cells of one zone, as shares of all writers.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneBalance {
    /// Spare writer capacity in cells with a larger share of writers than of readers.
    spare_writers: f64,
    /// States that leave cells with a smaller share of writers than of readers.
    leaving_states: f64,
}

/// Computes the balance of each cell with servers that take work. The observed queueing of each cell is kept
/// from `previous`.
///
/// Of the states that leave their cells, a zone keeps only as many as its other cells have spare writers for.
/// With more, a zone's only cell with spare writers would be overloaded.
pub(crate) fn balance_cells(
    fleet: &Fleet,
    mut previous: BTreeMap<CellId, CellBalance>,
) -> BTreeMap<CellId, CellBalance> {
    let shares = fleet.cell_shares();
    let mut zones: BTreeMap<ZoneId, ZoneBalance> = BTreeMap::new();
    for share in shares.values() {
        let zone = zones.entry(share.zone).or_default();
        zone.spare_writers += (share.writers - share.readers).max(0.0);
        zone.leaving_states += (share.readers - share.writers).max(0.0);
    }
    let mut cells = BTreeMap::new();
    for (id, CellShare { zone, readers, writers }) in shares {
        let ZoneBalance { spare_writers, leaving_states } = zones[&zone];
        let writer_surplus = writers / readers.max(f64::MIN_POSITIVE);
        let balance = CellBalance {
            writer_surplus,
            zone_retention: spare_writers / leaving_states.max(f64::MIN_POSITIVE),
            reader_weight: writer_surplus.sqrt().clamp(MIN_READER_WEIGHT, MAX_READER_WEIGHT),
            queueing_us: previous.remove(&id).map(|cell| cell.queueing_us).unwrap_or_default(),
        };
        cells.insert(id, balance);
    }
    cells
}
