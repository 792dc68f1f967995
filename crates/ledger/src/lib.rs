//! One request stays one request: a pure state machine for requests that clients repeat.
//!
//! A repeat is known by the client's own key, or by the body where a library says that it retries. It joins the
//! request that is open, is given the kept answer from its first byte, is let through because the first provably
//! never ran, or is refused. See [`Ledger`]; `docs/design/ledger.md` tells what was weighed.
//!
//! Times are whole microseconds ([`Micros`]) on the caller's clock; randomness comes as an argument. Nothing here
//! does I/O: what is to be done outside is in [`Effect`].

pub mod budget;
pub mod fingerprint;
mod ledger;
mod lists;
mod recording;
pub mod wheel;

pub use budget::BudgetPolicy;
pub use fingerprint::{canonical, Fingerprint, Fingerprints};
pub use ledger::{
    Effect, Ending, EntryId, Figures, Later, Ledger, Name, Never, Offer, Policy, Read, Verdict, ENTRY_BYTES,
};

/// A point on the caller's clock, or a length of time, in microseconds.
pub type Micros = u64;
