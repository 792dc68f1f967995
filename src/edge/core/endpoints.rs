//! The servers of the list, reduced to what the reducer needs: each server's role and whether it takes new work.
//!
//! Only list updates change this table. A server removed from the list is dropped at once: server ids change
//! throughout the day, so keeping old ids would let the table grow without bound.

use std::collections::BTreeMap;

use crate::interface::{Health, ListUpdateKind, Role, ServerEntry, ServerId, Settings};

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    role: Role,
    is_ready: bool,
}

/// The servers of the list. See the [module documentation](self).
#[derive(Debug)]
pub struct Endpoints {
    roles_by_kind: Vec<Role>,
    writers_can_read: bool,
    servers: BTreeMap<ServerId, Endpoint>,
}

impl Endpoints {
    /// An empty list. The settings say which role each kind of server has, and whether writers can read.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut endpoints =
            Self { roles_by_kind: Vec::new(), writers_can_read: false, servers: BTreeMap::new() };
        endpoints.apply_settings(settings);
        endpoints
    }

    /// Takes new settings. Roles of servers that are already listed change only with their next list update.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.roles_by_kind = settings.kinds.iter().map(|kind| kind.role).collect();
        self.writers_can_read = settings.writers_can_read;
    }

    /// Applies a list update. A kind of server that is missing from the settings counts as [`Role::Mixed`].
    pub fn apply(&mut self, kind: ListUpdateKind, entries: &[ServerEntry]) {
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            self.servers.clear();
        }
        for entry in entries {
            if entry.health == Health::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let role = self.roles_by_kind.get(entry.kind as usize).copied().unwrap_or(Role::Mixed);
            let endpoint = Endpoint { role, is_ready: entry.health == Health::Ready };
            self.servers.insert(entry.server, endpoint);
        }
    }

    /// Number of servers in the list, including those that are draining.
    #[must_use]
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Whether the server is listed as ready for new work.
    #[must_use]
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|endpoint| endpoint.is_ready)
    }

    /// Whether the server is listed, but not as ready for new work.
    #[must_use]
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|endpoint| !endpoint.is_ready)
    }

    /// Whether the server is listed as one that only reads prompts.
    #[must_use]
    pub fn is_reader(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|endpoint| endpoint.role == Role::Reader)
    }

    /// Whether the ready servers can together serve a request: a mixed server, or a writer with something that
    /// can read.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let has_ready = |role| self.servers.values().any(|server| server.is_ready && server.role == role);
        let can_read = has_ready(Role::Reader) || self.writers_can_read;
        has_ready(Role::Mixed) || (can_read && has_ready(Role::Writer))
    }
}
