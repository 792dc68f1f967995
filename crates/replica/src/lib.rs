//! The state that the instances of a cluster replicate: a record of each at-most-once request, with its attempts and
//! the instances that made them, and notes about servers.
//!
//! Each record has N copies, at instances chosen from those that the operator lists. An instance sends a request to a
//! server only after a quorum of W of the N holders have stored its record. Any two quorums have at least one holder
//! in common, so no second attempt gets a quorum while the first may have executed.
//!
//! The crate uses no sockets, clocks or files: [`Replica::handle`] takes an [`Event`] with the current time, and adds
//! the [`Effect`]s that its owner has to carry out. `docs/design/replica.md` compares the alternatives to this
//! protocol, and describes the merge rules and the cost of each fault.
//!
//! | module | contents |
//! | --- | --- |
//! | [`Record`], [`Stage`], [`Outcome`] | the known attempts of a request, and how two copies of a record are merged |
//! | [`NoteStore`], [`Timestamp`] | notes about servers: the last writer wins, by a hybrid logical clock |
//! | [`Placement`] | the ranges of the key space, and the instances that hold the copies of each |
//! | [`RecordStore`] | the copies that this instance holds, and the digests by which two holders compare theirs |
//! | [`Replica`] | the state machine: offers and quorums, hinted handoff, anti-entropy repair |

mod coordinator;
mod events;
mod hinted_handoff;
mod message;
mod notes;
mod placement;
mod record;
mod repair;
mod replica;
mod settings;
mod storage;

pub use events::{Counters, Denial, Effect, Event, OfferId};
pub use message::Message;
pub use notes::{Note, NoteStore, ServerStatus, Timestamp, MAX_AHEAD_MS};
pub use placement::{Placement, RANGES};
pub use record::{AttemptId, Outcome, Record, RecordId, RequestStatus, Stage};
pub use replica::Replica;
pub use settings::{InvalidSettings, Settings};
pub use storage::{RecordStore, BUCKETS};

/// A point in Unix time or a duration, in microseconds.
pub type Micros = u64;

/// Copies of records with their ids, as one message carries them.
pub(crate) type Copies = Vec<(RecordId, Record)>;
