//! Store of the responses that later requests continue. Its size is bounded in bytes, in total and per tenant. Where a
//! bound would be exceeded, the least recently used responses of a tenant are evicted: its own for the tenant's bound,
//! those of the tenant that holds the most for the total. No tenant can see another's responses.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

use crate::value_size::value_bytes;

/// Estimated memory of an entry besides its id and JSON values (bytes).
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// A response in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResponse {
    /// The response object, as it was sent to the client.
    pub response: Value,
    /// The input items of its request, then its output items. A request that continues the response gets them as its
    /// context.
    pub items: Vec<Value>,
}

impl StoredResponse {
    /// An upper estimate of the memory of the items (bytes).
    #[must_use]
    pub fn item_bytes(&self) -> usize {
        self.items.iter().map(value_bytes).sum()
    }
}

#[derive(Debug)]
struct Entry {
    stored: StoredResponse,
    /// The estimated memory of the entry.
    bytes: usize,
    /// The value of the store's `use_counter` at the last insertion or read of this entry.
    last_use: u64,
}

/// How much the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseStoreStats {
    /// The number of responses, over all tenants.
    pub responses: usize,
    /// The estimated memory of all entries (bytes).
    pub bytes: usize,
}

/// Keeps responses by tenant and id, within bounds on their memory.
#[derive(Debug)]
pub struct ResponseStore {
    max_bytes: usize,
    max_tenant_bytes: usize,
    /// By tenant and response id.
    entries: HashMap<(u32, String), Entry>,
    /// Response ids by tenant and last use, so that the least recently used of each tenant comes first.
    by_last_use: BTreeMap<(u32, u64), String>,
    tenant_bytes: HashMap<u32, usize>,
    total_bytes: usize,
    /// Incremented at each insertion and read. Its values order the uses of all entries.
    use_counter: u64,
}

impl ResponseStore {
    /// Creates a store that holds up to `max_bytes`, and up to `max_tenant_bytes` for one tenant.
    #[must_use]
    pub fn new(max_bytes: usize, max_tenant_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_tenant_bytes: max_tenant_bytes.min(max_bytes),
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            tenant_bytes: HashMap::new(),
            total_bytes: 0,
            use_counter: 0,
        }
    }

    /// Stores a response, in place of an earlier one with the same id. Returns `false`, and stores nothing, if it is
    /// larger than a tenant's bound.
    pub fn insert(&mut self, tenant: u32, id: &str, stored: StoredResponse) -> bool {
        let bytes = stored_bytes(id, &stored);
        self.remove(tenant, id);
        if bytes > self.max_tenant_bytes {
            return false;
        }
        self.evict_for(tenant, bytes);
        self.use_counter += 1;
        self.by_last_use.insert((tenant, self.use_counter), id.to_owned());
        *self.tenant_bytes.entry(tenant).or_default() += bytes;
        self.total_bytes += bytes;
        self.entries.insert((tenant, id.to_owned()), Entry { stored, bytes, last_use: self.use_counter });
        true
    }

    /// The tenant's response with this id, which becomes the most recently used one of the tenant.
    pub fn get(&mut self, tenant: u32, id: &str) -> Option<&StoredResponse> {
        let entry = self.entries.get_mut(&(tenant, id.to_owned()))?;
        self.use_counter += 1;
        if let Some(id) = self.by_last_use.remove(&(tenant, entry.last_use)) {
            self.by_last_use.insert((tenant, self.use_counter), id);
        }
        entry.last_use = self.use_counter;
        Some(&entry.stored)
    }

    /// Removes the tenant's response with this id. Returns whether there was one.
    pub fn remove(&mut self, tenant: u32, id: &str) -> bool {
        let Some(entry) = self.entries.remove(&(tenant, id.to_owned())) else { return false };
        self.by_last_use.remove(&(tenant, entry.last_use));
        self.total_bytes -= entry.bytes;
        if let Some(bytes) = self.tenant_bytes.get_mut(&tenant) {
            *bytes -= entry.bytes;
            if *bytes == 0 {
                self.tenant_bytes.remove(&tenant);
            }
        }
        true
    }

    /// The current number and size of the stored responses.
    #[must_use]
    pub fn stats(&self) -> ResponseStoreStats {
        ResponseStoreStats { responses: self.entries.len(), bytes: self.total_bytes }
    }

    /// Makes room for a response of this size: first within the tenant's bound, then within that of the whole store.
    fn evict_for(&mut self, tenant: u32, bytes: usize) {
        while self.tenant_bytes.get(&tenant).copied().unwrap_or(0) + bytes > self.max_tenant_bytes {
            self.evict_least_recently_used(tenant);
        }
        while self.total_bytes + bytes > self.max_bytes {
            // Evict from the tenant that holds the most, so that one that floods the store evicts its own responses.
            let largest = self.tenant_bytes.iter().max_by_key(|(tenant, bytes)| (**bytes, **tenant));
            let Some((&largest, _)) = largest else { break };
            self.evict_least_recently_used(largest);
        }
    }

    fn evict_least_recently_used(&mut self, tenant: u32) {
        let mut uses_of_tenant = self.by_last_use.range((tenant, 0)..=(tenant, u64::MAX));
        if let Some(id) = uses_of_tenant.next().map(|(_, id)| id.clone()) {
            self.remove(tenant, &id);
        }
    }
}

/// The estimated memory of an entry. Its id counts twice, as both `entries` and `by_last_use` hold it.
fn stored_bytes(id: &str, stored: &StoredResponse) -> usize {
    ENTRY_OVERHEAD_BYTES + 2 * id.len() + value_bytes(&stored.response) + stored.item_bytes()
}
