//! What the instances of a cluster must know together: which requests that must not run twice have been offered to
//! servers, and by whom; and notes about servers. Each record lies at N of the instances that the operator names; a
//! request is sent on only when W of them hold its record, and as two sets of W have one instance in common, no
//! second attempt gets W while the first may have run.
//!
//! No sockets, clocks or files: [`Replica::handle`] takes an [`Event`] with the time, and adds [`Effect`]s.
//! `docs/design/replica.md` has the ways weighed, the merge rules and what each fault costs.
//!
//! | part | what it holds |
//! | --- | --- |
//! | [`Record`], [`Stage`], [`Ran`] | what is known of a request, and how two copies become one |
//! | [`Notes`], [`Stamp`] | notes about servers: the last writer's holds, by a hybrid logical clock |
//! | [`Ranges`] | the key space in ranges, who holds which, and digests by which two copies are compared |
//! | [`Replica`] | the state machine: offers, quorums, hints for those that are away, catching up |

mod notes;
mod ranges;
mod record;
mod replica;

pub use notes::{Note, Notes, Said, Stamp, MOST_AHEAD_MS};
pub use ranges::{Ranges, Store, BUCKETS, RANGES};
pub use record::{AttemptId, Ran, Record, RecordId, Stage, Verdict};
pub use replica::{BadSettings, Counts, Denied, Effect, Event, Message, Replica, Settings, Ticket};

/// Microseconds of Unix time.
pub type Micros = u64;
