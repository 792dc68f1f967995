//! Which servers were lately sent a text: the way from a key to those whose tables may hold it. A record without any
//! rule; whether a table's entry is still believed, the table says.

use std::collections::{BTreeSet, HashMap};

use crate::interface::{EngineId, Key, Micros};

/// See the [module](self). It names at least the servers whose tables have a key that is not too old.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    /// For each key, servers by their numbers and when each was last sent it. Looked up, never iterated.
    by_key: HashMap<Key, Vec<(EngineId, Micros)>>,
    by_age: BTreeSet<(Micros, Key, EngineId)>,
}

impl Holders {
    /// A server has been sent a text at that time.
    pub(crate) fn sent(&mut self, key: Key, engine: EngineId, at: Micros) {
        let holders = self.by_key.entry(key).or_default();
        match holders.binary_search_by_key(&engine, |holder| holder.0) {
            Ok(place) => {
                let before = std::mem::replace(&mut holders[place].1, at);
                self.by_age.remove(&(before, key, engine));
            }
            Err(place) => holders.insert(place, (engine, at)),
        }
        self.by_age.insert((at, key, engine));
    }

    /// A server's table has a text no more.
    pub(crate) fn dropped(&mut self, key: Key, engine: EngineId) {
        let Some(holders) = self.by_key.get_mut(&key) else { return };
        let Ok(place) = holders.binary_search_by_key(&engine, |holder| holder.0) else { return };
        let (_, at) = holders.remove(place);
        if holders.is_empty() {
            self.by_key.remove(&key);
        }
        self.by_age.remove(&(at, key, engine));
    }

    /// Forgets what was sent at that time or before.
    pub(crate) fn forget(&mut self, until: Micros) {
        while let Some(&(_, key, engine)) = self.by_age.first().filter(|(at, ..)| *at <= until) {
            self.dropped(key, engine);
        }
    }

    /// Servers that were sent a text, in the order of their numbers.
    pub(crate) fn of(&self, key: Key) -> impl Iterator<Item = EngineId> + '_ {
        self.by_key.get(&key).into_iter().flatten().map(|holder| holder.0)
    }

    /// How many texts at how many servers, each counted by itself.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether a server is known to have been sent a text at that time or later.
    pub(crate) fn knows(&self, key: Key, engine: EngineId, at: Micros) -> bool {
        let mut holders = self.by_key.get(&key).into_iter().flatten();
        holders.any(|holder| holder.0 == engine && holder.1 >= at)
    }
}
