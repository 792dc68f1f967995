//! Hollow processes: one that plays all replicas, and one that plays all other dispatchers. Each is told what to do in
//! lines of JSON on its standard input, answers in lines on its standard output, and ends when its input does, so
//! that none outlives who started it.

mod dispatchers;
mod handle;
mod replicas;

pub use dispatchers::{DispatcherOptions, GossipLedger, HollowDispatchers};
pub use handle::{serve_dispatchers, serve_replicas, DispatchersHandle, HollowError, ReplicasHandle};
pub(crate) use replicas::RUNS_ONCE;
pub use replicas::{HollowReplicas, ReplicaLedger, ReplicaOptions};
