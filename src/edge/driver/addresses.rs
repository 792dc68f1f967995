//! Where the servers of the list are reached.

use std::collections::BTreeMap;

use crate::interface::{Health, ListUpdateKind, RequestId, ServerEntry, ServerId};
use dewladder_router::mix;

struct Endpoint {
    address: String,
    is_ready: bool,
}

/// Addresses of the servers of the list.
#[derive(Default)]
pub(super) struct Addresses(BTreeMap<ServerId, Endpoint>);

impl Addresses {
    /// Applies an update of the list, and gives its entries without their addresses.
    pub(super) fn apply(
        &mut self,
        how: ListUpdateKind,
        entries: Vec<(ServerEntry, String)>,
    ) -> Vec<ServerEntry> {
        if how != ListUpdateKind::Patch {
            self.0.clear();
        }
        let mut listed = Vec::with_capacity(entries.len());
        for (entry, address) in entries {
            if entry.health == Health::Gone {
                self.0.remove(&entry.server);
            } else {
                let is_ready = entry.health == Health::Ready;
                self.0.insert(entry.server, Endpoint { address, is_ready });
            }
            listed.push(entry);
        }
        listed
    }

    /// How many servers the list has.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    /// How many servers of the list take new work.
    pub(super) fn count_ready(&self) -> usize {
        self.0.values().filter(|endpoint| endpoint.is_ready).count()
    }

    /// The address of a server.
    pub(super) fn get(&self, server: ServerId) -> Option<&String> {
        self.0.get(&server).map(|endpoint| &endpoint.address)
    }

    /// Addresses of so many servers that take new work and are none of these. Not the same few for every request and
    /// every dispatcher: those would have no connection left.
    pub(super) fn ready_but(&self, excluded: &[ServerId], id: RequestId, count: usize) -> Vec<&String> {
        let mut others = Vec::new();
        for (server, endpoint) in &self.0 {
            if endpoint.is_ready && !excluded.contains(server) {
                others.push(&endpoint.address);
            }
        }
        let first = (mix(id.0) % others.len().max(1) as u64) as usize;
        others.rotate_left(first);
        others.truncate(count);
        others
    }
}
