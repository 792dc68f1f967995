//! Capacity planning for a fleet that is much larger than one machine: recorded samples of what each part of the
//! dispatcher costs ([`results`]), the capacity page rendered from them ([`page`]), and runs ([`run`]) in which a
//! few real dispatchers work among hollow, that is simulated, dispatchers and replicas ([`hollow`]).

pub mod hollow;
pub mod options;
pub mod page;
pub mod results;
pub mod run;
pub mod shape;
pub mod target;
