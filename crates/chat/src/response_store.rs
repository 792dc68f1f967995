//! Responses that later requests go on from: bounded in bytes, over all tenants and for each; the least recently used
//! are evicted first. A tenant learns nothing of another's.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

/// What an entry takes beside its text (bytes).
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// What a field of an object takes beside its name and value (bytes).
const FIELD_OVERHEAD_BYTES: usize = 64;

/// A response that is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResponse {
    /// The response, as the client had it.
    pub response: Value,
    /// Its input and its output, as a response that goes on from it is given them.
    pub items: Vec<Value>,
}

#[derive(Debug)]
struct Entry {
    stored: StoredResponse,
    bytes: usize,
    /// The store's count of uses when it was last used.
    last_use: u64,
}

/// What the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseStoreStats {
    /// Responses.
    pub responses: usize,
    /// Bytes that are counted for them.
    pub bytes: usize,
}

/// The store.
#[derive(Debug)]
pub struct ResponseStore {
    max_bytes: usize,
    max_tenant_bytes: usize,
    entries: HashMap<(u32, String), Entry>,
    /// Ids by tenant and last use: the least recently used of each tenant comes first.
    by_last_use: BTreeMap<(u32, u64), String>,
    tenant_bytes: HashMap<u32, usize>,
    total_bytes: usize,
    uses: u64,
}

impl ResponseStore {
    /// A store that holds up to `max_bytes`, and up to `max_tenant_bytes` of one tenant.
    #[must_use]
    pub fn new(max_bytes: usize, max_tenant_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_tenant_bytes: max_tenant_bytes.min(max_bytes),
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            tenant_bytes: HashMap::new(),
            total_bytes: 0,
            uses: 0,
        }
    }

    /// Keeps a response; returns whether it is kept: one that is larger than a tenant's share is not.
    pub fn insert(&mut self, tenant: u32, id: &str, stored: StoredResponse) -> bool {
        let bytes = stored_bytes(id, &stored);
        self.remove(tenant, id);
        if bytes > self.max_tenant_bytes {
            return false;
        }
        self.evict_for(tenant, bytes);
        self.uses += 1;
        self.by_last_use.insert((tenant, self.uses), id.to_owned());
        *self.tenant_bytes.entry(tenant).or_default() += bytes;
        self.total_bytes += bytes;
        self.entries.insert((tenant, id.to_owned()), Entry { stored, bytes, last_use: self.uses });
        true
    }

    /// A tenant's response; counts as a use.
    pub fn get(&mut self, tenant: u32, id: &str) -> Option<&StoredResponse> {
        let entry = self.entries.get_mut(&(tenant, id.to_owned()))?;
        self.uses += 1;
        if let Some(id) = self.by_last_use.remove(&(tenant, entry.last_use)) {
            self.by_last_use.insert((tenant, self.uses), id);
        }
        entry.last_use = self.uses;
        Some(&entry.stored)
    }

    /// Forgets a tenant's response; returns whether there was one.
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

    /// What it holds.
    #[must_use]
    pub fn stats(&self) -> ResponseStoreStats {
        ResponseStoreStats { responses: self.entries.len(), bytes: self.total_bytes }
    }

    /// Makes room for a response of this size: first within the tenant's share, then within the whole store.
    fn evict_for(&mut self, tenant: u32, bytes: usize) {
        while self.tenant_bytes.get(&tenant).copied().unwrap_or(0) + bytes > self.max_tenant_bytes {
            self.evict_oldest(tenant);
        }
        while self.total_bytes + bytes > self.max_bytes {
            // The tenant that holds most gives way: one that floods the store evicts its own.
            let largest = self.tenant_bytes.iter().max_by_key(|(tenant, bytes)| (**bytes, **tenant));
            let Some((&largest, _)) = largest else { break };
            self.evict_oldest(largest);
        }
    }

    fn evict_oldest(&mut self, tenant: u32) {
        let mut of_tenant = self.by_last_use.range((tenant, 0)..=(tenant, u64::MAX));
        if let Some(id) = of_tenant.next().map(|(_, id)| id.clone()) {
            self.remove(tenant, &id);
        }
    }
}

fn stored_bytes(id: &str, stored: &StoredResponse) -> usize {
    let items: usize = stored.items.iter().map(value_bytes).sum();
    ENTRY_OVERHEAD_BYTES + 2 * id.len() + value_bytes(&stored.response) + items
}

/// Memory of a JSON value, roughly: what its parts allocate, and its own size.
fn value_bytes(value: &Value) -> usize {
    let allocated = match value {
        Value::String(text) => text.len(),
        Value::Array(items) => items.iter().map(value_bytes).sum(),
        Value::Object(fields) => {
            let field =
                |(name, value): (&String, &Value)| FIELD_OVERHEAD_BYTES + name.len() + value_bytes(value);
            fields.iter().map(field).sum()
        }
        _ => 0,
    };
    size_of::<Value>() + allocated
}
