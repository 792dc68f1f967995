//! Health: which servers are passed over for what came back from them.

use crate::interface::{Health, Micros};
use crate::records::Server;

/// The share of a pool that must look healthy. Where fewer do, the yardstick is wrong: all serve.
const MIN_HEALTHY_SHARE: f64 = 0.34;

/// Whether a server is listed as ready and not ejected for requests of a class.
pub(crate) fn is_healthy(server: &Server, class: u32, now: Micros) -> bool {
    let is_idle = server.unanswered.is_empty();
    let outlier_state = server.statistics.outlier_states.get(&class);
    server.entry.health == Health::Ready && outlier_state.is_none_or(|state| state.accepts_work(now, is_idle))
}

/// Whether so few of a pool pass a test that the test is at fault: then all of the pool serves.
pub(crate) fn too_few(passing: usize, pool: usize) -> bool {
    (passing as f64) < MIN_HEALTHY_SHARE * pool as f64
}
