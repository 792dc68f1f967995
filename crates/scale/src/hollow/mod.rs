//! Hollow processes, which simulate the part of a fleet that a run does not start for real: one process stands in
//! for all replicas, and one for all dispatchers but the real ones. Each process reads commands as lines of JSON
//! from its standard input, writes its answers as lines of JSON to its standard output, and exits when its input is
//! closed, so that it never outlives the process that started it.

mod dispatchers;
mod handle;
mod replicas;

pub use dispatchers::{DispatcherOptions, GossipLedger, HollowDispatchers};
pub use handle::{serve_dispatchers, serve_replicas, DispatchersHandle, HollowError, ReplicasHandle};
pub(crate) use replicas::AT_MOST_ONCE_ID_PREFIX;
pub use replicas::{HollowReplicas, ReplicaLedger, ReplicaOptions};
