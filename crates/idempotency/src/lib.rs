//! Idempotency of requests that clients repeat: a state machine without I/O.
//!
//! A repeat is recognised by the client's idempotency key, or by its body where a library says that it retries. It
//! joins the request that is in flight, is given a replay of the kept answer from its first byte, runs because the
//! first provably never ran, or is rejected. [`IdempotencyStore`] decides; `docs/design/ledger.md` tells what was
//! weighed.
//!
//! Times are whole microseconds ([`Micros`]) on the caller's clock; randomness comes as an argument. What is to be done
//! outside is returned as [`Effect`].
//!
//! Order of the modules, lower ones first: `fingerprint`, `timing_wheel`, `linked_lists`, `recording`, `retry_budget`;
//! `types` (requests, decisions, outcomes) and `policy`; `entry` and `entry_table` (what is remembered, and within which
//! bounds); `tenants`; `store`, and `admission`, the part of it that decides what a repeat gets.

mod admission;
mod entry;
mod entry_table;
pub mod fingerprint;
mod linked_lists;
mod policy;
mod recording;
pub mod retry_budget;
mod store;
mod tenants;
pub mod timing_wheel;
mod types;

pub use entry::ENTRY_BYTES;
pub use fingerprint::{canonical_json, Fingerprint, Fingerprinter};
pub use policy::Policy;
pub use retry_budget::RetryBudgetPolicy;
pub use store::IdempotencyStore;
pub use types::{
    Admission, DeferReason, Effect, EntryId, Execution, IncomingRequest, Outcome, ReadResult, RejectReason,
    RequestIdentity, Stats,
};

/// A point on the caller's clock, or a length of time, in microseconds.
pub type Micros = u64;
