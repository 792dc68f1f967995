//! Health: which servers are avoided because of the outcomes of earlier attempts.

use crate::interface::{Health, Micros};
use crate::records::Server;

/// Panic threshold: the smallest share of a pool that must be healthy. Below it the health check itself is
/// assumed to be wrong, and the whole pool serves.
const MIN_HEALTHY_SHARE: f64 = 0.34;

/// Whether the list shows a server as ready and it is not ejected for requests of a class.
pub(crate) fn is_healthy(server: &Server, class: u32, now: Micros) -> bool {
    let is_idle = server.unanswered.is_empty();
    let outlier_state = server.statistics.outlier_states.get(&class);
    server.entry.health == Health::Ready && outlier_state.is_none_or(|state| state.accepts_work(now, is_idle))
}

/// Whether so few servers of a pool are healthy that the health check must be wrong; the whole pool serves
/// then. `healthy` is the number of healthy servers, `total` the number of all.
pub(crate) fn is_below_panic_threshold(healthy: usize, total: usize) -> bool {
    (healthy as f64) < MIN_HEALTHY_SHARE * total as f64
}
