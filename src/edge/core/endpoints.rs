//! The servers of the list as the reducer needs them: what each one does, and whether it takes new work.
//!
//! Only updates of the list change this table. A server that the list removes is forgotten at once, as servers come
//! under new ids all day.

use std::collections::BTreeMap;

use crate::interface::{Health, ListUpdateKind, Role, ServerEntry, ServerId, Settings};

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    role: Role,
    is_ready: bool,
}

/// The servers of the list. See the [module](self).
#[derive(Debug)]
pub struct Endpoints {
    roles_by_kind: Vec<Role>,
    writers_can_read: bool,
    servers: BTreeMap<ServerId, Endpoint>,
}

impl Endpoints {
    /// An empty list, read by these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut endpoints =
            Self { roles_by_kind: Vec::new(), writers_can_read: false, servers: BTreeMap::new() };
        endpoints.reload(settings);
        endpoints
    }

    /// Later updates are read by these settings.
    pub fn reload(&mut self, settings: &Settings) {
        self.roles_by_kind = settings.kinds.iter().map(|kind| kind.role).collect();
        self.writers_can_read = settings.writers_can_read;
    }

    /// Applies an update of the list.
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

    /// How many servers the list has, with those that are draining.
    #[must_use]
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Whether the list has a server as one that takes new work.
    #[must_use]
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|endpoint| endpoint.is_ready)
    }

    /// Whether the list has a server as one that takes no new work.
    #[must_use]
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|endpoint| !endpoint.is_ready)
    }

    /// Whether a server reads prompts only.
    #[must_use]
    pub fn is_reader(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|endpoint| endpoint.role == Role::Reader)
    }

    /// Whether the list has servers that together can serve a request.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let has_ready = |role| self.servers.values().any(|server| server.is_ready && server.role == role);
        let can_read = has_ready(Role::Reader) || self.writers_can_read;
        has_ready(Role::Mixed) || (can_read && has_ready(Role::Writer))
    }
}
