//! What others may see of a front: figures for the staff. Nothing here decides anything.

use crate::gossip::GossipCounts;
use crate::interface::Health;
use crate::router::Router;
use crate::state::Engine;

impl Router {
    /// What became of messages between fronts.
    #[must_use]
    pub fn gossip(&self) -> GossipCounts {
        self.gossip.counts()
    }

    /// What the index of servers says otherwise than a recount of them, if anything: for tests.
    #[must_use]
    pub fn index_disagreement(&self) -> Option<String> {
        self.fleet.disagreement()
    }

    /// Servers of the list that get no new work now: they drain, or rest after failures of some class.
    #[must_use]
    pub fn avoided(&self) -> usize {
        let listed = self.fleet.values().filter(|engine| engine.entry.health != Health::Gone);
        let rests = |e: &Engine| e.seen.standing.values().any(|class| !class.takes_work(self.now, true));
        listed.filter(|engine| engine.entry.health != Health::Ready || rests(engine)).count()
    }
}
