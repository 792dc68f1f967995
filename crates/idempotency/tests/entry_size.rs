//! The size that an entry is charged for, which decides how many requests fit into the memory limit.

use dewladder_idempotency::ENTRY_BYTES;

#[test]
fn an_entry_without_an_answer_is_charged_216_bytes() {
    assert_eq!(ENTRY_BYTES, 216);
}
