//! What the instances of a cluster must know together: which requests that must not run twice have been offered to
//! servers, and by whom; and notes about servers. Each record has N copies, at instances that the operator names; a
//! request is sent on only when a write quorum of W of them hold its record. Two quorums have one instance in common,
//! so no second attempt gets a quorum while the first may have executed.
//!
//! No sockets, clocks or files: [`Replica::handle`] takes an [`Event`] with the time, and adds [`Effect`]s.
//! `docs/design/replica.md` compares the alternatives, and has the merge rules and what each fault costs.
//!
//! | module | contents |
//! | --- | --- |
//! | [`Record`], [`Stage`], [`Outcome`] | what is known of a request, and how two copies are merged |
//! | [`NoteStore`], [`Timestamp`] | notes about servers: last writer wins, by a hybrid logical clock |
//! | [`Placement`] | the key space in ranges, and which instances hold the copies of each |
//! | [`RecordStore`] | the copies held here, with digests by which two holders compare them |
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

/// Microseconds: of Unix time, or a length of time.
pub type Micros = u64;

/// Copies of records, as they are sent to other instances.
pub(crate) type Copies = Vec<(RecordId, Record)>;
