//! Dissemination: updates travel along with other messages, each a bounded number of times, the least sent first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::identity::MemberId;
use crate::update::Update;

/// More updates than fit into any message.
const MAX_UPDATES_IN_MESSAGE: usize = 64;
/// Updates of so many members wait to be sent; older ones are dropped, as whole states are exchanged besides.
const MAX_WAITING: usize = 4_096;

/// An update that waits to be sent.
#[derive(Debug)]
struct Waiting {
    update: Update,
    /// How often it was sent.
    sent: usize,
    /// Counts the updates in the order in which they arrived.
    arrival: u64,
}

impl Waiting {
    fn priority(&self) -> Priority {
        (self.sent, Reverse(self.arrival), self.update.id)
    }
}

/// The least sent first, of those the newest.
type Priority = (usize, Reverse<u64>, MemberId);

/// The updates that wait to be sent: one for each member, the newest.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    waiting: BTreeMap<MemberId, Waiting>,
    order: BTreeSet<Priority>,
    arrivals: u64,
}

impl UpdateQueue {
    /// Adds an update in place of an older one of that member.
    pub(crate) fn add(&mut self, update: Update) {
        self.remove(update.id);
        self.arrivals += 1;
        self.insert(Waiting { update, sent: 0, arrival: self.arrivals });
        if self.waiting.len() > MAX_WAITING {
            if let Some(&(_, _, id)) = self.order.last() {
                self.remove(id);
            }
        }
    }

    fn insert(&mut self, waiting: Waiting) {
        self.order.insert(waiting.priority());
        self.waiting.insert(waiting.update.id, waiting);
    }

    fn remove(&mut self, id: MemberId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.order.remove(&waiting.priority());
        Some(waiting)
    }

    /// Adds updates to a message while `fits` accepts them. Each is sent `transmit_limit` times at most.
    pub(crate) fn fill(
        &mut self,
        updates: &mut Vec<Update>,
        transmit_limit: usize,
        mut fits: impl FnMut(&Update) -> bool,
    ) {
        let next: Vec<MemberId> =
            self.order.iter().take(MAX_UPDATES_IN_MESSAGE).map(|&(_, _, id)| id).collect();
        for id in next {
            if updates.iter().any(|update| update.id == id) {
                continue;
            }
            let Some(waiting) = self.waiting.get(&id) else { continue };
            if !fits(&waiting.update) {
                break;
            }
            updates.push(waiting.update.clone());
            self.count_sent(id, transmit_limit);
        }
    }

    /// Counts that an update was sent once more; at the limit it waits no longer.
    fn count_sent(&mut self, id: MemberId, transmit_limit: usize) {
        let Some(mut waiting) = self.remove(id) else { return };
        waiting.sent += 1;
        if waiting.sent < transmit_limit {
            self.insert(waiting);
        }
    }
}
