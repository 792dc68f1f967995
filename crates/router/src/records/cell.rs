//! What is known of one cell (a rack of servers).

use crate::statistics::DecayingAverage;

/// How a cell's readers and writers are balanced, by the list of servers, and how its writers queue. "Share"
/// is a part of all ready servers of a role.
#[derive(Debug)]
pub(crate) struct CellBalance {
    /// The share of writers over the share of readers. Above 1 there is room for states of other cells.
    pub(crate) writer_surplus: f64,
    /// The part of the states leaving cells of its zone that stays in the zone; above 1 all of them.
    pub(crate) zone_retention: f64,
    /// Weight of its readers in the choice of a shared prefix's homes, 1 for an even share.
    pub(crate) reader_weight: f64,
    /// Time that states of its own readers queued at its writers (us); baseline 0.
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
