//! Responses that others go on from: bounded in bytes, over all and for each tenant; the least lately used go
//! first. A tenant learns nothing of another's.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

/// A response that is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// The response, as it was told.
    pub response: Value,
    /// Its input and its output, as a response that goes on from it is given them.
    pub items: Vec<Value>,
}

#[derive(Debug)]
struct Entry {
    kept: Kept,
    bytes: usize,
    used: u64,
}

/// What the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFigures {
    /// Responses.
    pub responses: usize,
    /// Bytes that are counted for them.
    pub bytes: usize,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    most_bytes: usize,
    tenant_bytes: usize,
    entries: HashMap<(u32, String), Entry>,
    /// By when they were last used: of each tenant, and so of all.
    order: BTreeMap<(u32, u64), String>,
    bytes: HashMap<u32, usize>,
    total: usize,
    clock: u64,
}

/// What an entry takes beside its text (bytes).
const ENTRY: usize = 256;

/// Memory of a JSON value, roughly: what its parts allocate and their own size.
fn weight(value: &Value) -> usize {
    size_of::<Value>()
        + match value {
            Value::String(text) => text.len(),
            Value::Array(items) => items.iter().map(weight).sum(),
            Value::Object(fields) => fields.iter().map(|(name, value)| 64 + name.len() + weight(value)).sum(),
            _ => 0,
        }
}

impl Store {
    /// One that holds so many bytes, and so many of one tenant.
    #[must_use]
    pub fn new(most_bytes: usize, tenant_bytes: usize) -> Self {
        Self {
            most_bytes,
            tenant_bytes: tenant_bytes.min(most_bytes),
            entries: HashMap::new(),
            order: BTreeMap::new(),
            bytes: HashMap::new(),
            total: 0,
            clock: 0,
        }
    }

    /// Keeps a response; whether it is kept: one that is longer than a tenant's share is not.
    pub fn keep(&mut self, tenant: u32, id: &str, kept: Kept) -> bool {
        let bytes =
            ENTRY + 2 * id.len() + weight(&kept.response) + kept.items.iter().map(weight).sum::<usize>();
        self.remove(tenant, id);
        if bytes > self.tenant_bytes {
            return false;
        }
        while self.bytes.get(&tenant).copied().unwrap_or(0) + bytes > self.tenant_bytes {
            self.drop_oldest(tenant);
        }
        while self.total + bytes > self.most_bytes {
            // Who holds most gives: a tenant that floods pushes out its own.
            let Some((&most, _)) = self.bytes.iter().max_by_key(|(tenant, bytes)| (**bytes, **tenant)) else {
                break;
            };
            self.drop_oldest(most);
        }
        self.clock += 1;
        self.order.insert((tenant, self.clock), id.to_owned());
        *self.bytes.entry(tenant).or_default() += bytes;
        self.total += bytes;
        self.entries.insert((tenant, id.to_owned()), Entry { kept, bytes, used: self.clock });
        true
    }

    /// A tenant's response.
    pub fn get(&mut self, tenant: u32, id: &str) -> Option<&Kept> {
        let entry = self.entries.get_mut(&(tenant, id.to_owned()))?;
        self.clock += 1;
        if let Some(id) = self.order.remove(&(tenant, entry.used)) {
            self.order.insert((tenant, self.clock), id);
        }
        entry.used = self.clock;
        Some(&entry.kept)
    }

    /// Forgets a tenant's response; whether there was one.
    pub fn remove(&mut self, tenant: u32, id: &str) -> bool {
        let Some(entry) = self.entries.remove(&(tenant, id.to_owned())) else { return false };
        self.order.remove(&(tenant, entry.used));
        self.total -= entry.bytes;
        if let Some(bytes) = self.bytes.get_mut(&tenant) {
            *bytes -= entry.bytes;
            if *bytes == 0 {
                self.bytes.remove(&tenant);
            }
        }
        true
    }

    /// What it holds.
    #[must_use]
    pub fn figures(&self) -> StoreFigures {
        StoreFigures { responses: self.entries.len(), bytes: self.total }
    }

    fn drop_oldest(&mut self, tenant: u32) {
        let oldest = self.order.range((tenant, 0)..=(tenant, u64::MAX)).next().map(|(_, id)| id.clone());
        if let Some(id) = oldest {
            self.remove(tenant, &id);
        }
    }
}
