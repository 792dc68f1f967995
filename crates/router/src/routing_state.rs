//! The state that the rules read: settings, clock, servers, and all statistics. It contains no rules.
//!
//! [`Router`](crate::Router) owns it, and rules are functions over `&RoutingState`. Only `router.rs`,
//! `server_list.rs` (list updates), `attempts.rs` and `learning.rs` (sends, answers and ends of attempts) and
//! `handover.rs` (statistics of an earlier process) change it.

use std::collections::BTreeMap;

use lru::LruCache;

use crate::fleet::Fleet;
use crate::gossip::LoadGossip;
use crate::interface::{CellId, Class, Key, Micros, Settings};
use crate::limit_share::LimitShare;
use crate::records::stage::STAGES;
use crate::records::{CellBalance, Stage, StageStatistics};
use crate::statistics::{DecayingAverage, DecayingRate};

/// See the [module](self).
#[derive(Debug)]
pub(crate) struct RoutingState {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    /// When this process started.
    pub(crate) created_at: Micros,
    /// The shortest latency objective of any class (us), cached because it is read often.
    pub(crate) shortest_objective_us: f64,
    pub(crate) fleet: Fleet,
    pub(crate) stages: [StageStatistics; STAGES],
    /// Balance of each cell that has servers which take work.
    pub(crate) cells: BTreeMap<CellId, CellBalance>,
    /// Time per token of fetches from a reader in another cell (us).
    pub(crate) remote_fetch_us_per_token: DecayingAverage,
    /// Rate of incoming requests.
    pub(crate) request_rate: DecayingRate,
    /// Rate of incoming requests, over the window in which the popularity of shared prefixes is measured.
    pub(crate) recent_request_rate: DecayingRate,
    /// Rate of requests with each shared prefix, over the same window.
    pub(crate) shared_prefixes: LruCache<Key, DecayingRate>,
    pub(crate) gossip: LoadGossip,
    /// The part (0 to 1) of the dispatcher's limits that this process may use; below 1 only while another
    /// process takes over from it.
    pub(crate) limit_share: LimitShare,
}

impl RoutingState {
    /// Statistics of a stage.
    pub(crate) fn stage(&self, stage: Stage) -> &StageStatistics {
        &self.stages[stage as usize]
    }

    /// A class by its number; `None` if it has been removed.
    pub(crate) fn class(&self, number: u32) -> Option<&Class> {
        self.settings.classes.get(&number)
    }
}
