//! Idempotency of requests that clients repeat: a state machine without I/O.
//!
//! A repeat is recognised by the client's idempotency key, or by its body where the client library marks its retries. A body
//! names a request only if no other one had it, and if its client was seen to lose its connection before it had the answer.
//! A repeat joins the request that is in flight, gets a replay of the kept answer from its first byte, runs because
//! the first attempt provably never ran, or is rejected. [`IdempotencyStore`] decides which; `docs/design/ledger.md`
//! discusses the alternatives.
//!
//! Times are whole microseconds ([`Micros`]) on the caller's clock. The caller passes random numbers as arguments,
//! and the store returns the actions that the caller must take as [`Effect`]s.
//!
//! The modules, each after those that it depends on: `fingerprint`, `timing_wheel`, `linked_lists`, `recording`,
//! `retry_budget`; `types` (requests, decisions, outcomes) and `policy`; `entry` and `entry_table` (the remembered
//! requests and their limits); `tenants`; `store`, and `admission`, the part of the store that decides what to do
//! with a request.

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
    Admission, DeferReason, Delivery, Effect, EntryId, IncomingRequest, Outcome, ReadResult, RejectReason,
    RequestIdentity, RunInfo, Stats,
};

/// A point on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;
