//! What an entry is counted as: with it, which requests fit into a bound on memory.

use dewladder_idempotency::ENTRY_BYTES;

#[test]
fn an_entry_is_counted_as_this_many_bytes() {
    assert_eq!(ENTRY_BYTES, 208);
}
