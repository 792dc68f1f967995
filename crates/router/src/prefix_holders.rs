//! The index from a prefix to the servers that were lately sent it. A record without any rule: whether an
//! entry is still believed is said by the server's [`PrefixTable`](crate::prefix_table::PrefixTable).

use std::collections::{BTreeSet, HashMap};

use crate::interface::{Key, Micros, ServerId};

/// A server that was sent a prefix, and when last.
#[derive(Clone, Copy, Debug)]
struct Holder {
    server: ServerId,
    sent_at: Micros,
}

/// See the [module](self). Invariant: it names at least the servers whose tables have a key that has not
/// expired.
#[derive(Debug, Default)]
pub(crate) struct PrefixHolders {
    /// For each key, its holders in the order of their numbers. Looked up, never iterated.
    by_key: HashMap<Key, Vec<Holder>>,
    by_age: BTreeSet<(Micros, Key, ServerId)>,
}

impl PrefixHolders {
    /// A server has been sent a prefix at that time.
    pub(crate) fn insert(&mut self, key: Key, server: ServerId, sent_at: Micros) {
        let holders = self.by_key.entry(key).or_default();
        match holders.binary_search_by_key(&server, |holder| holder.server) {
            Ok(position) => {
                let before = std::mem::replace(&mut holders[position].sent_at, sent_at);
                self.by_age.remove(&(before, key, server));
            }
            Err(position) => holders.insert(position, Holder { server, sent_at }),
        }
        self.by_age.insert((sent_at, key, server));
    }

    /// A server's table has the key no more.
    pub(crate) fn remove(&mut self, key: Key, server: ServerId) {
        let Some(holders) = self.by_key.get_mut(&key) else { return };
        let Ok(position) = holders.binary_search_by_key(&server, |holder| holder.server) else { return };
        let removed = holders.remove(position);
        if holders.is_empty() {
            self.by_key.remove(&key);
        }
        self.by_age.remove(&(removed.sent_at, key, server));
    }

    /// Forgets what was sent at that time or before.
    pub(crate) fn remove_older(&mut self, until: Micros) {
        while let Some(&(_, key, server)) = self.by_age.first().filter(|(at, ..)| *at <= until) {
            self.remove(key, server);
        }
    }

    /// Servers that were sent a prefix, in the order of their numbers.
    pub(crate) fn servers(&self, key: Key) -> impl Iterator<Item = ServerId> + '_ {
        self.by_key.get(&key).into_iter().flatten().map(|holder| holder.server)
    }

    /// Number of pairs of a key and a server.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether a server is known to have been sent a prefix at that time or later.
    pub(crate) fn contains(&self, key: Key, server: ServerId, sent_at: Micros) -> bool {
        let mut holders = self.by_key.get(&key).into_iter().flatten();
        holders.any(|holder| holder.server == server && holder.sent_at >= sent_at)
    }
}
