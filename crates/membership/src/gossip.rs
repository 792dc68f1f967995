//! News to pass on: each is sent along with other messages a bounded number of times, the least sent first.

use std::collections::BTreeMap;

use crate::member::{MemberId, Update};

/// More news than that fit into no message.
const MOST_IN_MESSAGE: usize = 64;
/// News of so many members are kept to be passed on; older ones go (whole states are exchanged besides).
const MOST: usize = 4_096;

#[derive(Debug, Default)]
pub(crate) struct Gossip {
    /// One for each member, the newest: how often it was sent, in which order it came.
    news: BTreeMap<MemberId, (usize, u64, Update)>,
    /// Members in the order in which their news are next sent.
    order: std::collections::BTreeSet<(usize, std::cmp::Reverse<u64>, MemberId)>,
    came: u64,
}

impl Gossip {
    /// Takes news in the place of older ones of that member.
    pub(crate) fn add(&mut self, update: Update) {
        self.drop(update.id);
        self.came += 1;
        self.order.insert((0, std::cmp::Reverse(self.came), update.id));
        self.news.insert(update.id, (0, self.came, update));
        if self.news.len() > MOST {
            if let Some(&(_, _, id)) = self.order.last() {
                self.drop(id);
            }
        }
    }

    pub(crate) fn drop(&mut self, id: MemberId) {
        if let Some((sent, came, _)) = self.news.remove(&id) {
            self.order.remove(&(sent, std::cmp::Reverse(came), id));
        }
    }

    /// News for one message, as many as `fits` lets pass, each sent `most` times at the most.
    pub(crate) fn take(
        &mut self,
        most: usize,
        mut fits: impl FnMut(&Update) -> bool,
        into: &mut Vec<Update>,
    ) {
        let ids: Vec<MemberId> = self.order.iter().take(MOST_IN_MESSAGE).map(|&(_, _, id)| id).collect();
        for id in ids {
            let Some((sent, came, update)) = self.news.get(&id) else { continue };
            if into.iter().any(|taken| taken.id == id) {
                continue;
            }
            if !fits(update) {
                break;
            }
            into.push(update.clone());
            let (sent, came) = (*sent, *came);
            self.order.remove(&(sent, std::cmp::Reverse(came), id));
            if sent + 1 >= most {
                self.news.remove(&id);
            } else {
                self.order.insert((sent + 1, std::cmp::Reverse(came), id));
                if let Some(news) = self.news.get_mut(&id) {
                    news.0 = sent + 1;
                }
            }
        }
    }
}
