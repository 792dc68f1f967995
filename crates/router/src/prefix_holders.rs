//! The index from prefixes to the servers that were recently sent them. It stores data and makes no
//! decisions: the server's [`PrefixTable`](crate::prefix_table::PrefixTable) determines whether a prefix
//! still counts as cached.

use std::collections::{BTreeSet, HashMap};

use crate::interface::{Key, Micros, ServerId};

/// A server that was sent a prefix, with the time of the last send.
#[derive(Clone, Copy, Debug)]
struct Holder {
    server: ServerId,
    sent_at: Micros,
}

/// The servers that were sent each prefix. See the [module](self).
///
/// Invariant: the holders of a key include every server with an unexpired entry for it in its prefix table.
#[derive(Debug, Default)]
pub(crate) struct PrefixHolders {
    /// The holders of each key, ordered by server id. The map is never iterated, as its order is random.
    by_key: HashMap<Key, Vec<Holder>>,
    /// All entries ordered by the time of the last send.
    by_sent_at: BTreeSet<(Micros, Key, ServerId)>,
}

impl PrefixHolders {
    /// Records that a server was sent a prefix at `sent_at`.
    pub(crate) fn insert(&mut self, key: Key, server: ServerId, sent_at: Micros) {
        let holders = self.by_key.entry(key).or_default();
        match holders.binary_search_by_key(&server, |holder| holder.server) {
            Ok(position) => {
                let previous = std::mem::replace(&mut holders[position].sent_at, sent_at);
                self.by_sent_at.remove(&(previous, key, server));
            }
            Err(position) => holders.insert(position, Holder { server, sent_at }),
        }
        self.by_sent_at.insert((sent_at, key, server));
    }

    /// Removes a server from the holders of a key, if it is one. Called when its prefix table drops the key.
    pub(crate) fn remove(&mut self, key: Key, server: ServerId) {
        let Some(holders) = self.by_key.get_mut(&key) else { return };
        let Ok(position) = holders.binary_search_by_key(&server, |holder| holder.server) else { return };
        let removed = holders.remove(position);
        if holders.is_empty() {
            self.by_key.remove(&key);
        }
        self.by_sent_at.remove(&(removed.sent_at, key, server));
    }

    /// Removes all entries that were last sent at `until` or earlier.
    pub(crate) fn remove_older(&mut self, until: Micros) {
        while let Some(&(_, key, server)) = self.by_sent_at.first().filter(|(at, ..)| *at <= until) {
            self.remove(key, server);
        }
    }

    /// The servers that were sent a prefix, ordered by id.
    pub(crate) fn servers(&self, key: Key) -> impl Iterator<Item = ServerId> + '_ {
        self.by_key.get(&key).into_iter().flatten().map(|holder| holder.server)
    }

    /// Number of entries, i.e. of pairs of a key and a server.
    pub(crate) fn len(&self) -> usize {
        self.by_sent_at.len()
    }

    /// Whether a server is recorded as having been sent a prefix at `sent_at` or later.
    pub(crate) fn contains(&self, key: Key, server: ServerId, sent_at: Micros) -> bool {
        let mut holders = self.by_key.get(&key).into_iter().flatten();
        holders.any(|holder| holder.server == server && holder.sent_at >= sent_at)
    }
}
