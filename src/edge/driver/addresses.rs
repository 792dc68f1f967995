//! The network addresses of the listed servers.

use std::collections::BTreeMap;

use crate::interface::{Health, ListUpdateKind, RequestId, ServerEntry, ServerId};
use dewladder_router::mix;

struct Endpoint {
    address: String,
    is_ready: bool,
}

/// The addresses of the listed servers, by server id.
#[derive(Default)]
pub(super) struct Addresses(BTreeMap<ServerId, Endpoint>);

impl Addresses {
    /// Applies an update of the list; returns its entries without their addresses.
    pub(super) fn apply(
        &mut self,
        kind: ListUpdateKind,
        entries: Vec<(ServerEntry, String)>,
    ) -> Vec<ServerEntry> {
        if kind != ListUpdateKind::Patch {
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

    /// Number of listed servers.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    /// Number of listed servers that accept new work.
    pub(super) fn count_ready(&self) -> usize {
        self.0.values().filter(|endpoint| endpoint.is_ready).count()
    }

    /// The address of a server, `None` if it is not listed.
    pub(super) fn get(&self, server: ServerId) -> Option<&String> {
        self.0.get(&server).map(|endpoint| &endpoint.address)
    }

    /// Addresses of up to `count` servers that accept new work, without the `excluded` ones. The selection
    /// depends on the request: the same few servers for all requests and all dispatchers would run out of
    /// connections.
    pub(super) fn ready_except(&self, excluded: &[ServerId], id: RequestId, count: usize) -> Vec<&String> {
        let mut candidates = Vec::new();
        for (server, endpoint) in &self.0 {
            if endpoint.is_ready && !excluded.contains(server) {
                candidates.push(&endpoint.address);
            }
        }
        let offset = (mix(id.0) % candidates.len().max(1) as u64) as usize;
        candidates.rotate_left(offset);
        candidates.truncate(count);
        candidates
    }
}
