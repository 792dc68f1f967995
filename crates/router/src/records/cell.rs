//! The state that is kept for one cell (a rack of servers).

use crate::statistics::DecayingAverage;

/// The balance of a cell's readers and writers by the list of servers, and the queueing at its writers. A
/// "share" is a part of all ready servers of a role.
#[derive(Debug)]
pub(crate) struct CellBalance {
    /// The cell's share of writers over its share of readers. Above 1, it has room for states of other cells.
    pub(crate) writer_surplus: f64,
    /// The part of the states leaving their cells that stays in this cell's zone; above 1, all of them stay.
    pub(crate) zone_retention: f64,
    /// Weight of the cell's readers in the choice of homes for a shared prefix; 1 for an even share.
    pub(crate) reader_weight: f64,
    /// Queueing of states from the cell's own readers at its writers (us); the baseline is 0.
    pub(crate) queueing_us: DecayingAverage,
}

impl Default for CellBalance {
    fn default() -> Self {
        Self {
            writer_surplus: 1.0,
            zone_retention: 1.0,
            reader_weight: 1.0,
            queueing_us: DecayingAverage::default(),
        }
    }
}
