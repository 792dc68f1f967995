//! Gossip dissemination: updates are piggybacked on other messages. Each is sent a bounded number of times, and those
//! sent least often go first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::identity::MemberId;
use crate::update::Update;

/// The number of queued updates considered for one message; fewer than this fit into any message.
const MAX_UPDATES_IN_MESSAGE: usize = 64;
/// The maximum number of queued updates. Beyond it, the one that was sent most often, and the oldest of those, is
/// dropped; anti-entropy still delivers its content.
const MAX_QUEUED: usize = 4_096;

/// A queued update.
#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    /// How many times the update has been sent.
    times_sent: usize,
    /// The position in the order in which updates were queued; higher is newer.
    sequence: u64,
}

impl QueuedUpdate {
    fn priority(&self) -> Priority {
        (self.times_sent, Reverse(self.sequence), self.update.id)
    }
}

/// Sort key of the queue: updates sent fewer times come first, newer ones first among equals.
type Priority = (usize, Reverse<u64>, MemberId);

/// The updates waiting to be sent: the latest one about each member.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    queued: BTreeMap<MemberId, QueuedUpdate>,
    by_priority: BTreeSet<Priority>,
    last_sequence: u64,
}

impl UpdateQueue {
    /// Queues an update, replacing any queued update about the same member.
    pub(crate) fn add(&mut self, update: Update) {
        self.remove(update.id);
        self.last_sequence += 1;
        self.insert(QueuedUpdate { update, times_sent: 0, sequence: self.last_sequence });
        if self.queued.len() > MAX_QUEUED {
            if let Some(&(_, _, id)) = self.by_priority.last() {
                self.remove(id);
            }
        }
    }

    fn insert(&mut self, queued: QueuedUpdate) {
        self.by_priority.insert(queued.priority());
        self.queued.insert(queued.update.id, queued);
    }

    fn remove(&mut self, id: MemberId) -> Option<QueuedUpdate> {
        let queued = self.queued.remove(&id)?;
        self.by_priority.remove(&queued.priority());
        Some(queued)
    }

    /// Appends queued updates to `updates` until `fits` rejects one, skipping members that `updates` already covers.
    /// Each update is sent at most `transmit_limit` times.
    pub(crate) fn fill(
        &mut self,
        updates: &mut Vec<Update>,
        transmit_limit: usize,
        mut fits: impl FnMut(&Update) -> bool,
    ) {
        let next: Vec<MemberId> =
            self.by_priority.iter().take(MAX_UPDATES_IN_MESSAGE).map(|&(_, _, id)| id).collect();
        for id in next {
            if updates.iter().any(|update| update.id == id) {
                continue;
            }
            let Some(queued) = self.queued.get(&id) else { continue };
            if !fits(&queued.update) {
                break;
            }
            updates.push(queued.update.clone());
            self.record_sent(id, transmit_limit);
        }
    }

    /// Records that an update was sent, and removes it from the queue once it has been sent `transmit_limit` times.
    fn record_sent(&mut self, id: MemberId, transmit_limit: usize) {
        let Some(mut queued) = self.remove(id) else { return };
        queued.times_sent += 1;
        if queued.times_sent < transmit_limit {
            self.insert(queued);
        }
    }
}
