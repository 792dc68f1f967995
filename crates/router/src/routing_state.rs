//! What the rules read: settings, clock, servers, and all that was learnt. A record without any rule.
//!
//! [`Router`](crate::Router) owns it. Rules are functions over `&RoutingState`; it is changed by `router.rs`,
//! `server_list.rs` (what the list says), `learning.rs` (what comes back) and `handover.rs` (what an earlier
//! process has learnt) alone.

use std::collections::BTreeMap;

use lru::LruCache;

use crate::fleet::Fleet;
use crate::gossip::LoadGossip;
use crate::interface::{CellId, Class, Key, Micros, Settings};
use crate::records::stage::STAGES;
use crate::records::{CellBalance, Stage, StageStatistics};
use crate::statistics::{DecayingAverage, DecayingRate};

/// See the [module](self).
#[derive(Debug)]
pub(crate) struct RoutingState {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    /// The shortest latency objective of any class (us); kept as it is asked for often.
    pub(crate) shortest_objective_us: f64,
    pub(crate) fleet: Fleet,
    pub(crate) stages: [StageStatistics; STAGES],
    /// Balance of the cells that have servers which take work.
    pub(crate) cells: BTreeMap<CellId, CellBalance>,
    /// Time per token of fetches that leave the reader's cell (us).
    pub(crate) remote_fetch_us_per_token: DecayingAverage,
    /// Requests that come in.
    pub(crate) request_rate: DecayingRate,
    /// The same, over the time by which the popularity of shared prefixes is judged.
    pub(crate) recent_request_rate: DecayingRate,
    /// Requests with each shared prefix, over that time.
    pub(crate) shared_prefixes: LruCache<Key, DecayingRate>,
    pub(crate) gossip: LoadGossip,
    /// The part of this dispatcher that this process is, while another process takes over from it: 0 to 1.
    pub(crate) limit_share: f64,
}

impl RoutingState {
    /// What is known of a stage.
    pub(crate) fn stage(&self, stage: Stage) -> &StageStatistics {
        &self.stages[stage as usize]
    }

    /// A class, unless it has gone.
    pub(crate) fn class(&self, number: u32) -> Option<&Class> {
        self.settings.classes.get(&number)
    }
}
