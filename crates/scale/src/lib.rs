//! Capacity of a fleet much larger than one machine: samples of what parts of the dispatcher cost ([`results`]), the page
//! rendered from them ([`page`]), and hollow replicas and dispatchers that stand beside real ones ([`hollow`], [`run`]).

pub mod hollow;
pub mod options;
pub mod page;
pub mod results;
pub mod run;
pub mod shape;
pub mod target;
