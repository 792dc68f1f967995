//! Estimates of the memory of JSON values. They don't fall short of what is allocated, so that bounds on them hold.

use serde_json::Value;

/// The overhead of a string's allocation (bytes).
pub const STRING_BYTES: usize = 32;
/// The allocation of a node of an object (bytes). An object is a B-tree whose nodes have room for eleven members.
pub const NODE_BYTES: usize = 656;
/// The fewest members in a node of an object that has several nodes.
pub const MIN_MEMBERS_OF_NODE: usize = 5;
/// The smallest allocation of an array, which has room for four members (bytes).
pub const ARRAY_BYTES: usize = 144;
/// How much larger than its members the allocation of an array may be, as it doubles when it grows.
const ARRAY_GROWTH: usize = 2;

/// The memory that a value allocates, without its own size (bytes).
#[must_use]
pub fn allocated_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => STRING_BYTES + text.len(),
        Value::Array(items) => {
            let own = ARRAY_BYTES.max(ARRAY_GROWTH * items.len() * size_of::<Value>());
            own + items.iter().map(allocated_bytes).sum::<usize>()
        }
        Value::Object(fields) => {
            let nodes = fields.len().div_ceil(MIN_MEMBERS_OF_NODE);
            let members =
                fields.iter().map(|(name, value)| STRING_BYTES + name.len() + allocated_bytes(value));
            nodes * NODE_BYTES + members.sum::<usize>()
        }
        _ => 0,
    }
}

/// The memory of a value in an array, with its own size (bytes).
#[must_use]
pub fn value_bytes(value: &Value) -> usize {
    size_of::<Value>() + allocated_bytes(value)
}
