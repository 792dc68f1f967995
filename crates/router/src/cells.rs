//! Balance of cells: what the list says of racks with more readers than writers, and the other way round.
//! Worked out when the list changes.

use std::collections::BTreeMap;

use crate::fleet::{CellShare, Fleet};
use crate::interface::{CellId, ZoneId};
use crate::records::CellBalance;

/// Weights that a cell's readers may get, to suit its writers: least and most.
const MIN_READER_WEIGHT: f64 = 0.2;
const MAX_READER_WEIGHT: f64 = 1.5;

/// What the cells of one zone have together, as shares of all writing.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneBalance {
    /// Room to spare at cells with more writers.
    spare: f64,
    /// States that leave cells with fewer.
    leaving: f64,
}

/// The balance of each cell with servers that take work. What was learnt of a cell (`previous`) is kept.
///
/// A zone takes of the states that leave cells what its other cells have room for: were it more, its one cell
/// of many writers would be buried.
pub(crate) fn balance_cells(
    fleet: &Fleet,
    mut previous: BTreeMap<CellId, CellBalance>,
) -> BTreeMap<CellId, CellBalance> {
    let shares = fleet.cell_shares();
    let mut zones: BTreeMap<ZoneId, ZoneBalance> = BTreeMap::new();
    for share in shares.values() {
        let zone = zones.entry(share.zone).or_default();
        zone.spare += (share.writers - share.readers).max(0.0);
        zone.leaving += (share.readers - share.writers).max(0.0);
    }
    let mut cells = BTreeMap::new();
    for (id, CellShare { zone, readers, writers }) in shares {
        let ZoneBalance { spare, leaving } = zones[&zone];
        let writer_surplus = writers / readers.max(f64::MIN_POSITIVE);
        let balance = CellBalance {
            writer_surplus,
            zone_retention: spare / leaving.max(f64::MIN_POSITIVE),
            reader_weight: writer_surplus.sqrt().clamp(MIN_READER_WEIGHT, MAX_READER_WEIGHT),
            queueing_us: previous.remove(&id).map(|cell| cell.queueing_us).unwrap_or_default(),
        };
        cells.insert(id, balance);
    }
    cells
}
